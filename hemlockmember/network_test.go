package hemlockmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	step         = 20 * time.Millisecond
	tickInterval = 200 * time.Millisecond
)

// network delivers messages between engines in virtual time, one step after they were sent.
type network struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	// cut reports whether no messages are delivered between two nodes.
	cut      func(a, b *node) bool
	nodes    []*node
	byName   map[string]*node
	inFlight []Message
}

type node struct {
	*Gossip
	zone            string
	paused, stopped bool
	undelivered     []Message
	// skew is the error of the node's clock.
	skew  time.Duration
	phase int
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*node{},
		cut: uncut,
	}
}

func uncut(_, _ *node) bool { return false }

// isolated returns a cut between the named zone and all others.
func isolated(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return a.zone != b.zone && (a.zone == zone || b.zone == zone) }
}

func regionOf(zone string) string { return zone[:1] }

// addNodes starts nodes in a zone such as "a1", which is in region "a".
func (w *network) addNodes(zone string, count int, seeds ...string) {
	for range count {
		address := fmt.Sprintf("10.%s.%d:7400", zone, len(w.nodes))
		w.startNode(address, zone, seeds...)
	}
}

func (w *network) startNode(address, zone string, seeds ...string) *node {
	self := Member{Address: address, Zone: zone, Region: regionOf(zone), Service: "orders", State: Ready, Slots: 100}
	n := &node{Gossip: NewGossip(w.now, self, seeds, w.random.IntN), zone: zone, phase: len(w.nodes) % int(tickInterval/step)}
	w.nodes = append(w.nodes, n)
	w.byName[address] = n
	return n
}

// run advances the time by d. It calls each after every step unless each is nil.
func (w *network) run(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		inFlight := w.inFlight
		w.inFlight = nil
		for _, m := range inFlight {
			w.deliver(m)
		}
		turn := int(w.now.UnixMilli()/step.Milliseconds()) % int(tickInterval/step)
		for _, n := range w.nodes {
			if !n.stopped && !n.paused && n.phase == turn {
				w.enqueue(n.Tick(w.now.Add(n.skew)))
			}
		}
		if each != nil {
			each()
		}
	}
}

func (w *network) enqueue(messages []Message) {
	w.inFlight = append(w.inFlight, messages...)
}

func (w *network) deliver(m Message) {
	from, to := w.byName[m.From], w.byName[m.To]
	switch {
	case to == nil || to.stopped || w.random.Float64() < w.loss || w.cut(from, to):
	case to.paused:
		to.undelivered = append(to.undelivered, m)
	default:
		w.enqueue(to.Receive(w.now.Add(to.skew), m.From, m))
	}
}

// resume ends the pause of a node: its timer fires first, and then it receives the messages that arrived in the meantime.
func (w *network) resume(n *node) {
	n.paused = false
	w.enqueue(n.Tick(w.now))
	for _, m := range n.undelivered {
		w.enqueue(n.Receive(w.now, m.From, m))
	}
	n.undelivered = nil
}

// agree reports whether the member has the given state in the view of every running node that the filter accepts.
func (w *network) agree(address string, state State, filter func(*node) bool) bool {
	for _, n := range w.nodes {
		if n.stopped || n.paused || (filter != nil && !filter(n)) {
			continue
		}
		if m, ok := n.view.Get(address); !ok || m.State != state {
			return false
		}
	}
	return true
}

// converged reports whether all running nodes are ready in the views of all running nodes.
func (w *network) converged() bool {
	for _, n := range w.nodes {
		if want := Ready; !n.stopped && !w.agree(n.Self().Address, want, nil) {
			return false
		}
	}
	return true
}

// within runs the network until the condition holds, and fails the test if that takes longer than the limit.
func (w *network) within(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := w.now
	for !condition() {
		if w.now.Sub(began) >= limit {
			t.Fatalf("%s: not within %v", what, limit)
		}
		w.run(100*time.Millisecond, nil)
	}
	return w.now.Sub(began)
}
