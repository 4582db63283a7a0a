package hemlockadmission

import "time"

// Mechanism is a part of the controller that can be disabled: where another part of the system makes it unnecessary, and in
// comparisons and tests that show what it achieves.
type Mechanism uint8

// The mechanisms of the controller.
const (
	// AdaptiveLimit adapts the concurrency limit within the declared slots; without it, the limit is the slots.
	AdaptiveLimit Mechanism = iota
	// PriorityOrder uses priority, rank and latency objective in the service order of the queue.
	PriorityOrder
	// DepthOrder serves deeper requests of one priority first.
	DepthOrder
	// Displacement lets a request take the place of a queued one that comes later in the service order when the queue is full.
	Displacement
	// PriorityHold refuses lower priorities after a higher one was refused because of load.
	PriorityHold
	// LateRefusal refuses requests whose remaining time is too short for them to complete.
	LateRefusal
	// SlowStart begins with a low limit for a target that has just started or has become available again.
	SlowStart
	// NestedPacing limits the requests of a class to about as many as can complete, while many of its runs time out or have a
	// nested call refused.
	NestedPacing
	// OrganisationOrder puts organisation rank and recently received slot time into the service order, and guarantees each
	// organisation a minimum share. It has no effect on requests without an organisation while no organisation sends any.
	OrganisationOrder

	mechanismCount
)

type settings struct {
	queueSize   int
	queueFactor float64 // maximum number of queued requests as a multiple of the slots, if queueSize is 0
	holdTime    time.Duration
	slowStart   bool
	disabled    [mechanismCount]bool
}

// Option changes a controller at construction.
type Option func(*settings)

// WithQueueSize limits the number of queued requests; 0 leaves the limit to WithQueueFactor. The default is the number of
// slots, so that the wait in a full queue is about one service time.
func WithQueueSize(size int) Option {
	return func(s *settings) { s.queueSize = size }
}

// WithQueueFactor limits the number of queued requests to a multiple of the slots, unless WithQueueSize sets a limit. A
// longer wait is worthwhile for calls whose refusal wastes the work of other services.
func WithQueueFactor(factor float64) Option {
	return func(s *settings) { s.queueFactor = factor }
}

// WithHoldTime sets how long lower priorities are refused after a higher one was refused because of load. The default is 1
// s.
func WithHoldTime(holdTime time.Duration) Option {
	return func(s *settings) { s.holdTime = holdTime }
}

// WithSlowStart begins with slow start, as for a target that has just started.
func WithSlowStart() Option {
	return func(s *settings) { s.slowStart = true }
}

// WithoutMechanisms disables mechanisms.
func WithoutMechanisms(mechanisms ...Mechanism) Option {
	return func(s *settings) {
		for _, m := range mechanisms {
			s.disabled[m] = true
		}
	}
}
