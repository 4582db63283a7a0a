package hemlockadmission

import "time"

// Mechanism is a part of the controller that can be disabled, for comparisons and for tests that show what the part
// achieves.
type Mechanism uint8

// The mechanisms of the controller.
const (
	// AdaptiveLimit adapts the concurrency limit within the declared slots; without it, the limit is the slots.
	AdaptiveLimit Mechanism = iota
	// PriorityOrder serves the queue by priority and rank instead of by arrival.
	PriorityOrder
	// DepthOrder serves deeper requests of one priority first.
	DepthOrder
	// Displacement lets a request take the place of a queued one that comes later in the service order.
	Displacement
	// PriorityHold refuses lower priorities after a higher one was refused because of load.
	PriorityHold
	// LateRefusal refuses requests that cannot complete in their remaining time.
	LateRefusal
	// SlowStart is slow start: the limit of a target that has just started begins low.
	SlowStart
	// NestedPacing admits only about as many requests of a class as can complete while their nested calls are refused for load.
	NestedPacing

	mechanismCount
)

type settings struct {
	queueSize   int
	queueFactor float64 // limit of the queue as a multiple of the slots, if queueSize is 0
	holdTime    time.Duration
	slowStart   bool
	disabled    [mechanismCount]bool
}

// Option changes a controller at construction.
type Option func(*settings)

// WithQueueSize limits the number of queued requests. The default is the number of slots, so that the wait in a full queue
// is about one service time.
func WithQueueSize(size int) Option {
	return func(s *settings) { s.queueSize = size }
}

// WithQueueFactor limits the number of queued requests to a multiple of the slots. A longer wait is worthwhile for calls
// whose refusal wastes the work of other services.
func WithQueueFactor(factor float64) Option {
	return func(s *settings) { s.queueFactor = factor }
}

// WithHoldTime sets how long lower priorities are refused after a higher one was refused because of load.
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
