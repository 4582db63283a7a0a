// Package hemlockselection selects the target of each relayed call by expected time, load and failures. It prefers the
// own availability zone. A call goes to another zone when the targets of the own one are nearly full, fail or are much
// slower. With PlacementCost, the expected time follows from the cost of the call's class, the slowness of the target and the
// outstanding work there; this answers classes that differ in cost, short episodes of slowness, slow nested services and frozen
// targets. The package does no I/O; time and randomness are arguments.
package hemlockselection

import (
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind says why no target was selected.
type Kind string

// KindNoTarget means that no ready target of the service is left that was not tried.
const KindNoTarget Kind = "no-target"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Outcome says how a call ended.
type Outcome uint8

// The outcomes.
const (
	// Completed means that the call got a response that does not count against the target.
	Completed Outcome = iota
	// Refused means that the target's node refused the call because of load or too little remaining time.
	Refused
	// Failed means that the target refused the call, ended the response early or sent an invalid response, or that its
	// node refused the call for a reason that no other outcome covers.
	Failed
	// Unreachable means that the node beside the target cannot be reached.
	Unreachable
	// TimedOut means that the deadline expired before the response, or that a concurrent attempt at another target got a
	// response first.
	TimedOut
	// Cancelled means that the caller cancelled the call, or that it was refused as a suspected poison request; it says
	// nothing about the target.
	Cancelled
	// Leaving means that the target's node accepts no calls for it until the target is announced again.
	Leaving
)

// Result is what the caller of a selected target reports at the end of the call.
type Result struct {
	// Outcome says how the call ended.
	Outcome Outcome
	// ServiceTime is the time that the target took; 0 without a response. Only that of a completed call is used.
	ServiceTime time.Duration
	// ErrorStatus means that the response states a failure: its service time says nothing about the cost of the call.
	ErrorStatus bool
	// Generation is the generation of the target that was called, for the outcome Leaving: 0 counts as the current one.
	Generation uint64
	// Feedback is what the target's node reported; its Limit is 0 without a report.
	Feedback hemlockcall.Feedback
}

const (
	// maxFeedbackAge is how long the feedback of a target's node is used.
	maxFeedbackAge = time.Second
	// serviceTimeWeight is the weight of one new service time in the moving average.
	serviceTimeWeight = 0.05
	// failureWeight is the weight of one call in the moving average of failures.
	failureWeight = 0.1
	// failureDecayTime is the time in which the failure fraction falls to half without calls, so that a target is tried
	// again.
	failureDecayTime = 2 * time.Second
	// failurePenalty is the increase of the expected time of a target that always fails, as a multiple of its expected
	// time without failures.
	failurePenalty = 30
	// initialUnreachablePause and maxUnreachablePause limit the time for which an unreachable target is skipped. It
	// doubles with each further unreachable call, until a call is completed.
	initialUnreachablePause = 250 * time.Millisecond
	maxUnreachablePause     = 2 * time.Second
	// saturationLoad is the load up to which the expected time grows by 1/(1-load). Above it, the expected time grows in
	// proportion to the load.
	saturationLoad = 0.95
	// defaultServiceTime is used for a target whose service time is not known.
	defaultServiceTime = 20 * time.Millisecond
)

// entry is the state of one target. All fields are guarded by the mutex of the Selector.
type entry struct {
	target   hemlockcall.Target
	inFlight int  // calls of this node that have not ended
	leaving  bool // refused a call as leaving, or stated that it leaves; until Replace lists another process at its address

	// rateLimit is what the target has stated, as far as this node knows.
	rateLimit hemlockcall.RateLimit

	feedback   hemlockcall.Feedback
	feedbackAt time.Time // zero without feedback
	// inFlightAtFeedback is inFlight when the feedback arrived. The feedback includes these calls.
	inFlightAtFeedback int

	serviceTime time.Duration // moving average; 0 means unknown
	failures    float64       // moving average: the fraction of failed calls
	failuresAt  time.Time     // when failures was last changed

	group *group // that of the target's service
	// cost is only used where targets are chosen by cost.
	cost costState

	unreachableUntil time.Time     // until when the target is skipped if another one can be picked
	unreachablePause time.Duration // how long it was skipped the last time; 0 after a completed call
}

// eligible reports whether the target is ready, is not leaving and was not tried; tried holds addresses.
func (e *entry) eligible(tried []string) bool {
	if !e.target.Ready || e.leaving {
		return false
	}
	for _, address := range tried {
		if address == e.target.Address {
			return false
		}
	}
	return true
}

// load is the fraction of the target's limit that is in use with one more call, according to the last feedback and the
// calls of this node since then. Without recent feedback, it is computed from the slots of the target and the calls of
// this node alone.
func (e *entry) load(now time.Time) float64 {
	limit, inUse := e.target.Slots, e.inFlight
	if e.hasRecentFeedback(now) {
		limit = e.feedback.Limit
		inUse = max(e.inFlight, e.feedback.InFlight+e.inFlight-e.inFlightAtFeedback)
	}
	return float64(inUse+1) / float64(max(1, limit))
}

func (e *entry) hasRecentFeedback(now time.Time) bool {
	return e.feedback.Limit > 0 && now.Sub(e.feedbackAt) < maxFeedbackAge
}

// limitedShare is the fraction of the calls that the target could run which its rate limit leaves; 1 without a limit.
func (e *entry) limitedShare() float64 {
	if !e.rateLimit.Stated {
		return 1
	}
	serviceTime := e.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return min(1, e.rateLimit.PerSecond*serviceTime.Seconds()/float64(max(1, e.target.Slots)))
}

// expectedTime estimates how long a call would take, to compare the targets of one service. It is in seconds, with a
// penalty for failures.
func (e *entry) expectedTime(now time.Time) float64 {
	serviceTime := e.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	load := e.load(now)
	loadFactor := 1 / (1 - min(load, saturationLoad))
	if load > saturationLoad {
		loadFactor *= load / saturationLoad
	}
	return serviceTime.Seconds() * loadFactor * (1 + failurePenalty*e.failureFraction(now))
}

// failureFraction is the moving average of failures, which decays with time. An average below 0.01 counts as 0.
func (e *entry) failureFraction(now time.Time) float64 {
	if e.failures < 0.01 {
		return 0
	}
	decay := now.Sub(e.failuresAt).Seconds() / failureDecayTime.Seconds()
	return e.failures / (1 + decay)
}

// updateFailures adds a call to the moving average of failures; failed is 1 for a failed call and 0 for any other.
func (e *entry) updateFailures(now time.Time, failed float64) {
	e.failures = e.failureFraction(now)*(1-failureWeight) + failed*failureWeight
	e.failuresAt = now
}

// recordResult ends a call and updates the state of the target by its result. Refused and Cancelled count neither as
// success nor as failure.
func (e *entry) recordResult(now time.Time, r Result) {
	e.inFlight = max(0, e.inFlight-1)
	if r.Feedback.Limit > 0 {
		e.feedback, e.feedbackAt, e.inFlightAtFeedback = r.Feedback, now, e.inFlight
	}
	e.leaving = e.leaving || r.Feedback.Target.Leaving
	switch r.Outcome {
	case Completed:
		e.updateFailures(now, 0)
		e.unreachablePause = 0
		if e.serviceTime == 0 {
			e.serviceTime = r.ServiceTime
		}
		e.serviceTime += time.Duration(float64(r.ServiceTime-e.serviceTime) * serviceTimeWeight)
	case Failed, TimedOut:
		e.updateFailures(now, 1)
	case Unreachable:
		e.unreachablePause = min(max(2*e.unreachablePause, initialUnreachablePause), maxUnreachablePause)
		e.unreachableUntil = now.Add(e.unreachablePause)
	case Leaving:
		e.leaving = e.leaving || r.Generation == 0 || r.Generation == e.target.Generation
	}
}
