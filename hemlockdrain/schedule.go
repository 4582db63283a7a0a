// Package hemlockdrain decides what a process that stops as planned may still begin. It does no I/O and starts no goroutines; time
// is an argument.
package hemlockdrain

import "time"

const (
	// outlastingPeriod is how long after the start of a stop work may begin although its deadline lies behind the end of the process.
	// Callers that watch the readiness of the process have left it by then.
	outlastingPeriod = 3 * time.Second
	// deliveryTime is the time in which a response that is ready at the deadline of its work reaches the caller.
	deliveryTime = 100 * time.Millisecond
)

// Work is what is known of work that a process may begin.
type Work struct {
	// Expected is the time that the work usually takes at most; 0 means unknown.
	Expected time.Duration
	// Remaining is the time until the deadline of the work, which ends it in any case; 0 means that it has none.
	Remaining time.Duration
}

// Schedule is the timetable of one graceful stop. The zero value is not valid.
type Schedule struct {
	start time.Time
	// lastOutlasting is when the process stops to begin work whose deadline lies behind end.
	lastOutlasting time.Time
	// lastBegin is when the process stops to begin work; never after end.
	lastBegin time.Time
	// end is when the process ends, whatever is unfinished.
	end time.Time
}

// Option configures a Schedule.
type Option func(*Schedule)

// WithEarliestLastBegin makes the process begin work for at least the given time after the start of the stop, but not beyond the
// end of the process.
func WithEarliestLastBegin(after time.Duration) Option {
	return func(s *Schedule) {
		if earliest := s.start.Add(after); earliest.After(s.lastBegin) {
			s.lastBegin = earliest
		}
	}
}

// WithMargin makes the process end before the grace time does, so that it is not killed while it ends.
func WithMargin(margin time.Duration) Option {
	return func(s *Schedule) { s.end = s.end.Add(-margin) }
}

// NewSchedule returns the timetable of a stop that starts now and may take the grace time. Work is begun in the first half of it; the
// second half is for completing what was begun.
func NewSchedule(now time.Time, grace time.Duration, options ...Option) Schedule {
	s := Schedule{start: now, lastOutlasting: now.Add(outlastingPeriod), lastBegin: now.Add(grace / 2), end: now.Add(grace)}
	for _, o := range options {
		o(&s)
	}
	if s.lastBegin.After(s.end) {
		s.lastBegin = s.end
	}
	return s
}

// LastBegin returns when the process stops to begin work.
func (s Schedule) LastBegin() time.Time { return s.lastBegin }

// End returns when the process ends.
func (s Schedule) End() time.Time { return s.end }

// MayBegin reports whether work may begin: before the last begin, and if it is likely to end before the process does. After the first
// seconds of a stop, it must be certain to end, so it needs a deadline before that of the process.
func (s Schedule) MayBegin(now time.Time, work Work) bool {
	if !now.Before(s.lastBegin) || now.Add(work.Expected).After(s.end) {
		return false
	}
	endsInTime := work.Remaining > 0 && !now.Add(work.Remaining+deliveryTime).After(s.end)
	return endsInTime || now.Before(s.lastOutlasting)
}
