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

// Guards against a retry allowance that is lost when a nested call is refused before it is sent.
func TestRefusalBeforeSendingReturnsTheAllowance(t *testing.T) {
	c := newCluster(t)
	c.publish(ordersFile)
	n := c.node("a", nil)
	eventually(t, "the configuration", func() bool { return n.version() == 1 })
	now, ledger := time.Now(), hemlockretry.NewRequestBudget(4)
	parent := hemlockcall.Context{Trace: newTrace(), Span: newSpan(), Remaining: time.Minute}
	running := n.calls.running.Begin(now, parent, parent.Span, ledger, func() {})
	defer n.calls.running.End(running)
	for name, body := range map[string]io.Reader{
		"body too large for an order": strings.NewReader(strings.Repeat("x", readAheadSize+1)),
		"body broke off":              brokenBody("x"),
		"key of the wrong kind":       nil,
	} {
		_, err := n.calls.HandleOutgoing(t.Context(), hemlocktarget.OutgoingCall{
			Trace: parent.Trace, Span: parent.Span, Service: "orders", Method: "POST", Path: "/x",
			Header: http.Header{"Idempotency-Key": {"x"}}, Body: body, Length: -1,
		})
		if refusal := hemlockcall.AsRefusal(err); err == nil || refusal.Verdict != hemlockcall.VerdictNotRun {
			t.Errorf("%s: the call ended with %v, want a refusal as not run", name, err)
		}
		if ledger.Remaining() != 4 {
			t.Errorf("%s: %d of 4 retries are left", name, ledger.Remaining())
		}
	}
}

// Guards against an order that runs again, or whose repeat is refused as not run, because its answer was too large to
// be stored.
func TestRepeatOfOrderWithLargeAnswer(t *testing.T) {
	c := newCluster(t)
	c.publish(ordersFile)
	n := c.node("a", nil)
	large := strings.Repeat("x", 65<<10)
	target := c.target(n, "orders", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write([]byte(large))
			return
		}
		_, _ = w.Write([]byte("small"))
	})
	eventuallyServes(t, n, "POST", "/orders/small", "small")
	for path, stored := range map[string]bool{"/orders/large": false, "/orders/small": true} {
		key, before := newKey(t), target.runs.Load()
		status, first, err := send("POST", "http://"+n.callers+path, key)
		if status != http.StatusOK || err != nil {
			t.Fatalf("%s got %d %v", path, status, err)
		}
		for range 3 {
			status, text, err := send("POST", "http://"+n.callers+path, key)
			switch {
			case err != nil:
				t.Errorf("the repeat of %s got no answer: %v", path, err)
			case stored && (status != http.StatusOK || text != first):
				t.Errorf("the repeat of %s got %d and not the stored answer", path, status)
			case !stored && (status != http.StatusBadGateway || !strings.HasPrefix(text, "unknownclaimed")):
				t.Errorf("the repeat of %s got %d %s, want an unknown outcome", path, status, text)
			}
		}
		if runs := target.runs.Load() - before; runs != 1 {
			t.Errorf("%s ran %d times", path, runs)
		}
	}
}
