package hemlockrelay

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"hemlockhollow/hemlockbackpressure"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlockselection"
)

const (
	// maxReroutes limits how often a call goes to another target after a node refused it without sending it to its
	// target: after such a refusal, a call that was sent to more than maxReroutes targets is not retried. Targets whose rate
	// limit the entry did not know before do not count.
	maxReroutes = 3
	// maxTargetAttempts limits how many attempts of a call may reach a target. Where all targets of a service refuse half
	// of their calls at random, 15 calls in 16 are accepted within four attempts. It also limits the retries at addresses
	// that were tried before; these are fewer than maxTargetAttempts.
	maxTargetAttempts = 4
	// minRetryTime is the shortest remaining time in which a retry can succeed: a round trip between zones and a short
	// execution.
	minRetryTime = 15 * time.Millisecond
	// peerDeadlineMargin is how much earlier the deadline of a call expires at the node beside the chosen target than at
	// the entry, so that the refusal of a peer arrives in time. It is also subtracted when the chosen target is the local
	// one.
	peerDeadlineMargin = 10 * time.Millisecond
	// minServerError is the lowest HTTP status with which a target reports a failure.
	minServerError = 500
)

// PeerTransport sends a call to the node beside a target.
type PeerTransport interface {
	// Relay returns the response of the target, or an error that hemlockcall.AsRefusal converts. The address is that of
	// the node.
	Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error)
}

// Entry accepts calls of clients and of the local target, chooses the target of each call, and retries failed attempts
// where that is allowed. It is safe for concurrent use.
type Entry struct {
	self      string
	gate      *Gate
	transport PeerTransport
	selector  *hemlockselection.Selector
	budget    *hemlockretry.ServiceRetryBudget
	observer  Observer
	monitor   *hemlockbackpressure.LoadMonitor
	throttle  *hemlockbackpressure.Throttle
	latencies *latencies
	drain     *hemlockdrain.Drain
	// trees is nil if the busiest service decides on all new call trees.
	trees *callTrees
}

// EntryOption configures an Entry.
type EntryOption func(*Entry)

// WithEntryDrain sets the state of the process, by which an Entry makes no attempt that cannot end before the process does. By
// default, the process never stops.
func WithEntryDrain(drain *hemlockdrain.Drain) EntryOption {
	return func(e *Entry) { e.drain = drain }
}

// NewEntry returns the entry of the node with the given peer address, and makes the entry's load monitor the load
// source of the gate. A call to the target at that address goes to the gate, any other one to the transport.
func NewEntry(self string, gate *Gate, transport PeerTransport, selector *hemlockselection.Selector,
	budget *hemlockretry.ServiceRetryBudget, observer Observer, options ...EntryOption) *Entry {
	monitor := hemlockbackpressure.NewLoadMonitor()
	gate.SetLoadSource(monitor.HighLoads)
	e := &Entry{self: self, gate: gate, transport: transport, selector: selector, budget: budget, observer: observer,
		monitor: monitor, throttle: hemlockbackpressure.NewThrottle(), latencies: newLatencies(), drain: hemlockdrain.New()}
	for _, o := range options {
		o(e)
	}
	return e
}

// LoadReports returns the load reports of services that the entry knows, for the exchange with other nodes.
func (e *Entry) LoadReports() *hemlockbackpressure.LoadMonitor { return e.monitor }

// ObserveLoads changes the fraction of new call trees that are admitted by the current loads. It is called several times a second, because
// an entry of a large deployment starts few call trees.
func (e *Entry) ObserveLoads(now time.Time) {
	e.throttle.Observe(now, func(priority hemlockcall.Priority, firstService string) hemlockbackpressure.Load {
		return e.monitor.MaxLoad(now, priority, firstService)
	})
	if e.trees != nil {
		e.trees.observe(now, e.monitor)
	}
}

// mayBegin reports whether an attempt of a class with the given deadline may begin with regard to the planned stop of this process.
func (e *Entry) mayBegin(now time.Time, class string, deadline time.Time) bool {
	return e.drain.MayBegin(now, hemlockdrain.Work{Expected: e.latencies.upper(class), Remaining: deadline.Sub(now)})
}

