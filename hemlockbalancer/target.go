// Package hemlockbalancer picks the target of each call: the less loaded of two random targets of the own zone, with
// outlier handling and a bounded overflow to other zones. It does no I/O; time and randomness are arguments.
package hemlockbalancer

import (
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind says why no target was picked.
type Kind string

const (
	// KindNoTarget means that no ready target is left that was not tried.
	KindNoTarget Kind = "no-target"
	// KindShed means that every target refuses the priority at the moment.
	KindShed Kind = "shed"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Outcome says how a call ended.
type Outcome uint8

const (
	// Completed is a complete response.
	Completed Outcome = iota
	// Refused means that the target's node refused the call because of load or deadline.
	Refused
	// Failed means that the connection failed or the target broke off.
	Failed
	// TimedOut means that the remaining time ran out before the response.
	TimedOut
	// Cancelled means that the caller gave up; it says nothing about the target.
	Cancelled
	// Leaving means that the target refused because it stops; it gets no new calls until it is announced as ready.
	Leaving
)

// Result is the end of a call.
type Result struct {
	// Outcome says how the call ended.
	Outcome Outcome
	// Latency is the time from the pick to the end.
	Latency time.Duration
	// Feedback is what the target's node reported; its Limit is 0 when there was no report.
	Feedback hemlockcall.Feedback
}

// entry is the state of one target. All fields are guarded by the table's mutex.
type entry struct {
	target   hemlockcall.Target
	inFlight int // calls of this node that are not done
	leaving  bool

	reported   hemlockcall.Feedback
	reportedAt time.Time // zero when nothing was reported
	refusedAt  time.Time // when it last refused a call because of load; zero for never

	latency  time.Duration // moving mean over completed and timed-out calls; 0 means unknown
	samples  int
	failures int // failed calls since the last completed one

	bad     bool
	probeAt time.Time     // when a bad target gets its next real request
	wait    time.Duration // pause before the next probe of a bad target
	probing bool          // a probe is in flight
}

// load is the share of the target's limit that is taken, by the local count and the last report.
func (e *entry) load(now time.Time, reportAge time.Duration) float64 {
	limit, taken := e.target.Slots, e.inFlight
	if e.reported.Limit > 0 && now.Sub(e.reportedAt) < reportAge {
		limit = e.reported.Limit
		taken += e.reported.InFlight
	}
	return float64(taken+1) / float64(max(1, limit))
}

// admits reports whether the target admits the priority, as far as its last report tells.
func (e *entry) admits(now time.Time, p hemlockcall.Priority, levelAge time.Duration) bool {
	return p >= e.reported.MinPriority || now.Sub(e.reportedAt) >= levelAge
}
