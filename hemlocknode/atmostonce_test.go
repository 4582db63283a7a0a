package hemlocknode

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocktarget"
)

// Guards against a retry budget that shrinks when a nested call is refused before it is sent.
func TestRefusalBeforeSendingReturnsRetries(t *testing.T) {
	c := newCluster(t)
	c.publish(ordersFile)
	n := c.startNode("a", nil)
	eventually(t, "the node has the configuration", func() bool { return n.version() == 1 })
	now, budget := time.Now(), hemlockretry.NewRequestBudget(4)
	parent := hemlockcall.Context{Trace: newTrace(), Span: newSpan(), Remaining: time.Minute}
	running := n.calls.inFlight.Begin(now, parent, parent.Span, budget, func() {})
	defer n.calls.inFlight.End(running)
	for name, body := range map[string]io.Reader{
		"body too large for an order": strings.NewReader(strings.Repeat("x", readAheadSize+1)),
		"truncated body":              truncatedBody("x"),
		"key that is no UUID":         nil,
	} {
		_, err := n.calls.HandleOutgoing(t.Context(), hemlocktarget.OutgoingCall{
			Trace: parent.Trace, Span: parent.Span, Service: "orders", Method: "POST", Path: "/x",
			Header: http.Header{"Idempotency-Key": {"x"}}, Body: body, Length: -1,
		})
		if refusal := hemlockcall.AsRefusal(err); err == nil || refusal.Verdict != hemlockcall.VerdictNotRun {
			t.Errorf("%s: the call ended with %v, want a refusal with verdict not-run", name, err)
		}
		if budget.Remaining() != 4 {
			t.Errorf("%s: %d of 4 retries remain, want all", name, budget.Remaining())
		}
	}
}

// Guards against an order that is run again, or whose retry is refused with the verdict not-run, because its response was
// too large to be stored.
func TestRetriedOrderWithLargeResponse(t *testing.T) {
	c := newCluster(t)
	c.publish(ordersFile)
	n := c.startNode("a", nil)
	large := strings.Repeat("x", 65<<10)
	target := c.startTarget(n, "orders", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write([]byte(large))
			return
		}
		_, _ = w.Write([]byte("small"))
	})
	eventuallyServes(t, n, "POST", "/orders/small", "small")
	for path, stored := range map[string]bool{"/orders/large": false, "/orders/small": true} {
		header, before := newKey(t), target.runs.Load()
		status, first, err := send("POST", "http://"+n.callersAddress+path, header)
		if status != http.StatusOK || err != nil {
			t.Fatalf("%s got status %d, error %v; want status 200 and no error", path, status, err)
		}
		for range 3 {
			status, text, err := send("POST", "http://"+n.callersAddress+path, header)
			switch {
			case err != nil:
				t.Errorf("the retry of %s got no response: %v", path, err)
			case stored && (status != http.StatusOK || text != first):
				t.Errorf("the retry of %s got status %d or another body, want the stored response", path, status)
			case !stored && (status != http.StatusBadGateway || !strings.HasPrefix(text, "unknownclaimed")):
				t.Errorf("the retry of %s got status %d, content %s; want status 502, verdict unknown and reason claimed", path, status, text)
			}
		}
		if runs := target.runs.Load() - before; runs != 1 {
			t.Errorf("%s ran %d times, want once", path, runs)
		}
	}
}
