package hemlocktarget

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// rawTarget is a target whose connections are served by a script. Verdicts are checked against the requests that it
// received.
type rawTarget struct {
	address string
	mutex   sync.Mutex
	// requests counts the complete requests received for each idempotency key.
	requests map[string]int
}

// startRawTarget runs the script on every connection; n is the index of the connection, from 0.
func startRawTarget(t testing.TB, script func(target *rawTarget, n int, c net.Conn, r *bufio.Reader)) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	target := &rawTarget{address: listener.Addr().String(), requests: make(map[string]int)}
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = listener.Close()
		group.Wait()
	})
	group.Go(func() {
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer func() { _ = c.Close() }()
				script(target, n, c, bufio.NewReader(c))
			})
		}
	})
	return target
}

// readRequest reads a complete request and counts it by its idempotency key. It returns false if the connection ends before
// that.
func (t *rawTarget) readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests[request.Header.Get(HeaderIdempotencyKey)]++
	return true
}

func (t *rawTarget) requestCount(key string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.requests[key]
}

// respondWith returns a script that sends the same raw response to the first request of each connection.
func respondWith(response string) func(*rawTarget, int, net.Conn, *bufio.Reader) {
	return func(target *rawTarget, _ int, c net.Conn, r *bufio.Reader) {
		if target.readRequest(r) {
			_, _ = io.WriteString(c, response)
		}
	}
}

func startClient(t testing.TB, address string, options ...Option) *Client {
	t.Helper()
	client := NewClient(options...)
	client.SetAddress(address)
	t.Cleanup(client.Close)
	return client
}

func newRequest(method, key string, body io.Reader, length int64) *hemlockcall.Request {
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	return &hemlockcall.Request{
		Context: hemlockcall.Context{Trace: hemlockcall.TraceID{1}, Span: hemlockcall.SpanID{2}},
		Service: "orders", Method: method, Path: "/orders", Header: header, Body: body, Length: length,
	}
}

// invokeAndRead sends a request and reads its response; no error means that the caller considers the response complete.
func invokeAndRead(ctx context.Context, client hemlockcall.Invoker, request *hemlockcall.Request) ([]byte, error) {
	response, err := client.Invoke(ctx, request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

func noError(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatalf("unexpected error: %v", err)
	}
}

func equal[T comparable](t testing.TB, what string, got, want T) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func checkRefusal(t testing.TB, err error, verdict hemlockcall.Verdict, reason hemlockcall.Reason) {
	t.Helper()
	if err == nil {
		t.Fatalf("no refusal, want %v: %v", verdict, reason)
	}
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict != verdict || refusal.Reason != reason {
		t.Fatalf("got refusal %v, want %v: %v", refusal, verdict, reason)
	}
}

func receive[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: not received within 10 s", what)
		panic("unreachable")
	}
}
