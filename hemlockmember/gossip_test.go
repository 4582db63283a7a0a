package hemlockmember

import (
	"testing"
	"time"
)

// cluster returns a network of five zones in two regions in which all nodes know each other.
func cluster(t *testing.T, seed uint64, perZone int) *network {
	t.Helper()
	w := newNetwork(seed)
	w.addNodes("a1", 1)
	first := w.nodes[0].Self().Address
	for _, zone := range []string{"a1", "a2", "a3", "b1", "b2"} {
		w.addNodes(zone, perZone, first)
	}
	took := w.within(t, 30*time.Second, "join", w.converged)
	t.Logf("%d nodes joined in %v", len(w.nodes), took)
	w.run(20*time.Second, nil)
	if !w.converged() {
		t.Fatal("views changed without a cause")
	}
	return w
}

// Guards against nodes that never discover each other, and against live members that are declared dead under 5% message loss.
func TestClusterConvergesAndSurvivesMessageLoss(t *testing.T) {
	w := cluster(t, 1, 8)
	w.loss = 0.05
	w.run(2*time.Minute, nil)
	w.loss = 0
	w.within(t, 10*time.Second, "convergence after message loss", w.converged)
	for _, n := range w.nodes {
		if c := n.Counts(); c.DeclaredDead > 0 {
			t.Errorf("%s declared live members dead %d times", n.Self().Address, c.DeclaredDead)
		}
	}
}

// Guards against a stopped node that remains in views, whichever nodes probe it.
func TestStoppedNodeIsDetectedWithinFiveSeconds(t *testing.T) {
	w := cluster(t, 2, 8)
	var worst time.Duration
	for i := 3; i < 30; i += 4 {
		killed := w.nodes[i]
		killed.stopped = true
		took := w.within(t, 5*time.Second, "death of "+killed.Self().Address, func() bool {
			return w.agree(killed.Self().Address, Dead, nil)
		})
		worst = max(worst, took)
	}
	t.Logf("slowest detection %v", worst)
}

// Guards against a paused node that remains dead after it resumes, or that disseminates its stale view.
func TestPausedMemberRefutesItsReportedDeath(t *testing.T) {
	w := cluster(t, 3, 8)
	paused := w.nodes[7]
	address := paused.Self().Address
	paused.paused = true
	w.within(t, 5*time.Second, "death", func() bool { return w.agree(address, Dead, nil) })
	w.run(20*time.Second, nil)
	w.resume(paused)
	w.within(t, 5*time.Second, "return", w.converged)
	w.run(10*time.Second, func() {
		if !w.converged() || paused.Counts().DeclaredDead > 0 {
			t.Fatal("a member was declared dead after the paused node resumed")
		}
	})
}

// Guards against an isolated zone whose nodes declare members of their own zone dead, and against a healed partition that is
// not detected.
func TestIsolatedZoneKeepsItsMembersAndHeals(t *testing.T) {
	w := cluster(t, 4, 8)
	inside := func(n *node) bool { return n.zone == "a2" }
	outside := func(n *node) bool { return n.zone != "a2" }
	w.cut = isolated("a2")
	split := func() bool {
		for _, n := range w.nodes {
			in, out := Ready, Dead
			if outside(n) {
				in, out = Dead, Ready
			}
			if !w.agree(n.Self().Address, in, inside) || !w.agree(n.Self().Address, out, outside) {
				return false
			}
		}
		return true
	}
	t.Logf("split in %v", w.within(t, 30*time.Second, "split", split))
	w.run(3*time.Minute, func() {
		if !split() {
			t.Fatal("a view changed during the partition")
		}
	})
	w.cut = uncut
	ownZoneStays := func() bool {
		for _, n := range w.nodes {
			if !w.agree(n.Self().Address, Ready, func(o *node) bool { return o.zone == n.zone }) {
				return false
			}
		}
		return true
	}
	healed := w.within(t, 60*time.Second, "heal", func() bool {
		if !ownZoneStays() {
			t.Fatal("nodes declared members of their own zone dead while the partition healed")
		}
		return w.converged()
	})
	t.Logf("healed in %v", healed)
}

// Guards against nodes that keep choosing a target that is about to stop.
func TestLeavingIsDisseminatedWithinThreeSeconds(t *testing.T) {
	w := cluster(t, 5, 8)
	leaving := w.nodes[11]
	w.enqueue(leaving.Announce(w.now, Leaving, 100))
	took := w.within(t, 3*time.Second, "leaving", func() bool { return w.agree(leaving.Self().Address, Leaving, nil) })
	t.Logf("leaving state known everywhere after %v", took)
	leaving.stopped = true
	w.within(t, 6*time.Second, "declaration of the stopped member", func() bool { return w.agree(leaving.Self().Address, Dead, nil) })
	w.nodes[11] = w.startNode(leaving.Self().Address, leaving.zone, w.nodes[0].Self().Address)
	w.nodes = w.nodes[:len(w.nodes)-1]
	w.within(t, 5*time.Second, "restart", w.converged)
}

// Guards against a member that stops or restarts without seeds some time after it announced that it is leaving, and that the
// others neither declare dead nor discover again.
func TestLeavingMemberIsFoundAfterItsRestart(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after its death": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w := cluster(t, 6, 8)
			leaving := w.nodes[11]
			address := leaving.Self().Address
			w.enqueue(leaving.Announce(w.now, Leaving, 100))
			w.run(20*time.Second, nil)
			leaving.stopped = true
			w.run(down, nil)
			if down > 0 && !w.agree(address, Dead, nil) {
				t.Error("a stopped member was not declared dead")
			}
			w.nodes[11] = w.startNode(address, leaving.zone)
			w.nodes = w.nodes[:len(w.nodes)-1]
			w.within(t, 30*time.Second, "return", w.converged)
		})
	}
}

// Guards against nodes that start at the same time and know only their one seed for long, because the seed spends its budget
// on replies to their probes.
func TestManyNodesStartAtOnce(t *testing.T) {
	w := newNetwork(13)
	w.addNodes("a1", 1)
	for _, zone := range []string{"a1", "a2", "b1"} {
		w.addNodes(zone, 70, w.nodes[0].Self().Address)
	}
	t.Logf("211 nodes joined in %v", w.within(t, time.Minute, "join", w.converged))
}
