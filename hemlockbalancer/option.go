package hemlockbalancer

import "time"

// Mechanism names a part of the balancer that can be disabled, for comparisons and for tests that show what the part is
// for.
type Mechanism uint8

// The mechanisms of the balancer.
const (
	// OutlierDetection marks failing and slow targets as unhealthy.
	OutlierDetection Mechanism = iota
	// EarlyShedding refuses these calls without sending them: calls below the minimum priority that the targets reported,
	// calls below a priority that was shed recently, and retries that would most likely be refused.
	EarlyShedding
	// Probing sends real requests to unhealthy targets, to detect those that were misjudged or have recovered.
	Probing

	mechanismCount
)

type settings struct {
	disabled [mechanismCount]bool
	// maxMinPriorityAge is how long the reported minimum priority of a target, the lowest one that it admits, is used. It
	// is also how long lower priorities are shed after a shed call.
	maxMinPriorityAge time.Duration
	// maxFeedbackAge is how long the feedback of a target is used, and how long a refusal counts as recent.
	maxFeedbackAge time.Duration
	// slowFactor and slowMargin define a slow target: its latency exceeds both slowFactor times the median latency of the
	// service's targets and that median plus slowMargin.
	slowFactor float64
	// slowMargin keeps noise on short calls from making a target slow.
	slowMargin time.Duration
	// overflowFraction is the fraction of sheddable calls that may leave the own zone when it is full.
	overflowFraction float64
}

func defaults() settings {
	return settings{maxMinPriorityAge: time.Second, maxFeedbackAge: time.Second, slowFactor: 3,
		slowMargin: 20 * time.Millisecond, overflowFraction: 0.1}
}

// Option changes a setting of a new Balancer.
type Option func(*settings)

// WithoutMechanisms disables mechanisms.
func WithoutMechanisms(disabled ...Mechanism) Option {
	return func(s *settings) {
		for _, m := range disabled {
			s.disabled[m] = true
		}
	}
}

// WithSlowThreshold sets when a target is slow: its latency exceeds both the factor times the median latency of the
// service's targets and that median plus the margin.
func WithSlowThreshold(factor float64, margin time.Duration) Option {
	return func(s *settings) { s.slowFactor, s.slowMargin = factor, margin }
}

// WithOverflowFraction sets the fraction of sheddable calls that may leave the own zone when it is full.
func WithOverflowFraction(fraction float64) Option {
	return func(s *settings) { s.overflowFraction = fraction }
}
