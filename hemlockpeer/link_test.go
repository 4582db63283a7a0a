package hemlockpeer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// relayServer serves Carry streams on a socket of its own.
func relayServer(t *testing.T, relay hemlockcall.RelayerFunc) string {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(nil, WithRelayer(relay))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, socket)
	}()
	t.Cleanup(func() {
		cancel()
		ended, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		_ = server.Shutdown(ended)
		<-done
	})
	return socket.Addr().String()
}

func relayCall(body []byte) *hemlockcall.RelayRequest {
	return &hemlockcall.RelayRequest{ID: "id\xff", Service: "s", CallingService: "o", Method: "POST", Host: "h", Path: "/a?b=c",
		Header: "X: \xfe\r\n", Body: body, Remaining: time.Second,
		LatencyObjective: 300 * time.Millisecond, Priority: hemlockcall.Critical, Class: "c", Depth: 1, Idempotent: true,
		Fingerprint: 7}
}

func TestLinkCarriesCallsSideBySide(t *testing.T) {
	address := relayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 201, Header: call.Header, Body: call.Body, ServiceTime: time.Millisecond,
			Feedback: hemlockcall.Feedback{InFlight: 3, Limit: 9}}, nil
	})
	links := NewRelayClient()
	defer links.Close()
	var group sync.WaitGroup
	for size := range 40 {
		group.Add(1)
		go func() {
			defer group.Done()
			// From empty bodies to such as take several parcels.
			body := bytes.Repeat([]byte{byte(size)}, size*size*500)
			answer, err := links.Relay(t.Context(), address, relayCall(body))
			if err != nil {
				t.Error(err)
				return
			}
			if answer.Status != 201 || !bytes.Equal(answer.Body, body) || answer.Feedback.Limit != 9 ||
				answer.Header != "X: \xfe\r\n" {
				t.Errorf("answer with %d of %d bytes, %+v", len(answer.Body), len(body), answer.Feedback)
			}
		}()
	}
	group.Wait()
}

func TestLinkPassesTheWholeCallOn(t *testing.T) {
	sent := relayCall([]byte("body"))
	got := make(chan *hemlockcall.RelayRequest, 1)
	address := relayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		got <- call
		return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "full").WithRetryAfter(time.Second)
	})
	links := NewRelayClient()
	defer links.Close()
	_, err := links.Relay(t.Context(), address, sent)
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict != hemlockcall.VerdictNotRun || refusal.RetryAfter != time.Second || !refusal.SentByNode {
		t.Errorf("refusal %+v", refusal)
	}
	call := <-got
	if call.ID != sent.ID || call.Path != sent.Path || call.Remaining != sent.Remaining || call.Depth != 1 ||
		call.LatencyObjective != sent.LatencyObjective || call.Priority != sent.Priority || call.Fingerprint != sent.Fingerprint {
		t.Errorf("call %+v, want %+v", call, sent)
	}
}

// Guards against a target that works on for a caller that has left.
func TestLinkCancelReachesThePeer(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	address := relayServer(t, func(ctx context.Context, _ *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonCancelled, "given up")
	})
	links := NewRelayClient()
	defer links.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := links.Relay(ctx, address, relayCall(nil))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refusal %+v", refusal)
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the peer was not told within 500 ms")
	}
}

// silentProxy passes bytes on until it is silenced; the connections stay open.
type silentProxy struct {
	mutex  sync.Mutex
	silent bool
}

func (p *silentProxy) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: connection, proxy: p}, nil
}

type silentConn struct {
	net.Conn
	proxy *silentProxy
}

func (c *silentConn) Write(data []byte) (int, error) {
	c.proxy.mutex.Lock()
	silent := c.proxy.silent
	c.proxy.mutex.Unlock()
	if silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Guards against calls that wait until their time limit on a connection that went silent without a reset.
func TestLinkGivesUpASilentConnection(t *testing.T) {
	address := relayServer(t, func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	proxy := &silentProxy{}
	links := NewRelayClient(WithDial(proxy.dial))
	defer links.Close()
	if _, err := links.Relay(t.Context(), address, relayCall(nil)); err != nil {
		t.Fatal(err)
	}
	proxy.mutex.Lock()
	proxy.silent = true
	proxy.mutex.Unlock()
	call := relayCall(nil)
	call.Remaining = 10 * time.Second
	started := time.Now()
	_, err := links.Relay(t.Context(), address, call)
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refusal %+v", refusal)
	}
	if took := time.Since(started); took > 2*linkLost {
		t.Errorf("given up after %v", took)
	}
	proxy.mutex.Lock()
	proxy.silent = false
	proxy.mutex.Unlock()
	if _, err := links.Relay(t.Context(), address, relayCall(nil)); err != nil {
		t.Errorf("a new connection does not serve: %v", err)
	}
}

func TestLinkWithoutPeer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.Addr().String()
	_ = socket.Close()
	links := NewRelayClient()
	defer links.Close()
	_, err = links.Relay(t.Context(), address, relayCall(nil))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictNotRun {
		t.Errorf("refusal %+v", refusal)
	}
}

// Guards against a panic in one call that ends the process, or the other calls of the stream.
func TestPanicEndsOneCall(t *testing.T) {
	address := relayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		if call.Path == "/bad" {
			panic("no such path")
		}
		time.Sleep(20 * time.Millisecond)
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	links := NewRelayClient()
	defer links.Close()
	good := make(chan error, 1)
	go func() {
		_, err := links.Relay(t.Context(), address, relayCall(nil))
		good <- err
	}()
	bad := relayCall(nil)
	bad.Path = "/bad"
	_, err := links.Relay(t.Context(), address, bad)
	if refusal := hemlockcall.AsRefusal(err); refusal.Reason != hemlockcall.ReasonFault ||
		refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refused as %+v", refusal)
	}
	if err := <-good; err != nil {
		t.Errorf("the call beside it: %v", err)
	}
}

// Guards against a live peer that counts as silent because probes and small calls wait behind long bodies.
func TestProbesPassLongBodies(t *testing.T) {
	out := newOutbox()
	body := make([]byte, 10<<20)
	if err := out.put(partsOf(&hemlockwire.Parcel{Call: 1, Request: &hemlockwire.RelayRequest{}}, body)...); err != nil {
		t.Fatal(err)
	}
	first := out.take()
	out.putProbe(probeAsk)
	second := out.take()
	if size := len(first[0].Body) * len(first); size > batchBytes {
		t.Errorf("%d bytes in one message", size)
	}
	if second[0].Probe != probeAsk {
		t.Errorf("%d parcels before the probe", len(second))
	}
	for rest := second[1:]; len(rest) > 0; rest = out.take() {
		for _, p := range rest {
			if p.Call != 1 || len(p.Body) > partSize {
				t.Fatalf("parcel of call %d with %d bytes", p.Call, len(p.Body))
			}
		}
	}
}
