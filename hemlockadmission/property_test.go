package hemlockadmission

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockbalancer"
	"hemlockhollow/hemlockcall"
)

// without switches a mechanism off, to see the properties fail that depend on it.
var without = flag.Int("without", -1, "mechanism to switch off, by number")

func switchedOff() Option {
	if *without < 0 {
		return WithoutMechanisms()
	}
	return WithoutMechanisms(Mechanism(*without))
}

// world drives two controllers behind one caller's table and checks every decision.
type world struct {
	t       *rapid.T
	now     time.Time
	table   *hemlockbalancer.Table
	points  map[string]*point
	ordered []string
}

// point is one controller with what a correct one may have decided.
type point struct {
	controller *Controller[*call]
	calls      []*call
	refused    [hemlockcall.PriorityCount]time.Time
}

type call struct {
	ticket  *Ticket[*call]
	decided int
	done    bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, points: map[string]*point{}, ordered: []string{"1", "2"}}
	random := rapid.IntRange(0, 1<<20)
	w.table = hemlockbalancer.New("a", func(n int) int { return random.Draw(t, "random") % n })
	var targets []hemlockcall.Target
	for _, address := range w.ordered {
		p := &point{}
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		p.controller = New(slots, func(k *Ticket[*call]) { w.decided(p, k) },
			WithQueueSize(rapid.IntRange(1, 4).Draw(t, "queue")), switchedOff())
		w.points[address] = p
		targets = append(targets, hemlockcall.Target{Address: address, Zone: "a", Service: "s", Slots: slots,
			Ready: true})
	}
	w.table.Replace(w.now, targets)
	return w
}

func (w *world) fail(format string, arguments ...any) {
	w.t.Fatalf(format, arguments...)
}

// offer sends a call by the table, whose levels may be stale, or past it, as another caller's node would.
func (w *world) offer() {
	d := Attributes{
		Priority:  hemlockcall.Priority(rapid.IntRange(0, hemlockcall.PriorityCount-1).Draw(w.t, "priority")),
		Rank:      uint8(rapid.IntRange(0, 2).Draw(w.t, "rank")),
		Depth:     uint8(rapid.IntRange(0, 3).Draw(w.t, "depth")),
		Remaining: time.Duration(rapid.IntRange(0, 500).Draw(w.t, "remaining")) * time.Millisecond,
		Class:     rapid.SampledFrom([]string{"x", "y"}).Draw(w.t, "class"),
		Suspect:   rapid.IntRange(0, 9).Draw(w.t, "suspect") == 0,
	}
	address := w.ordered[rapid.IntRange(0, 1).Draw(w.t, "target")]
	if rapid.Bool().Draw(w.t, "by table") {
		target, err := w.table.Pick(w.now, "s", d.Priority, nil)
		if err != nil {
			if d.Priority == hemlockcall.Critical {
				w.fail("a critical call was shed at the caller's node: %v", err)
			}
			return
		}
		address = target.Address
		defer func() {
			s := w.points[address].controller.Snapshot(w.now)
			w.table.Done(w.now, address, hemlockbalancer.Result{Outcome: hemlockbalancer.Completed, Latency: time.Millisecond,
				Feedback: hemlockcall.Feedback{MinPriority: s.Level, InFlight: s.InFlight + s.Queued, Limit: s.Limit}})
		}()
	}
	p := w.points[address]
	c := &call{}
	c.ticket = p.controller.Offer(w.now, d, c)
	p.calls = append(p.calls, c)
	if !c.ticket.Queued {
		w.decided(p, c.ticket)
	}
}

// decided checks one decision against the earlier ones at the same point.
func (w *world) decided(p *point, k *Ticket[*call]) {
	k.Value.decided++
	if k.Value.decided > 1 {
		w.fail("a ticket was decided %d times", k.Value.decided)
	}
	priority := k.Attributes.Priority
	if !k.Admitted() {
		if k.Refusal().Reason == hemlockcall.ReasonOverload {
			p.refused[priority] = w.now
		}
		return
	}
	for higher := priority + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
		if at := p.refused[higher]; !at.IsZero() && w.now.Sub(at) < defaultHold {
			w.fail("%v admitted %v after %v was refused for load", priority, w.now.Sub(at), higher)
		}
	}
}

// check looks at what holds between operations.
func (w *world) check() {
	for _, address := range w.ordered {
		p := w.points[address]
		s := p.controller.Snapshot(w.now)
		running, waiting, suspects := 0, 0, 0
		for _, c := range p.calls {
			switch {
			case c.decided == 0:
				waiting++
				for higher := c.ticket.Attributes.Priority + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
					if p.refused[higher].Equal(w.now) {
						w.fail("%v waits while %v is refused for load", c.ticket.Attributes.Priority, higher)
					}
				}
			case c.ticket.Admitted() && !c.done:
				running++
				if c.ticket.Attributes.Suspect {
					suspects++
				}
			}
		}
		if running != s.InFlight || waiting != s.Queued || suspects > 1 || running > s.Slots {
			w.fail("%d run, %d wait, %d suspects run; the controller reports %+v", running, waiting, suspects, s)
		}
	}
}

