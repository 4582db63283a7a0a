package hemlockpeer

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"hemlockhollow/hemlockcall"
)

// exhaustedListener fails the given number of accepts as for a lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that no peer reaches again after it had no file descriptors for some time.
func TestServerAcceptsAgainAfterALackOfDescriptors(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	listener := &exhaustedListener{Listener: socket}
	listener.failures.Store(3)
	var reported atomic.Int64
	server := NewServer(nil, WithLinger(0), WithAcceptFailureHandler(func(error) { reported.Add(1) }),
		WithRelayer(hemlockcall.RelayerFunc(func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
			return &hemlockcall.RelayResponse{Status: 200}, nil
		})))
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	client := NewRelayClient()
	defer client.Close()
	_, err = client.Relay(t.Context(), socket.Addr().String(), newRelayRequest(nil))
	noError(t, err)
	equal(t, "reported failures", reported.Load(), 3)
	cancel()
	client.Close()
	noError(t, waitFor(t, "end of the server", served))
}
