// Package hemlockrelay relays calls from the entry node, where a client's request arrives, to the target that runs
// them. The entry chooses the target and retries failed attempts where that is allowed; the gate admits calls to the
// local target and is the only way to it. The package opens no sockets.
package hemlockrelay

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdemand"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlockselection"
	"hemlockhollow/hemlocksuspect"
)

const (
	// lateCallInterval is the interval at which late calls are refused while the queue is not empty. A call is late when
	// its remaining time is too short to complete.
	lateCallInterval = 20 * time.Millisecond
	// maxSlotFraction is the largest fraction of the target's slots that calls use; at least one slot is used. New
	// connections use slots too, and some targets slow down when nearly all their slots are in use.
	maxSlotFraction = 0.95
	// queueFactor is the queue limit as a multiple of the slots that calls use. It allows waits of a few service times,
	// because a refused call fails its whole call tree (the customer request with all nested calls that its run makes).
	queueFactor = 4
)

// waiter is what a call at the gate waits on.
type waiter struct {
	// decided is closed when a queued call has been admitted or refused.
	decided chan struct{}
}

// Gate admits calls to the local target and runs them there. It is safe for concurrent use.
type Gate struct {
	target     hemlockcall.Relayer
	controller *hemlockadmission.Controller[*waiter]
	suspects   *hemlocksuspect.Table
	observer   Observer
	// loadSource returns the loads of other services that the node knows, for the feedback of the gate.
	loadSource func(now time.Time) []hemlockcall.ServiceLoad
	// onReport is called without the lock.
	onReport func(report hemlockcall.TargetReport, source ReportSource)
	// onCleared is called without the lock.
	onCleared func(records []hemlocksuspect.Record)

	drain     *hemlockdrain.Drain
	latencies *latencies
	// work is nil if the gate does not report the outstanding work at its target.
	work *hemlockselection.Work
	// estimator is nil if demands are not learned.
	estimator *hemlockdemand.Estimator

	// mutex is locked before the mutex of the controller.
	mutex sync.Mutex
	state TargetState
	// statements is about the process of state.
	statements statements
	// lateCallCheckScheduled is set while a timer runs that refuses late calls in the queue.
	lateCallCheckScheduled bool
}

// TargetState is what the gate knows about its target.
type TargetState struct {
	// Service is the service that the target runs; empty while unknown.
	Service string
	// Instance identifies the target's process; a restarted process may have the same one.
	Instance string
	// StartTime distinguishes processes with the same instance; 0 means unknown.
	StartTime uint64
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Ready is false for a target that is leaving, deregistered, unreachable, unknown or without slots. It then gets no
	// calls.
	Ready bool
}

// NewGate returns a gate whose target is still unknown; see SetState.
func NewGate(target hemlockcall.Relayer, suspects *hemlocksuspect.Table, observer Observer, options ...GateOption) *Gate {
	g := &Gate{target: target, suspects: suspects, observer: observer, drain: hemlockdrain.New(), latencies: newLatencies(),
		loadSource: func(time.Time) []hemlockcall.ServiceLoad { return nil },
		onReport:   func(hemlockcall.TargetReport, ReportSource) {}, onCleared: func([]hemlocksuspect.Record) {}}
	for _, o := range options {
		o(g)
	}
	g.controller = hemlockadmission.New(0, func(t *hemlockadmission.Ticket[*waiter]) { close(t.Value.decided) },
		hemlockadmission.WithQueueFactor(queueFactor),
		// Entries refuse less important call trees before they start; a priority hold here would fail trees that were
		// admitted. An adaptive limit is not needed, as the number of slots is known exactly. With slow start, the limit
		// would be low after each restart of the node, and that would be reported as load.
		hemlockadmission.WithoutMechanisms(hemlockadmission.PriorityHold, hemlockadmission.AdaptiveLimit,
			hemlockadmission.SlowStart))
	return g
}

// SetLoadSource sets the function that returns the loads of other services for the feedback of the gate. It must be
// called before the first call.
func (g *Gate) SetLoadSource(loadSource func(now time.Time) []hemlockcall.ServiceLoad) {
	g.loadSource = loadSource
}

// State returns what is known about the target.
func (g *Gate) State() TargetState {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state
}

// SetState applies a new state of the target. Once it has returned, a target that is not ready gets no calls. The
// queued calls are refused before execution if the target is not ready, or if a target that was ready has another
// instance now.
func (g *Gate) SetState(now time.Time, state TargetState) {
	old := g.replaceState(now, state)
	if old.Instance != state.Instance && old.Ready {
		g.controller.SetSlots(now, 0) // a new process: the queued calls were meant for the previous one
	}
	slots := max(1, int(float64(state.Slots)*maxSlotFraction))
	if !state.Ready {
		slots = 0
	}
	g.controller.SetSlots(now, slots)
}

