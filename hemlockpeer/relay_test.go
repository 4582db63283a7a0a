package hemlockpeer

import (
	"bytes"
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// startRelayServer serves Carry streams on a loopback address until the test ends.
func startRelayServer(t *testing.T, relay hemlockcall.RelayerFunc) string {
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

func newRelayRequest(body []byte) *hemlockcall.RelayRequest {
	return &hemlockcall.RelayRequest{ID: "id\xff", Service: "s", CallingService: "o", Method: "POST", Host: "h", Path: "/a?b=c",
		Header: "X: \xfe\r\n", Body: body, Remaining: time.Second,
		LatencyObjective: 300 * time.Millisecond, Priority: hemlockcall.Critical, Class: "c", Idempotent: true,
		Fingerprint: 7}
}

// Guards against a status, header, body or feedback that is lost, changed or mixed up among concurrent calls.
func TestRelayConcurrentCalls(t *testing.T) {
	address := startRelayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 201, Header: call.Header, Body: call.Body, ServiceTime: time.Millisecond,
			Feedback: hemlockcall.Feedback{InFlight: 3, Limit: 9}}, nil
	})
	client := NewRelayClient()
	defer client.Close()
	var group sync.WaitGroup
	for size := range 40 {
		group.Add(1)
		go func() {
			defer group.Done()
			// From an empty body to bodies of several parcels.
			body := bytes.Repeat([]byte{byte(size)}, size*size*500)
			response, err := client.Relay(t.Context(), address, newRelayRequest(body))
			if err != nil {
				t.Error(err)
				return
			}
			if response.Status != 201 || !bytes.Equal(response.Body, body) || response.Feedback.Limit != 9 ||
				response.Header != "X: \xfe\r\n" {
				t.Errorf("response with %d of %d bytes, %+v", len(response.Body), len(body), response.Feedback)
			}
		}()
	}
	group.Wait()
}

// Guards against a field of a call, or of a refusal, that is lost or changed between two nodes.
func TestRelayTransmitsAllFields(t *testing.T) {
	report := hemlockcall.TargetReport{Instance: "i-\xff", StartTime: 7, Leaving: true,
		RateLimit: hemlockcall.RateLimit{Stated: true, PerSecond: 0.25}}
	sent := newRelayRequest([]byte("body")).WithTargetReport(report)
	got := make(chan *hemlockcall.RelayRequest, 1)
	address := startRelayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		got <- call
		return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "full").WithRetryAfter(time.Second).
			WithFeedback(hemlockcall.Feedback{Target: report})
	})
	client := NewRelayClient()
	defer client.Close()
	_, err := client.Relay(t.Context(), address, sent)
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict != hemlockcall.VerdictNotRun || refusal.RetryAfter != time.Second || !refusal.SentByNode ||
		refusal.Feedback.Target != report {
		t.Errorf("refusal %+v", refusal)
	}
	call := <-got
	if call.ID != sent.ID || call.Path != sent.Path || call.Remaining != sent.Remaining ||
		call.LatencyObjective != sent.LatencyObjective || call.Priority != sent.Priority || call.Fingerprint != sent.Fingerprint ||
		call.TargetReport != report {
		t.Errorf("call %+v, want %+v", call, sent)
	}
}

// Guards against a malformed report of a peer that limits or closes a target.
func TestMalformedTargetReportIsIgnored(t *testing.T) {
	for _, perSecond := range []float64{-1, math.NaN(), math.Inf(1)} {
		wire := &hemlockwire.TargetReport{Instance: []byte("i"), Limited: true, PerSecond: perSecond, Leaving: true}
		if got := decodeTargetReport(wire); got != (hemlockcall.TargetReport{}) {
			t.Errorf("report %+v of a limit of %v, want one without content", got, perSecond)
		}
	}
	long := &hemlockwire.TargetReport{Instance: make([]byte, maxNameLength+1), Leaving: true}
	if got := decodeTargetReport(long); got != (hemlockcall.TargetReport{}) {
		t.Errorf("report %+v of an instance with a long name, want one without content", got)
	}
}

// Guards against a target that continues to run a call which its caller has cancelled.
func TestRelayCancelReachesPeer(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	address := startRelayServer(t, func(ctx context.Context, _ *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonCancelled, "the caller has cancelled")
	})
	client := NewRelayClient()
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Relay(ctx, address, newRelayRequest(nil))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refusal %+v", refusal)
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the call was not cancelled at the peer within 500 ms")
	}
}

// silentDialer opens connections that drop all bytes written while silent is set; they stay open.
type silentDialer struct {
	mutex  sync.Mutex
	silent bool
}

func (d *silentDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silentConn{Conn: connection, dialer: d}, nil
}

type silentConn struct {
	net.Conn
	dialer *silentDialer
}

