// Package hemlockselection chooses the target of each relayed call by expected time, load and failures: the own
// availability zone while it has room, other zones for what does not fit. It does no I/O; time and randomness are
// arguments.
package hemlockselection

import (
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind says why no target was chosen.
type Kind string

// KindNoTarget means that no ready target is left that was not tried.
const KindNoTarget Kind = "no-target"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// Outcome says how a call ended.
type Outcome uint8

// The outcomes.
const (
	// Completed is an answer of the target that says nothing bad about it.
	Completed Outcome = iota
	// Refused means that the target's node refused the call because of load or time.
	Refused
	// Failed means that the target broke off, answered wrongly or with an error.
	Failed
	// Unreachable means that the node beside the target cannot be reached.
	Unreachable
	// TimedOut means that the remaining time ran out before the answer.
	TimedOut
	// Cancelled means that the caller gave up; it says nothing about the target.
	Cancelled
	// Leaving means that the target's node takes no calls for it until it is announced again.
	Leaving
)

// Result is the end of a call.
type Result struct {
	// Outcome says how the call ended.
	Outcome Outcome
	// ServiceTime is the time that the target took; 0 without an answer.
	ServiceTime time.Duration
	// Feedback is what the target's node reported; its Limit is 0 when there was no report.
	Feedback hemlockcall.Feedback
}

const (
	// reportAge is how long a reported load counts.
	reportAge = time.Second
	// serviceWeight is the weight of one new service time in the moving mean.
	serviceWeight = 0.05
	// failureWeight is the weight of one call in the moving share of failures.
	failureWeight = 0.1
	// failureFade is the time in which the share of failures halves without calls, so that a target is tried again.
	failureFade = 2 * time.Second
	// failurePenalty is how many times longer a target that always fails is taken to be.
	failurePenalty = 30
	// unreachableFirst and unreachableLongest bound the time for which a target that could not be reached is passed over.
	unreachableFirst   = 250 * time.Millisecond
	unreachableLongest = 2 * time.Second
	// fullLoad is the load from which the expected time grows with the load alone.
	fullLoad = 0.95
	// unknownService stands for a service time that is not known.
	unknownService = 20 * time.Millisecond
)

// entry is the state of one target. All fields are guarded by the table's mutex.
type entry struct {
	target   hemlockcall.Target
	inFlight int // calls of this node that are not done
	leaving  bool

	reported   hemlockcall.Feedback
	reportedAt time.Time // zero when nothing was reported
	// inFlightThen is inFlight at the time of the report, which counts these calls too.
	inFlightThen int

	service  time.Duration // moving mean; 0 means unknown
	failures float64       // moving share of failed calls
	failedAt time.Time     // when failures was last changed

	unreachable time.Time     // until when the target is passed over
	pause       time.Duration // how long it was passed over last
}

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

// load is the share of the target's limit that is taken, by the last report and what this node did since.
func (e *entry) load(now time.Time) float64 {
	limit, taken := e.target.Slots, e.inFlight
	if e.reported.Limit > 0 && now.Sub(e.reportedAt) < reportAge {
		limit = e.reported.Limit
		taken = max(e.inFlight, e.reported.InFlight+e.inFlight-e.inFlightThen)
	}
	return float64(taken+1) / float64(max(1, limit))
}

// expected is a measure of how long a call would take, for comparing targets of one service.
func (e *entry) expected(now time.Time) float64 {
	service := e.service
	if service == 0 {
		service = unknownService
	}
	load := e.load(now)
	busy := 1 / (1 - min(load, fullLoad))
	if load > fullLoad {
		busy *= load / fullLoad
	}
	return service.Seconds() * busy * (1 + failurePenalty*e.failing(now))
}

// failing is the share of failed calls, which fades with time.
func (e *entry) failing(now time.Time) float64 {
	if e.failures < 0.01 {
		return 0
	}
	halves := now.Sub(e.failedAt).Seconds() / failureFade.Seconds()
	return e.failures / (1 + halves)
}

func (e *entry) countFailure(now time.Time, failed float64) {
	e.failures = e.failing(now)*(1-failureWeight) + failed*failureWeight
	e.failedAt = now
}

// done takes in the end of a call.
func (e *entry) done(now time.Time, r Result) {
	e.inFlight = max(0, e.inFlight-1)
	if r.Feedback.Limit > 0 {
		e.reported, e.reportedAt, e.inFlightThen = r.Feedback, now, e.inFlight
	}
	switch r.Outcome {
	case Completed:
		e.countFailure(now, 0)
		e.pause = 0
		if e.service == 0 {
			e.service = r.ServiceTime
		}
		e.service += time.Duration(float64(r.ServiceTime-e.service) * serviceWeight)
	case Failed, TimedOut:
		e.countFailure(now, 1)
	case Unreachable:
		e.pause = min(max(2*e.pause, unreachableFirst), unreachableLongest)
		e.unreachable = now.Add(e.pause)
	case Leaving:
		e.leaving = true
	}
}
