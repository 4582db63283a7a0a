package hemlockinflight

import (
	"errors"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
)

var start = time.UnixMilli(1_800_000_000_000)

func begin(table *Table, trace, span byte, remaining time.Duration, retries int) *Request {
	c := hemlockcall.Context{Trace: hemlockcall.TraceID{trace}, Remaining: remaining, RetryBudget: retries, Customer: "hotel"}
	return table.Begin(start, c, hemlockcall.SpanID{span}, hemlockretry.NewRequestBudget(retries), nil)
}

func finds(t *testing.T, table *Table, trace, span byte, want *Request) {
	t.Helper()
	found, ok := table.Find(hemlockcall.TraceID{trace}, hemlockcall.SpanID{span})
	if ok != (want != nil) || found != want {
		t.Fatalf("trace %d span %d: found %v, %v", trace, span, found, ok)
	}
}

func TestFind(t *testing.T) {
	t.Run("guards against a nested call matched with another request", func(t *testing.T) {
		table := New()
		long, short, other := begin(table, 1, 1, 2*time.Second, 0), begin(table, 1, 2, time.Second, 0), begin(table, 2, 1, time.Second, 0)
		finds(t, table, 1, 1, long)
		finds(t, table, 2, 9, other)
		finds(t, table, 1, 9, short) // a target's own span id gets the earliest deadline
		finds(t, table, 3, 1, nil)
		table.End(short)
		finds(t, table, 1, 2, long)
		table.End(long)
		table.End(long)
		finds(t, table, 1, 1, nil)
		if running, _ := table.Snapshot(); len(running) != 1 || len(table.traces) != 1 {
			t.Fatalf("%d running, %d traces", len(running), len(table.traces))
		}
	})
	t.Run("guards against a table without bound and against ids that are used twice", func(t *testing.T) {
		table := New(WithMaxRequests(2))
		first := begin(table, 1, 1, time.Second, 0)
		table.End(begin(table, 1, 1, time.Second, 0))
		finds(t, table, 1, 1, first)
		begin(table, 1, 2, time.Second, 0)
		begin(table, 1, 3, time.Second, 0)
		if running, counts := table.Snapshot(); len(running) != 2 || counts.Overflowed != 2 {
			t.Fatalf("%d running, %+v", len(running), counts)
		}
	})
}

// Guards against nested calls that get more time, depth or retries than the request that makes them.
func TestNested(t *testing.T) {
	table := New()
	r := begin(table, 1, 1, time.Second, 4)
	nested, share, err := r.NestedContext(start.Add(300*time.Millisecond), hemlockcall.SpanID{7})
	if err != nil || nested.Remaining != 700*time.Millisecond || nested.RetryBudget != 2 || nested.Depth != 1 || nested.Customer != "hotel" {
		t.Fatalf("%+v, %v", nested, err)
	}
	if early, _, _ := r.NestedContext(start.Add(-time.Hour), hemlockcall.SpanID{8}); early.Remaining > time.Second {
		t.Fatalf("a clock set back gave %v", early.Remaining)
	}
	_, _, err = r.NestedContext(start.Add(time.Second), hemlockcall.SpanID{9})
	var refusal *hemlockcall.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != hemlockcall.ReasonDeadline {
		t.Fatalf("past the deadline: %v", err)
	}
	if rest := table.End(r); rest != 1 {
		t.Fatalf("rest %d", rest)
	}
	share.Return(2)
	if late, _, err := r.NestedContext(start, hemlockcall.SpanID{10}); err != nil || late.RetryBudget != 0 || r.Ledger().Spend() {
		t.Fatalf("an ended request gave retries: %+v, %v", late, err)
	}
}
