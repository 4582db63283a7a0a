package hemlockquota

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"
)

// simulation runs nodes, each with the ledger of a host, a pool of its zone, the ledger of that pool and a pool of all zones, in virtual
// time. Messages may be delayed, lost and delivered late.
type simulation struct {
	random *rand.Rand
	now    time.Time
	events eventQueue
	pushed int
	nodes  []*node
	limits map[string]Limit
	// cut reports whether messages between two nodes are lost.
	cut func(a, b *node) bool
	// loss and late are the probabilities that a message is lost or delayed by up to lateBy.
	loss, late float64
	// processing is the longest time that a message waits at a node before it is handled; the shortest is a quarter of it.
	processing time.Duration
	// checkInterval is the time between two checks of the invariant.
	checkInterval time.Duration
	runs          map[string][]time.Time
	refused       [4]int
	messages      [2]int
	// entries is the number of organisations in all requests of a level.
	entries [2]int
	failure string
}

type node struct {
	name        string
	zone        int
	generation  int
	dead        bool
	frozenUntil time.Time
	host, upper *Ledger
	zonePool    *Pool
	globalPool  *Pool
	pending     []pendingTicket
}

type pendingTicket struct {
	ticket *Ticket
	done   func(*Ticket)
}

type event struct {
	at       time.Time
	sequence int
	node     *node
	// generation is the process of the node that the event belongs to.
	generation int
	run        func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(*event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed int64, zones, perZone int, limits map[string]Limit) *simulation {
	s := &simulation{random: rand.New(rand.NewSource(seed)), now: time.Unix(1000, 0), limits: limits, checkInterval: time.Millisecond,
		runs: map[string][]time.Time{}, cut: func(*node, *node) bool { return false }}
	for i := range zones * perZone {
		s.nodes = append(s.nodes, &node{name: fmt.Sprintf("10.0.0.%d:1", i), zone: i % zones, dead: true})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

// start starts a process of the node.
func (s *simulation) start(n *node) {
	n.generation++
	n.dead, n.pending = false, nil
	n.zonePool, n.globalPool = NewPool(0, s.now, s.random.Uint64()), NewPool(1, s.now, s.random.Uint64())
	n.host, n.upper = NewHostLedger(n.name, s.now), NewPoolLedger(n.name, n.zonePool, s.now)
	s.setLimits(n)
	s.rank(n, 1, 0)
	n.host.SetPopulation(len(s.nodes))
	n.upper.SetPopulation(len(s.nodes))
	s.on(n, 2*time.Second, func() { n.zonePool.SetPopulation(len(s.nodes)) })
	s.tick(n)
}

func (s *simulation) setLimits(n *node) {
	n.host.SetLimits(s.now, s.limits)
	n.upper.SetLimits(s.now, s.limits)
	n.zonePool.SetLimits(s.now, s.limits)
	n.globalPool.SetLimits(s.now, s.limits)
}

// rank sets the pools of a node's view, which is rotated by shift.
func (s *simulation) rank(n *node, partitions, shift int) {
	order := func(level, index int) []string {
		var names []string
		for _, m := range s.nodes {
			if level == 1 || m.zone == n.zone {
				names = append(names, m.name)
			}
		}
		k := (shift + index*2 + level) % len(names)
		return append(names[k:], names[:k]...)
	}
	n.host.SetPools(s.now, partitions, func(i int) []string { return order(0, i) })
	n.upper.SetPools(s.now, partitions, func(i int) []string { return order(1, i) })
}

// on runs a function at the node after the delay, unless its process ends before.
func (s *simulation) on(n *node, delay time.Duration, run func()) {
	s.pushed++
	heap.Push(&s.events, &event{s.now.Add(delay), s.pushed, n, n.generation, run})
}

func (s *simulation) tick(n *node) { s.on(n, 25*time.Millisecond, func() { s.tick(n) }) }

// run processes events until the duration has passed, and checks the invariant after each interval.
func (s *simulation) run(duration time.Duration) {
	end, checked := s.now.Add(duration), s.now
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		if e.node.generation != e.generation || e.node.dead {
			continue
		}
		if s.now.Before(e.node.frozenUntil) {
			e.at = e.node.frozenUntil
			heap.Push(&s.events, e)
			continue
		}
		e.run()
		s.pump(e.node)
		if s.now.Sub(checked) >= s.checkInterval {
			checked = s.now
			s.checkFractions()
		}
	}
	s.now = end
}

// checkFractions checks that for each organisation the fractions in use by hosts and pools add up to no more than One.
func (s *simulation) checkFractions() {
	for name := range s.limits {
		var sum Fraction
		for _, n := range s.nodes {
			if n.dead {
				continue
			}
			if a := n.host.accounts[name]; a != nil && a.slot != nil {
				n.host.host.fraction = n.host.fraction(s.now)
				sum += n.host.lender.own(s.now, a.slot)
			}
			for _, p := range []*Pool{n.zonePool, n.globalPool} {
				p.expire(s.now)
				if a := p.accounts[name]; a != nil {
					sum += p.share(s.now, a)
				}
			}
		}
		if sum > One {
			s.failure = fmt.Sprintf("%v: fractions of %s add up to %v", s.now, name, float64(sum)/float64(One))
		}
	}
}

func (s *simulation) delay() time.Duration {
	if s.random.Float64() < s.late {
		return time.Duration(s.random.Float64() * float64(3*time.Second))
	}
	return time.Duration(200+s.random.Intn(1500)) * time.Microsecond
}

// pump sends the due messages of a node and reports resolved tickets.
func (s *simulation) pump(n *node) {
	for _, l := range []*Ledger{n.host, n.upper} {
		for _, m := range l.Messages(s.now) {
			s.send(n, l, m)
		}
	}
	for _, p := range slices.Clone(n.pending) {
		if p.ticket.Outcome != Pending {
			n.pending = slices.DeleteFunc(n.pending, func(q pendingTicket) bool { return q.ticket == p.ticket })
			p.done(p.ticket)
		}
	}
}

func (s *simulation) send(n *node, l *Ledger, m *Message) {
	s.messages[l.level]++
	s.entries[l.level] += len(m.Request.Demands)
	finished := false
	finish := func(report func()) {
		if !finished {
			finished = true
			report()
		}
	}
	s.on(n, Timeout(l.level), func() { finish(func() { l.Failed(s.now, m, Unanswered) }) })
	target := s.nodes[slices.IndexFunc(s.nodes, func(t *node) bool { return t.name == m.Address })]
	lost := func() bool { return n != target && (s.cut(n, target) || s.random.Float64() < s.loss) }
	if lost() {
		return
	}
	if target.dead {
		s.on(n, s.delay(), func() { finish(func() { l.Failed(s.now, m, ProcessEnded) }) })
		return
	}
	processing := s.processing/4 + time.Duration(s.random.Float64()*float64(s.processing)*3/4)
	s.on(target, s.delay()+processing, func() {
		s.receive(target, m.Request, func(answer Answer) {
			if !lost() {
				s.on(n, s.delay(), func() { finish(func() { l.Answered(s.now, m, answer) }) })
			}
		})
	})
}

// receive handles a request at a pool; a pool of a zone gets missing tokens from the pool of all zones first.
func (s *simulation) receive(n *node, r Request, answer func(Answer)) {
	pool := []*Pool{n.zonePool, n.globalPool}[r.Level]
	a, missing := pool.Receive(s.now, r)
	open := len(missing)
	if open == 0 {
		answer(a)
		return
	}
	for _, d := range missing {
		s.take(n, n.upper, d.Organisation, d.Wanted, 70*time.Millisecond, func(t *Ticket) {
			a.Add(d.Organisation, t)
			if open--; open == 0 {
				answer(a)
			}
		})
	}
}

func (s *simulation) take(n *node, l *Ledger, organisation string, count int, timeout time.Duration, done func(*Ticket)) {
	t := l.Take(s.now, organisation, count)
	n.pending = append(n.pending, pendingTicket{t, done})
	s.on(n, timeout, func() { l.Abandon(t) })
}

// request sends one customer request of the organisation to the node; refusedLater is the probability that it is refused as not run.
func (s *simulation) request(n *node, organisation string, refusedLater float64) {
	s.take(n, n.host, organisation, 1, 100*time.Millisecond, func(t *Ticket) {
		s.refused[t.Outcome]++
		switch {
		case t.Outcome != Granted:
		case s.random.Float64() < refusedLater:
			s.on(n, time.Duration(s.random.Intn(2000))*time.Millisecond, func() { n.host.Return(s.now, organisation) })
		default:
			s.runs[organisation] = append(s.runs[organisation], s.now)
		}
	})
}

// demand sends requests of the organisation at random times, with the mean rate, to the nodes, for the duration.
func (s *simulation) demand(organisation string, perSecond float64, nodes []*node, duration time.Duration, refusedLater float64) {
	for at := 0.0; at < duration.Seconds(); at += s.random.ExpFloat64() / perSecond {
		n := nodes[s.random.Intn(len(nodes))]
		s.on(n, time.Duration(at*float64(time.Second)), func() { s.request(n, organisation, refusedLater) })
	}
}

// within returns the number of runs of the organisation in a period.
func (s *simulation) within(organisation string, from, to time.Time) int {
	count := 0
	for _, r := range s.runs[organisation] {
		if !r.Before(from) && r.Before(to) {
			count++
		}
	}
	return count
}

// busiest returns the highest number of runs of the organisation in 5 s.
func (s *simulation) busiest(organisation string) int {
	runs, highest, first := s.runs[organisation], 0, 0
	slices.SortFunc(runs, time.Time.Compare)
	for i, r := range runs {
		for r.Sub(runs[first]) >= 5*time.Second {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
