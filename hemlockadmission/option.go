package hemlockadmission

import "time"

// Mechanism names a part of the controller that can be switched off, for comparisons and for tests that show what
// the part is for.
type Mechanism uint8

// The mechanisms of the controller.
const (
	// AdaptiveLimit moves the limit below the declared slots.
	AdaptiveLimit Mechanism = iota
	// PriorityOrder serves the queue by priority and rank instead of by arrival.
	PriorityOrder
	// DepthOrder serves deeper requests of one priority first.
	DepthOrder
	// Displacement lets an arriving request take the place of one that ranks below it.
	Displacement
	// PriorityHold refuses lower priorities after a higher one was refused because of load.
	PriorityHold
	// DeadlineDrop refuses requests that cannot finish in their remaining time.
	DeadlineDrop
	// ColdStart starts a cold target at a low limit.
	ColdStart
	// NestedPacing admits only as many requests of a class as its nested calls are accepted.
	NestedPacing

	mechanisms
)

type settings struct {
	queue int
	share float64 // bound of the queue as a multiple of the slots, where queue is 0
	hold  time.Duration
	cold  bool
	off   [mechanisms]bool
}

// Option changes a controller at construction.
type Option func(*settings)

// WithQueueSize sets the bound of the queue; the default is the number of slots, so that a full queue waits about one
// service time.
func WithQueueSize(tickets int) Option {
	return func(s *settings) { s.queue = tickets }
}

// WithQueueFactor sets the bound of the queue as a multiple of the slots. Calls whose refusal wastes the work of others
// are worth a longer wait.
func WithQueueFactor(share float64) Option {
	return func(s *settings) { s.share = share }
}

// WithHoldTime sets how long lower priorities are refused after a higher one was refused because of load.
func WithHoldTime(hold time.Duration) Option {
	return func(s *settings) { s.hold = hold }
}

// WithCold starts the controller at the low limit of a cold target.
func WithCold() Option {
	return func(s *settings) { s.cold = true }
}

// WithoutMechanisms switches mechanisms off.
func WithoutMechanisms(off ...Mechanism) Option {
	return func(s *settings) {
		for _, m := range off {
			s.off[m] = true
		}
	}
}
