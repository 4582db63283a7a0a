package hemlockrelay

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockbackpressure"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlockselection"
)

const (
	// reroutes bounds how often a call that did not run is offered to another target.
	reroutes = 3
	// mostSends bounds how often a call is sent to targets. Where all targets of a service refuse half of their calls at
	// random, the fourth one finds a target that takes it for 15 calls in 16.
	mostSends = 4
	// leastTime is the shortest time for which another attempt is worth while: a round trip between zones and a short run.
	leastTime = 15 * time.Millisecond
	// peerMargin is how much earlier than this node another one gives a call up, so that its refusal arrives in time.
	peerMargin = 10 * time.Millisecond
	// serverError is the lowest status by which a target says that it failed.
	serverError = 500
)

// PeerTransport carries a call to the node beside a target.
type PeerTransport interface {
	Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error)
}

// Entry takes calls from clients and from the own target, chooses targets, and repeats what may be repeated. It is safe
// for concurrent use.
type Entry struct {
	self     string
	gate     *Gate
	links    PeerTransport
	table    *hemlockselection.Table
	budget   *hemlockretry.ServiceRetryBudget
	observer Observer
	monitor  *hemlockbackpressure.LoadMonitor
	valve    *hemlockbackpressure.Throttle
	latency  *latencies
}

// NewEntry returns the entry of the node with the given peer address.
func NewEntry(self string, gate *Gate, links PeerTransport, table *hemlockselection.Table, budget *hemlockretry.ServiceRetryBudget,
	observer Observer) *Entry {
	monitor := hemlockbackpressure.NewLoadMonitor()
	gate.SetLoadSource(monitor.HighLoads)
	return &Entry{self: self, gate: gate, links: links, table: table, budget: budget, observer: observer,
		monitor: monitor, valve: hemlockbackpressure.NewThrottle(), latency: newLatencies()}
}

// Relay carries a call out within its remaining time, at no more than maxAttempts targets.
func (e *Entry) Relay(ctx context.Context, call *hemlockcall.RelayRequest, maxAttempts int) (*hemlockcall.RelayResponse, error) {
	arrival := time.Now()
	deadline := arrival.Add(call.Remaining)
	if refusal := e.admit(arrival, call); refusal != nil {
		e.observer.Refused(SideEntry, call, refusal, 0)
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a := &attempts{entry: e, call: call, deadline: deadline, most: max(maxAttempts, 1)}
	answer, err := a.run(ctx)
	e.monitor.RecordTreeResult(time.Now(), call.Class, err != nil && ctx.Err() == nil || err == nil && answer.Status >= serverError)
	if err != nil {
		refusal := adviseReturn(hemlockcall.AsRefusal(err), time.Until(deadline))
		e.observer.Refused(SideEntry, call, refusal, time.Since(arrival))
		return nil, refusal
	}
	e.observer.Answered(SideEntry, call, answer, time.Since(arrival))
	return answer, nil
}

const (
	// returnSoon is the advice to a turned away client while most are let in, returnLate the addition while none is.
	returnSoon = 400 * time.Millisecond
	returnLate = 1200 * time.Millisecond
)

// admit turns fresh trees away while a service that they lead to has no room. Important calls are left to the gates: they
// are leaves of a tree, which is paid for, or go to a deep service directly.
func (e *Entry) admit(now time.Time, call *hemlockcall.RelayRequest) *hemlockcall.Refusal {
	if call.Priority == hemlockcall.Important {
		return nil
	}
	load := e.monitor.EntryLoad(now, call.Class, call.Service)
	if e.valve.Admit(now, call.Priority, call.Service, load.Value) {
		return nil
	}
	share := e.valve.AdmittedFraction(call.Priority, call.Service)
	wait := returnSoon + time.Duration(float64(returnLate)*(1-share))
	return hemlockcall.Refuse(hemlockcall.ReasonOverload, fmt.Sprintf(
		"no room for new trees of calls: load %.2f (%s), %.0f%% let in", load.Value, load.Cause, 100*share)).
		WithRetryAfter(min(wait, call.Remaining/3))
}

// adviseReturn says when to come back with a call that has not run: soon, but within a third of the time that is left,
// beyond which clients do not wait.
func adviseReturn(refusal *hemlockcall.Refusal, left time.Duration) *hemlockcall.Refusal {
	if refusal.Verdict != hemlockcall.VerdictNotRun {
		return refusal
	}
	wait := refusal.RetryAfter
	if wait <= 0 {
		wait = returnSoon
	}
	return refusal.WithRetryAfter(max(0, min(wait, left/3)))
}

// attempts is one call on its way to an answer.
type attempts struct {
	entry    *Entry
	call     *hemlockcall.RelayRequest
	deadline time.Time
	// most is the largest number of targets that the call may reach.
	most int
	// tried are the addresses that were tried.
	tried []string
	// reached are the addresses at which the call may have reached the target; at most as many as the route allows.
	reached []string
	// sends counts the attempts that may have reached a target.
	sends int
	// again is the last address at which the target said that it has not run the call; empty before.
	again string
	// resends counts the attempts at an address that was tried; a node that refuses them does not end the call by itself.
	resends int
	// unknown is the first refusal whose outcome is unknown; whatever follows, the call may have run.
	unknown *hemlockcall.Refusal
	// overtaken is set once a second attempt beside the first one has brought the answer.
	overtaken atomic.Bool
}

func (a *attempts) run(ctx context.Context) (*hemlockcall.RelayResponse, error) {
	a.entry.budget.RecordRequest(time.Now(), a.call.Service)
	for {
		address, ok := a.next(time.Now())
		if !ok {
			if len(a.tried) == 0 {
				a.entry.monitor.RecordMissingTarget(time.Now())
			}
			return nil, a.ended(hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "no target is ready"))
		}
		answer, refusal := a.sendHedged(ctx, address)
		if refusal == nil {
			return answer, nil
		}
		if !a.mayRepeat(ctx, address, refusal) {
			return nil, a.ended(refusal)
		}
		a.entry.observer.Retried(a.call, address, refusal, len(a.tried))
	}
}

