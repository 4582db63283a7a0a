package hemlocktarget

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"hemlockhollow/hemlockcall"
)

// Guards against announcements, drain notices and outgoing calls of the target that are lost, changed or passed to the wrong
// handler.
func TestServer(t *testing.T) {
	announced, drained := make(chan Announcement, 1), make(chan struct{}, 1)
	calls := make(chan OutgoingCall, 1)
	handler := NewServer(Handlers{
		Announce: func(a Announcement) error { announced <- a; return nil },
		Drain:    func() { drained <- struct{}{} },
		Outgoing: func(_ context.Context, call OutgoingCall) (*hemlockcall.Response, error) {
			calls <- call
			return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "full")
		},
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	post := func(path, body string) (status int, header http.Header, text []byte) {
		request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
		noError(t, err)
		request.Header.Set("Traceparent", "00-01000000000000000000000000000000-0200000000000000-01")
		request.Header.Set(HeaderIdempotencyKey, "k")
		response, err := server.Client().Do(request)
		noError(t, err)
		defer func() { _ = response.Body.Close() }()
		text, err = io.ReadAll(response.Body)
		noError(t, err)
		return response.StatusCode, response.Header, text
	}
	postStatus := func(path, body string) int {
		status, _, _ := post(path, body)
		return status
	}
	equal(t, "status", postStatus("/announce", `{"service":"orders","slots":140,"address":"127.0.0.1:9"}`), 204)
	equal(t, "announcement", receive(t, "announcement", announced), Announcement{Service: "orders", Slots: 140, Address: "127.0.0.1:9"})
	for _, invalid := range []string{"", `{"service":"orders"}`, `{"service":"o","slots":0,"address":"a:1"}`, `{"slots":1,"x":2}`} {
		equal(t, "status of "+invalid, postStatus("/announce", invalid), 400)
	}
	equal(t, "status", postStatus("/drain", ""), 204)
	receive(t, "drain", drained)
	status, header, text := post("/catalogue//a%2Fb/../c?x=1", "body")
	equal(t, "status", status, 503)
	equal(t, "verdict", header.Get("Hemlock-Verdict"), "not-run")
	var refusal map[string]string
	noError(t, json.Unmarshal(text, &refusal))
	equal(t, "reason", refusal["reason"], "overload")
	call := receive(t, "call", calls)
	equal(t, "service", call.Service, "catalogue")
	equal(t, "path", call.Path, "//a%2Fb/../c?x=1")
	equal(t, "trace", call.Trace, hemlockcall.TraceID{1})
	equal(t, "span", call.Span, hemlockcall.SpanID{2})
	equal(t, "idempotency key", call.IdempotencyKey, "k")
}

// Guards against a panic and against values out of range in the announcement of a target.
func FuzzAnnouncement(f *testing.F) {
	f.Add(`{"service":"orders","slots":140,"address":"127.0.0.1:9"}`)
	f.Fuzz(func(t *testing.T, text string) {
		announcement, err := readAnnouncement(io.NopCloser(strings.NewReader(text)))
		if err == nil && (announcement.Service == "" || announcement.Slots < 1 || announcement.Slots > maxSlots) {
			t.Fatalf("accepted %+v, want an error", announcement)
		}
	})
}
