package hemlockpeer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

type invokerFunc func(context.Context, *hemlockcall.Request) (*hemlockcall.Response, error)

func (f invokerFunc) Invoke(ctx context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
	return f(ctx, r)
}

// startServer serves the handler on a loopback address until the test ends.
func startServer(t testing.TB, handler Handler, options ...Option) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	noError(t, err)
	server := NewServer(handler, append([]Option{WithLinger(0)}, options...)...)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		noError(t, <-served)
	})
	return server, listener.Addr().String()
}

func startClient(t testing.TB, options ...Option) *Client {
	t.Helper()
	client := NewClient(options...)
	t.Cleanup(client.Close)
	return client
}

func newRequest(body io.Reader, length int64) *hemlockcall.Request {
	return &hemlockcall.Request{
		Context: hemlockcall.Context{Trace: hemlockcall.TraceID{1}, Remaining: 20 * time.Second, RetryBudget: 2},
		Service: "orders", Method: http.MethodPost, Path: "/orders?x=1",
		Header: http.Header{"X-Id": {"7"}}, Body: body, Length: length,
	}
}

func newResponse(body []byte, length int64) *hemlockcall.Response {
	return &hemlockcall.Response{
		Status: http.StatusOK, Header: http.Header{}, Length: length,
		Body:     io.NopCloser(bytes.NewReader(body)),
		Feedback: func() hemlockcall.Feedback { return hemlockcall.Feedback{UnusedRetries: 1, InFlight: 3, Limit: 9} },
	}
}

// echoDigest responds with the request body, and with its digest and the request's id in the header.
func echoDigest(_ context.Context, r *hemlockcall.Request) (*hemlockcall.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, err.Error())
		}
	}
	response := newResponse(body, int64(len(body)))
	response.Header.Set("X-Id", r.Header.Get("X-Id"))
	response.Header.Set("X-Digest", digest(body))
	return response, nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// pattern returns a body that is different for every seed.
func pattern(seed, size int) []byte {
	unit := fmt.Appendf(nil, "%08d;", seed)
	return bytes.Repeat(unit, size/len(unit)+1)[:size]
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

func wantRefusal(t testing.TB, err error, verdict hemlockcall.Verdict, reason hemlockcall.Reason) {
	t.Helper()
	if err == nil {
		t.Fatalf("no refusal, want %v: %v", verdict, reason)
	}
	refusal := hemlockcall.AsRefusal(err)
	if refusal.Verdict != verdict || refusal.Reason != reason {
		t.Fatalf("got refusal %v, want %v: %v", refusal, verdict, reason)
	}
}

func waitFor[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(10 * time.Second):
		t.Fatalf("%s did not happen", what)
		panic("unreachable")
	}
}
