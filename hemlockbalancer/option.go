package hemlockbalancer

import "time"

// Mechanism names a part of the table that can be disabled, for comparisons and for tests that show what the part is
// for.
type Mechanism uint8

// The mechanisms of the table.
const (
	// OutlierDetection picks failing and slow targets rarely and probes them with real requests.
	OutlierDetection Mechanism = iota
	// EarlyShedding refuses calls below the minimum priority that the targets reported, without sending them.
	EarlyShedding
	// Probes sends real requests to unhealthy targets, to detect those that were misjudged or have recovered.
	Probes

	mechanismCount
)

type settings struct {
	disabled [mechanismCount]bool
	// maxLevelAge is how long a reported level (the minimum priority that a target admits) is used.
	maxLevelAge time.Duration
	// maxReportAge is how long a load report is used.
	maxReportAge time.Duration
	// slowFactor is the multiple of the median latency of the service's targets above which a target is slow.
	slowFactor float64
	// slowMargin is the minimum difference of a slow target to the median latency, so that noise on short calls does not
	// count.
	slowMargin time.Duration
	// overflowFraction is the fraction of sheddable calls that may leave the own zone when it is full.
	overflowFraction float64
}

func defaults() settings {
	return settings{maxLevelAge: time.Second, maxReportAge: time.Second, slowFactor: 3, slowMargin: 20 * time.Millisecond,
		overflowFraction: 0.1}
}

// Option changes a table at construction.
type Option func(*settings)

// WithoutMechanisms disables mechanisms.
func WithoutMechanisms(disabled ...Mechanism) Option {
	return func(s *settings) {
		for _, m := range disabled {
			s.disabled[m] = true
		}
	}
}

// WithSlowThreshold sets the factor and the margin above the median latency of the service's targets beyond which a
// target counts as slow.
func WithSlowThreshold(factor float64, margin time.Duration) Option {
	return func(s *settings) { s.slowFactor, s.slowMargin = factor, margin }
}

// WithOverflowFraction sets the fraction of sheddable calls that may leave the own zone when it is full.
func WithOverflowFraction(fraction float64) Option {
	return func(s *settings) { s.overflowFraction = fraction }
}
