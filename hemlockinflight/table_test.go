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

func checkFind(t *testing.T, table *Table, trace, span byte, want *Request) {
	t.Helper()
	found, ok := table.Find(hemlockcall.TraceID{trace}, hemlockcall.SpanID{span})
	if ok != (want != nil) || found != want {
		t.Fatalf("trace %d, span %d: found the wrong request: %v, %v", trace, span, found, ok)
	}
}

func TestFind(t *testing.T) {
	t.Run("guards against a nested call that is matched with the wrong request", func(t *testing.T) {
		table := New()
		long, short, other := begin(table, 1, 1, 2*time.Second, 0), begin(table, 1, 2, time.Second, 0), begin(table, 2, 1, time.Second, 0)
		checkFind(t, table, 1, 1, long)
		checkFind(t, table, 2, 9, other)
		checkFind(t, table, 1, 9, short) // for an unknown span id, the request of the trace with the earliest deadline
		checkFind(t, table, 3, 1, nil)
		table.End(short)
		checkFind(t, table, 1, 2, long)
		table.End(long)
		table.End(long)
		checkFind(t, table, 1, 1, nil)
		if running, _ := table.Snapshot(); len(running) != 1 || len(table.byTrace) != 1 {
			t.Fatalf("%d requests in flight and %d traces in the table, want 1 of each", len(running), len(table.byTrace))
		}
	})
	t.Run("guards against an unbounded table and against duplicate ids", func(t *testing.T) {
		table := New(WithMaxRequests(2))
		first := begin(table, 1, 1, time.Second, 0)
		table.End(begin(table, 1, 1, time.Second, 0))
		checkFind(t, table, 1, 1, first)
		begin(table, 1, 2, time.Second, 0)
		begin(table, 1, 3, time.Second, 0)
		if running, counts := table.Snapshot(); len(running) != 2 || counts.Overflowed != 2 {
			t.Fatalf("%d requests in flight, want 2; counts %+v, want 2 overflowed", len(running), counts)
		}
	})
}

// Guards against nested calls that get more time, depth or retries than the request that makes them allows.
func TestNestedContext(t *testing.T) {
	table := New()
	r := begin(table, 1, 1, time.Second, 4)
	nested, allocation, err := r.NestedContext(start.Add(300*time.Millisecond), hemlockcall.SpanID{7})
	if err != nil || nested.Remaining != 700*time.Millisecond || nested.RetryBudget != 2 || nested.Depth != 1 || nested.Customer != "hotel" {
		t.Fatalf("nested context %+v, error %v; want 700 ms, 2 retries, depth 1 and the customer hotel", nested, err)
	}
	if setBack, _, _ := r.NestedContext(start.Add(-time.Hour), hemlockcall.SpanID{8}); setBack.Remaining > time.Second {
		t.Fatalf("after the clock was set back, the remaining time is %v, want at most 1 s", setBack.Remaining)
	}
	_, _, err = r.NestedContext(start.Add(time.Second), hemlockcall.SpanID{9})
	var refusal *hemlockcall.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != hemlockcall.ReasonDeadline {
		t.Fatalf("after the deadline: error %v, want a refusal with the reason deadline", err)
	}
	if unused := table.End(r); unused != 1 {
		t.Fatalf("%d unused retries, want 1", unused)
	}
	allocation.Return(2)
	if late, _, err := r.NestedContext(start, hemlockcall.SpanID{10}); err != nil || late.RetryBudget != 0 || r.RetryBudget().Spend() {
		t.Fatalf("a request that has ended allocated retries: %+v, %v", late, err)
	}
}
