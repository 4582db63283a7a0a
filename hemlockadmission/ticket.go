// Package hemlockadmission decides which requests run at a target: it holds an adaptive concurrency limit, a
// priority queue and the admission level. It does no I/O and starts no goroutines; time is an argument.
package hemlockadmission

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Attributes is what the controller knows about a request.
type Attributes struct {
	// Priority decides first; a lower priority never delays or displaces a higher one.
	Priority hemlockcall.Priority
	// Rank orders customers of one priority and depth; 0 is served first.
	Rank uint8
	// Depth is the number of calls above this one; deeper requests go first because work was spent on them.
	Depth uint8
	// Remaining is the time left for the request; zero or less means that it is too late.
	Remaining time.Duration
	// Objective is the latency within which an answer is worth most; 0 means unknown. Of equal requests, the one whose
	// objective ends first is served first.
	Objective time.Duration
	// Suspect marks a request that was in flight when a target died; at most one runs at a time.
	Suspect bool
	// Class tells requests apart whose service times and nested calls differ. Without it, requests are dropped only when
	// their time is over, and are not paced by their nested calls.
	Class string
}

// Result says how a run at the target ended.
type Result uint8

const (
	// Completed is a complete response.
	Completed Result = iota
	// Failed is an error of the target that says nothing about its load.
	Failed
	// Shed means that the target refused the request as not run.
	Shed
	// TimedOut means that the remaining time ran out while the target worked.
	TimedOut
	// Cancelled means that the caller gave up for a reason of its own.
	Cancelled
	// NestedRefused means that a nested call was refused for load, so that the work here was wasted.
	NestedRefused
)

// Outcome is the end of a run at the target.
type Outcome struct {
	// Result says how the run ended.
	Result Result
	// ServiceTime is the time that the target spent on the request.
	ServiceTime time.Duration
}

type state uint8

const (
	stateQueued state = iota
	stateRunning
	stateRefused
	stateFinished
)

// Ticket is one offered request.
type Ticket[T any] struct {
	// Value belongs to the caller of Offer; the controller does not look at it.
	Value T
	// Attributes is the demand that was offered; it does not change.
	Attributes Attributes
	// Queued says that the ticket was not decided at once, so that decide is called for it. It does not change after
	// Offer returned.
	Queued bool

	arrival  time.Time
	deadline time.Time
	sequence uint64
	state    state
	admitted bool
	refusal  *hemlockcall.Refusal
	best     int // position in the queue's best-first heap
	worst    int // position in the queue's worst-first heap
}

// Admitted reports whether the request may run. For a queued ticket it is valid in decide and later.
func (t *Ticket[T]) Admitted() bool {
	return t.admitted
}

// Refusal says why the request may not run, or is nil. For a queued ticket it is valid in decide and later.
func (t *Ticket[T]) Refusal() *hemlockcall.Refusal {
	return t.refusal
}

// ranksBefore reports whether t is served before o.
func (t *Ticket[T]) ranksBefore(o *Ticket[T], order order) bool {
	if order.priority && t.Attributes.Priority != o.Attributes.Priority {
		return t.Attributes.Priority > o.Attributes.Priority
	}
	if order.depth && t.Attributes.Depth != o.Attributes.Depth {
		return t.Attributes.Depth > o.Attributes.Depth
	}
	if order.priority && t.Attributes.Rank != o.Attributes.Rank {
		return t.Attributes.Rank < o.Attributes.Rank
	}
	if due, other := t.due(), o.due(); order.priority && due != other {
		return due.Before(other)
	}
	return t.sequence < o.sequence
}

// due is when the objective of the request ends. A request without an objective is due at its arrival.
func (t *Ticket[T]) due() time.Time {
	return t.arrival.Add(t.Attributes.Objective)
}
