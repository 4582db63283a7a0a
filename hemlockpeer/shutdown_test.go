package hemlockpeer

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against a shutdown that interrupts a call in flight or runs a new one.
func TestShutdownFinishesCallsInFlight(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	server, address := startServer(t, invokerFunc(func(context.Context, *hemlockcall.Request) (*hemlockcall.Response, error) {
		close(started)
		<-finish
		return newResponse([]byte("done"), 4), nil
	}), WithLinger(10*time.Millisecond))
	client, ended, stopped := startClient(t), make(chan error, 1), make(chan error, 1)
	go func() { ended <- callAndRead(client, address) }()
	waitFor(t, "start of the call", started)
	server.Drain()
	_, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonLeaving)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	close(finish)
	noError(t, waitFor(t, "end of the call", ended))
	noError(t, waitFor(t, "shutdown", stopped))
	_, err = client.InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonConnection)
}

// pipeListener accepts in-memory connections, which work with the virtual time of synctest.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.connections <- far
	return near, nil
}

// Guards against a shutdown that closes connections while a call still runs.
func TestShutdownWaitsForCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
		server := NewServer(invokerFunc(func(context.Context, *hemlockcall.Request) (*hemlockcall.Response, error) {
			time.Sleep(time.Minute)
			return newResponse([]byte("done"), 4), nil
		}))
		served, ended := make(chan error, 1), make(chan error, 1)
		go func() { served <- server.Serve(context.Background(), listener) }()
		client := NewClient(WithDial(listener.dial))
		request := newRequest(nil, 0)
		request.Context.Remaining = time.Hour
		go func() {
			_, err := client.InvokerFor("peer").Invoke(context.Background(), request)
			ended <- err
		}()
		synctest.Wait()
		begin := time.Now()
		noError(t, server.Shutdown(context.Background()))
		equal(t, "duration of the shutdown", time.Since(begin), time.Minute+defaultLinger)
		noError(t, <-ended)
		noError(t, <-served)
		client.Close()
	})
}

// Guards against fields of control messages that are lost or changed, and against control messages that wait for slow
// calls to end.
func TestControlMessages(t *testing.T) {
	blocked := make(chan struct{})
	_, address := startServer(t, invokerFunc(func(ctx context.Context, _ *hemlockcall.Request) (*hemlockcall.Response, error) {
		close(blocked)
		<-ctx.Done()
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonCancelled, "")
	}), WithGossipHandler(func(_ context.Context, m GossipMessage) (GossipMessage, error) {
		m.Kind++
		return m, nil
	}), WithConfigurationHandler(func(_ context.Context, query ConfigurationQuery) (ConfigurationResponse, error) {
		return ConfigurationResponse{Version: query.NewerThan + 1, Body: []byte("configuration"), Confirmed: true,
			Age: query.Wait}, nil
	}), WithClaimHandler(func(_ context.Context, changes []ClaimChange) ([]bool, error) {
		return []bool{changes[0].Key == "k", changes[1].Version == 3}, nil
	}))
	client := startClient(t, WithMaxConnections(1))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _, _ = client.InvokerFor(address).Invoke(ctx, newRequest(nil, 0)) }()
	waitFor(t, "start of the slow call", blocked)
	reply, err := client.ExchangeGossip(ctx, address, GossipMessage{
		Kind: 1, Members: []GossipMember{{Address: "a", Incarnation: 4}},
		CrashRecords: []CrashRecord{{Fingerprint: 5, Age: time.Second, Origin: "b", CrashID: 6}},
	})
	noError(t, err)
	equal(t, "kind", reply.Kind, 2)
	equal(t, "member", reply.Members[0], GossipMember{Address: "a", Incarnation: 4})
	equal(t, "crash record", reply.CrashRecords[0], CrashRecord{Fingerprint: 5, Age: time.Second, Origin: "b", CrashID: 6})
	response, err := client.FetchConfiguration(ctx, address, ConfigurationQuery{NewerThan: 7, Wait: 20 * time.Millisecond})
	noError(t, err)
	equal(t, "configuration", string(response.Body), "configuration")
	equal(t, "version", response.Version, 8)
	equal(t, "confirmed", response.Confirmed, true)
	equal(t, "age", response.Age, 20*time.Millisecond)
	applied, err := client.Claim(ctx, address, []ClaimChange{{Key: "k"}, {Key: "l", Version: 2, Row: []byte("r")}})
	noError(t, err)
	equal(t, "first change", applied[0], true)
	equal(t, "second change", applied[1], false)
}
