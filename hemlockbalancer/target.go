// Package hemlockbalancer picks the target of each call: the less loaded of two random targets of the own zone, with
// outlier detection and a limited overflow to other zones. It does no I/O; time and randomness are arguments.
package hemlockbalancer

import (
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind says why no target was picked.
type Kind string

const (
	// KindNoTarget means that no ready target of the service is left that was not tried.
	KindNoTarget Kind = "no-target"
	// KindShed means that a ready target is left that was not tried, but none may get the call: the targets refuse its
	// priority, a higher priority was shed recently, the call may not leave its zone, or it is a retry that would most
	// likely be refused.
	KindShed Kind = "shed"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Outcome says how a call ended.
type Outcome uint8

const (
	// Completed is a complete response.
	Completed Outcome = iota
	// Refused means that the target's node refused the call because of load or too little remaining time.
	Refused
	// Failed means that the connection failed or the target ended the response early.
	Failed
	// TimedOut means that the deadline expired before the response.
	TimedOut
	// Cancelled means that the caller cancelled the call; it says nothing about the target.
	Cancelled
	// Leaving means that the target refused because it is stopping; it gets no calls until Replace has listed it as not
	// ready, or not at all, and then as ready again.
	Leaving
)

// Result is what the caller of a picked target reports at the end of the call.
type Result struct {
	// Outcome says how the call ended.
	Outcome Outcome
	// Latency is the time from the pick to the end.
	Latency time.Duration
	// Feedback is what the target's node reported; its Limit is 0 without a report.
	Feedback hemlockcall.Feedback
}

// entry is the state of one target. All fields are guarded by the mutex of the Balancer.
type entry struct {
	target   hemlockcall.Target
	inFlight int  // calls of this node that have not ended
	leaving  bool // refused a call as leaving; until Replace lists another process at its address

	feedback   hemlockcall.Feedback
	feedbackAt time.Time // zero without feedback
	refusedAt  time.Time // when it last ended a call as Refused; zero for never

	latency  time.Duration // moving average over completed and timed-out calls; 0 means unknown
	samples  int           // number of latencies in the moving average
	failures int           // failed calls since the last completed one

	unhealthy     bool
	probeAt       time.Time     // when an unhealthy target gets its next probe, a real request
	probeInterval time.Duration // interval before the next probe of an unhealthy target
	probing       bool          // a probe is in flight
}

// load is the fraction of the target's limit that is in use with one more call. The calls in flight of a recent
// feedback are added to the calls of this node. Without recent feedback, the limit is the number of slots.
func (e *entry) load(now time.Time, maxFeedbackAge time.Duration) float64 {
	limit, inUse := e.target.Slots, e.inFlight
	if e.feedback.Limit > 0 && now.Sub(e.feedbackAt) < maxFeedbackAge {
		limit = e.feedback.Limit
		inUse += e.feedback.InFlight
	}
	return float64(inUse+1) / float64(max(1, limit))
}

// admits reports whether the target admits the priority according to its last feedback. Without recent feedback it
// counts as a target that admits all priorities.
func (e *entry) admits(now time.Time, p hemlockcall.Priority, maxMinPriorityAge time.Duration) bool {
	return p >= e.feedback.MinPriority || now.Sub(e.feedbackAt) >= maxMinPriorityAge
}
