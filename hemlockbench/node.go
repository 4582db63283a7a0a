package hemlockbench

import (
	"slices"
	"strconv"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlocksuspect"
)

// node is the simulated node of one host, beside its target: the decision packages without the network.
type node struct {
	sim          *simulation
	address      string
	zone         int
	target       *target
	controller   *hemlockadmission.Controller[*attempt]
	balancer     *hemlockbalancer.Balancer
	suspects     *hemlocksuspect.Table
	callerBudget *hemlockretry.CallerRetryBudget
	inversions   inversions
}

var zoneNames = []string{"a", "b", "c"}

func newNode(s *simulation, service, index int) *node {
	n := &node{sim: s, zone: (index + service) % len(zoneNames),
		address: s.deployment.Services[service].Name + "-" + strconv.Itoa(index)}
	n.target = &target{sim: s, service: service, index: index, running: map[uint64]*run{}, alive: true, restartedAt: -1}
	options := []hemlockadmission.Option{hemlockadmission.WithoutMechanisms(s.variant.withoutAdmission...)}
	if s.variant.queueSize > 0 {
		options = append(options, hemlockadmission.WithQueueSize(s.variant.queueSize))
	}
	n.controller = hemlockadmission.New(s.deployment.Services[service].Slots, n.onDecided, options...)
	n.balancer = hemlockbalancer.New(zoneNames[n.zone], s.random.IntN, hemlockbalancer.WithoutMechanisms(s.variant.withoutBalancing...))
	n.suspects = hemlocksuspect.New(n.address)
	n.callerBudget = hemlockretry.NewCallerRetryBudget()
	return n
}

// receive handles an attempt that arrives at the node beside its target.
func (n *node) receive(a *attempt) {
	now := n.sim.loop.clock()
	remaining := a.deadline - n.sim.loop.now
	if n.sim.variant.noDeadline {
		remaining = time.Hour
	}
	suspect := false
	if !n.sim.variant.noSuspects {
		switch n.suspects.Check(now, a.request.fingerprint) {
		case hemlocksuspect.Refuse:
			a.respond(n, hemlockcall.Refuse(hemlockcall.ReasonSuspect, ""))
			return
		case hemlocksuspect.RunAlone:
			suspect = true
		}
	}
	attributes := hemlockadmission.Attributes{Priority: a.request.class.Priority, Depth: uint8(a.step), Remaining: remaining,
		Suspect: suspect, Class: a.request.class.Service + "/" + a.request.class.Name}
	if t := n.controller.Offer(now, attributes, a); !t.Queued {
		n.onDecided(t)
	}
}

// onDecided runs an admitted attempt unless the target sheds it, or else responds with the refusal.
func (n *node) onDecided(t *hemlockadmission.Ticket[*attempt]) {
	a := t.Value
	if !t.Admitted() {
		if t.Refusal().Reason == hemlockcall.ReasonOverload {
			n.inversions.refused(n.sim.loop.now, a.request.class.Priority)
		}
		a.respond(n, t.Refusal())
		return
	}
	n.inversions.admitted(n.sim.loop.now, a.request.class.Priority)
	if n.target.sheds() {
		n.controller.Finish(n.sim.loop.clock(), t, hemlockadmission.Outcome{Result: hemlockadmission.Shed})
		a.respond(n, hemlockcall.Refuse(hemlockcall.ReasonOverload, "the target sheds"))
		return
	}
	n.start(a, t)
}

func (n *node) start(a *attempt, t *hemlockadmission.Ticket[*attempt]) {
	n.target.lastRunID++
	r := &run{id: n.target.lastRunID, node: n, attempt: a, ticket: t, started: n.sim.loop.now}
	n.target.running[r.id] = r
	if a.step == 0 {
		a.request.started = n.sim.loop.now
	}
	execution := n.suspects.Started(a.request.fingerprint)
	a.execution = &execution
	if a.request.poison {
		n.sim.loop.after(20*time.Millisecond, func() {
			if !r.ended {
				n.crash()
			}
		})
		return
	}
	r.work = n.target.workFor(a.request.class.Units[a.step])
	n.sim.loop.after(r.work, func() { n.ownWorkDone(r) })
	if !n.sim.variant.noDeadline {
		n.sim.loop.after(a.deadline-n.sim.loop.now, func() {
			n.finish(r, hemlockadmission.TimedOut, hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, ""))
		})
	}
}

// ownWorkDone continues a run after the target's own work, with the nested call if there is one.
func (n *node) ownWorkDone(r *run) {
	if r.ended {
		return
	}
	a := r.attempt
	if a.step+1 == len(a.request.class.Path) {
		n.finish(r, hemlockadmission.Completed, nil)
		return
	}
	nested := &call{node: n, request: a.request, step: a.step + 1, deadline: a.deadline,
		retryBudget: hemlockretry.NewRequestBudget(a.nestedRetries)}
	if n.sim.variant.baseline {
		nested.deadline = n.sim.loop.now + a.request.class.Timeout
	}
	nested.onEnd = func(refusal *hemlockcall.Refusal) {
		a.unusedRetries = nested.retryBudget.Close()
		if refusal != nil {
			result := hemlockadmission.Failed
			if refusal.Reason == hemlockcall.ReasonOverload || refusal.Reason == hemlockcall.ReasonDeadline {
				result = hemlockadmission.NestedRefused
			}
			n.finish(r, result, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, ""))
			return
		}
		n.finish(r, hemlockadmission.Completed, nil)
	}
	nested.send()
}

func (n *node) finish(r *run, result hemlockadmission.Result, refusal *hemlockcall.Refusal) {
	if r.ended {
		return
	}
	r.ended = true
	delete(n.target.running, r.id)
	n.sim.meter.recordWork(r.attempt.request, min(r.work, n.sim.loop.now-r.started))
	now := n.sim.loop.clock()
	if !r.attempt.request.poison || result == hemlockadmission.Completed {
		n.disseminate(n.suspects.Finished(now, *r.attempt.execution, result == hemlockadmission.Completed))
	}
	n.controller.Finish(now, r.ticket, hemlockadmission.Outcome{Result: result, ServiceTime: n.sim.loop.now - r.started})
	r.attempt.respond(n, refusal)
}

// crash kills the target: the requests that run there end with an unknown outcome, and the target restarts after
// restartTime with a slow start.
func (n *node) crash() {
	s := n.sim
	if !n.target.alive {
		return
	}
	s.meter.crashes++
	n.target.alive = false
	n.disseminate(n.suspects.TargetCrashed(s.loop.clock()))
	ids := make([]uint64, 0, len(n.target.running))
	for id := range n.target.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	n.controller.SetSlots(s.loop.clock(), 0)
	for _, id := range ids {
		n.finish(n.target.running[id], hemlockadmission.Failed, hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, ""))
	}
	s.loop.after(time.Second, s.updateTargets)
	s.loop.after(restartTime, func() {
		n.target.alive, n.target.restartedAt = true, s.loop.now
		n.controller.SetSlots(s.loop.clock(), s.deployment.Services[n.target.service].Slots)
		s.loop.after(500*time.Millisecond, s.updateTargets)
	})
}

// disseminate sends crash records to the other nodes of the zone, as gossip does.
func (n *node) disseminate(records []hemlocksuspect.Record) {
	if len(records) == 0 || n.sim.variant.noSuspects {
		return
	}
	n.sim.loop.after(100*time.Millisecond, func() {
		for _, m := range n.sim.nodes {
			if m.zone == n.zone && m != n {
				m.suspects.Merge(n.sim.loop.clock(), records)
			}
		}
	})
}
