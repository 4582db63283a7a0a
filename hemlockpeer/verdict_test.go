package hemlockpeer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcctx"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// Guards against a call that never reached the peer and is reported with an unknown outcome, so that it would not be
// retried elsewhere unless it is idempotent.
func TestFailedConnectIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	noError(t, listener.Close())
	_, err = startClient(t).InvokerFor(listener.Addr().String()).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonConnection)
}

// Guards against a write that fails before its first byte and is reported with an unknown outcome, and against one that
// fails after it and is reported as not run.
func TestWriteFailureVerdict(t *testing.T) {
	for name, verdict := range map[string]hemlockcall.Verdict{"before": hemlockcall.VerdictNotRun, "after": hemlockcall.VerdictUnknown} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, invokerFunc(echoDigest))
			client := startClient(t, WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
				opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return &failingWriter{Conn: opened}, err
			}))
			conn, err := client.pool.get(context.Background(), address)
			noError(t, err)
			if verdict == hemlockcall.VerdictNotRun {
				equal(t, "closed unwritten", conn.transport.CloseIfUnwritten(conn.transport.WriteCount()), true)
			}
			call := newTestCall(client, address, conn)
			request := newRequest(nil, 0)
			head, err := encodeRequest(request, time.Second)
			noError(t, err)
			_, err = call.start(request, head)
			wantRefusal(t, err, verdict, hemlockcall.ReasonConnection)
		})
	}
}

func newTestCall(client *Client, address string, conn *pooledConnection) *call {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	return &call{
		client: client, address: address, connection: conn, releasePermit: func() {}, ctx: ctx, cancel: cancel,
		writesBefore: conn.transport.WriteCount(),
	}
}

// failingWriter is a connection that fails after the first byte of each write.
type failingWriter struct {
	net.Conn
}

func (w *failingWriter) Write(data []byte) (int, error) {
	count, _ := w.Conn.Write(data[:1])
	return count, errors.New("connection lost")
}

// Guards against an unlimited wait for a free connection, and against a call that is refused after this wait with an
// unknown outcome.
func TestFullPoolIsNotRun(t *testing.T) {
	started := make(chan struct{})
	_, address := startServer(t, invokerFunc(func(ctx context.Context, _ *hemlockcall.Request) (*hemlockcall.Response, error) {
		close(started)
		<-ctx.Done()
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonCancelled, "")
	}))
	client := startClient(t, WithMaxConnections(1), WithPoolTimeout(time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := client.InvokerFor(address).Invoke(ctx, newRequest(nil, 0))
		ended <- err
	}()
	waitFor(t, "start of the first call", started)
	_, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonUnavailable)
	cancel()
	wantRefusal(t, waitFor(t, "end of the first call", ended), hemlockcall.VerdictUnknown, hemlockcall.ReasonCancelled)
}

// Guards against a refusal of the peer whose verdict, reason or retry delay changes on the way, and against a peer that
// returns more unused retries than the call carried.
func TestPeerRefusalIsPassedOn(t *testing.T) {
	sent := hemlockcall.Refuse(hemlockcall.ReasonOverload, "full").WithRetryAfter(time.Second).
		WithFeedback(hemlockcall.Feedback{UnusedRetries: 99, MinPriority: hemlockcall.Critical})
	_, address := startServer(t, invokerFunc(func(context.Context, *hemlockcall.Request) (*hemlockcall.Response, error) {
		return nil, sent
	}))
	client := startClient(t)
	_, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
	got := hemlockcall.AsRefusal(err)
	equal(t, "retry delay", got.RetryAfter, time.Second)
	equal(t, "sent by the node", got.SentByNode, true)
	equal(t, "unused retries", got.Feedback.UnusedRetries, 2)
	_, reusable := client.pool.idle.Take(address)
	equal(t, "connection kept", reusable, true)
}

// Guards against a request that is reported as not run although the peer had received it when the connection was lost.
func TestDisconnectAfterRequestIsUnknown(t *testing.T) {
	address := startFakePeer(t, func(stream hemlockwire.DRPCNode_CallStream, _ uint64) error {
		transport, _ := drpcctx.Transport(stream.Context())
		return transport.Close()
	})
	_, err := startClient(t).InvokerFor(address).Invoke(context.Background(), newRequest(nil, 0))
	wantRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
}

