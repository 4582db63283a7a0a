package hemlockbench

import (
	"slices"
	"time"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

const (
	// maxReroutes limits how often a call that was refused before execution, for another reason than load, goes to another
	// target without a retry of its budget.
	maxReroutes = 2
	// maxBackoff limits the random delay before a retry.
	maxBackoff = 50 * time.Millisecond
	// connectTimeout is how long a node waits for a connection to a partitioned zone.
	connectTimeout = 200 * time.Millisecond
)

// invocation is one call of a node to a service, with all its attempts. Its service is the one at index step of the
// class's path.
type invocation struct {
	node        *node
	request     *request
	step        int
	deadline    time.Duration
	retryBudget *hemlockretry.RequestBudget
	tried       []string // addresses of the targets of earlier attempts
	reroutes    int
	retries     int
	retried     bool // the next attempt is a retry
	ended       bool
	onEnd       func(*hemlockcall.Refusal)
}

// call is one attempt of an invocation at one target.
type call struct {
	invocation *invocation
	request    *request
	step       int
	deadline   time.Duration
	retries    int // the retries allocated to the nested calls
	unused     int // those that the nested calls left over
	allocation *hemlockretry.Allocation
	to         *node
	sent       time.Duration
	ended      bool
	execution  *hemlocksuspect.Execution
}

func (i *invocation) end(refusal *hemlockcall.Refusal) {
	if !i.ended {
		i.ended = true
		i.onEnd(refusal)
	}
}

// attempt picks a target and sends one attempt of the call to it.
func (i *invocation) attempt() {
	s := i.node.sim
	if i.ended {
		return
	}
	if s.loop.now >= i.deadline {
		i.end(hemlockcall.Refuse(hemlockcall.ReasonDeadline, ""))
		return
	}
	to, refusal := i.pick()
	if refusal != nil {
		i.end(refusal)
		return
	}
	c := &call{invocation: i, request: i.request, step: i.step, deadline: i.deadline, to: to, sent: s.loop.now}
	if s.variant.noRequestBudget {
		c.allocation, c.retries = hemlockretry.NewRequestBudget(0).Allocate(0), s.variant.hopRetries
	} else {
		c.allocation = i.retryBudget.AllocateHalf()
		c.retries = c.allocation.Attempts()
	}
	c.unused = c.retries
	switch {
	case i.retried:
		s.meter.retries++
	case i.step == 0 && i.request.retries > 0:
		s.meter.callerRetries++
	}
	if !s.reachable(i.node, to) {
		s.loop.after(connectTimeout, func() { c.endWithoutResponse(hemlockcall.Refuse(hemlockcall.ReasonConnection, "")) })
	} else {
		s.loop.after(s.latency(i.node, to), func() { to.receive(c) })
	}
	s.loop.after(i.deadline-s.loop.now, func() {
		c.endWithoutResponse(hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, ""))
	})
}

// pick chooses the target of an attempt. A suspected poison request, which was in flight when a target crashed, may only
// run at the one target of the zone that is assigned to it.
func (i *invocation) pick() (*node, *hemlockcall.Refusal) {
	s, now := i.node.sim, i.node.sim.loop.clock()
	service := s.deployment.Services[i.request.class.Path[i.step]].Name
	if !s.variant.noSuspects {
		switch i.node.suspects.Check(now, i.request.fingerprint) {
		case hemlocksuspect.Refuse:
			return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
		case hemlocksuspect.RunAlone:
			assigned := hemlocksuspect.AssignedAddress(i.request.fingerprint, s.addresses(i.node.zone, service))
			if len(i.tried) > 0 {
				return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
			}
			if assigned != "" {
				i.tried = append(i.tried, assigned)
				i.node.table.Acquire(now, assigned)
				return s.byAddress[assigned], nil
			}
		}
	}
	target, err := i.node.table.Pick(now, service, i.request.class.Priority, i.tried)
	if err == nil {
		i.tried = append(i.tried, target.Address)
		return s.byAddress[target.Address], nil
	}
	if hemlockerror.KindOf[hemlockbalancer.Kind](err) == hemlockbalancer.KindShed {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "")
	}
	return nil, hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "")
}