// next chooses a target that was not tried, while the call may reach a further one. Then it is one that did not run the
// call: targets that refuse at random may take it the next time.
func (a *attempts) next(now time.Time) (string, bool) {
	if len(a.reached) < a.most {
		if target, err := a.entry.table.Pick(now, a.call.Service, a.tried); err == nil {
			a.tried = append(a.tried, target.Address)
			return target.Address, true
		}
	}
	a.resends++
	return a.again, a.again != "" && a.resends < mostSends && a.entry.table.Acquire(a.again)
}

// send makes one attempt and reports its end to the routing table.
func (a *attempts) send(ctx context.Context, address string) (*hemlockcall.RelayResponse, *hemlockcall.Refusal) {
	started := time.Now()
	call := a.call.WithRemaining(a.deadline.Sub(started) - peerMargin)
	var answer *hemlockcall.RelayResponse
	var err error
	if address == a.entry.self {
		answer, err = a.entry.gate.Relay(ctx, call)
	} else {
		answer, err = a.entry.links.Relay(ctx, address, call)
	}
	now := time.Now()
	if err != nil {
		refusal := hemlockcall.AsRefusal(err).WithPeer(address)
		if refusal.Reason == hemlockcall.ReasonCancelled && a.overtaken.Load() {
			a.entry.done(now, address, call, hemlockselection.Result{Outcome: hemlockselection.TimedOut})
			return nil, refusal
		}
		a.entry.done(now, address, call, hemlockselection.Result{Outcome: outcomeOf(refusal), Feedback: refusal.Feedback})
		return nil, refusal
	}
	a.entry.latency.add(call.Class, now.Sub(started))
	answer.Peer = address
	// An error of the target counts as an answer: most are the failures of calls below it.
	a.entry.done(now, address, call, hemlockselection.Result{Outcome: hemlockselection.Completed,
		ServiceTime: answer.ServiceTime, Feedback: answer.Feedback})
	return answer, nil
}

// done reports the end of an attempt to those that learn from it.
func (e *Entry) done(now time.Time, address string, call *hemlockcall.RelayRequest, r hemlockselection.Result) {
	e.table.Done(now, address, r)
	e.monitor.MergeLoads(now, r.Feedback.Loads)
	if r.Feedback.Limit > 0 {
		e.monitor.RecordLoad(now, call.Service, float64(r.Feedback.InFlight)/float64(r.Feedback.Limit))
	}
}

func outcomeOf(refusal *hemlockcall.Refusal) hemlockselection.Outcome {
	if refusal.ReachedTarget {
		return hemlockselection.Failed
	}
	switch refusal.Reason {
	case hemlockcall.ReasonOverload:
		return hemlockselection.Refused
	case hemlockcall.ReasonDeadline:
		if refusal.Verdict == hemlockcall.VerdictNotRun {
			return hemlockselection.Refused
		}
		return hemlockselection.TimedOut
	case hemlockcall.ReasonCancelled, hemlockcall.ReasonSuspect:
		return hemlockselection.Cancelled
	case hemlockcall.ReasonLeaving:
		return hemlockselection.Leaving
	case hemlockcall.ReasonConnection:
		return hemlockselection.Unreachable
	}
	return hemlockselection.Failed
}

// mayRepeat decides whether another target is tried after a refusal.
func (a *attempts) mayRepeat(ctx context.Context, address string, refusal *hemlockcall.Refusal) bool {
	if ctx.Err() != nil || time.Until(a.deadline) < leastTime {
		return false
	}
	if refusal.Reason == hemlockcall.ReasonCancelled || refusal.Reason == hemlockcall.ReasonSuspect {
		return false
	}
	if refusal.Verdict == hemlockcall.VerdictNotRun && !refusal.ReachedTarget {
		return len(a.tried) <= reroutes
	}
	// The call reached a target: one more arrival draws on the budget that all nodes share.
	a.reach(address)
	switch {
	case refusal.Verdict != hemlockcall.VerdictUnknown:
		a.again = address
	case !a.call.Idempotent:
		return false
	case a.unknown == nil:
		a.unknown = refusal
	}
	if a.sends >= mostSends || len(a.reached) >= a.most && a.again == "" {
		return false
	}
	return a.entry.budget.Spend(time.Now(), a.call.Service, a.call.Priority)
}

// reach notes that the call may have reached the target at an address.
func (a *attempts) reach(address string) {
	a.sends++
	if !slices.Contains(a.reached, address) {
		a.reached = append(a.reached, address)
	}
}

// ended returns the final refusal. A call of which one attempt may have run is not reported as not run.
func (a *attempts) ended(refusal *hemlockcall.Refusal) *hemlockcall.Refusal {
	if a.unknown != nil && refusal.Verdict == hemlockcall.VerdictNotRun {
		return a.unknown
	}
	return refusal
}
