package hemlocktarget

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// closeOnSecondRequest responds to the first request on the first connection, reads the second one and closes the
// connection without a response, as a crashing target does. Later connections work.
func closeOnSecondRequest(target *rawTarget, n int, c net.Conn, r *bufio.Reader) {
	for served := 0; target.readRequest(r); served++ {
		if n == 0 && served == 1 {
			return
		}
		_, _ = io.WriteString(c, okResponse)
	}
}

// Guards against the silent retry of a request that a target has received. The subtests with the plain transport show
// that http.Transport does retry it by default.
func TestRequestIsNeverRetriedSilently(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run("plain transport "+method, func(t *testing.T) {
			target := startRawTarget(t, closeOnSecondRequest)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, key := range []string{"first", "second"} {
				request, err := http.NewRequest(method, "http://"+target.address+"/orders", nil)
				noError(t, err)
				request.Header.Set(HeaderIdempotencyKey, key)
				response, err := transport.RoundTrip(request)
				noError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				noError(t, err)
				noError(t, response.Body.Close())
			}
			equal(t, "times that the target received the second request", target.requestCount("second"), 2)
		})
		t.Run("client "+method, func(t *testing.T) {
			target := startRawTarget(t, closeOnSecondRequest)
			client := startClient(t, target.address)
			_, err := invokeAndRead(context.Background(), client, newRequest(method, "first", nil, 0))
			noError(t, err)
			_, err = invokeAndRead(context.Background(), client, newRequest(method, "second", nil, 0))
			checkRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
			equal(t, "times that the target received the second request", target.requestCount("second"), 1)
		})
	}
}

// Guards against the verdict not-run for a request of which the target received a part, wherever the connection fails.
func TestFailureAfterFirstByteIsUnknown(t *testing.T) {
	scripts := map[string]func(*rawTarget, int, net.Conn, *bufio.Reader){
		"after the first byte": func(_ *rawTarget, _ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() },
		"after the last byte":  func(target *rawTarget, _ int, _ net.Conn, r *bufio.Reader) { target.readRequest(r) },
		"reset": func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
			target.readRequest(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, script)
			_, err := invokeAndRead(context.Background(), startClient(t, target.address), newRequest(http.MethodPost, "k", nil, 0))
			checkRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
		})
	}
}

// Guards against the verdict unknown for a request of which no byte was written, which would prevent the retry of an
// at-most-once request for no reason.
func TestFailureBeforeFirstByteIsNotRun(t *testing.T) {
	request := newRequest(http.MethodPost, "k", nil, 0)
	t.Run("no announcement", func(t *testing.T) {
		_, err := NewClient().Invoke(context.Background(), request)
		checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonUnavailable)
	})
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		noError(t, err)
		noError(t, listener.Close())
		_, err = startClient(t, listener.Addr().String()).Invoke(context.Background(), request)
		checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonConnection)
	})
	t.Run("waiting for a connection", func(t *testing.T) {
		received := make(chan struct{})
		target := startRawTarget(t, func(target *rawTarget, _ int, _ net.Conn, r *bufio.Reader) {
			target.readRequest(r)
			close(received)
			target.readRequest(r)
		})
		client := startClient(t, target.address, WithMaxConnections(1))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := invokeAndRead(ctx, client, newRequest(http.MethodPost, "first", nil, 0))
			ended <- err
		}()
		receive(t, "first request", received)
		shortCtx, cancelShort := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancelShort()
		_, err := invokeAndRead(shortCtx, client, request)
		checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonDeadline)
		equal(t, "requests received", target.requestCount("k"), 0)
		cancel()
		checkRefusal(t, receive(t, "end of the first request", ended), hemlockcall.VerdictUnknown, hemlockcall.ReasonCancelled)
	})
}

// Guards against a timed-out request that is reported as not run while its bytes are still being written. The requests that
// the target received are the reference: none for the verdict not-run, exactly one for a response, and at most one for the
// verdict unknown.
func TestVerdictsMatchExecutionsAtTarget(t *testing.T) {
	var mutex sync.Mutex
	runs := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mutex.Lock()
		runs[r.Header.Get(HeaderIdempotencyKey)]++
		mutex.Unlock()
		if r.Header.Get("X-Close") != "" {
			w.Header().Set("Connection", "close")
		}
	}))
	client := startClient(t, server.Listener.Addr().String(), WithMaxConnections(8))
	random := rand.New(rand.NewPCG(1, 2))
	verdicts := map[string]hemlockcall.Verdict{}
	completed := map[string]bool{}
	var group sync.WaitGroup
	for i := range 3000 {
		key, timeout := fmt.Sprint(i), time.Duration(random.IntN(300))*time.Microsecond
		request := newRequest(http.MethodPost, key, nil, 0)
		if i%5 == 0 {
			request.Header.Set("X-Close", "1")
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			_, err := invokeAndRead(ctx, client, request)
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				completed[key] = true
			} else {
				verdicts[key] = hemlockcall.AsRefusal(err).Verdict
			}
		})
		if i%16 == 15 {
			group.Wait()
		}
	}
	group.Wait()
	// Close waits for requests that are still running, so that the counts are complete.
	server.Close()
	counts := map[hemlockcall.Verdict]int{}
	for key, verdict := range verdicts {
		counts[verdict]++
		if runs[key] > 1 || (verdict == hemlockcall.VerdictNotRun && runs[key] != 0) {
			t.Errorf("request %s: verdict %v, but %d runs; want none for not-run and at most one for unknown", key, verdict, runs[key])
		}
	}
	for key := range completed {
		if runs[key] != 1 {
			t.Errorf("request %s: got a response, but %d runs; want one", key, runs[key])
		}
	}
	t.Logf("%d responses, %d not run, %d unknown", len(completed), counts[hemlockcall.VerdictNotRun], counts[hemlockcall.VerdictUnknown])
}

