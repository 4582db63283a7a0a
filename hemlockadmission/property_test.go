package hemlockadmission

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
)

// without disables a mechanism, to show which properties depend on it.
var without = flag.Int("without", -1, "mechanism to disable, by number")

func disabledByFlag() Option {
	if *without < 0 {
		return WithoutMechanisms()
	}
	return WithoutMechanisms(Mechanism(*without))
}

// harness offers calls to two controllers, chosen by the load balancer of one calling node, and checks every decision.
type harness struct {
	t         *rapid.T
	now       time.Time
	balancer  *hemlockbalancer.Balancer
	nodes     map[string]*node
	addresses []string
}

// node is one controller with the history that its decisions are checked against.
type node struct {
	controller *Controller[*call]
	calls      []*call
	refusedAt  [hemlockcall.PriorityCount]time.Time
}

type call struct {
	ticket    *Ticket[*call]
	decisions int
	finished  bool
}

func newHarness(t *rapid.T) *harness {
	h := &harness{t: t, now: start, nodes: map[string]*node{}, addresses: []string{"1", "2"}}
	random := rapid.IntRange(0, 1<<20)
	h.balancer = hemlockbalancer.New("a", func(n int) int { return random.Draw(t, "random") % n })
	var targets []hemlockcall.Target
	for _, address := range h.addresses {
		n := &node{}
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		n.controller = New(slots, func(k *Ticket[*call]) { h.checkDecision(n, k) },
			WithQueueSize(rapid.IntRange(1, 4).Draw(t, "queue")), disabledByFlag())
		h.nodes[address] = n
		targets = append(targets, hemlockcall.Target{Address: address, Zone: "a", Service: "s", Slots: slots,
			Ready: true})
	}
	h.balancer.Replace(h.now, targets)
	return h
}

func (h *harness) fail(format string, arguments ...any) {
	h.t.Fatalf(format, arguments...)
}

// offer offers a call to the node that the balancer picks, for which the reported minimum priorities may be outdated, or to
// any node, as the balancer of another calling node may.
func (h *harness) offer() {
	attributes := Attributes{
		Priority:  hemlockcall.Priority(rapid.IntRange(0, hemlockcall.PriorityCount-1).Draw(h.t, "priority")),
		Rank:      uint8(rapid.IntRange(0, 2).Draw(h.t, "rank")),
		Depth:     uint8(rapid.IntRange(0, 3).Draw(h.t, "depth")),
		Remaining: time.Duration(rapid.IntRange(0, 500).Draw(h.t, "remaining")) * time.Millisecond,
		Class:     rapid.SampledFrom([]string{"x", "y"}).Draw(h.t, "class"),
		Suspect:   rapid.IntRange(0, 9).Draw(h.t, "suspect") == 0,
	}
	address := h.addresses[rapid.IntRange(0, 1).Draw(h.t, "target")]
	if rapid.Bool().Draw(h.t, "picked by balancer") {
		target, err := h.balancer.Pick(h.now, "s", attributes.Priority, nil)
		if err != nil {
			if attributes.Priority == hemlockcall.Critical {
				h.fail("a critical call was refused by the load balancer: %v", err)
			}
			return
		}
		address = target.Address
		defer func() {
			s := h.nodes[address].controller.Snapshot(h.now)
			h.balancer.Done(h.now, address, hemlockbalancer.Result{Outcome: hemlockbalancer.Completed, Latency: time.Millisecond,
				Feedback: hemlockcall.Feedback{MinPriority: s.MinPriority, InFlight: s.InFlight + s.Queued, Limit: s.Limit}})
		}()
	}
	n := h.nodes[address]
	c := &call{}
	c.ticket = n.controller.Offer(h.now, attributes, c)
	n.calls = append(n.calls, c)
	if !c.ticket.Queued {
		h.checkDecision(n, c.ticket)
	}
}

