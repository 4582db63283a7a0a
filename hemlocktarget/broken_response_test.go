package hemlocktarget

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/standin/response"
)

const soundBody = "0123456789"

// respondOnce returns a script that sends a raw response to the first request of each connection and no more after it.
func respondOnce(text string) func(*rawTarget, int, net.Conn, *bufio.Reader) {
	return func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
		if !target.readRequest(r) {
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r)
	}
}

// wantNoResponse checks that a request to a target that sends the text has an unknown outcome.
func wantNoResponse(t *testing.T, text string, options ...Option) {
	t.Helper()
	target := startRawTarget(t, respondOnce(text))
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	body, err := invokeAndRead(ctx, startClient(t, target.address, options...), newRequest(http.MethodPost, "k", nil, 0))
	if err == nil {
		t.Fatalf("body %q, want no response", body)
	}
	equal(t, "verdict", hemlockcall.AsRefusal(err).Verdict, hemlockcall.VerdictUnknown)
	equal(t, "requests received", target.requestCount("k"), 1)
}

func brokenResponses() []response.Response {
	return slices.Concat(response.BrokenHeads("X-Id: 1\r\n", soundBody), response.BrokenBodies("X-Id: 1\r\n", soundBody))
}

// Guards against a response that breaks the protocol and is passed on.
func TestBrokenResponseIsNoResponse(t *testing.T) {
	for _, b := range brokenResponses() {
		t.Run(b.Name, func(t *testing.T) {
			t.Parallel()
			wantNoResponse(t, b.Text)
		})
	}
}

// Guards against a refusal that is believed although the response that states it breaks the protocol or is cut off.
func TestBrokenRefusalIsNotBelieved(t *testing.T) {
	refused := WithNotRunStatuses(func(status int) bool { return status == http.StatusServiceUnavailable })
	for _, b := range brokenResponses() {
		if text := strings.Replace(b.Text, " 200 ", " 503 ", 1); text != b.Text {
			t.Run(b.Name, func(t *testing.T) {
				t.Parallel()
				wantNoResponse(t, text, refused)
			})
		}
	}
	head := "HTTP/1.1 503 X\r\n"
	for name, text := range map[string]string{
		"short body":        head + "Content-Length: 10\r\n\r\nshort",
		"short long body":   head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000),
		"no last chunk":     head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"a body too long":   head + "Content-Length: 3000000\r\n\r\n" + strings.Repeat("x", 3_000_000),
		"a broken interim":  "HTTP/1.1 000 X\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"two blank lengths": head + "Content-Length : 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			wantNoResponse(t, text, refused)
		})
	}
}

// Guards against a sound refusal whose verdict is lost, which would prevent the retry of an at-most-once request for no reason.
func TestSoundRefusalIsBelieved(t *testing.T) {
	head := "HTTP/1.1 503 X\r\n"
	for name, text := range map[string]string{
		"empty":            head + "Content-Length: 0\r\n\r\n",
		"a body":           head + "Content-Length: 5\r\n\r\nshort",
		"a long body":      head + "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		"chunks":           head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n\r\n",
		"without a length": head + "\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, respondOnce(text))
			client := startClient(t, target.address, WithNotRunStatuses(func(status int) bool { return status == http.StatusServiceUnavailable }))
			_, err := client.Invoke(t.Context(), newRequest(http.MethodPost, "k", nil, 0))
			checkRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonOverload)
		})
	}
}

// Guards against a sound response that is refused as broken. Responses without a length are refused, as a truncated one looks complete.
func TestSoundResponsesPass(t *testing.T) {
	for _, s := range response.Sound("X-Id: 1\r\n", soundBody) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			if s.Unframed {
				wantNoResponse(t, s.Text)
				return
			}
			target := startRawTarget(t, respondOnce(s.Text))
			got, err := startClient(t, target.address).Invoke(t.Context(), newRequest(http.MethodPost, "k", nil, 0))
			noError(t, err)
			body, err := io.ReadAll(got.Body)
			noError(t, err)
			equal(t, "status", got.Status, s.Status)
			equal(t, "body", string(body), s.Body)
		})
	}
}

