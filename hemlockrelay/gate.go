// Package hemlockrelay carries calls from the node where they enter to the target that runs them: the entry chooses the
// target and repeats what may be repeated, the gate is the only way to the target beside it. It opens no sockets.
package hemlockrelay

import (
	"context"
	"sync"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlocksuspect"
)

const (
	// advanceInterval is how often the queue is searched for calls whose time ran out, while there are any.
	advanceInterval = 20 * time.Millisecond
	// slotShare is the part of the slots in use at the most: new connections hold slots too, and some targets slow down
	// when they are nearly full.
	slotShare = 0.95
	// queueShare bounds the queue in multiples of the slots: a few service times, for a refused call fails its tree.
	queueShare = 4
)

// waiter is a call at the gate.
type waiter struct {
	// decided is closed when a queued call was decided.
	decided chan struct{}
}

// Gate decides which calls run at the target beside it and hands them over. It is safe for concurrent use.
type Gate struct {
	target     hemlockcall.Relayer
	controller *hemlockadmission.Controller[*waiter]
	suspects   *hemlocksuspect.Table
	observer   Observer
	// loads returns what this node knows of other services.
	loads func(now time.Time) []hemlockcall.ServiceLoad

	mutex sync.Mutex
	state TargetState
	// advancing is set while a goroutine drops late calls from the queue.
	advancing bool
}

// TargetState is what the gate knows about its target.
type TargetState struct {
	// Service is the service that the target runs; empty while unknown.
	Service string
	// Instance identifies the target's process; it changes with each start.
	Instance string
	// Slots is the number of requests that the target runs at the same time.
	Slots int
	// Ready is false for a target that is leaving, gone or unknown; it then gets no call.
	Ready bool
}

// NewGate returns the gate of a target that is not known yet.
func NewGate(target hemlockcall.Relayer, suspects *hemlocksuspect.Table, observer Observer) *Gate {
	g := &Gate{target: target, suspects: suspects, observer: observer,
		loads: func(time.Time) []hemlockcall.ServiceLoad { return nil }}
	g.controller = hemlockadmission.New(0, func(t *hemlockadmission.Ticket[*waiter]) { close(t.Value.decided) },
		hemlockadmission.WithQueueFactor(queueShare),
		// Entries turn less important trees away before they begin; a hold here would fail those that were let in. The slots
		// are known exactly, and a limit that starts low after each restart of the node would look like load.
		hemlockadmission.WithoutMechanisms(hemlockadmission.PriorityHold, hemlockadmission.AdaptiveLimit, hemlockadmission.ColdStart))
	return g
}

// SetLoadSource sets what the gate reports of other services. It is called before the first call.
func (g *Gate) SetLoadSource(loads func(now time.Time) []hemlockcall.ServiceLoad) {
	g.loads = loads
}

// State returns what is known about the target.
func (g *Gate) State() TargetState {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.state
}

// SetState takes in what the target announced. From the moment at which it returns, a target that is not ready gets no
// call; those that wait are refused as not run.
func (g *Gate) SetState(now time.Time, state TargetState) {
	g.mutex.Lock()
	old := g.state
	g.state = state
	g.mutex.Unlock()
	if old.Instance != state.Instance && old.Ready {
		g.controller.SetSlots(now, 0) // another process: what waits was meant for the former one
	}
	slots := max(1, int(float64(state.Slots)*slotShare))
	if !state.Ready {
		slots = 0
	}
	g.controller.SetSlots(now, slots)
}

// Snapshot returns the load at the target.
func (g *Gate) Snapshot(now time.Time) hemlockadmission.Snapshot {
	return g.controller.Snapshot(now)
}

// Relay implements hemlockcall.Relayer: it runs the call at the target, or refuses it.
func (g *Gate) Relay(ctx context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	arrival := time.Now()
	// Calls of other nodes come with a context that ends with their time; another one would only cost a timer.
	if end, ok := ctx.Deadline(); !ok || end.After(arrival.Add(call.Remaining)) {
		limited, cancel := context.WithDeadline(ctx, arrival.Add(call.Remaining))
		defer cancel()
		ctx = limited
	}
	ticket, err := g.admit(ctx, arrival, call)
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		g.observer.Refused(SideGate, call, refusal, time.Since(arrival))
		return nil, refusal.WithFeedback(g.feedback())
	}
	started := time.Now()
	answer, err := g.run(ctx, call, arrival)
	ended := time.Now()
	g.controller.Finish(ended, ticket, hemlockadmission.Outcome{
		Result: g.resultOf(answer, err), ServiceTime: ended.Sub(started)})
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		g.observer.Refused(SideGate, call, refusal, ended.Sub(arrival))
		return nil, refusal.WithFeedback(g.feedback())
	}
	answer.ServiceTime = ended.Sub(started)
	answer.Feedback = g.feedback()
	g.observer.Answered(SideGate, call, answer, ended.Sub(arrival))
	return answer, nil
}