// respond sends the outcome of an attempt and the load feedback back to the calling node.
func (c *call) respond(n *node, refusal *hemlockcall.Refusal) {
	now := n.sim.loop.clock()
	snapshot := n.controller.Snapshot(now)
	feedback := hemlockcall.Feedback{UnusedRetries: c.unused, MinPriority: snapshot.Level,
		InFlight: snapshot.InFlight + snapshot.Queued, Limit: snapshot.Limit}
	if n.target.reportsIdle() {
		feedback.InFlight = 0
	}
	from := c.invocation.node
	if !n.sim.reachable(n, from) {
		return
	}
	n.sim.loop.after(n.sim.latency(n, from), func() { c.end(refusal, feedback, true) })
}

func (c *call) endWithoutResponse(refusal *hemlockcall.Refusal) {
	c.end(refusal, hemlockcall.Feedback{}, false)
}

// end records the outcome of an attempt at the calling node and retries the call if that is allowed. Only the first
// outcome counts.
func (c *call) end(refusal *hemlockcall.Refusal, feedback hemlockcall.Feedback, responded bool) {
	if c.ended {
		return
	}
	c.ended = true
	i, s := c.invocation, c.invocation.node.sim
	switch {
	case responded:
		c.allocation.Return(feedback.UnusedRetries)
	case refusal != nil && refusal.Verdict == hemlockcall.VerdictNotRun:
		c.allocation.Return(c.allocation.Attempts())
	default:
		c.allocation.Forfeit()
	}
	i.node.table.Done(s.loop.clock(), c.to.address, hemlockbalancer.Result{Outcome: balancerOutcome(refusal, responded),
		Latency: s.loop.now - c.sent, Feedback: feedback})
	if refusal == nil || !i.mayRetry(refusal) {
		i.end(refusal)
		return
	}
	i.retried = true
	s.loop.after(time.Duration(s.random.Int64N(int64(maxBackoff))), i.attempt)
}

func balancerOutcome(refusal *hemlockcall.Refusal, responded bool) hemlockbalancer.Outcome {
	if refusal == nil {
		return hemlockbalancer.Completed
	}
	switch refusal.Reason {
	case hemlockcall.ReasonOverload:
		return hemlockbalancer.Refused
	case hemlockcall.ReasonDeadline:
		if refusal.Verdict == hemlockcall.VerdictNotRun && responded {
			return hemlockbalancer.Refused
		}
		return hemlockbalancer.TimedOut
	case hemlockcall.ReasonTarget, hemlockcall.ReasonCancelled, hemlockcall.ReasonSuspect:
		return hemlockbalancer.Cancelled // the target answered with an error of a nested call
	}
	return hemlockbalancer.Failed
}

// mayRetry decides on another attempt by the rules of the real nodes. An error response of a target is final.
func (i *invocation) mayRetry(refusal *hemlockcall.Refusal) bool {
	variant := i.node.sim.variant
	if variant.baseline {
		i.retries++
		notRun := refusal.Verdict == hemlockcall.VerdictNotRun
		if i.retries > variant.hopRetries || i.request.class.AtMostOnce && !notRun {
			return false
		}
		i.tried = nil
		i.deadline = i.node.sim.loop.now + i.request.class.Timeout
		return true
	}
	notRun := refusal.Verdict == hemlockcall.VerdictNotRun
	neverRetried := []hemlockcall.Reason{hemlockcall.ReasonCancelled, hemlockcall.ReasonDeadline,
		hemlockcall.ReasonSuspect, hemlockcall.ReasonTarget}
	if slices.Contains(neverRetried, refusal.Reason) || !notRun && i.request.class.AtMostOnce {
		return false
	}
	if notRun && refusal.Reason != hemlockcall.ReasonOverload && i.reroutes < maxReroutes {
		i.reroutes++
		return true
	}
	if variant.noRequestBudget {
		i.retries++
		return i.retries <= variant.hopRetries
	}
	return i.retryBudget.Spend()
}