// replaceState sets the state and returns the previous one.
func (g *Gate) replaceState(now time.Time, state TargetState) TargetState {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	old := g.state
	g.state = state
	g.resetStatements(now, state)
	return old
}

// Snapshot returns the load at the target.
func (g *Gate) Snapshot(now time.Time) hemlockadmission.Snapshot {
	return g.controller.Snapshot(now)
}

// Organisations returns the use of the target by organisations. It is meant for operators, not for each call.
func (g *Gate) Organisations(now time.Time) hemlockadmission.Organisations {
	return g.controller.Organisations(now)
}

// Relay implements hemlockcall.Relayer: it runs the call at the target, or refuses it. The error is a
// *hemlockcall.Refusal with the feedback of the gate.
func (g *Gate) Relay(ctx context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	arrival := time.Now()
	// The context of a call from a peer already has this deadline; another context would only cost a timer.
	if end, ok := ctx.Deadline(); !ok || end.After(arrival.Add(call.Remaining)) {
		deadlineContext, cancel := context.WithDeadline(ctx, arrival.Add(call.Remaining))
		defer cancel()
		ctx = deadlineContext
	}
	g.mergeReport(arrival, call.TargetReport)
	work := g.work.Queued(arrival, call.Class)
	ticket, err := g.admit(ctx, arrival, call)
	if err != nil {
		work.Ended(arrival, false)
		refusal := hemlockcall.AsRefusal(err)
		g.observer.Refused(SideGate, call, refusal, time.Since(arrival))
		return nil, refusal.WithFeedback(g.feedback(call))
	}
	started := time.Now()
	work = work.Started(started)
	run := g.startRun(call, arrival.Add(call.Remaining))
	response, err := g.run(ctx, call, arrival)
	ended := time.Now()
	succeeded := err == nil && response.Status < minServerError
	work.Ended(ended, succeeded)
	g.endRun(ended, run, succeeded, ended.Sub(started))
	g.controller.Finish(ended, ticket, hemlockadmission.Outcome{
		Result: g.resultOf(response, err), ServiceTime: ended.Sub(started)})
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		g.observer.Refused(SideGate, call, refusal, ended.Sub(arrival))
		return nil, refusal.WithFeedback(g.feedback(call))
	}
	response.ServiceTime = ended.Sub(started)
	g.latencies.add(call.Class, response.ServiceTime)
	response.Feedback = g.feedback(call)
	g.observer.Answered(SideGate, call, response, ended.Sub(arrival))
	return response, nil
}

// feedback returns the load of the gate, including queued calls, the loads of other services, and the statements of the
// target.
func (g *Gate) feedback(call *hemlockcall.RelayRequest) hemlockcall.Feedback {
	now := time.Now()
	s := g.controller.Snapshot(now)
	inUse, limit := loadOf(s)
	demands, runs := g.reportDemands(now, call)
	return hemlockcall.Feedback{MinPriority: s.MinPriority, InFlight: inUse, Limit: limit, Loads: g.loadSource(now),
		Target: g.reportFor(call), Demands: demands, DemandRuns: runs, Outstanding: g.work.Outstanding(now)}
}

// admit waits until the call may run, or returns a refusal. The caller must pass the ticket to Finish.
func (g *Gate) admit(ctx context.Context, now time.Time, call *hemlockcall.RelayRequest,
) (*hemlockadmission.Ticket[*waiter], error) {
	if err := g.checkTarget(call); err != nil {
		return nil, err
	}
	decision := g.suspects.Check(now, call.Fingerprint)
	if decision == hemlocksuspect.Refuse {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "the request was in flight when targets crashed")
	}
	ticket := g.controller.Offer(now, hemlockadmission.Attributes{
		Priority: call.Priority, Remaining: call.Remaining, Class: call.Class,
		LatencyObjective: call.LatencyObjective,
		Organisation:     call.Organisation, OrganisationRank: call.OrganisationRank,
		Suspect: decision == hemlocksuspect.RunAlone,
	}, &waiter{decided: make(chan struct{})})
	if ticket.Queued {
		g.scheduleLateCallCheck()
		select {
		case <-ticket.Value.decided:
		case <-call.Withdrawn:
			g.controller.Cancel(time.Now(), ticket)
			<-ticket.Value.decided
		case <-g.drain.Closed():
			g.controller.Cancel(time.Now(), ticket)
			<-ticket.Value.decided
		case <-ctx.Done():
			g.controller.Cancel(time.Now(), ticket)
			<-ticket.Value.decided
		}
	}
	if refusal := ticket.Refusal(); refusal != nil {
		if refusal.Reason == hemlockcall.ReasonCancelled && ctx.Err() == nil {
			refusal = refuseStopping(call)
		}
		return nil, refusal
	}
	if err := g.checkAdmitted(ctx, call); err != nil {
		g.controller.Finish(time.Now(), ticket, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, err
	}
	return ticket, nil
}