// failingConn accepts one byte of its second write and then fails, like a connection to a target that has crashed.
type failingConn struct {
	net.Conn
	writes int
}

func (c *failingConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(data)
	}
	count, _ := c.Conn.Write(data[:1])
	return count, io.ErrClosedPipe
}

// Guards against the verdict not-run, and against a silent retry, when a keep-alive connection fails during a request.
func TestKeepAliveConnectionFailsDuringRequest(t *testing.T) {
	target := startRawTarget(t, closeOnSecondRequest)
	client := startClient(t, target.address, WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &failingConn{Conn: opened}, err
	}))
	_, err := invokeAndRead(context.Background(), client, newRequest(http.MethodPost, "first", nil, 0))
	noError(t, err)
	_, err = invokeAndRead(context.Background(), client, newRequest(http.MethodPost, "second", nil, 0))
	checkRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
	equal(t, "times that the target received the second request", target.requestCount("second"), 0)
}

// Guards against a not-run status that is passed on as a response instead of a refusal with the verdict not-run, and against
// the loss of the target's Retry-After.
func TestNotRunStatus(t *testing.T) {
	target := startRawTarget(t, respondWith("HTTP/1.1 503 Full\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"))
	client := startClient(t, target.address, WithNotRunStatuses(func(status int) bool { return status == 503 }))
	_, err := client.Invoke(context.Background(), newRequest(http.MethodPost, "k", nil, 0))
	checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
	equal(t, "Retry-After", hemlockcall.AsRefusal(err).RetryAfter, 3*time.Second)
}

// repeatRefusal refuses the first request of the first connection, repeats the refusal there when the next request arrives, and runs
// all other requests.
func repeatRefusal(target *rawTarget, n int, c net.Conn, r *bufio.Reader) {
	for served := 0; target.readRequest(r); served++ {
		if n == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
		}
		if n > 0 || served > 0 {
			_, _ = io.WriteString(c, okResponse)
		}
	}
}

// Guards against an order that runs although its caller was told that it had not, because the target repeated an earlier refusal.
func TestRepeatedRefusalOfAnEarlierRequest(t *testing.T) {
	target := startRawTarget(t, repeatRefusal)
	client := startClient(t, target.address, WithNotRunStatuses(func(status int) bool { return status == 503 }))
	_, err := client.Invoke(t.Context(), newRequest(http.MethodPost, "first", nil, 0))
	checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
	order := newRequest(http.MethodPost, "order", nil, 0)
	order.AtMostOnce = true
	_, err = invokeAndRead(t.Context(), client, order)
	noError(t, err)
}

// Guards against more connections than the target accepts: those that are idle count too.
func TestIdleConnectionsMakeRoomForOrders(t *testing.T) {
	const limit = 4
	var client *Client
	var openDuringOrder atomic.Int64
	var arrived sync.WaitGroup
	arrived.Add(limit)
	target := startRawTarget(t, func(target *rawTarget, n int, c net.Conn, r *bufio.Reader) {
		for target.readRequest(r) {
			if n < limit {
				arrived.Done()
				arrived.Wait() // so that each request has a connection of its own
			} else {
				openDuringOrder.Store(client.openConnections.Load())
			}
			_, _ = io.WriteString(c, okResponse)
		}
	})
	client = startClient(t, target.address, WithMaxConnections(limit))
	var group sync.WaitGroup
	for range limit {
		group.Go(func() {
			_, err := invokeAndRead(t.Context(), client, newRequest(http.MethodPost, "k", nil, 0))
			if err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	equal(t, "idle connections before the order", client.openConnections.Load(), limit)
	order := newRequest(http.MethodPost, "order", nil, 0)
	order.AtMostOnce = true
	_, err := invokeAndRead(t.Context(), client, order)
	noError(t, err)
	if open := openDuringOrder.Load(); open < 1 || open > limit {
		t.Errorf("%d connections are open during the order, want at most %d", open, limit)
	}
}
