package hemlockmember

import (
	"testing"
	"time"
)

// joinedNetwork returns a network of five zones in two regions whose nodes have joined through a seed and all know each
// other.
func joinedNetwork(t *testing.T, seed uint64, perZone int) *network {
	t.Helper()
	net := newNetwork(seed)
	net.addNodes("a1", 1)
	first := net.nodes[0].Self().Address
	for _, zone := range []string{"a1", "a2", "a3", "b1", "b2"} {
		net.addNodes(zone, perZone, first)
	}
	took := net.within(t, 30*time.Second, "convergence after the start", net.converged)
	t.Logf("%d nodes joined in %v", len(net.nodes), took)
	net.run(20*time.Second, nil)
	if !net.converged() {
		t.Fatal("a view changed although no node did")
	}
	return net
}

// Guards against nodes that never discover each other, and against live members that are declared dead under 5% message loss.
func TestClusterConvergesAndSurvivesMessageLoss(t *testing.T) {
	net := joinedNetwork(t, 1, 8)
	net.loss = 0.05
	net.run(2*time.Minute, nil)
	net.loss = 0
	net.within(t, 10*time.Second, "convergence after message loss", net.converged)
	for _, n := range net.nodes {
		if c := n.Counts(); c.DeclaredDead > 0 {
			t.Errorf("%s declared live members dead %d times, want 0", n.Self().Address, c.DeclaredDead)
		}
	}
}

// Guards against a stopped node that is not declared dead, whichever nodes probe it.
func TestStoppedNodeIsDetectedWithinFiveSeconds(t *testing.T) {
	net := joinedNetwork(t, 2, 8)
	var slowest time.Duration
	for i := 3; i < 30; i += 4 {
		stoppedNode := net.nodes[i]
		stoppedNode.stopped = true
		took := net.within(t, 5*time.Second, "declaration of the death of "+stoppedNode.Self().Address, func() bool {
			return net.agree(stoppedNode.Self().Address, Dead, nil)
		})
		slowest = max(slowest, took)
	}
	t.Logf("slowest detection %v", slowest)
}

// Guards against a paused node that remains dead in views after it resumes, or that then declares others dead because
// it received no messages during the pause.
func TestResumedMemberRefutesItsDeath(t *testing.T) {
	net := joinedNetwork(t, 3, 8)
	pausedNode := net.nodes[7]
	address := pausedNode.Self().Address
	pausedNode.paused = true
	net.within(t, 5*time.Second, "declaration of the death of the paused node", func() bool { return net.agree(address, Dead, nil) })
	net.run(20*time.Second, nil)
	net.resume(pausedNode)
	net.within(t, 5*time.Second, "convergence after the pause", net.converged)
	net.run(10*time.Second, func() {
		if !net.converged() || pausedNode.Counts().DeclaredDead > 0 {
			t.Fatal("a member was declared dead after the paused node resumed")
		}
	})
}

// Guards against an isolated zone whose nodes declare members of their own zone dead, and against an end of the
// partition that is not detected.
func TestIsolatedZoneKeepsItsMembersAndHeals(t *testing.T) {
	net := joinedNetwork(t, 4, 8)
	inside := func(n *node) bool { return n.zone == "a2" }
	outside := func(n *node) bool { return n.zone != "a2" }
	net.blocked = isolate("a2")
	partitioned := func() bool {
		for _, n := range net.nodes {
			in, out := Ready, Dead
			if outside(n) {
				in, out = Dead, Ready
			}
			if !net.agree(n.Self().Address, in, inside) || !net.agree(n.Self().Address, out, outside) {
				return false
			}
		}
		return true
	}
	t.Logf("partition detected in %v", net.within(t, 30*time.Second, "detection of the partition", partitioned))
	net.run(3*time.Minute, func() {
		if !partitioned() {
			t.Fatal("a view changed during the partition")
		}
	})
	net.blocked = noneBlocked
	ownZoneReady := func() bool {
		for _, n := range net.nodes {
			if !net.agree(n.Self().Address, Ready, func(o *node) bool { return o.zone == n.zone }) {
				return false
			}
		}
		return true
	}
	took := net.within(t, 60*time.Second, "convergence after the partition", func() bool {
		if !ownZoneReady() {
			t.Fatal("nodes declared members of their own zone dead while the partition healed")
		}
		return net.converged()
	})
	t.Logf("converged %v after the partition", took)
}

// Guards against a leaving state that does not reach all nodes in time, so that nodes keep choosing a target that is
// about to stop.
func TestLeavingIsDisseminatedWithinThreeSeconds(t *testing.T) {
	net := joinedNetwork(t, 5, 8)
	leaving := net.nodes[11]
	net.enqueue(leaving.Announce(net.now, Leaving, 100))
	took := net.within(t, 3*time.Second, "dissemination of the leaving state", func() bool { return net.agree(leaving.Self().Address, Leaving, nil) })
	t.Logf("leaving state known to all nodes after %v", took)
	leaving.stopped = true
	net.within(t, 6*time.Second, "declaration of the death of the stopped node", func() bool { return net.agree(leaving.Self().Address, Dead, nil) })
	net.nodes[11] = net.startNode(leaving.Self().Address, leaving.zone, net.nodes[0].Self().Address)
	net.nodes = net.nodes[:len(net.nodes)-1]
	net.within(t, 5*time.Second, "convergence after the restart", net.converged)
}

// Guards against a member that stops or restarts without seeds some time after it announced that it is leaving, and that the
// others neither declare dead nor discover again.
func TestLeavingMemberIsFoundAfterItsRestart(t *testing.T) {
	for name, down := range map[string]time.Duration{"immediately": 0, "after it was declared dead": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			net := joinedNetwork(t, 6, 8)
			leaving := net.nodes[11]
			address := leaving.Self().Address
			net.enqueue(leaving.Announce(net.now, Leaving, 100))
			net.run(20*time.Second, nil)
			leaving.stopped = true
			net.run(down, nil)
			if down > 0 && !net.agree(address, Dead, nil) {
				t.Error("not all nodes declared the stopped member dead")
			}
			net.nodes[11] = net.startNode(address, leaving.zone)
			net.nodes = net.nodes[:len(net.nodes)-1]
			net.within(t, 30*time.Second, "convergence after the restart", net.converged)
		})
	}
}

// Guards against nodes that start at the same time and for a long time know only their one seed, because it spends its
// budget on replies to their probes.
func TestManyNodesStartSimultaneously(t *testing.T) {
	net := newNetwork(13)
	net.addNodes("a1", 1)
	for _, zone := range []string{"a1", "a2", "b1"} {
		net.addNodes(zone, 70, net.nodes[0].Self().Address)
	}
	t.Logf("211 nodes joined in %v", net.within(t, time.Minute, "convergence after the start", net.converged))
}
