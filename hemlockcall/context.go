package hemlockcall

import (
	"encoding/hex"
	"time"
)

// MaxDepth is the maximum depth of a call chain. A deeper call is refused, which stops accidental call cycles.
const MaxDepth = 16

// TraceID is the W3C trace id of a customer request; the entry node generates it. A call of a target that matches no request
// in flight gets a new one.
type TraceID [16]byte

// String returns the id as lower-case hex.
func (t TraceID) String() string {
	return hex.EncodeToString(t[:])
}

// IsZero reports whether the id is unset.
func (t TraceID) IsZero() bool {
	return t == TraceID{}
}

// SpanID is the W3C span id of one call of a customer request.
type SpanID [8]byte

// String returns the id as lower-case hex.
func (s SpanID) String() string {
	return hex.EncodeToString(s[:])
}

// Class describes how requests of one kind are served, as declared in the service file.
type Class struct {
	// Service is the service that the class belongs to; never empty.
	Service string
	// Name is unique within the service.
	Name string
	// Priority is the priority of a customer request whose first call has this class. If AtMostOnce is set, it is also the
	// minimum priority of nested calls of this class.
	Priority Priority
	// AtMostOnce marks requests that must not run twice: each needs an idempotency key, which is claimed in the platform's
	// store before the request runs.
	AtMostOnce bool
	// Timeout limits how long a request of this class may take; above zero.
	Timeout time.Duration
	// RetryBudget is the number of retries that a customer request whose first call has this class may cause in all, its
	// nested calls included; zero or more.
	RetryBudget int
}

// Context is the metadata that a call carries along the call chain. It is immutable; the With methods return changed
// copies.
type Context struct {
	// Trace identifies the customer request; it is the same on every hop.
	Trace TraceID
	// Span identifies this call within the customer request.
	Span SpanID
	// Customer is the authenticated name of the customer, or empty.
	Customer string
	// Rank orders the customers within one priority and depth; 0 is served first.
	Rank uint8
	// Priority is the priority of this call: that of the customer request, or a higher one that an at-most-once class sets.
	Priority Priority
	// Remaining is the time left for this call. A duration is sent instead of a deadline, as the clocks of hosts differ.
	Remaining time.Duration
	// RetryBudget is the number of retries that are allocated to this call from the budget of the customer request; zero
	// or more.
	RetryBudget int
	// Depth is the number of calls upstream of this one in the call chain; 0 at the entry node, at most MaxDepth.
	Depth uint8
}

// WithRemaining returns a copy with the given remaining time.
func (c Context) WithRemaining(remaining time.Duration) Context {
	c.Remaining = remaining
	return c
}

// WithRetryBudget returns a copy with the given number of allocated retries.
func (c Context) WithRetryBudget(retries int) Context {
	c.RetryBudget = retries
	return c
}

// WithSpan returns a copy with the given span id, for another call of the same customer request.
func (c Context) WithSpan(span SpanID) Context {
	c.Span = span
	return c
}

// WithPriority returns a copy with the given priority.
func (c Context) WithPriority(priority Priority) Context {
	c.Priority = priority
	return c
}

// Nested returns a copy for a nested call, with the depth increased by one.
func (c Context) Nested() Context {
	c.Depth++
	return c
}
