package hemlockhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockhollow/hemlockcall"
)

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) {
	return 0, errors.New("the connection to the target broke")
}

func startServer(t testing.TB, version int, response func() *hemlockcall.Response) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteResponse(w, r, response())
	}))
	server.EnableHTTP2 = version == 2
	server.Config.ErrorLog = nil
	server.StartTLS()
	t.Cleanup(server.Close)
	return server
}

// Guards against a client that mistakes a truncated response for a complete one, over HTTP/1.1 and HTTP/2.
func TestClientDetectsTruncatedResponse(t *testing.T) {
	for version := 1; version <= 2; version++ {
		for name, length := range map[string]int64{"chunked": -1, "known": 5 << 20, "short": 100} {
			for _, sent := range []int{0, 10, 3 << 20} {
				if length >= 0 && int64(sent) > length {
					continue
				}
				for kind, end := range map[string]io.Reader{"error": failingReader{}, "early end": strings.NewReader("")} {
					if kind == "early end" && length < 0 {
						continue // without a length, an early end cannot be told from a regular one
					}
					t.Run(name+" "+kind, func(t *testing.T) {
						server := startServer(t, version, func() *hemlockcall.Response {
							body := io.MultiReader(bytes.NewReader(make([]byte, sent)), end)
							return &hemlockcall.Response{Status: 200, Length: length, Body: io.NopCloser(body)}
						})
						received, err := server.Client().Get(server.URL)
						if err != nil {
							return
						}
						defer func() { _ = received.Body.Close() }()
						if received.ProtoMajor != version {
							t.Fatalf("protocol %s", received.Proto)
						}
						if _, err := io.Copy(io.Discard, received.Body); err == nil {
							t.Fatal("the client mistook a truncated response for a complete one")
						}
					})
				}
			}
		}
	}
}

// Guards against an HTTP/1.0 client that mistakes a truncated response for a complete one, because the connection ends.
func TestTruncatedResponseToHTTP10Client(t *testing.T) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, "/orders", nil)
	request.ProtoMajor, request.ProtoMinor = 1, 0
	body := io.MultiReader(strings.NewReader("part"), failingReader{})
	WriteResponse(recorder, request, &hemlockcall.Response{Status: 200, Length: -1, Body: io.NopCloser(body)})
	if recorder.Code != http.StatusBadGateway || recorder.Header().Get(HeaderVerdict) != "unknown" {
		t.Fatalf("status %d, verdict %q", recorder.Code, recorder.Header().Get(HeaderVerdict))
	}
}

// Guards against a refusal whose HTTP status contradicts its verdict.
func TestRefusalStatus(t *testing.T) {
	for _, c := range []struct {
		refusal *hemlockcall.Refusal
		status  int
	}{
		{hemlockcall.Refuse(hemlockcall.ReasonOverload, ""), 503},
		{hemlockcall.Refuse(hemlockcall.ReasonDeadline, ""), 503},
		{hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, ""), 504},
		{hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, ""), 502},
		{hemlockcall.RefuseUnknown(hemlockcall.ReasonIncomplete, ""), 502},
		{hemlockcall.Refuse(hemlockcall.ReasonInvalid, ""), 400},
		{hemlockcall.Refuse(hemlockcall.ReasonNotFound, ""), 404},
	} {
		if got := RefusalStatus(c.refusal); got != c.status {
			t.Errorf("%v: status %d, want %d", c.refusal, got, c.status)
		}
	}
}

// Guards against a service name or path other than the one that the caller sent.
func FuzzSplitPath(f *testing.F) {
	f.Add("/orders/a//b")
	f.Fuzz(func(t *testing.T, path string) {
		service, rest, ok := SplitPath(path)
		if ok && "/"+service+rest != path && "/"+service != path {
			t.Fatalf("%q split into %q and %q", path, service, rest)
		}
	})
}