// Guards against a connection that is used again after a cancelled or timed-out call, so that its late response could
// reach another caller, and against a handler that is not cancelled.
func TestConnectionIsNotReusedAfterCancel(t *testing.T) {
	for name, reason := range map[string]hemlockcall.Reason{
		"cancel": hemlockcall.ReasonCancelled, "deadline": hemlockcall.ReasonDeadline,
	} {
		t.Run(name, func(t *testing.T) {
			started, cancelled, callEnded := make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
			_, address := startServer(t, invokerFunc(func(ctx context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
				if r.Header.Get("X-Id") != "late" {
					return echoDigest(ctx, r)
				}
				started <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				// The response is late: the call has already ended at the caller.
				<-callEnded
				return newResponse([]byte("late"), 4), nil
			}))
			var dials atomic.Int32
			client := startClient(t, countDials(&dials))
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			if reason == hemlockcall.ReasonCancelled {
				cancel()
				ctx, cancel = context.WithCancel(context.Background())
				go func() { <-started; cancel() }()
			}
			defer cancel()
			request := newRequest(nil, 0)
			request.Header.Set("X-Id", "late")
			_, err := client.InvokerFor(address).Invoke(ctx, request)
			close(callEnded)
			wantRefusal(t, err, hemlockcall.VerdictUnknown, reason)
			waitFor(t, "cancelling of the handler", cancelled)
			response, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(bytes.NewReader([]byte("own")), 3))
			noError(t, err)
			checkEcho(t, response, "7", []byte("own"))
			equal(t, "connections opened", dials.Load(), 2)
		})
	}
}

// Guards against a handler that continues to run after its caller has cancelled, because the server does not notice the
// closed connection while the handler does not read the body.
func TestCancelReachesHandlerDuringUpload(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, address := startServer(t, invokerFunc(func(ctx context.Context, _ *hemlockcall.Request) (*hemlockcall.Response, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonCancelled, "")
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	body := io.MultiReader(bytes.NewReader(pattern(1, 4*chunkSize)), reader)
	_, err := startClient(t).InvokerFor(address).Invoke(ctx, newRequest(body, -1))
	wantRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonCancelled)
	waitFor(t, "cancelling of the handler", cancelled)
}

func countDials(dials *atomic.Int32) Option {
	return WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	})
}

// Guards against a request body that ends early and reaches the handler as complete.
func TestBrokenUploadIsIncomplete(t *testing.T) {
	for name, length := range map[string]int64{"unknown length": -1, "known length": 1 << 20, "short": 10} {
		t.Run(name, func(t *testing.T) {
			read := make(chan error, 1)
			_, address := startServer(t, invokerFunc(func(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
				_, err := io.Copy(io.Discard, r.Body)
				read <- err
				return newResponse(nil, 0), nil
			}))
			body := io.MultiReader(bytes.NewReader(pattern(1, 9)), failingReader{})
			_, err := startClient(t).InvokerFor(address).Invoke(context.Background(), newRequest(body, length))
			wantRefusal(t, err, hemlockcall.AsRefusal(err).Verdict, hemlockcall.ReasonIncomplete)
			if length < 0 || length > chunkSize {
				equal(t, "verdict", hemlockcall.AsRefusal(err).Verdict, hemlockcall.VerdictUnknown)
				if waitFor(t, "end of the body in the handler", read) == nil {
					t.Fatal("the truncated body reached the handler as complete")
				}
			}
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errors.New("the caller has disconnected")
}

// Guards against a call that waits for the rest of its request body although the handler has already responded, and
// against the reuse of its connection.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	_, address := startServer(t, invokerFunc(func(context.Context, *hemlockcall.Request) (*hemlockcall.Response, error) {
		return newResponse([]byte("early"), 5), nil
	}))
	client := startClient(t)
	reader, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	response, err := client.InvokerFor(address).Invoke(context.Background(), newRequest(reader, -1))
	noError(t, err)
	got, err := io.ReadAll(response.Body)
	noError(t, err)
	equal(t, "response", string(got), "early")
	_, reusable := client.pool.idle.Take(address)
	equal(t, "connection kept", reusable, false)
}
