package hemlockbalancer

import "time"

// Mechanism names a part of the table that can be switched off, for comparisons and for tests that show what the
// part is for.
type Mechanism uint8

// The mechanisms of the table.
const (
	// OutlierDetection picks failing and slow targets rarely and probes them with real requests.
	OutlierDetection Mechanism = iota
	// EarlyShedding refuses calls below the admission level that responses reported.
	EarlyShedding
	// Probes gives real requests to targets taken for bad, so that a wrong verdict is found out.
	Probes

	mechanisms
)

type settings struct {
	off [mechanisms]bool
	// levelAge is how long a reported level counts.
	levelAge time.Duration
	// reportAge is how long a reported load counts.
	reportAge time.Duration
	// slowFactor is how many times the median latency of its peers makes a target slow.
	slowFactor float64
	// slowMargin is how far above the median latency a slow target is at least, so that noise on short calls does
	// not count.
	slowMargin time.Duration
	// overflowShare is the part of sheddable calls that may leave the zone when the own one is full.
	overflowShare float64
}

func defaults() settings {
	return settings{levelAge: time.Second, reportAge: time.Second, slowFactor: 3, slowMargin: 20 * time.Millisecond,
		overflowShare: 0.1}
}

// Option changes a table at construction.
type Option func(*settings)

// Without switches mechanisms off.
func Without(off ...Mechanism) Option {
	return func(s *settings) {
		for _, m := range off {
			s.off[m] = true
		}
	}
}

// WithSlowThreshold sets when a target counts as slow: by factor and by margin above the median latency of its peers.
func WithSlowThreshold(factor float64, margin time.Duration) Option {
	return func(s *settings) { s.slowFactor, s.slowMargin = factor, margin }
}

// WithOverflowShare sets the part of sheddable calls that may leave the zone when the own one is full.
func WithOverflowShare(share float64) Option {
	return func(s *settings) { s.overflowShare = share }
}