func (g *Gate) feedback() hemlockcall.Feedback {
	now := time.Now()
	s := g.controller.Snapshot(now)
	return hemlockcall.Feedback{MinPriority: s.Level, InFlight: s.InFlight + s.Queued, Limit: s.Limit, Loads: g.loads(now)}
}

// admit waits until the call may run.
func (g *Gate) admit(ctx context.Context, now time.Time, call *hemlockcall.RelayRequest,
) (*hemlockadmission.Ticket[*waiter], error) {
	if err := g.mayRun(call); err != nil {
		return nil, err
	}
	verdict := g.suspects.Check(now, call.Fingerprint)
	if verdict == hemlocksuspect.Refuse {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "the request was in flight when targets crashed")
	}
	ticket := g.controller.Offer(now, hemlockadmission.Attributes{
		Priority: call.Priority, Depth: call.Depth, Remaining: call.Remaining, Class: call.Class,
		Objective: call.LatencyObjective,
		Suspect:   verdict == hemlocksuspect.RunAlone,
	}, &waiter{decided: make(chan struct{})})
	if ticket.Queued {
		g.startAdvancing()
		select {
		case <-ticket.Value.decided:
		case <-ctx.Done():
			g.controller.Cancel(time.Now(), ticket)
			<-ticket.Value.decided
		}
	}
	if refusal := ticket.Refusal(); refusal != nil {
		return nil, refusal
	}
	// The target may have changed while the call waited.
	if err := g.mayRun(call); err != nil {
		g.controller.Finish(time.Now(), ticket, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, err
	}
	if ctx.Err() != nil {
		g.controller.Finish(time.Now(), ticket, hemlockadmission.Outcome{Result: hemlockadmission.Cancelled})
		return nil, hemlockcall.Refuse(hemlockcall.ReasonCancelled, "given up while the call waited")
	}
	return ticket, nil
}

// mayRun keeps calls from a target that leaves or runs another service.
func (g *Gate) mayRun(call *hemlockcall.RelayRequest) error {
	state := g.State()
	switch {
	case !state.Ready:
		return hemlockcall.Refuse(hemlockcall.ReasonLeaving, "the target is leaving, gone or not known yet")
	case state.Service != call.Service:
		return hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "the target runs another service")
	}
	return nil
}

func (g *Gate) run(ctx context.Context, call *hemlockcall.RelayRequest, arrival time.Time) (*hemlockcall.RelayResponse, error) {
	flight := g.suspects.Started(call.Fingerprint)
	var answer *hemlockcall.RelayResponse
	var err error
	if fault := hemlockcall.RecoverPanic(func() {
		answer, err = g.target.Relay(ctx, call.WithRemaining(call.Remaining-time.Since(arrival)))
	}); fault != nil {
		err = hemlockcall.RefuseUnknown(hemlockcall.ReasonFault, fault.Error())
	}
	g.suspects.Finished(time.Now(), flight, err == nil)
	return answer, err
}

// resultOf tells the admission controller how a run ended.
func (g *Gate) resultOf(answer *hemlockcall.RelayResponse, err error) hemlockadmission.Result {
	if err != nil {
		refusal := hemlockcall.AsRefusal(err)
		switch {
		case refusal.Reason == hemlockcall.ReasonCancelled:
			return hemlockadmission.Cancelled
		case refusal.Reason == hemlockcall.ReasonDeadline && refusal.Verdict == hemlockcall.VerdictUnknown:
			return hemlockadmission.TimedOut
		}
		// A target that refuses within its slots is at fault; a lower limit would only take room from other calls.
		return hemlockadmission.Failed
	}
	if answer.Status < serverError {
		return hemlockadmission.Completed
	}
	return hemlockadmission.Failed
}

// startAdvancing drops late calls from the queue until it is empty.
func (g *Gate) startAdvancing() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.advancing {
		return
	}
	g.advancing = true
	time.AfterFunc(advanceInterval, g.advance)
}

func (g *Gate) advance() {
	now := time.Now()
	g.controller.DropExpired(now)
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.advancing = g.controller.Snapshot(now).Queued > 0
	if g.advancing {
		time.AfterFunc(advanceInterval, g.advance)
	}
}
