// Package hemlockadmission decides which requests run at a target. It has an adaptive concurrency limit, a priority queue
// and a minimum priority: after a request was refused because of load, lower priorities are refused for a hold time. It also
// limits classes of requests whose nested calls are refused because of load, and shares the slots between organisations. It
// does no I/O and starts no goroutines; time is an argument.
package hemlockadmission

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// Attributes are the properties of a request that decide on its admission.
type Attributes struct {
	// Priority is the first criterion of the service order after OrganisationRank. Among requests of one organisation rank that are
	// not guaranteed (see minServedRatio), a request never displaces a queued one of a higher priority, and runs before it only if
	// that one is a suspect that has to wait.
	Priority hemlockcall.Priority
	// Rank orders customers of one priority and depth; 0 is served first.
	Rank uint8
	// Organisation is the customer whose slot time the request uses; empty if it is not known, as for the nested calls of a run. Of
	// requests that are equal up to depth and Rank, those of the organisation that has received the least slot time recently are served
	// first. Requests without an organisation are not held back by those of organisations.
	Organisation string
	// OrganisationRank orders organisations, before the priority of their requests; 0 is served first. Requests without an organisation
	// have the rank 1, whatever this field says.
	OrganisationRank uint8
	// Depth is the number of calls upstream of this one. Deeper requests are served first because more work was done for
	// them.
	Depth uint8
	// Remaining is the time until the deadline of the request. If it is too short for the request to complete, the request
	// is refused; zero or less always is too short.
	Remaining time.Duration
	// LatencyObjective is the latency objective of the request; 0 means none. Of requests that are equal otherwise, the one whose
	// objective ends first is served first; without an objective, the time of arrival counts as its end.
	LatencyObjective time.Duration
	// Suspect marks a suspected poison request: its fingerprint was in flight when a target crashed. At most one runs at a
	// time.
	Suspect bool
	// Class groups requests with similar service times and nested calls. Requests without a class are refused as late only
	// when their deadline has expired, and NestedPacing does not apply to them.
	Class string
}

// Result is the result of a run at the target.
type Result uint8

const (
	// Completed means that the target sent a complete response.
	Completed Result = iota
	// Failed means an error of the target that does not indicate load.
	Failed
	// Shed means that the target refused the request before execution because of load.
	Shed
	// TimedOut means that the deadline expired during the run.
	TimedOut
	// Cancelled means that the calling side cancelled the request.
	Cancelled
	// NestedRefused means that a nested call was refused because of load or at its deadline, so that the work of this target
	// was wasted.
	NestedRefused
)

// Outcome describes a finished run at the target.
type Outcome struct {
	// Result is the result of the run.
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

// Ticket is a request that was offered to the controller.
type Ticket[T any] struct {
	// Value belongs to the user of the controller, which does not read it.
	Value T
	// Attributes are the attributes that were offered; they do not change.
	Attributes Attributes
	// Queued is set if Offer neither admitted nor refused the request, so that onDecided is called for it. It does not
	// change after Offer has returned.
	Queued bool

	arrival  time.Time
	deadline time.Time
	sequence uint64
	state    state
	admitted bool
	refusal  *hemlockcall.Refusal
	indexes  indexes

	organisationRank uint8 // see Attributes.OrganisationRank
	// guaranteed puts the request before all others; see minServedRatio. It does not change while the ticket is queued.
	guaranteed bool
	// account is that of the organisation; nil without one. The ticket is counted in it until it is refused or finished.
	account *account[T]
	// cost is the expected slot time. It was added to the account, as queued and then as received, at chargedAt.
	cost      time.Duration
	chargedAt time.Time
}

// Admitted reports whether the request may run. For a queued ticket it is valid from the call of onDecided on.
func (t *Ticket[T]) Admitted() bool {
	return t.admitted
}

// Refusal returns why the request may not run, or nil if it is admitted. For a queued ticket it is valid from the call of
// onDecided on.
func (t *Ticket[T]) Refusal() *hemlockcall.Refusal {
	return t.refusal
}

// heapIndexes implements element.
func (t *Ticket[T]) heapIndexes() *indexes {
	return &t.indexes
}

// ranksBefore implements element.
func (t *Ticket[T]) ranksBefore(o *Ticket[T], order serviceOrder) bool {
	if t.guaranteed != o.guaranteed {
		return t.guaranteed
	}
	if t.organisationRank != o.organisationRank {
		return t.organisationRank < o.organisationRank
	}
	if order.priority && t.Attributes.Priority != o.Attributes.Priority {
		return t.Attributes.Priority > o.Attributes.Priority
	}
	if order.depth && t.Attributes.Depth != o.Attributes.Depth {
		return t.Attributes.Depth > o.Attributes.Depth
	}
	if order.priority && t.Attributes.Rank != o.Attributes.Rank {
		return t.Attributes.Rank < o.Attributes.Rank
	}
	if t.account != o.account {
		if level, other := t.account.level(order), o.account.level(order); level != other {
			return level < other
		}
	}
	if due, other := t.due(), o.due(); order.priority && due != other {
		return due.Before(other)
	}
	return t.sequence < o.sequence
}

// due returns the time by which the request has to complete to meet its latency objective; for a request without one, its
// arrival.
func (t *Ticket[T]) due() time.Time {
	return t.arrival.Add(t.Attributes.LatencyObjective)
}
