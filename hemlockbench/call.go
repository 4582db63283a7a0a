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
	// freeReroutes is how often a call goes to another target without allowance after a refusal as not run that load
	// did not cause.
	freeReroutes = 2
	// longestBackoff bounds the random pause before a repeated attempt.
	longestBackoff = 50 * time.Millisecond
	// connectTime is how long a node waits for a connection to a zone that is cut off.
	connectTime = 200 * time.Millisecond
)

// invocation is one call of a node to a service, over its attempts.
type invocation struct {
	node     *node
	root     *request
	step     int
	deadline time.Duration
	ledger   *hemlockretry.RequestBudget
	tried    []string
	reroutes int
	repeats  int
	repeated bool // at least one attempt was made before
	ended    bool
	done     func(*hemlockcall.Refusal)
}

// call is one attempt of an invocation at one target.
type call struct {
	invocation *invocation
	root       *request
	step       int
	deadline   time.Duration
	retries    int // the share of the allowance that the attempt brings along
	unused     int // the rest that it returns
	share      *hemlockretry.Allocation
	to         *node
	sent       time.Duration
	settled    bool
	flight     *hemlocksuspect.Execution
}

func (i *invocation) end(refusal *hemlockcall.Refusal) {
	if !i.ended {
		i.ended = true
		i.done(refusal)
	}
}

// attempt picks a target and sends the call there.
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
	c := &call{invocation: i, root: i.root, step: i.step, deadline: i.deadline, to: to, sent: s.loop.now}
	if s.variant.noLedger {
		c.share, c.retries = hemlockretry.NewRequestBudget(0).Allocate(0), s.variant.hopRetries
	} else {
		c.share = i.ledger.AllocateHalf()
		c.retries = c.share.Retries()
	}
	c.unused = c.retries
	switch {
	case i.repeated:
		s.meter.repeats++
	case i.step == 0 && i.root.repeats > 0:
		s.meter.resent++
	}
	if !s.reachable(i.node, to) {
		s.loop.after(connectTime, func() { c.received(hemlockcall.Refuse(hemlockcall.ReasonConnection, "")) })
	} else {
		s.loop.after(s.latency(i.node, to), func() { to.arrive(c) })
	}
	s.loop.after(i.deadline-s.loop.now, func() { c.received(hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, "")) })
}

// pick chooses the target of an attempt. A suspect goes to one target of the zone.
func (i *invocation) pick() (*node, *hemlockcall.Refusal) {
	s, now := i.node.sim, i.node.sim.loop.clock()
	service := s.house.Services[i.root.class.Path[i.step]].Name
	if !s.variant.noSuspects {
		switch i.node.suspects.Check(now, i.root.fingerprint) {
		case hemlocksuspect.Refuse:
			return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
		case hemlocksuspect.RunAlone:
			home := hemlocksuspect.AssignedAddress(i.root.fingerprint, s.addresses(i.node.zone, service))
			if len(i.tried) > 0 {
				return nil, hemlockcall.Refuse(hemlockcall.ReasonSuspect, "")
			}
			if home != "" {
				i.tried = append(i.tried, home)
				i.node.table.Acquire(now, home)
				return s.byAddress[home], nil
			}
		}
	}
	target, err := i.node.table.Pick(now, service, i.root.class.Priority, i.tried)
	if err == nil {
		i.tried = append(i.tried, target.Address)
		return s.byAddress[target.Address], nil
	}
	if hemlockerror.KindOf[hemlockbalancer.Kind](err) == hemlockbalancer.KindShed {
		return nil, hemlockcall.Refuse(hemlockcall.ReasonOverload, "")
	}
	return nil, hemlockcall.Refuse(hemlockcall.ReasonUnavailable, "")
}

// answer sends the end of a call back to its caller's node, with feedback.
func (c *call) answer(n *node, refusal *hemlockcall.Refusal) {
	now := n.sim.loop.clock()
	snapshot := n.controller.Snapshot(now)
	feedback := hemlockcall.Feedback{UnusedRetries: c.unused, MinPriority: snapshot.MinPriority,
		InFlight: snapshot.InFlight + snapshot.Queued, Limit: snapshot.Limit}
	if n.target.misleads() {
		feedback.InFlight = 0
	}
	from := c.invocation.node
	if !n.sim.reachable(n, from) {
		return
	}
	n.sim.loop.after(n.sim.latency(n, from), func() { c.receivedWith(refusal, feedback, true) })
}

func (c *call) received(refusal *hemlockcall.Refusal) {
	c.receivedWith(refusal, hemlockcall.Feedback{}, false)
}

// receivedWith ends an attempt at the caller's node; only the first end counts.
func (c *call) receivedWith(refusal *hemlockcall.Refusal, feedback hemlockcall.Feedback, answered bool) {
	if c.settled {
		return
	}
	c.settled = true
	i, s := c.invocation, c.invocation.node.sim
	switch {
	case answered:
		c.share.Return(feedback.UnusedRetries)
	case refusal != nil && refusal.Verdict == hemlockcall.VerdictNotRun:
		c.share.Return(c.share.Retries())
	default:
		c.share.Forfeit()
	}
	i.node.table.Done(s.loop.clock(), c.to.address, hemlockbalancer.Result{Outcome: routingOutcome(refusal, answered),
		Latency: s.loop.now - c.sent, Feedback: feedback})
	if refusal == nil || !i.mayRepeat(refusal) {
		i.end(refusal)
		return
	}
	i.repeated = true
	s.loop.after(time.Duration(s.random.Int64N(int64(longestBackoff))), i.attempt)
}

func routingOutcome(refusal *hemlockcall.Refusal, answered bool) hemlockbalancer.Outcome {
	if refusal == nil {
		return hemlockbalancer.Completed
	}
	switch refusal.Reason {
	case hemlockcall.ReasonOverload:
		return hemlockbalancer.Refused
	case hemlockcall.ReasonDeadline:
		if refusal.Verdict == hemlockcall.VerdictNotRun && answered {
			return hemlockbalancer.Refused
		}
		return hemlockbalancer.TimedOut
	case hemlockcall.ReasonTarget, hemlockcall.ReasonCancelled, hemlockcall.ReasonSuspect:
		return hemlockbalancer.Cancelled // the target answered with an error of a nested call
	}
	return hemlockbalancer.Failed
}

// mayRepeat decides on another attempt as the data path does. An error response of a target is an answer.
func (i *invocation) mayRepeat(refusal *hemlockcall.Refusal) bool {
	variant := i.node.sim.variant
	if variant.baseline {
		i.repeats++
		notRun := refusal.Verdict == hemlockcall.VerdictNotRun
		if i.repeats > variant.hopRetries || i.root.class.AtMostOnce && !notRun {
			return false
		}
		i.tried = nil
		i.deadline = i.node.sim.loop.now + i.root.class.Timeout
		return true
	}
	notRun := refusal.Verdict == hemlockcall.VerdictNotRun
	noRepeat := []hemlockcall.Reason{hemlockcall.ReasonCancelled, hemlockcall.ReasonDeadline,
		hemlockcall.ReasonSuspect, hemlockcall.ReasonTarget}
	if slices.Contains(noRepeat, refusal.Reason) || !notRun && i.root.class.AtMostOnce {
		return false
	}
	if notRun && refusal.Reason != hemlockcall.ReasonOverload && i.reroutes < freeReroutes {
		i.reroutes++
		return true
	}
	if variant.noLedger {
		i.repeats++
		return i.repeats <= variant.hopRetries
	}
	return i.ledger.Spend()
}
