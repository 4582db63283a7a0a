package hemlockmember

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	step     = 20 * time.Millisecond
	tickEach = 200 * time.Millisecond
)

// network delivers messages between engines on virtual time, one step late.
type network struct {
	now    time.Time
	random *rand.Rand
	loss   float64
	// cut reports whether nothing passes between two nodes.
	cut    func(a, b *node) bool
	nodes  []*node
	byName map[string]*node
	flying []Message
}

type node struct {
	*Gossip
	zone            string
	paused, stopped bool
	received        []Message
	// skew is how far the node's clock is off.
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

// isolated cuts the named zone off.
func isolated(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return a.zone != b.zone && (a.zone == zone || b.zone == zone) }
}

func regionOf(zone string) string { return zone[:1] }

// add starts nodes in a zone such as "a1", in region "a".
func (w *network) add(zone string, count int, contacts ...string) {
	for range count {
		address := fmt.Sprintf("10.%s.%d:7400", zone, len(w.nodes))
		w.start(address, zone, contacts...)
	}
}

func (w *network) start(address, zone string, contacts ...string) *node {
	self := Member{Address: address, Zone: zone, Region: regionOf(zone), Service: "orders", State: Ready, Slots: 100}
	n := &node{Gossip: NewGossip(w.now, self, contacts, w.random.IntN), zone: zone, phase: len(w.nodes) % int(tickEach/step)}
	w.nodes = append(w.nodes, n)
	w.byName[address] = n
	return n
}

// run advances the time; after each step it calls each, when that is not nil.
func (w *network) run(d time.Duration, each func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		flying := w.flying
		w.flying = nil
		for _, m := range flying {
			w.deliver(m)
		}
		turn := int(w.now.UnixMilli()/step.Milliseconds()) % int(tickEach/step)
		for _, n := range w.nodes {
			if !n.stopped && !n.paused && n.phase == turn {
				w.post(n.Tick(w.now.Add(n.skew)))
			}
		}
		if each != nil {
			each()
		}
	}
}

func (w *network) post(messages []Message) {
	w.flying = append(w.flying, messages...)
}

func (w *network) deliver(m Message) {
	from, to := w.byName[m.From], w.byName[m.To]
	switch {
	case to == nil || to.stopped || w.random.Float64() < w.loss || w.cut(from, to):
	case to.paused:
		to.received = append(to.received, m)
	default:
		w.post(to.Receive(w.now.Add(to.skew), m.From, m))
	}
}

// resume ends a pause: the timer fires first, and then what arrived meanwhile is read.
func (w *network) resume(n *node) {
	n.paused = false
	w.post(n.Tick(w.now))
	for _, m := range n.received {
		w.post(n.Receive(w.now, m.From, m))
	}
	n.received = nil
}

// agree reports whether every running node accepted by the filter holds the member for the given state.
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

// converged reports whether all running nodes hold all running nodes, and no others, for ready.
func (w *network) converged() bool {
	for _, n := range w.nodes {
		if want := Ready; !n.stopped && !w.agree(n.Self().Address, want, nil) {
			return false
		}
	}
	return true
}

// within runs until the condition holds and fails when that takes longer than the limit.
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