// checkDecision checks one decision against the earlier ones of the same node.
func (h *harness) checkDecision(n *node, k *Ticket[*call]) {
	k.Value.decisions++
	if k.Value.decisions > 1 {
		h.fail("a ticket was decided %d times, want once", k.Value.decisions)
	}
	priority := k.Attributes.Priority
	if !k.Admitted() {
		if k.Refusal().Reason == hemlockcall.ReasonOverload {
			n.refusedAt[priority] = h.now
		}
		return
	}
	for higher := priority + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
		if at := n.refusedAt[higher]; !at.IsZero() && h.now.Sub(at) < defaultHoldTime {
			h.fail("%v admitted %v after %v was refused because of load", priority, h.now.Sub(at), higher)
		}
	}
}

// checkState checks the invariants between operations.
func (h *harness) checkState() {
	for _, address := range h.addresses {
		n := h.nodes[address]
		s := n.controller.Snapshot(h.now)
		running, waiting, suspects := 0, 0, 0
		for _, c := range n.calls {
			switch {
			case c.decisions == 0:
				waiting++
				for higher := c.ticket.Attributes.Priority + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
					if n.refusedAt[higher].Equal(h.now) {
						h.fail("%v is queued while %v is refused because of load", c.ticket.Attributes.Priority, higher)
					}
				}
			case c.ticket.Admitted() && !c.finished:
				running++
				if c.ticket.Attributes.Suspect {
					suspects++
				}
			}
		}
		if running != s.InFlight || waiting != s.Queued || suspects > 1 || running > s.Slots {
			h.fail("%d running, %d queued, %d running suspects; the controller reports %+v", running, waiting, suspects, s)
		}
	}
}

func (h *harness) finish() {
	n := h.nodes[h.addresses[rapid.IntRange(0, 1).Draw(h.t, "target")]]
	var running []*call
	for _, c := range n.calls {
		if c.ticket.Admitted() && !c.finished {
			running = append(running, c)
		}
	}
	if len(running) == 0 {
		return
	}
	c := rapid.SampledFrom(running).Draw(h.t, "running")
	c.finished = true
	o := Outcome{Result: Result(rapid.IntRange(0, int(NestedRefused)).Draw(h.t, "result")),
		ServiceTime: time.Duration(rapid.IntRange(1, 100).Draw(h.t, "service")) * time.Millisecond}
	n.controller.Finish(h.now, c.ticket, o)
	n.controller.Finish(h.now, c.ticket, o) // a second call has no effect
}

func (h *harness) cancel() {
	n := h.nodes[h.addresses[rapid.IntRange(0, 1).Draw(h.t, "target")]]
	if len(n.calls) > 0 {
		n.controller.Cancel(h.now, rapid.SampledFrom(n.calls).Draw(h.t, "cancelled").ticket)
	}
}

func (h *harness) resize() {
	n := h.nodes[h.addresses[rapid.IntRange(0, 1).Draw(h.t, "target")]]
	for _, c := range n.calls {
		if c.ticket.Admitted() && !c.finished {
			return // otherwise more requests than the new slots could be running
		}
	}
	n.controller.SetSlots(h.now, rapid.IntRange(0, 6).Draw(h.t, "slots"))
}

// Guards against a request refused because of load while one of lower priority stays queued or is admitted within the hold
// time; against tickets that are decided twice or never; against more running requests than slots and more than one running
// suspect.
func TestDecisionsRespectPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { h.offer() },
			"offer2": func(*rapid.T) { h.offer() },
			"finish": func(*rapid.T) { h.finish() },
			"cancel": func(*rapid.T) { h.cancel() },
			"resize": func(*rapid.T) { h.resize() },
			"advance": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
				for _, address := range h.addresses {
					h.nodes[address].controller.RefuseLate(h.now)
				}
			},
			"": func(*rapid.T) { h.checkState() },
		})
		for _, n := range h.nodes {
			n.controller.SetSlots(h.now, 0)
			for _, c := range n.calls {
				if c.decisions != 1 {
					t.Fatalf("a ticket was decided %d times after the target became unavailable, want once", c.decisions)
				}
			}
		}
	})
}

