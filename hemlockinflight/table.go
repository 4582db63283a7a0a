// Package hemlockinflight holds the requests that run at the local target, so that a call that the target makes is
// matched with the request that it serves. It does no I/O.
package hemlockinflight

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
)

// defaultSize bounds the table. The slots of a target bound the requests that run at it; the largest declared number
// is 190, and cancelled requests may stay a while after their slot was given up.
const defaultSize = 4096

// Request is one request that runs at the local target. Its exported fields never change.
type Request struct {
	// Context is the context that the call brought.
	Context hemlockcall.Context
	// Span is the span id that the target was given with the request.
	Span hemlockcall.SpanID
	// Deadline is the time after which nobody waits for the answer.
	Deadline time.Time
	// Started is the time of Begin.
	Started time.Time
	ledger  *hemlockretry.RequestBudget
	cancel  context.CancelFunc
	// nestedShed is set when a nested call was refused for load or at its deadline.
	nestedShed atomic.Bool
}

// MarkNestedShed records that a nested call was refused for load, so that the work of this request is probably wasted.
func (r *Request) MarkNestedShed() {
	r.nestedShed.Store(true)
}

// NestedShed reports whether a nested call was refused for load.
func (r *Request) NestedShed() bool {
	return r.nestedShed.Load()
}

// Cancel ends the request and the calls below it. It may be called more than once.
func (r *Request) Cancel() {
	if r.cancel != nil {
		r.cancel()
	}
}

// Ledger returns the retry allowance of the request on this node.
func (r *Request) Ledger() *hemlockretry.RequestBudget {
	return r.ledger
}

// NestedContext returns the context of a call that the request makes, and the share of the retry allowance that it carries.
// The remaining time is at most that of the request. The error is always a *hemlockcall.Refusal as not run: the time
// is over or the chain is too deep.
func (r *Request) NestedContext(now time.Time, span hemlockcall.SpanID) (hemlockcall.Context, *hemlockretry.Allocation, error) {
	remaining := min(r.Deadline.Sub(now), r.Context.Remaining)
	if remaining <= 0 {
		return hemlockcall.Context{}, nil, hemlockcall.Refuse(hemlockcall.ReasonDeadline, "the calling request is past its deadline")
	}
	nested := r.Context.Nested()
	if nested.Depth > hemlockcall.MaxDepth {
		return hemlockcall.Context{}, nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, "the call chain is too deep")
	}
	share := r.ledger.AllocateHalf()
	return nested.WithSpan(span).WithRemaining(remaining).WithRetries(share.Attempts()), share, nil
}

type spanKey struct {
	trace hemlockcall.TraceID
	span  hemlockcall.SpanID
}

// Table holds the running requests by trace and span id. It is safe for concurrent use.
type Table struct {
	mutex  sync.Mutex
	size   int
	spans  map[spanKey]*Request
	traces map[hemlockcall.TraceID][]*Request
	counts Counts
}

// Counts are the counters of a table since its start.
type Counts struct {
	// Started counts all requests.
	Started uint64 `json:"begun"`
	// Overflowed counts requests that were not entered because the table was full.
	Overflowed uint64 `json:"overflowed"`
	// MatchedExactly and ByTrace count calls matched by both ids and by the trace id alone; Unknown counts unmatched calls.
	MatchedExactly uint64 `json:"exact"`
	MatchedByTrace uint64 `json:"by-trace"`
	Unmatched      uint64 `json:"unknown"`
}

// Option changes a Table.
type Option func(*Table)

// WithMaxRequests sets the largest number of running requests.
func WithMaxRequests(size int) Option {
	return func(t *Table) { t.size = size }
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{size: defaultSize, spans: map[spanKey]*Request{}, traces: map[hemlockcall.TraceID][]*Request{}}
	for _, option := range options {
		option(t)
	}
	return t
}

// Begin enters a request that is about to be sent to the target with the given span id. When the table is full or the
// same ids are running already, the request is not entered: it runs, but the calls that it makes are not matched.
func (t *Table) Begin(now time.Time, c hemlockcall.Context, span hemlockcall.SpanID, ledger *hemlockretry.RequestBudget, cancel context.CancelFunc) *Request {
	r := &Request{Context: c, Span: span, Deadline: now.Add(c.Remaining), Started: now, ledger: ledger, cancel: cancel}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Started++
	key := spanKey{c.Trace, span}
	if _, taken := t.spans[key]; taken || len(t.spans) >= t.size {
		t.counts.Overflowed++
		return r
	}
	t.spans[key] = r
	t.traces[c.Trace] = append(t.traces[c.Trace], r)
	return r
}

// Find returns the request that made a call with these ids. A target may make span ids of its own; then the trace id
// decides. If several requests of the trace run, the one with the earliest deadline is returned, so that the call
// never gets more time than its true parent has.
func (t *Table) Find(trace hemlockcall.TraceID, span hemlockcall.SpanID) (*Request, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.spans[spanKey{trace, span}]; ok {
		t.counts.MatchedExactly++
		return r, true
	}
	var found *Request
	for _, r := range t.traces[trace] {
		if found == nil || r.Deadline.Before(found.Deadline) {
			found = r
		}
	}
	if found == nil {
		t.counts.Unmatched++
		return nil, false
	}
	t.counts.MatchedByTrace++
	return found, true
}

// End removes a request, closes its ledger and returns the unused rest of its retry allowance. A second End returns 0.
func (t *Table) End(r *Request) int {
	t.remove(r)
	return r.ledger.Close()
}

func (t *Table) remove(r *Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := spanKey{r.Context.Trace, r.Span}
	if t.spans[key] != r {
		return
	}
	delete(t.spans, key)
	rest := t.traces[key.trace]
	for i := range rest {
		if rest[i] == r {
			rest = append(rest[:i], rest[i+1:]...)
			break
		}
	}
	if len(rest) == 0 {
		delete(t.traces, key.trace)
		return
	}
	t.traces[key.trace] = rest
}

// Snapshot returns the running requests in no particular order, and the counters.
func (t *Table) Snapshot() ([]*Request, Counts) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running := make([]*Request, 0, len(t.spans))
	for _, r := range t.spans {
		running = append(running, r)
	}
	return running, t.counts
}