func (w *world) finish() {
	p := w.points[w.ordered[rapid.IntRange(0, 1).Draw(w.t, "target")]]
	var running []*call
	for _, c := range p.calls {
		if c.ticket.Admitted() && !c.done {
			running = append(running, c)
		}
	}
	if len(running) == 0 {
		return
	}
	c := rapid.SampledFrom(running).Draw(w.t, "running")
	c.done = true
	o := Outcome{Result: Result(rapid.IntRange(0, int(NestedRefused)).Draw(w.t, "result")),
		ServiceTime: time.Duration(rapid.IntRange(1, 100).Draw(w.t, "service")) * time.Millisecond}
	p.controller.Finish(w.now, c.ticket, o)
	p.controller.Finish(w.now, c.ticket, o) // a second end has no effect
}

func (w *world) cancel() {
	p := w.points[w.ordered[rapid.IntRange(0, 1).Draw(w.t, "target")]]
	if len(p.calls) > 0 {
		p.controller.Cancel(w.now, rapid.SampledFrom(p.calls).Draw(w.t, "cancelled").ticket)
	}
}

func (w *world) resize() {
	p := w.points[w.ordered[rapid.IntRange(0, 1).Draw(w.t, "target")]]
	for _, c := range p.calls {
		if c.ticket.Admitted() && !c.done {
			return // the bound on what runs would no longer be the slots
		}
	}
	p.controller.SetSlots(w.now, rapid.IntRange(0, 6).Draw(w.t, "slots"))
}

// Guards against a higher priority refused for load while a lower one waits or is admitted within the hold; against
// tickets decided twice or never; against more runs than slots and more than one running suspect.
func TestDecisionsKeepPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"offer":  func(*rapid.T) { w.offer() },
			"offer2": func(*rapid.T) { w.offer() },
			"finish": func(*rapid.T) { w.finish() },
			"cancel": func(*rapid.T) { w.cancel() },
			"resize": func(*rapid.T) { w.resize() },
			"advance": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "step")) * time.Millisecond)
				for _, address := range w.ordered {
					w.points[address].controller.DropExpired(w.now)
				}
			},
			"": func(*rapid.T) { w.check() },
		})
		for _, p := range w.points {
			p.controller.SetSlots(w.now, 0)
			for _, c := range p.calls {
				if c.decided != 1 {
					t.Fatalf("a ticket was decided %d times at the end", c.decided)
				}
			}
		}
	})
}

// Guards against admission above the limit, in particular after the limit fell.
func TestAdmissionStaysWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		var c *Controller[int]
		var running []*Ticket[int]
		admitted := func(k *Ticket[int]) {
			if !k.Admitted() {
				return
			}
			running = append(running, k)
		}
		c = New(rapid.IntRange(1, 40).Draw(t, "slots"), admitted, switchedOff())
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "step")) * time.Millisecond)
			before := len(running)
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				k := running[0]
				running = running[1:]
				before--
				c.Finish(now, k, Outcome{Result: Result(rapid.IntRange(0, 4).Draw(t, "result")), ServiceTime: time.Millisecond})
			} else if k := c.Offer(now, demand(hemlockcall.Critical), 0); !k.Queued {
				admitted(k)
			}
			if s := c.Snapshot(now); len(running) > before && len(running) > s.Limit {
				t.Fatalf("admitted the %dth request above the limit of %d", len(running), s.Limit)
			}
		}
	})
}

// Guards against a level that stays up after the overload is over.
func TestLevelFallsOnSilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := New(1, func(*Ticket[int]) {}, WithQueueSize(1), switchedOff())
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "step")) * time.Millisecond)
			c.Offer(now, demand(hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))), 0)
		}
		if level := c.Level(now.Add(defaultHold)); level != hemlockcall.Sheddable {
			t.Errorf("the level is %v after a silent hold time", level)
		}
	})
}

// Guards against a cold target that gets its full load at once, and against one that stays at its low limit.
func TestColdTargetRampsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(8, 200).Draw(t, "slots")
		var running []*Ticket[int]
		c := New(slots, func(k *Ticket[int]) {
			if k.Admitted() {
				running = append(running, k)
			}
		}, WithCold(), switchedOff())
		if limit := c.Snapshot(start).Limit; limit > slots/4 {
			t.Fatalf("a cold target starts at a limit of %d of %d", limit, slots)
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
			t.Errorf("the limit is %d of %d after 10 service times under full load", limit, slots)
		}
	})
}

// Guards against refusals while the slots have room: ends that say nothing about load must not lower the limit.
func TestNothingIsShedBelowEightyPercent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 100).Draw(t, "slots")
		c := New(slots, func(*Ticket[int]) {}, switchedOff())
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
			k := c.Offer(now, demand(hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))), 0)
			if k.Queued || !k.Admitted() {
				t.Fatalf("not admitted beside %d of %d slots taken: %v", len(running), slots, k.Refusal())
			}
			running = append(running, k)
		}
	})
}
