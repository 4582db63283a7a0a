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

// node is the decision code of one host, beside one target.
type node struct {
	sim        *simulation
	address    string
	zone       int
	target     *target
	controller *hemlockadmission.Controller[*call]
	table      *hemlockbalancer.Table
	suspects   *hemlocksuspect.Table
	budget     *hemlockretry.CallerRetryBudget
	inversions inversions
}

var zoneNames = []string{"a", "b", "c"}

func newNode(s *simulation, service, index int) *node {
	n := &node{sim: s, zone: (index + service) % len(zoneNames),
		address: s.house.Services[service].Name + "-" + strconv.Itoa(index)}
	n.target = &target{sim: s, service: service, index: index, running: map[uint64]*run{}, alive: true, cameUp: -1}
	options := []hemlockadmission.Option{hemlockadmission.WithoutMechanisms(s.variant.admission...)}
	if s.variant.queue > 0 {
		options = append(options, hemlockadmission.WithQueueSize(s.variant.queue))
	}
	n.controller = hemlockadmission.New(s.house.Services[service].Slots, n.decided, options...)
	n.table = hemlockbalancer.New(zoneNames[n.zone], s.random.IntN, hemlockbalancer.WithoutMechanisms(s.variant.routing...))
	n.suspects = hemlocksuspect.New(n.address)
	n.budget = hemlockretry.NewCallerRetryBudget()
	return n
}

// arrive takes in a call at the node beside its target.
func (n *node) arrive(c *call) {
	now := n.sim.loop.clock()
	remaining := c.deadline - n.sim.loop.now
	if n.sim.variant.noDeadline {
		remaining = time.Hour
	}
	suspect := false
	if !n.sim.variant.noSuspects {
		switch n.suspects.Check(now, c.root.fingerprint) {
		case hemlocksuspect.Refuse:
			c.answer(n, hemlockcall.Refuse(hemlockcall.ReasonSuspect, ""))
			return
		case hemlocksuspect.RunAlone:
			suspect = true
		}
	}
	d := hemlockadmission.Attributes{Priority: c.root.class.Priority, Depth: uint8(c.step), Remaining: remaining,
		Suspect: suspect, Class: c.root.class.Service + "/" + c.root.class.Name}
	if t := n.controller.Offer(now, d, c); !t.Queued {
		n.decided(t)
	}
}

// decided runs an admitted call or answers with the refusal.
func (n *node) decided(t *hemlockadmission.Ticket[*call]) {
	c := t.Value
	if !t.Admitted() {
		if t.Refusal().Reason == hemlockcall.ReasonOverload {
			n.inversions.refused(n.sim.loop.now, c.root.class.Priority)
		}
		c.answer(n, t.Refusal())
		return
	}
	n.inversions.admitted(n.sim.loop.now, c.root.class.Priority)
	if n.target.sheds() {
		n.controller.Finish(n.sim.loop.clock(), t, hemlockadmission.Outcome{Result: hemlockadmission.Shed})
		c.answer(n, hemlockcall.Refuse(hemlockcall.ReasonOverload, "the target sheds"))
		return
	}
	n.start(c, t)
}

func (n *node) start(c *call, t *hemlockadmission.Ticket[*call]) {
	n.target.lastRun++
	r := &run{id: n.target.lastRun, node: n, call: c, ticket: t, started: n.sim.loop.now}
	n.target.running[r.id] = r
	if c.step == 0 {
		c.root.started = n.sim.loop.now
	}
	flight := n.suspects.Started(c.root.fingerprint)
	c.flight = &flight
	if c.root.killer {
		n.sim.loop.after(20*time.Millisecond, func() {
			if !r.ended {
				n.crash()
			}
		})
		return
	}
	r.work = n.target.workFor(c.root.class.Units[c.step])
	n.sim.loop.after(r.work, func() { n.worked(r) })
	if !n.sim.variant.noDeadline {
		n.sim.loop.after(c.deadline-n.sim.loop.now, func() {
			n.finish(r, hemlockadmission.TimedOut, hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, ""))
		})
	}
}

// worked goes on with the nested call after a target's own work.
func (n *node) worked(r *run) {
	if r.ended {
		return
	}
	c := r.call
	if c.step+1 == len(c.root.class.Path) {
		n.finish(r, hemlockadmission.Completed, nil)
		return
	}
	nested := &invocation{node: n, root: c.root, step: c.step + 1, deadline: c.deadline,
		ledger: hemlockretry.NewRequestBudget(c.retries)}
	if n.sim.variant.baseline {
		nested.deadline = n.sim.loop.now + c.root.class.Timeout
	}
	nested.done = func(refusal *hemlockcall.Refusal) {
		c.unused = nested.ledger.Close()
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
	nested.attempt()
}

func (n *node) finish(r *run, result hemlockadmission.Result, refusal *hemlockcall.Refusal) {
	if r.ended {
		return
	}
	r.ended = true
	delete(n.target.running, r.id)
	n.sim.meter.worked(r.call.root, min(r.work, n.sim.loop.now-r.started))
	now := n.sim.loop.clock()
	if !r.call.root.killer || result == hemlockadmission.Completed {
		n.spread(n.suspects.Finished(now, *r.call.flight, result == hemlockadmission.Completed))
	}
	n.controller.Finish(now, r.ticket, hemlockadmission.Outcome{Result: result, ServiceTime: n.sim.loop.now - r.started})
	r.call.answer(n, refusal)
}

// crash kills the target: what runs there ends with unknown outcome, and it comes back cold.
func (n *node) crash() {
	s := n.sim
	if !n.target.alive {
		return
	}
	s.meter.crashes++
	n.target.alive = false
	n.spread(n.suspects.TargetCrashed(s.loop.clock()))
	ids := make([]uint64, 0, len(n.target.running))
	for id := range n.target.running {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	n.controller.SetSlots(s.loop.clock(), 0)
	for _, id := range ids {
		n.finish(n.target.running[id], hemlockadmission.Failed, hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, ""))
	}
	s.loop.after(time.Second, s.announce)
	s.loop.after(restartTime, func() {
		n.target.alive, n.target.cameUp = true, s.loop.now
		n.controller.SetSlots(s.loop.clock(), s.house.Services[n.target.service].Slots)
		s.loop.after(500*time.Millisecond, s.announce)
	})
}

// spread passes crash records on to the nodes of the zone, as gossip does.
func (n *node) spread(records []hemlocksuspect.Record) {
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