// checkAdmitted returns a refusal if an admitted call must not be passed to the target. Its target, its caller or this process may
// have changed while it was queued.
func (g *Gate) checkAdmitted(ctx context.Context, call *hemlockcall.RelayRequest) error {
	if err := g.checkTarget(call); err != nil {
		return err
	}
	switch {
	case ctx.Err() != nil:
		return hemlockcall.Refuse(hemlockcall.ReasonCancelled, "cancelled while the call was queued")
	case call.IsWithdrawn() || !g.mayBegin(ctx, call.Class):
		return refuseStopping(call)
	}
	return nil
}

// mayBegin reports whether a call of a class may be passed to the target with regard to the planned stop of this process. The context
// ends at the deadline of the call.
func (g *Gate) mayBegin(ctx context.Context, class string) bool {
	now := time.Now()
	work := hemlockdrain.Work{Expected: g.latencies.upper(class)}
	if deadline, ok := ctx.Deadline(); ok {
		work.Remaining = deadline.Sub(now)
	}
	return g.drain.MayBegin(now, work)
}

// refuseStopping returns the refusal of a call that is not passed to the target because its entry node or this process is stopping.
func refuseStopping(call *hemlockcall.RelayRequest) *hemlockcall.Refusal {
	if call.IsWithdrawn() {
		return hemlockcall.RefuseWithdrawn()
	}
	return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the node beside the target is stopping")
}

// checkTarget returns a refusal if the target is not ready or runs another service than the called one.
func (g *Gate) checkTarget(call *hemlockcall.RelayRequest) error {
	g.mutex.Lock()
	state, leaving := g.state, g.statements.report.Leaving
	g.mutex.Unlock()
	switch {
	case !state.Ready || leaving:
		return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the target is leaving, deregistered, unreachable or unknown")
	case state.Service != call.Service:
		return hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target runs another service")
	}
	return nil
}

// run sends the call to the target and records the execution for the search for poison requests. A panic during the
// call becomes a refusal with an unknown outcome.
func (g *Gate) run(ctx context.Context, call *hemlockcall.RelayRequest, arrival time.Time,
) (*hemlockcall.RelayResponse, error) {
	execution := g.suspects.Started(call.Fingerprint)
	var response *hemlockcall.RelayResponse
	var err error
	if panicked := hemlockcall.RecoverPanic(func() {
		response, err = g.target.Relay(ctx, call.WithRemaining(call.Remaining-time.Since(arrival)))
	}); panicked != nil {
		err = hemlockcall.RefuseUnknown(hemlockcall.ReasonPanic, panicked.Error())
	}
	if cleared := g.suspects.Finished(time.Now(), execution, err == nil); len(cleared) > 0 {
		g.onCleared(cleared)
	}
	return response, err
}

// resultOf returns how a call at the target ended, for the admission controller.
func (g *Gate) resultOf(response *hemlockcall.RelayResponse, err error) hemlockadmission.Result {
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		switch {
		case refusal.Reason == hemlockcall.ReasonCancelled:
			return hemlockadmission.Cancelled
		case refusal.Reason == hemlockcall.ReasonDeadline && refusal.Verdict == hemlockcall.VerdictUnknown:
			return hemlockadmission.TimedOut
		}
		// A target that refuses a call although it has free slots is faulty. The result is Failed, not Shed: a lower limit
		// would only take capacity from other calls.
		return hemlockadmission.Failed
	}
	if response.Status < minServerError {
		return hemlockadmission.Completed
	}
	return hemlockadmission.Failed
}

// scheduleLateCallCheck makes a timer refuse the late calls in the queue every lateCallInterval until the queue is
// empty. It does nothing if the timer runs already.
func (g *Gate) scheduleLateCallCheck() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.lateCallCheckScheduled {
		return
	}
	g.lateCallCheckScheduled = true
	time.AfterFunc(lateCallInterval, g.refuseLateCalls)
}

func (g *Gate) refuseLateCalls() {
	now := time.Now()
	g.controller.RefuseLate(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.lateCallCheckScheduled = g.controller.Snapshot(now).Queued > 0
	if g.lateCallCheckScheduled {
		time.AfterFunc(lateCallInterval, g.refuseLateCalls)
	}
}