func (c *silentConn) Write(data []byte) (int, error) {
	c.dialer.mutex.Lock()
	silent := c.dialer.silent
	c.dialer.mutex.Unlock()
	if silent {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Guards against calls that wait until their deadline on a connection that has become silent without being closed.
func TestRelayAbandonsSilentConnection(t *testing.T) {
	address := startRelayServer(t, func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	dialer := &silentDialer{}
	client := NewRelayClient(WithDial(dialer.dial))
	defer client.Close()
	if _, err := client.Relay(t.Context(), address, newRelayRequest(nil)); err != nil {
		t.Fatal(err)
	}
	dialer.mutex.Lock()
	dialer.silent = true
	dialer.mutex.Unlock()
	call := newRelayRequest(nil)
	call.Remaining = 10 * time.Second
	started := time.Now()
	_, err := client.Relay(t.Context(), address, call)
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refusal %+v", refusal)
	}
	if took := time.Since(started); took > 2*brokenAfter {
		t.Errorf("call ended after %v", took)
	}
	dialer.mutex.Lock()
	dialer.silent = false
	dialer.mutex.Unlock()
	if _, err := client.Relay(t.Context(), address, newRelayRequest(nil)); err != nil {
		t.Errorf("call on a new connection: %v", err)
	}
}

// Guards against a call to a node that cannot be reached and that is refused with an unknown outcome.
func TestRelayToUnreachablePeer(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.Addr().String()
	_ = socket.Close()
	client := NewRelayClient()
	defer client.Close()
	_, err = client.Relay(t.Context(), address, newRelayRequest(nil))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictNotRun {
		t.Errorf("refusal %+v", refusal)
	}
}

// Guards against a panic in one call that ends the process or the other calls of the stream.
func TestPanicEndsOneCall(t *testing.T) {
	address := startRelayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		if call.Path == "/bad" {
			panic("no such path")
		}
		time.Sleep(20 * time.Millisecond)
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	client := NewRelayClient()
	defer client.Close()
	good := make(chan error, 1)
	go func() {
		_, err := client.Relay(t.Context(), address, newRelayRequest(nil))
		good <- err
	}()
	bad := newRelayRequest(nil)
	bad.Path = "/bad"
	_, err := client.Relay(t.Context(), address, bad)
	if refusal := hemlockcall.AsRefusal(err); refusal.Reason != hemlockcall.ReasonPanic ||
		refusal.Verdict != hemlockcall.VerdictUnknown {
		t.Errorf("refused as %+v", refusal)
	}
	if err := <-good; err != nil {
		t.Errorf("concurrent call: %v", err)
	}
}

// Guards against two nodes that wait for each other because each sends long bodies and reads only after it has sent.
func TestLongBodiesInBothDirections(t *testing.T) {
	const rounds, calls, bodyBytes = 4, 24, 1 << 20
	address := startRelayServer(t, func(_ context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 200, Body: call.Body}, nil
	})
	client := NewRelayClient(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if tcp, ok := connection.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(16 << 10) // so that a sender soon waits for the other end
			_ = tcp.SetWriteBuffer(16 << 10)
		}
		return connection, err
	}))
	defer client.Close()
	for range rounds {
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				call := newRelayRequest(make([]byte, bodyBytes))
				call.Remaining = 20 * time.Second
				response, err := client.Relay(t.Context(), address, call)
				if err != nil || len(response.Body) != bodyBytes {
					t.Errorf("error %v, want a response with the body of the request", err)
				}
			})
		}
		group.Wait()
	}
}

// Guards against a live peer that counts as silent because probes wait until long bodies are sent, or because a message
// or parcel is too long.
func TestProbesOvertakeLongBodies(t *testing.T) {
	queue := newSendQueue()
	body := make([]byte, 10<<20)
	if err := queue.put(splitBody(&hemlockwire.Parcel{Call: 1, Request: &hemlockwire.RelayRequest{}}, body)...); err != nil {
		t.Fatal(err)
	}
	first := queue.nextBatch()
	queue.putProbe(probeRequest)
	second := queue.nextBatch()
	if size := len(first[0].Body) * len(first); size > maxBatchBytes {
		t.Errorf("%d bytes in one message", size)
	}
	if second[0].Probe != probeRequest {
		t.Errorf("%d parcels before the probe", len(second))
	}
	for rest := second[1:]; len(rest) > 0; rest = queue.nextBatch() {
		for _, p := range rest {
			if p.Call != 1 || len(p.Body) > maxParcelBody {
				t.Fatalf("parcel of call %d with %d bytes", p.Call, len(p.Body))
			}
		}
	}
}

// Guards against a connection that is never closed because its peer was removed while it was being opened.
func TestPeerRemovedWhileConnecting(t *testing.T) {
	address := startRelayServer(t, func(context.Context, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		return &hemlockcall.RelayResponse{Status: 200}, nil
	})
	dialling, release := make(chan struct{}), make(chan struct{})
	closed := make(chan struct{})
	client := NewRelayClient(WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialling)
		<-release
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &closeRecorder{Conn: connection, closed: closed}, err
	}))
	defer client.Close()
	result := make(chan error, 1)
	go func() {
		_, err := client.Relay(t.Context(), address, newRelayRequest(nil))
		result <- err
	}()
	<-dialling
	client.CloseOthers(nil)
	close(release)
	if err := <-result; err == nil {
		t.Error("the call to the removed peer was relayed, want it refused")
	} else if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictNotRun {
		t.Errorf("refusal %+v, want one with the verdict not-run", refusal)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection to the removed peer was not closed within 5 s")
	}
}

// closeRecorder closes a channel when the connection is closed for the first time.
type closeRecorder struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
}

func (c *closeRecorder) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against calls of nodes of an older version, which send no rank, that go before those of most organisations.
func TestCallWithoutAnOrganisationHasTheDefaultRank(t *testing.T) {
	for call, want := range map[*hemlockcall.RelayRequest]uint8{{}: 1, {Organisation: "o"}: 0, {OrganisationRank: 3}: 3} {
		if got := decodeRelayRequest(encodeRelayRequest(call)); got.OrganisationRank != want || got.Organisation != call.Organisation {
			t.Errorf("rank %d of organisation %q, want %d of %q", got.OrganisationRank, got.Organisation, want, call.Organisation)
		}
	}
}
