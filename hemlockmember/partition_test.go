package hemlockmember

import (
	"testing"
	"time"

	"hemlockhollow/hemlocksuspect"
)

// Guards against two zones that repeatedly declare each other's members dead while a third zone reaches both.
func TestCutBetweenTwoZones(t *testing.T) {
	net := joinedNetwork(t, 6, 8)
	net.blocked = func(a, b *node) bool { return a.zone+b.zone == "a1a2" || a.zone+b.zone == "a2a1" }
	before, _ := net.totals()
	net.run(2*time.Minute, nil)
	after, _ := net.totals()
	refuted := uint64(0)
	for _, n := range net.nodes {
		refuted += n.Counts().Refuted
	}
	rate := float64(after-before) / 120 / float64(len(net.nodes))
	t.Logf("%d refutations, %.0f B/s per node", refuted, rate)
	if refuted > 10 || rate > 2000 {
		t.Errorf("%d refutations and %.0f B/s per node in two minutes, want at most 10 and 2,000", refuted, rate)
	}
	net.blocked = noneBlocked
	net.within(t, 30*time.Second, "convergence after the partition", net.converged)
}

// Guards against a partition between regions that is detected late, or whose end is not detected.
func TestCutBetweenRegionsHeals(t *testing.T) {
	net := joinedNetwork(t, 7, 8)
	net.blocked = func(a, b *node) bool { return regionOf(a.zone) != regionOf(b.zone) }
	partitioned := func() bool {
		for _, n := range net.nodes {
			if !net.agree(n.Self().Address, Ready, func(o *node) bool { return regionOf(o.zone) == regionOf(n.zone) }) ||
				!net.agree(n.Self().Address, Dead, func(o *node) bool { return regionOf(o.zone) != regionOf(n.zone) }) {
				return false
			}
		}
		return true
	}
	t.Logf("partition detected in %v", net.within(t, 30*time.Second, "detection of the partition", partitioned))
	net.run(5*time.Minute, nil)
	if !partitioned() {
		t.Fatal("a view changed during the partition")
	}
	net.blocked = noneBlocked
	t.Logf("converged %v after the partition", net.within(t, 60*time.Second, "convergence after the partition", net.converged))
}

// Guards against an isolated node whose stale view makes others declare members dead after it is reachable again.
func TestIsolatedNodeReturns(t *testing.T) {
	net := joinedNetwork(t, 8, 8)
	isolatedNode := net.nodes[9]
	isolatedNode.zone = "lost"
	net.blocked = isolate("lost")
	net.run(2*time.Minute, nil)
	isolatedNode.zone = isolatedNode.Self().Zone
	net.within(t, 20*time.Second, "convergence after the partition", func() bool {
		for _, n := range net.nodes {
			if n != isolatedNode && !net.agree(n.Self().Address, Ready, func(o *node) bool { return o != isolatedNode }) {
				t.Fatalf("%s is not ready in all views", n.Self().Address)
			}
		}
		return net.converged()
	})
}

// Guards against a restarted node whose records do not supersede those from before the restart because its clock was
// set back.
func TestRestartWithOlderClock(t *testing.T) {
	net := joinedNetwork(t, 9, 4)
	restarted := net.nodes[5]
	restarted.stopped = true
	net.run(10*time.Second, nil)
	self := restarted.Self()
	self.Incarnation = 0
	restarted.skew = -time.Hour
	restarted.Gossip = NewGossip(net.now.Add(restarted.skew), self, []string{net.nodes[0].Self().Address}, net.random.IntN)
	restarted.stopped = false
	net.within(t, 5*time.Second, "convergence after the restart", net.converged)
}

// Guards against updates about a lost zone that are sent beyond the byte budget instead of waiting.
func TestLostZoneStaysWithinByteBudget(t *testing.T) {
	const rate, burst = 2500, 6000
	net := prefilledNetwork(200)
	for _, n := range net.nodes {
		n.stopped = n.zone == "a2"
		WithRate(rate, burst)(n.Gossip)
		n.budget.tokens = burst
	}
	before := map[*node]uint64{}
	for _, n := range net.nodes {
		before[n] = n.Counts().Bytes
	}
	net.run(10*time.Second, nil)
	for _, n := range net.nodes {
		sent := n.Counts().Bytes - before[n]
		// Probes and their replies do not wait for the budget; an extra twentieth allows for them.
		if sent > (burst+10*rate)*21/20 {
			t.Fatalf("%s sent %d bytes in 10 s, more than its budget", n.Self().Address, sent)
		}
	}
	net.within(t, 30*time.Second, "dissemination of the delayed updates", func() bool {
		for _, n := range net.nodes {
			if n.stopped && !net.agree(n.Self().Address, Dead, nil) {
				return false
			}
		}
		return true
	})
}

// Guards against a failed connection that does not lead to probes, and against a member that is declared dead only
// because a connection to it failed.
func TestFailedConnection(t *testing.T) {
	net := joinedNetwork(t, 10, 8)
	alive, stoppedNode := net.nodes[12], net.nodes[13]
	stoppedNode.stopped = true
	net.nodes[10].ConnectionFailed(net.now, stoppedNode.Self().Address) // a member of the same zone
	net.nodes[10].ConnectionFailed(net.now, alive.Self().Address)
	net.within(t, 2*time.Second, "declaration of the death of the stopped node", func() bool {
		return net.agree(stoppedNode.Self().Address, Dead, func(n *node) bool { return n == net.nodes[10] })
	})
	net.within(t, time.Second, "dissemination of the death", func() bool { return net.agree(stoppedNode.Self().Address, Dead, nil) })
	if net.run(3*time.Second, nil); !net.converged() {
		t.Fatal("a live member was declared dead")
	}
}

// Guards against a single prober that declares a member dead while others reach it.
func TestCutBetweenTwoNodes(t *testing.T) {
	net := joinedNetwork(t, 12, 8)
	one := net.nodes[4]
	other := net.byAddress[one.neighbours[0]]
	net.blocked = func(a, b *node) bool { return a == one && b == other || a == other && b == one }
	net.run(time.Minute, func() {
		if !net.converged() {
			t.Fatal("a member was declared dead although only one other node cannot reach it")
		}
	})
}

// Guards against crash records that leave their zone or do not reach all of it, even if messages are lost and a node joins
// later.
func TestCrashRecordsReachTheZone(t *testing.T) {
	net := joinedNetwork(t, 11, 8)
	for _, n := range net.nodes {
		n.suspects = hemlocksuspect.New(n.Self().Address)
	}
	net.loss = 0.2
	first := net.nodes[0]
	for range 2 {
		first.suspects.Started(7)
		net.enqueue(first.DisseminateCrashRecords(net.now, first.suspects.TargetCrashed(net.now)))
	}
	known := func() bool {
		for _, n := range net.nodes {
			refused := n.suspects.Check(net.now, 7) == hemlocksuspect.Refuse
			if n.zone != first.zone && refused {
				t.Fatalf("%s in another zone refuses the request, want no crash records outside of the zone", n.Self().Address)
			}
			if n.zone == first.zone && !refused {
				return false
			}
		}
		return true
	}
	t.Logf("known in the zone after %v", net.within(t, 10*time.Second, "dissemination of the crash records", known))
	joining := net.startNode("10.late:7400", first.zone, first.Self().Address)
	joining.suspects = hemlocksuspect.New("10.late:7400")
	net.within(t, 10*time.Second, "dissemination to the joining node", known)
}
