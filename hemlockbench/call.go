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
	// target without using its retry budget.
	maxReroutes = 2
	// maxBackoff limits the random delay before a retry.
	maxBackoff = 50 * time.Millisecond
	// connectTimeout is how long a node waits for a connection to a node on the other side of a partition.
	connectTimeout = 200 * time.Millisecond
)

// call is one call of a node to a service, with all its attempts. The service is the one at index step of the class's
// path.
type call struct {
	node        *node
	request     *request
	step        int
	deadline    time.Duration
	retryBudget *hemlockretry.RequestBudget
	tried       []string // addresses of the targets of earlier attempts
	reroutes    int
	retries     int  // counted only without a retry budget of the request
	retried     bool // the next attempt is a retry
	ended       bool
	onEnd       func(*hemlockcall.Refusal)
}

// attempt is one attempt of a call, at one target.
type attempt struct {
	call          *call
	request       *request
	step          int
	deadline      time.Duration
	nestedRetries int // the retries allocated to the nested calls
	unusedRetries int // those that the nested calls left over
	allocation    *hemlockretry.Allocation
	to            *node
	sent          time.Duration
	ended         bool
	execution     *hemlocksuspect.Execution
}

func (c *call) end(refusal *hemlockcall.Refusal) {
	if !c.ended {
		c.ended = true
		c.onEnd(refusal)
	}
}

// send picks a target and sends one attempt of the call to it.
func (c *call) send() {
	s := c.node.sim
	if c.ended {
		return
	}
	if s.loop.now >= c.deadline {
		c.end(hemlockcall.Refuse(hemlockcall.ReasonDeadline, ""))
		return
	}
	to, refusal := c.pick()
	if refusal != nil {
		c.end(refusal)
		return
	}
	a := &attempt{call: c, request: c.request, step: c.step, deadline: c.deadline, to: to, sent: s.loop.now}
	if s.variant.noRequestBudget {
		a.allocation, a.nestedRetries = hemlockretry.NewRequestBudget(0).Allocate(0), s.variant.hopRetries
	} else {
		a.allocation = c.retryBudget.AllocateHalf()
		a.nestedRetries = a.allocation.Retries()
	}
	a.unusedRetries = a.nestedRetries
	switch {
	case c.retried:
		s.meter.retries++
	case c.step == 0 && c.request.retries > 0:
		s.meter.callerRetries++
	}
	if !s.reachable(c.node, to) {
		s.loop.after(connectTimeout, func() { a.endWithoutResponse(hemlockcall.Refuse(hemlockcall.ReasonConnection, "")) })
	} else {
		s.loop.after(s.latency(c.node, to), func() { to.receive(a) })
	}
	s.loop.after(c.deadline-s.loop.now, func() {
		a.endWithoutResponse(hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, ""))
	})
}

// pick chooses the target of an attempt. A suspected poison request, which was in flight when a target crashed, may only
// run at the one target of the zone that is assigned to it.
func (c *call) pick() (*node, *hemlockcall.Refusal) {
	s, now := c.node.sim, c.node.sim.loop.clock()
	service := s.deployment.Services[c.request.class.Path[c.step]].Name
	if !s.variant.noSuspects {
		switch c.node.suspects.Check(now, c.request.fingerprint) {
		case hemlocksuspect.Refuse:
			return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
		case hemlocksuspect.RunAlone:
			assigned := hemlocksuspect.AssignedAddress(c.request.fingerprint, s.addresses(c.node.zone, service))
			if len(c.tried) > 0 {
				return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
			}
			if assigned != "" {
				c.tried = append(c.tried, assigned)
				c.node.balancer.Acquire(now, assigned)
				return s.byAddress[assigned], nil
			}
		}
	}
	target, err := c.node.balancer.Pick(now, service, c.request.class.Priority, c.tried)
	if err == nil {
		c.tried = append(c.tried, target.Address)
		return s.byAddress[target.Address], nil
	}
	if hemlockerror.KindOf[hemlockbalancer.Kind](err) == hemlockbalancer.KindShed {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "")
	}
	return nil, hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "")
}

// respond sends the outcome of an attempt and the load feedback back to the calling node.
func (a *attempt) respond(n *node, refusal *hemlockcall.Refusal) {
	now := n.sim.loop.clock()
	snapshot := n.controller.Snapshot(now)
	feedback := hemlockcall.Feedback{UnusedRetries: a.unusedRetries, MinPriority: snapshot.MinPriority,
		InFlight: snapshot.InFlight + snapshot.Queued, Limit: snapshot.Limit}
	if n.target.reportsIdle() {
		feedback.InFlight = 0
	}
	from := a.call.node
	if !n.sim.reachable(n, from) {
		return
	}
	n.sim.loop.after(n.sim.latency(n, from), func() { a.end(refusal, feedback, true) })
}

func (a *attempt) endWithoutResponse(refusal *hemlockcall.Refusal) {
	a.end(refusal, hemlockcall.Feedback{}, false)
}

// end records the outcome of an attempt at the calling node and retries the call if that is allowed. Only the first
// outcome counts.
func (a *attempt) end(refusal *hemlockcall.Refusal, feedback hemlockcall.Feedback, responded bool) {
	if a.ended {
		return
	}
	a.ended = true
	c, s := a.call, a.call.node.sim
	switch {
	case responded:
		a.allocation.Return(feedback.UnusedRetries)
	case refusal != nil && refusal.Verdict == hemlockcall.VerdictNotRun:
		a.allocation.Return(a.allocation.Retries())
	default:
		a.allocation.Forfeit()
	}
	c.node.balancer.Done(s.loop.clock(), a.to.address, hemlockbalancer.Result{Outcome: balancerOutcome(refusal, responded),
		Latency: s.loop.now - a.sent, Feedback: feedback})
	if refusal == nil || !c.mayRetry(refusal) {
		c.end(refusal)
		return
	}
	c.retried = true
	s.loop.after(time.Duration(s.random.Int64N(int64(maxBackoff))), c.send)
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
		return hemlockbalancer.Cancelled // says nothing about the target: ReasonTarget reports a nested call that failed
	}
	return hemlockbalancer.Failed
}

// mayRetry reports whether the call is retried. All variants except the baselines follow the rules of the real nodes,
// by which an error response of a target is final. A baseline retries a call up to hopRetries times after any error,
// with the full timeout of the class each time; it does not retry an at-most-once call of unknown outcome.
func (c *call) mayRetry(refusal *hemlockcall.Refusal) bool {
	variant := c.node.sim.variant
	if variant.baseline {
		c.retries++
		notRun := refusal.Verdict == hemlockcall.VerdictNotRun
		if c.retries > variant.hopRetries || c.request.class.AtMostOnce && !notRun {
			return false
		}
		c.tried = nil
		c.deadline = c.node.sim.loop.now + c.request.class.Timeout
		return true
	}
	notRun := refusal.Verdict == hemlockcall.VerdictNotRun
	neverRetried := []hemlockcall.Reason{hemlockcall.ReasonCancelled, hemlockcall.ReasonDeadline,
		hemlockcall.ReasonSuspect, hemlockcall.ReasonTarget}
	if slices.Contains(neverRetried, refusal.Reason) || !notRun && c.request.class.AtMostOnce {
		return false
	}
	if notRun && refusal.Reason != hemlockcall.ReasonOverload && c.reroutes < maxReroutes {
		c.reroutes++
		return true
	}
	if variant.noRequestBudget {
		c.retries++
		return c.retries <= variant.hopRetries
	}
	return c.retryBudget.Spend()
}
