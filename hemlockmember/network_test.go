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
	// blocked reports whether messages between two nodes are discarded.
	blocked   func(a, b *node) bool
	nodes     []*node
	byAddress map[string]*node
	inFlight  []Message
}

type node struct {
	*Gossip
	zone            string
	paused, stopped bool
	undelivered     []Message
	// skew is the error of the node's clock.
	skew time.Duration
	// phase is the step within the tick interval in which the node ticks.
	phase int
}

func newNetwork(seed uint64) *network {
	return &network{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(seed, 1)), byAddress: map[string]*node{},
		blocked: noneBlocked,
	}
}

func noneBlocked(_, _ *node) bool { return false }

// isolate returns a function that blocks all messages between the named zone and all others.
func isolate(zone string) func(a, b *node) bool {
	return func(a, b *node) bool { return a.zone != b.zone && (a.zone == zone || b.zone == zone) }
}

func regionOf(zone string) string { return zone[:1] }

// addNodes starts nodes in a zone such as "a1", which is in region "a".
func (net *network) addNodes(zone string, count int, seeds ...string) {
	for range count {
		address := fmt.Sprintf("10.%s.%d:7400", zone, len(net.nodes))
		net.startNode(address, zone, seeds...)
	}
}

func (net *network) startNode(address, zone string, seeds ...string) *node {
	self := Member{Address: address, Zone: zone, Region: regionOf(zone), Service: "orders", State: Ready, Slots: 100}
	n := &node{Gossip: NewGossip(net.now, self, seeds, net.random.IntN), zone: zone, phase: len(net.nodes) % int(tickInterval/step)}
	net.nodes = append(net.nodes, n)
	net.byAddress[address] = n
	return n
}

// run advances the time by d. It calls the function each after every step, unless it is nil.
func (net *network) run(d time.Duration, each func()) {
	for end := net.now.Add(d); net.now.Before(end); {
		net.now = net.now.Add(step)
		inFlight := net.inFlight
		net.inFlight = nil
		for _, m := range inFlight {
			net.deliver(m)
		}
		turn := int(net.now.UnixMilli()/step.Milliseconds()) % int(tickInterval/step)
		for _, n := range net.nodes {
			if !n.stopped && !n.paused && n.phase == turn {
				net.enqueue(n.Tick(net.now.Add(n.skew)))
			}
		}
		if each != nil {
			each()
		}
	}
}

func (net *network) enqueue(messages []Message) {
	net.inFlight = append(net.inFlight, messages...)
}

func (net *network) deliver(m Message) {
	from, to := net.byAddress[m.From], net.byAddress[m.To]
	switch {
	case to == nil || to.stopped || net.random.Float64() < net.loss || net.blocked(from, to):
	case to.paused:
		to.undelivered = append(to.undelivered, m)
	default:
		net.enqueue(to.Receive(net.now.Add(to.skew), m.From, m))
	}
}

// resume ends the pause of a node: its timer fires first, and then it receives the messages that arrived in the meantime.
func (net *network) resume(n *node) {
	n.paused = false
	net.enqueue(n.Tick(net.now))
	for _, m := range n.undelivered {
		net.enqueue(n.Receive(net.now, m.From, m))
	}
	n.undelivered = nil
}

// agree reports whether the member has the given state in the view of every running node that the filter accepts.
func (net *network) agree(address string, state State, filter func(*node) bool) bool {
	for _, n := range net.nodes {
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
func (net *network) converged() bool {
	for _, n := range net.nodes {
		if want := Ready; !n.stopped && !net.agree(n.Self().Address, want, nil) {
			return false
		}
	}
	return true
}

// within runs the network until the condition holds, and fails the test if that takes longer than the limit.
func (net *network) within(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	began := net.now
	for !condition() {
		if net.now.Sub(began) >= limit {
			t.Fatalf("%s took longer than %v", what, limit)
		}
		net.run(100*time.Millisecond, nil)
	}
	return net.now.Sub(began)
}
