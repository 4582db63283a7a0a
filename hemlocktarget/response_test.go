package hemlocktarget

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against a truncated response of the target that looks complete to the caller, whether it is buffered or
// streamed.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	for name, raw := range map[string]string{
		"no response":               "",
		"truncated head":            "HTTP/1.1 200 OK\r\nContent-Le",
		"short body":                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"short long body":           "HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + long,
		"truncated chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nshort",
		"missing last chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"missing last chunk, long":  fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(long), long),
		"malformed chunk":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nshort\r\n0\r\n\r\n",
		"without framing":           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nshort",
		"HTTP/1.0, without framing": "HTTP/1.0 200 OK\r\n\r\nshort",
	} {
		t.Run(name, func(t *testing.T) {
			target := startRawTarget(t, respondWith(raw))
			_, err := invokeAndRead(context.Background(), startClient(t, target.address), newRequest(http.MethodPost, "k", nil, 0))
			if err == nil {
				t.Fatal("the response looks complete, want a refusal")
			}
			equal(t, "verdict", hemlockcall.AsRefusal(err).Verdict, hemlockcall.VerdictUnknown)
			equal(t, "requests received", target.requestCount("k"), 1)
		})
	}
}

// Guards against lost headers, such as the idempotency key of an at-most-once request, and against headers that are passed
// on although they must not be: hop-by-hop headers, a verdict header in the target's response, and the trace context of the
// incoming request.
func TestHeaders(t *testing.T) {
	got := make(chan http.Header, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Hemlock-Verdict", "not-run")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
	}))
	defer server.Close()
	request := newRequest(http.MethodPost, "k", nil, 0)
	request.Header.Set("Traceparent", "00-ffffffffffffffffffffffffffffffff-ffffffffffffffff-01")
	request.Header.Set("Te", "trailers")
	response, err := startClient(t, server.Listener.Addr().String()).Invoke(context.Background(), request)
	noError(t, err)
	header := receive(t, "request", got)
	equal(t, "idempotency key", header.Get(HeaderIdempotencyKey), "k")
	equal(t, "trace", header.Get("Traceparent"), "00-01000000000000000000000000000000-0200000000000000-01")
	equal(t, "hop-by-hop header of the request", header.Get("Te"), "")
	equal(t, "verdict", response.Header.Get("Hemlock-Verdict"), "")
	equal(t, "hop-by-hop header of the response", response.Header.Get("X-Hop"), "")
	equal(t, "end-to-end header of the response", response.Header.Get("X-End"), "1")
}

// Guards against a request that occupies its slot while its body does not arrive.
func TestStalledRequestBodyAbortsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		client := startClient(t, "target:80", WithDial(func(context.Context, string, string) (net.Conn, error) {
			return near, nil
		}))
		go func() { _, _ = io.Copy(io.Discard, far) }()
		body, writer := io.Pipe()
		started := time.Now()
		_, err := client.Invoke(context.Background(), newRequest(http.MethodPut, "", io.MultiReader(strings.NewReader("start"), body), -1))
		checkRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonIncomplete)
		equal(t, "time until the abort", time.Since(started), 2*time.Second)
		_ = writer.Close()
		_ = far.Close()
		synctest.Wait()
	})
}
