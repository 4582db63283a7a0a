package hemlockcall

import (
	"encoding/hex"
	"time"
)

// MaxDepth is the deepest call chain that is served; a deeper call is refused, which ends accidental call cycles.
const MaxDepth = 16

// TraceID is the W3C trace id of a customer request; the entry node mints it.
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

// Class is how requests of one kind are served, as its service file declares.
type Class struct {
	// Service is the service that the class belongs to; never empty.
	Service string
	// Name is unique within the service.
	Name string
	// Priority is the priority of a customer request that enters with this class.
	Priority Priority
	// AtMostOnce marks requests that may not be repeated: they need an idempotency key and a claim.
	AtMostOnce bool
	// Timeout is how long a caller waits for a request of this class; above zero.
	Timeout time.Duration
	// RetryBudget is the retry allowance of a whole customer request that enters with this class; zero or more.
	RetryBudget int
}

// Context is what a call carries along the chain. It is immutable; the With methods return changed copies.
type Context struct {
	// Trace identifies the customer request; it is the same on every hop.
	Trace TraceID
	// Span identifies this call within the customer request.
	Span SpanID
	// Customer is the authenticated name of the customer, or empty.
	Customer string
	// Rank orders customers of one priority; 0 is served first.
	Rank uint8
	// Priority is the priority of the customer request.
	Priority Priority
	// Remaining is the time left for this call. Clock readings are never sent between hosts.
	Remaining time.Duration
	// RetryBudget is the share of the retry allowance that this call brings along; zero or more.
	RetryBudget int
	// Depth is the number of calls above this one; 0 at the entry, at most MaxDepth.
	Depth uint8
}

// WithRemaining returns a copy with another remaining time.
func (c Context) WithRemaining(remaining time.Duration) Context {
	c.Remaining = remaining
	return c
}

// WithRetries returns a copy with another share of the retry allowance.
func (c Context) WithRetries(retries int) Context {
	c.RetryBudget = retries
	return c
}

// WithSpan returns a copy for another call of the same customer request.
func (c Context) WithSpan(span SpanID) Context {
	c.Span = span
	return c
}

// WithPriority returns a copy with another priority.
func (c Context) WithPriority(priority Priority) Context {
	c.Priority = priority
	return c
}

// Nested returns the context of a call that the request makes, one deeper.
func (c Context) Nested() Context {
	c.Depth++
	return c
}