// Guards against a reused connection on which the framing of the previous response is applied to the next one.
func TestSoundResponsesOnOneConnection(t *testing.T) {
	var framed []response.Response
	for _, s := range response.Sound("X-Id: 1\r\n", soundBody) {
		if !s.Unframed && !strings.Contains(s.Text, "Connection: close") && !strings.HasPrefix(s.Text, "HTTP/1.0") {
			framed = append(framed, s)
		}
	}
	connections := 0
	target := startRawTarget(t, func(target *rawTarget, n int, c net.Conn, r *bufio.Reader) {
		connections = n + 1
		for _, s := range framed {
			if !target.readRequest(r) {
				return
			}
			_, _ = io.WriteString(c, s.Text)
		}
	})
	client := startClient(t, target.address)
	for _, s := range framed {
		body, err := invokeAndRead(t.Context(), client, newRequest(http.MethodPost, "k", nil, 0))
		if err != nil || string(body) != s.Body {
			t.Errorf("%s: body %q, error %v; want body %q", s.Name, body, err, s.Body)
		}
	}
	equal(t, "connections", connections, 1)
}

// Guards against a part of a response that counts as whole, or as a refusal, because the connection was reset while the request was being
// written.
func TestResetDuringUploadIsNoResponse(t *testing.T) {
	const calls = 20
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 503 X\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\n"} {
		for _, bytes := range []int{40 << 10, 1 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%d bytes, %q", bytes, head), func(t *testing.T) {
				target := startRawTarget(t, func(_ *rawTarget, n int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, head+soundBody)
					time.Sleep(time.Duration(n%3) * 100 * time.Microsecond) // so that the client has read the part, or not
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				client := startClient(t, target.address, WithNotRunStatuses(func(status int) bool { return status == http.StatusServiceUnavailable }))
				for range calls {
					_, err := invokeAndRead(t.Context(), client, newRequest(http.MethodPost, "k", strings.NewReader(strings.Repeat("x", bytes)), int64(bytes)))
					if err == nil {
						t.Fatal("the part counts as a whole response")
					}
					equal(t, "verdict", hemlockcall.AsRefusal(err).Verdict, hemlockcall.VerdictUnknown)
				}
			})
		}
	}
}

// Guards against the heads of many responses at once, which are each within their limit and together exhaust the memory of the process.
func TestManyHeadsShareMemory(t *testing.T) {
	const calls, headBytes, limit = 300, 60 << 10, 8 << 20
	var lines strings.Builder
	for i := 0; lines.Len() < headBytes; i++ {
		_, _ = fmt.Fprintf(&lines, "x%d:\r\n", i)
	}
	target := startRawTarget(t, func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
		if target.readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+lines.String())
			_, _ = io.Copy(io.Discard, r)
		}
	})
	client := startClient(t, target.address, WithHeadMemory(limit))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	before := liveBytes()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			_, err := invokeAndRead(ctx, client, newRequest(http.MethodPost, "k", nil, 0))
			if err == nil {
				t.Error("a call returned no error, want a refusal")
			}
		})
	}
	waitUntil(t, "all requests received", func() bool { return target.requestCount("k") == calls })
	time.Sleep(300 * time.Millisecond) // the clients read what the target has sent
	if held := liveBytes() - before; held > 3*limit {
		t.Errorf("%d heads that stalled hold %d bytes, want at most %d", calls, held, 3*limit)
	}
	cancel()
	group.Wait()
	waitUntil(t, "all memory released", func() bool { return client.headMemory.Snapshot().Used == 0 })
}

// Guards against the bodies of many responses at once that never end, which are each within their limit and together exhaust the memory of the
// process.
func TestManyBodiesShareMemory(t *testing.T) {
	const calls, bodyBytes, limit = 300, 1_000_000, 16 << 20
	for name, head := range map[string]string{
		"chunks":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", bodyBytes+1),
		"a length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodyBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
				if target.readRequest(r) {
					_, _ = io.WriteString(c, head+strings.Repeat("x", bodyBytes))
					_, _ = io.Copy(io.Discard, r)
				}
			})
			client := startClient(t, target.address, WithBodyMemory(limit))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			before := liveBytes()
			var group sync.WaitGroup
			for range calls {
				group.Go(func() {
					_, err := invokeAndRead(ctx, client, newRequest(http.MethodPost, "k", nil, 0))
					if err == nil || hemlockcall.AsRefusal(err).Verdict != hemlockcall.VerdictUnknown {
						t.Errorf("error %v, want an unknown outcome", err)
					}
				})
			}
			waitUntil(t, "all requests received", func() bool { return target.requestCount("k") == calls })
			time.Sleep(500 * time.Millisecond) // the client reads what the target has sent
			if held := liveBytes() - before; held > 3*limit {
				t.Errorf("%d bodies that stalled hold %d bytes, want at most %d", calls, held, 3*limit)
			}
			cancel()
			group.Wait()
			waitUntil(t, "all memory released", func() bool { return client.bodyMemory.Snapshot().Used == 0 })
		})
	}
}

// liveBytes returns the bytes of the live objects on the heap.
func liveBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}