// Relay executes a call within its remaining time. The call may reach no more than targetLimit targets; a limit below 1
// counts as 1. The error is a *hemlockcall.Refusal.
func (e *Entry) Relay(ctx context.Context, call *hemlockcall.RelayRequest, targetLimit int) (*hemlockcall.RelayResponse,
	error) {
	arrival := time.Now()
	deadline := arrival.Add(call.Remaining)
	call, nested, refusal := e.admitCall(arrival, call, deadline)
	if refusal != nil {
		e.observer.Refused(SideEntry, call, refusal, 0)
		return nil, refusal
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a := &attempts{entry: e, call: call, deadline: deadline, maxTargets: max(targetLimit, 1)}
	response, err := a.run(ctx)
	ended := time.Now()
	e.monitor.RecordCallTreeResult(ended, call.Class, call.Service,
		err != nil && ctx.Err() == nil || err == nil && response.Status >= minServerError)
	if nested && ctx.Err() == nil {
		e.recordNested(ended, call, err)
	}
	if err != nil {
		refusal := adviseRetryAfter(hemlockcall.AsRefusal(err), time.Until(deadline))
		e.observer.Refused(SideEntry, call, refusal, time.Since(arrival))
		return nil, refusal
	}
	e.observer.Answered(SideEntry, call, response, time.Since(arrival))
	return response, nil
}

const (
	// baseRetryAfter is the Retry-After of a refused call while nearly all new call trees are admitted. The lower the
	// admitted fraction, the more is added, up to extraRetryAfter while none is admitted. The sum is limited to a third
	// of the remaining time.
	baseRetryAfter  = 400 * time.Millisecond
	extraRetryAfter = 1200 * time.Millisecond
)

// admit refuses new call trees (customer requests with all nested calls that their runs make) while a service that they
// may reach has no spare capacity. It returns nil for an admitted call. Nested calls are admitted where they are known to be
// nested. Where the demands of a call tree are unknown, important calls without an organisation are left to the gates: they may be the
// last calls of a tree, for which the upstream work has been done already. A call with an organisation is none of these, because nested
// calls carry no key.
func (e *Entry) admit(now time.Time, call *hemlockcall.RelayRequest, nested bool) *hemlockcall.Refusal {
	if nested {
		return nil
	}
	if e.trees != nil {
		if refusal, decided := e.admitTree(now, call); decided {
			return refusal
		}
	}
	if call.Priority == hemlockcall.Important && call.Organisation == "" {
		return nil
	}
	arrival := hemlockbackpressure.Arrival{Class: call.Class, Service: call.Service, Priority: call.Priority}
	decision := e.throttle.Admit(now, arrival, e.monitor.MaxLoad(now, call.Priority, call.Service),
		e.monitor.FailedFraction(now, call.Class, call.Service))
	if decision.Admitted {
		return nil
	}
	return refuseOverload(call, fmt.Sprintf("no spare capacity for new call trees: load %.2f (%s), %.0f%% admitted",
		decision.Load.Value, decision.Load.Cause, 100*decision.Fraction), decision.Fraction)
}

// refuseOverload returns the refusal of a new call tree, of whose kind the given fraction is admitted.
func refuseOverload(call *hemlockcall.RelayRequest, detail string, admitted float64) *hemlockcall.Refusal {
	wait := baseRetryAfter + time.Duration(float64(extraRetryAfter)*(1-admitted))
	return hemlockcall.Refuse(hemlockcall.ReasonOverload, detail).WithRetryAfter(min(wait, call.Remaining/3))
}

// adviseRetryAfter sets when a client should retry a call that was refused before execution; other refusals stay as
// they are. The wait is at most a third of the remaining time, because clients do not wait longer.
func adviseRetryAfter(refusal *hemlockcall.Refusal, remaining time.Duration) *hemlockcall.Refusal {
	if refusal.Verdict != hemlockcall.VerdictNotRun {
		return refusal
	}
	wait := refusal.RetryAfter
	if wait <= 0 {
		wait = baseRetryAfter
	}
	return refusal.WithRetryAfter(max(0, min(wait, remaining/3)))
}

// attempts is the state of one call over all its attempts.
type attempts struct {
	entry    *Entry
	call     *hemlockcall.RelayRequest
	deadline time.Time
	// maxTargets limits the number of targets that the call may reach.
	maxTargets int
	// tried holds the addresses of the targets that were chosen for the call, each once.
	tried []string
	// reached holds the addresses at which the call may have reached the target; at most maxTargets.
	reached []string
	// targetAttempts counts the attempts that may have reached a target.
	targetAttempts int
	// limitKnown is set if this node knew a rate limit of the last chosen target before the attempt.
	limitKnown bool
	// newlyLimited counts the refused attempts at targets whose rate limit this node did not know before.
	newlyLimited int
	// retryAddress is the last address whose target declared that it had not run the call; empty before that.
	retryAddress string
	// sameTargetRetries counts the attempts at an address that was tried before. It is limited separately, because
	// refusals by the node at that address increase neither tried nor targetAttempts.
	sameTargetRetries int
	// unknownOutcome is the first refusal with an unknown outcome. After it the call may have run, whatever later
	// attempts report.
	unknownOutcome *hemlockcall.Refusal
	// hedgeAnswered is set once one of two concurrent attempts has got a response. The other one is cancelled.
	hedgeAnswered atomic.Bool
}

// run makes attempts until one gets a response or no other one is allowed.
func (a *attempts) run(ctx context.Context) (*hemlockcall.RelayResponse, error) {
	a.entry.budget.RecordFirstAttempt(time.Now(), a.call.Service)
	for {
		now := time.Now()
		if !a.entry.mayBegin(now, a.call.Class, a.deadline) {
			return nil, a.finalRefusal(hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node is stopping"))
		}
		address, ok := a.nextAddress(now)
		if !ok {
			if len(a.tried) == 0 {
				a.entry.recordMissingTarget(now, a.call.Service)
			}
			return nil, a.finalRefusal(hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "no target is ready"))
		}
		response, refusal := a.sendHedged(ctx, address)
		if refusal == nil {
			return response, nil
		}
		if !a.mayRetry(ctx, address, refusal) {
			return nil, a.finalRefusal(refusal)
		}
		a.entry.observer.Retried(a.call, refusal.Peer, refusal, len(a.tried))
	}
}

// nextAddress chooses a target that was not tried, if there is one and the call may reach another target. Otherwise it
// chooses the last target that declared that it had not run the call, if the call is idempotent: targets that refuse at
// random may accept the retry. For any other call, the refusal of a target that has refused it before could be a copy of
// that refusal, and the verdict not-run wrong. It returns false if there is neither, or after maxTargetAttempts-1
// attempts at addresses that were tried before.
func (a *attempts) nextAddress(now time.Time) (string, bool) {
	if len(a.reached) < a.maxTargets {
		if target, err := a.entry.selector.Pick(now, a.call.Service, a.call.Class, a.tried); err == nil {
			a.tried = append(a.tried, target.Address)
			a.limitKnown = a.entry.selector.Report(target.Address).RateLimit.Stated
			return target.Address, true
		}
	}
	if !a.call.Idempotent {
		return "", false
	}
	a.sameTargetRetries++
	return a.retryAddress, a.retryAddress != "" && a.sameTargetRetries < maxTargetAttempts && a.entry.selector.Acquire(now, a.retryAddress, a.call.Class)
}

// send makes one attempt at the target that the selector has chosen, and records its result.
func (a *attempts) send(ctx context.Context, address string) (*hemlockcall.RelayResponse, *hemlockcall.Refusal) {
	started := time.Now()
	call := a.call.WithRemaining(a.deadline.Sub(started) - peerDeadlineMargin)
	report, generation := a.entry.selector.Known(address)
	if report.Instance != "" {
		call = call.WithTargetReport(report)
	}
	var response *hemlockcall.RelayResponse
	var err error
	if address == a.entry.self {
		response, err = a.entry.gate.Relay(ctx, call)
	} else {
		response, err = a.entry.transport.Relay(ctx, address, call)
	}
	now := time.Now()
	if err != nil {
		refusal := hemlockcall.AsRefusal(err).WithPeer(address)
		if refusal.Reason == hemlockcall.ReasonCancelled && a.hedgeAnswered.Load() {
			// The concurrent attempt got a response first.
			outcome := a.entry.latencies.outcomeOfLoser(call.Class, now.Sub(started))
			a.entry.recordResult(now, address, call, hemlockselection.Result{Outcome: outcome})
			return nil, refusal
		}
		a.entry.recordResult(now, address, call,
			hemlockselection.Result{Outcome: outcomeOf(refusal), Generation: generation, Feedback: refusal.Feedback})
		return nil, refusal
	}
	a.entry.latencies.add(call.Class, now.Sub(started))
	response.Peer = address
	// A response with an error status counts as completed: most of these errors come from downstream calls.
	a.entry.recordResult(now, address, call, hemlockselection.Result{Outcome: hemlockselection.Completed,
		ServiceTime: response.ServiceTime, ErrorStatus: response.Status >= minServerError, Feedback: response.Feedback})
	return response, nil
}

// recordResult records the result of an attempt, with the load that the peer reported, for the choice of later targets
// and for load shedding.
func (e *Entry) recordResult(now time.Time, address string, call *hemlockcall.RelayRequest, r hemlockselection.Result) {
	e.selector.Done(now, address, call.Class, r)
	e.monitor.MergeLoads(now, r.Feedback.Loads)
	if e.trees != nil {
		e.trees.estimator.Merge(now, classOf(call), r.Feedback.Demands, r.Feedback.DemandRuns)
	}
	if r.Feedback.Limit > 0 {
		e.monitor.RecordLoad(now, call.Service, float64(r.Feedback.InFlight)/float64(r.Feedback.Limit))
	}
}

// outcomeOf returns how a refused attempt counts for its target.
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

// mayRetry reports whether the call gets another attempt after a refusal, and charges that attempt to the retry budget
// if the refused one may have reached a target. The address is that of the first attempt; the refusal may be that of its hedge attempt.
func (a *attempts) mayRetry(ctx context.Context, address string, refusal *hemlockcall.Refusal) bool {
	if ctx.Err() != nil || time.Until(a.deadline) < minRetryTime {
		return false
	}
	if refusal.Reason == hemlockcall.ReasonCancelled || refusal.Reason == hemlockcall.ReasonSuspect {
		return false
	}
	if refusal.Verdict == hemlockcall.VerdictNotRun && !refusal.ReachedTarget {
		if refusal.Feedback.Target.RateLimit.Stated && !a.limitKnown {
			a.newlyLimited++
		}
		return len(a.tried) <= maxReroutes+a.newlyLimited
	}
	// The call may have reached a target. Another attempt is therefore charged to the retry budget of the service, which
	// limits the retries of all nodes together.
	a.markReached(address)
	switch {
	case refusal.Verdict != hemlockcall.VerdictUnknown:
		a.retryAddress = refusal.Peer
	case !a.call.Idempotent:
		return false
	case a.unknownOutcome == nil:
		a.unknownOutcome = refusal
	}
	mayRepeat := a.call.Idempotent && a.retryAddress != ""
	if a.targetAttempts >= maxTargetAttempts || len(a.reached) >= a.maxTargets && !mayRepeat {
		return false
	}
	return a.entry.budget.Spend(time.Now(), a.call.Service, a.call.Priority)
}

// markReached records that the call may have reached the target at an address.
func (a *attempts) markReached(address string) {
	a.targetAttempts++
	if !slices.Contains(a.reached, address) {
		a.reached = append(a.reached, address)
	}
}

// finalRefusal returns the refusal to report for the whole call, given that of the last attempt. A call that may have
// run in one of its attempts is not reported with the verdict not-run.
func (a *attempts) finalRefusal(refusal *hemlockcall.Refusal) *hemlockcall.Refusal {
	if a.unknownOutcome != nil && refusal.Verdict == hemlockcall.VerdictNotRun {
		return a.unknownOutcome
	}
	return refusal
}
