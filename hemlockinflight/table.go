// Package hemlockinflight keeps a table of the requests in flight at the local target, so that a nested call that the target
// makes can be matched with the request that made it. It does no I/O.
package hemlockinflight

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
)

// defaultMaxRequests limits the number of requests in the table. The slots of a target limit the requests that run at it;
// the largest declared number of slots is 190, and a cancelled request may stay in the table for some time after its slot
// was released.
const defaultMaxRequests = 4096

// Request is one request in flight at the local target. Its exported fields never change.
type Request struct {
	// Context is the context that the request arrived with.
	Context hemlockcall.Context
	// Span is the span id that was sent to the target with the request.
	Span hemlockcall.SpanID
	// Deadline is the time from which the calling side no longer waits for the response.
	Deadline time.Time
	// Started is the time at which Begin was called.
	Started time.Time
	budget  *hemlockretry.RequestBudget
	cancel  context.CancelFunc // may be nil
	// nestedRefused is set when a nested call was refused because of load or because its deadline had expired.
	nestedRefused atomic.Bool
}

// MarkNestedRefused records that a nested call was refused because of load or because its deadline had expired. The work
// done for this request is then probably wasted.
func (r *Request) MarkNestedRefused() {
	r.nestedRefused.Store(true)
}

// NestedRefused reports whether a nested call was refused because of load or because its deadline had expired.
func (r *Request) NestedRefused() bool {
	return r.nestedRefused.Load()
}

// Cancel calls the cancel function that was passed to Begin, if any. It may be called more than once.
func (r *Request) Cancel() {
	if r.cancel != nil {
		r.cancel()
	}
}

// RetryBudget returns the retry budget of the request on this node.
func (r *Request) RetryBudget() *hemlockretry.RequestBudget {
	return r.budget
}

// NestedContext returns the context of a nested call that the request makes, with the given span id. It allocates half of
// the unused retries to the call; the returned allocation is settled by its Return or Forfeit. The remaining time is at most
// that with which the request arrived, even if the clock is set back. If the deadline has expired or the call chain is too
// deep, the error is a *hemlockcall.Refusal with the verdict not-run.
func (r *Request) NestedContext(now time.Time, span hemlockcall.SpanID) (hemlockcall.Context, *hemlockretry.Allocation, error) {
	remaining := min(r.Deadline.Sub(now), r.Context.Remaining)
	if remaining <= 0 {
		return hemlockcall.Context{}, nil, hemlockcall.Refuse(hemlockcall.ReasonDeadline, "the calling request is past its deadline")
	}
	nested := r.Context.Nested()
	if nested.Depth > hemlockcall.MaxDepth {
		return hemlockcall.Context{}, nil, hemlockcall.Refuse(hemlockcall.ReasonInvalid, "the call chain is too deep")
	}
	allocation := r.budget.AllocateHalf()
	return nested.WithSpan(span).WithRemaining(remaining).WithRetryBudget(allocation.Retries()), allocation, nil
}

type spanKey struct {
	trace hemlockcall.TraceID
	span  hemlockcall.SpanID
}

// Table holds the requests in flight by trace and span id. It is safe for concurrent use.
type Table struct {
	mutex       sync.Mutex
	maxRequests int
	bySpan      map[spanKey]*Request
	byTrace     map[hemlockcall.TraceID][]*Request
	counts      Counts
}

// Counts are the counters of a table since its construction.
type Counts struct {
	// Started counts all requests, including the overflowed ones.
	Started uint64 `json:"begun"`
	// Overflowed counts requests that were not recorded because the table was full or contained their ids already.
	Overflowed uint64 `json:"overflowed"`
	// MatchedExactly counts the nested calls that were matched by trace and span id.
	MatchedExactly uint64 `json:"exact"`
	// MatchedByTrace counts the nested calls that were matched by the trace id alone.
	MatchedByTrace uint64 `json:"by-trace"`
	// Unmatched counts the calls that match no request in the table.
	Unmatched uint64 `json:"unknown"`
}

// Option changes a Table at construction.
type Option func(*Table)

// WithMaxRequests sets the maximum number of requests in the table.
func WithMaxRequests(limit int) Option {
	return func(t *Table) { t.maxRequests = limit }
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{maxRequests: defaultMaxRequests, bySpan: map[spanKey]*Request{}, byTrace: map[hemlockcall.TraceID][]*Request{}}
	for _, option := range options {
		option(t)
	}
	return t
}

// Begin records a request that is about to be sent to the target with the given span id. cancel, which may be nil, is the
// function that Request.Cancel calls. If the table is full or contains the same ids already, the request is returned but not
// recorded. It still runs, but the calls that it makes are not matched with it.
func (t *Table) Begin(now time.Time, c hemlockcall.Context, span hemlockcall.SpanID, budget *hemlockretry.RequestBudget, cancel context.CancelFunc) *Request {
	r := &Request{Context: c, Span: span, Deadline: now.Add(c.Remaining), Started: now, budget: budget, cancel: cancel}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.counts.Started++
	key := spanKey{c.Trace, span}
	if _, exists := t.bySpan[key]; exists || len(t.bySpan) >= t.maxRequests {
		t.counts.Overflowed++
		return r
	}
	t.bySpan[key] = r
	t.byTrace[c.Trace] = append(t.byTrace[c.Trace], r)
	return r
}

// Find returns the request that made a nested call with these ids, or false if none matches. A target may create spans of
// its own, so a call with an unknown span id is matched by its trace id. If several requests of the trace are in flight, the
// one with the earliest deadline is returned, so that the call never gets more time than the request that made it has.
func (t *Table) Find(trace hemlockcall.TraceID, span hemlockcall.SpanID) (*Request, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if r, ok := t.bySpan[spanKey{trace, span}]; ok {
		t.counts.MatchedExactly++
		return r, true
	}
	var found *Request
	for _, r := range t.byTrace[trace] {
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

// End removes a request, closes its retry budget and returns the number of unused retries. A second End returns 0.
func (t *Table) End(r *Request) int {
	t.remove(r)
	return r.budget.Close()
}

func (t *Table) remove(r *Request) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := spanKey{r.Context.Trace, r.Span}
	if t.bySpan[key] != r {
		return
	}
	delete(t.bySpan, key)
	requests := t.byTrace[key.trace]
	for i := range requests {
		if requests[i] == r {
			requests = append(requests[:i], requests[i+1:]...)
			break
		}
	}
	if len(requests) == 0 {
		delete(t.byTrace, key.trace)
		return
	}
	t.byTrace[key.trace] = requests
}

// Snapshot returns the requests in flight, in no particular order, and the counters.
func (t *Table) Snapshot() ([]*Request, Counts) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	running := make([]*Request, 0, len(t.bySpan))
	for _, r := range t.bySpan {
		running = append(running, r)
	}
	return running, t.counts
}