// Guards against admission above the limit, in particular after the limit has decreased.
func TestAdmissionStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var c *Controller[int]
		var running []*Ticket[int]
		addAdmitted := func(k *Ticket[int]) {
			if !k.Admitted() {
				return
			}
			running = append(running, k)
		}
		c = New(rapid.IntRange(1, 40).Draw(t, "slots"), addAdmitted, disabledByFlag())
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
			before := len(running)
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				k := running[0]
				running = running[1:]
				before--
				c.Finish(now, k, Outcome{Result: Result(rapid.IntRange(0, 4).Draw(t, "result")), ServiceTime: time.Millisecond})
			} else if k := c.Offer(now, withPriority(hemlockcall.Critical), 0); !k.Queued {
				addAdmitted(k)
			}
			if s := c.Snapshot(now); len(running) > before && len(running) > s.Limit {
				t.Fatalf("admitted the %dth request above the limit of %d", len(running), s.Limit)
			}
		}
	})
}

// Guards against a minimum priority that stays high after the overload is over.
func TestMinPriorityFallsWithoutOffers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := New(1, func(*Ticket[int]) {}, WithQueueSize(1), disabledByFlag())
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond)
			c.Offer(now, withPriority(hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))), 0)
		}
		if minPriority := c.MinPriority(now.Add(defaultHoldTime)); minPriority != hemlockcall.Sheddable {
			t.Errorf("the minimum priority is %v after a hold time without offers, want sheddable", minPriority)
		}
	})
}

// Guards against a target that gets its full load immediately after it started, and against one that stays at its low limit.
func TestSlowStartRampsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 200).Draw(t, "slots")
		var running []*Ticket[int]
		c := New(slots, func(k *Ticket[int]) {
			if k.Admitted() {
				running = append(running, k)
			}
		}, WithSlowStart(), disabledByFlag())
		if limit := c.Snapshot(start).Limit; limit > slots/4 {
			t.Fatalf("slow start begins at a limit of %d of %d slots, want at most a quarter", limit, slots)
		}
		service := time.Duration(rapid.IntRange(1, 200).Draw(t, "service")) * time.Millisecond
		now := start
		for range 10 { // rounds of one service time, each with as many requests as can run
			for c.Snapshot(now).Queued == 0 {
				if k := c.Offer(now, Attributes{Priority: hemlockcall.Critical, Remaining: time.Hour}, 0); !k.Queued {
					running = append(running, k)
				}
			}
			now = now.Add(service)
			finished := running
			running = nil
			for _, k := range finished {
				c.Finish(now, k, Outcome{Result: Completed, ServiceTime: service})
			}
		}
		if limit := c.Snapshot(now).Limit; limit != slots {
			t.Errorf("the limit is %d of %d slots after 10 service times under full load, want all", limit, slots)
		}
	})
}

// Guards against refusals while fewer than 80% of the slots are in use: results that do not indicate load must not lower the
// limit.
func TestNothingIsRefusedBelowEightyPercentLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		c := New(slots, func(*Ticket[int]) {}, disabledByFlag())
		var running []*Ticket[int]
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "step")) * time.Millisecond)
			if len(running) > 0 && (5*(len(running)+1) > 4*slots || rapid.Bool().Draw(t, "finish")) {
				o := Outcome{Result: rapid.SampledFrom([]Result{Completed, Failed, Cancelled}).Draw(t, "result"),
					ServiceTime: time.Duration(rapid.IntRange(1, 100).Draw(t, "service")) * time.Millisecond}
				c.Finish(now, running[0], o)
				running = running[1:]
				continue
			}
			k := c.Offer(now, withPriority(hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))), 0)
			if k.Queued || !k.Admitted() {
				t.Fatalf("not admitted although only %d of %d slots are in use: %v", len(running), slots, k.Refusal())
			}
			running = append(running, k)
		}
	})
}
