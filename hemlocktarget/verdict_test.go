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
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// closeSecond answers the first request of the first connection, takes the second one and closes without an answer,
// as a target that crashes does. Later connections work.
func closeSecond(target *rawTarget, n int, c net.Conn, r *bufio.Reader) {
	for served := 0; target.read(r); served++ {
		if n == 0 && served == 1 {
			return
		}
		_, _ = io.WriteString(c, okAnswer)
	}
}

// Guards against the silent repetition of a request that a target has taken. The first half shows that http.Transport
// does repeat it when it is used as it comes.
func TestRequestIsNeverRepeated(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run("plain transport "+method, func(t *testing.T) {
			target := startRawTarget(t, closeSecond)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			for _, key := range []string{"first", "second"} {
				request, err := http.NewRequest(method, "http://"+target.address+"/orders", nil)
				noError(t, err)
				request.Header.Set(HeaderIdempotencyKey, key)
				answer, err := transport.RoundTrip(request)
				noError(t, err)
				_, err = io.Copy(io.Discard, answer.Body)
				noError(t, err)
				noError(t, answer.Body.Close())
			}
			equal(t, "runs of the second request", target.runsOf("second"), 2)
		})
		t.Run("client "+method, func(t *testing.T) {
			target := startRawTarget(t, closeSecond)
			client := startClient(t, target.address)
			_, err := readWhole(context.Background(), client, newRequest(method, "first", nil, 0))
			noError(t, err)
			_, err = readWhole(context.Background(), client, newRequest(method, "second", nil, 0))
			refusedAs(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
			equal(t, "runs of the second request", target.runsOf("second"), 1)
		})
	}
}

// Guards against "not run" for a request of which the target got a part, wherever the connection breaks.
func TestBreakAfterTheFirstByteIsUnknown(t *testing.T) {
	scripts := map[string]func(*rawTarget, int, net.Conn, *bufio.Reader){
		"after the first byte": func(_ *rawTarget, _ int, _ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() },
		"after the last byte":  func(target *rawTarget, _ int, _ net.Conn, r *bufio.Reader) { target.read(r) },
		"reset": func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
			target.read(r)
			_ = c.(*net.TCPConn).SetLinger(0)
		},
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, script)
			_, err := readWhole(context.Background(), startClient(t, target.address), newRequest(http.MethodPost, "k", nil, 0))
			refusedAs(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
		})
	}
}

// Guards against "unknown" for a request of which no byte was written, which would bar an order for nothing.
func TestBeforeTheFirstByteIsNotRun(t *testing.T) {
	request := newRequest(http.MethodPost, "k", nil, 0)
	t.Run("no announcement", func(t *testing.T) {
		_, err := NewClient().Invoke(context.Background(), request)
		refusedAs(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonUnavailable)
	})
	t.Run("connection refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		noError(t, err)
		noError(t, listener.Close())
		_, err = startClient(t, listener.Addr().String()).Invoke(context.Background(), request)
		refusedAs(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonConnection)
	})
	t.Run("waiting for a connection", func(t *testing.T) {
		taken := make(chan struct{})
		target := startRawTarget(t, func(target *rawTarget, _ int, _ net.Conn, r *bufio.Reader) {
			target.read(r)
			close(taken)
			target.read(r)
		})
		client := startClient(t, target.address, WithMaxConnections(1))
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := readWhole(ctx, client, newRequest(http.MethodPost, "first", nil, 0))
			ended <- err
		}()
		receive(t, "first request", taken)
		short, stop := context.WithTimeout(context.Background(), time.Millisecond)
		defer stop()
		_, err := readWhole(short, client, request)
		refusedAs(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonDeadline)
		equal(t, "runs", target.runsOf("k"), 0)
		cancel()
		refusedAs(t, receive(t, "end of the first request", ended), hemlockcall.VerdictUnknown, hemlockcall.ReasonCancelled)
	})
}

// Guards against a cancelled or timed-out request that is reported as not run while its bytes are still being written.
// The target's own log is the judge: not run means no run, an answer means one run, unknown at most one.
func TestVerdictsAgainstTheLogOfTheTarget(t *testing.T) {
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
	answered := map[string]bool{}
	var group sync.WaitGroup
	for i := range 3000 {
		key, wait := fmt.Sprint(i), time.Duration(random.IntN(300))*time.Microsecond
		request := newRequest(http.MethodPost, key, nil, 0)
		if i%5 == 0 {
			request.Header.Set("X-Close", "1")
		}
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			_, err := readWhole(ctx, client, request)
			mutex.Lock()
			defer mutex.Unlock()
			if err == nil {
				answered[key] = true
			} else {
				verdicts[key] = hemlockcall.AsRefusal(err).Verdict
			}
		})
		if i%16 == 15 {
			group.Wait()
		}
	}
	group.Wait()
	// Close waits for requests that still run, so that the log is complete.
	server.Close()
	counts := map[hemlockcall.Verdict]int{}
	for key, verdict := range verdicts {
		counts[verdict]++
		if runs[key] > 1 || (verdict == hemlockcall.VerdictNotRun && runs[key] != 0) {
			t.Errorf("request %s: %v, but %d runs", key, verdict, runs[key])
		}
	}
	for key := range answered {
		if runs[key] != 1 {
			t.Errorf("request %s: answered, but %d runs", key, runs[key])
		}
	}
	t.Logf("answered %d, not run %d, unknown %d", len(answered), counts[hemlockcall.VerdictNotRun], counts[hemlockcall.VerdictUnknown])
}

// dyingConn accepts one byte of its second write and then fails, as a connection does whose target is gone.
type dyingConn struct {
	net.Conn
	writes int
}

func (c *dyingConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(data)
	}
	count, _ := c.Conn.Write(data[:1])
	return count, io.ErrClosedPipe
}

// Guards against "not run" and against a silent repetition when a keep-alive connection dies under a request.
func TestDyingKeepAliveConnection(t *testing.T) {
	target := startRawTarget(t, closeSecond)
	client := startClient(t, target.address, WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return &dyingConn{Conn: opened}, err
	}))
	_, err := readWhole(context.Background(), client, newRequest(http.MethodPost, "first", nil, 0))
	noError(t, err)
	_, err = readWhole(context.Background(), client, newRequest(http.MethodPost, "second", nil, 0))
	refusedAs(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonConnection)
	equal(t, "runs of the second request", target.runsOf("second"), 0)
}

// Guards against a status that means "not run" and is passed on as an answer, without the target's advice.
func TestNotRunStatus(t *testing.T) {
	target := startRawTarget(t, answering("HTTP/1.1 503 Full\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"))
	client := startClient(t, target.address, WithNotRunStatuses(func(status int) bool { return status == 503 }))
	_, err := client.Invoke(context.Background(), newRequest(http.MethodPost, "k", nil, 0))
	refusedAs(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
	equal(t, "advice", hemlockcall.AsRefusal(err).RetryAfter, 3*time.Second)
}
