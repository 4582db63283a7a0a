package hemlockmember

import (
	"testing"
	"time"
)

// cluster returns a converged network of five zones in two regions.
func cluster(t *testing.T, seed uint64, perZone int) *network {
	t.Helper()
	w := newNetwork(seed)
	w.add("a1", 1)
	first := w.nodes[0].Self().Address
	for _, zone := range []string{"a1", "a2", "a3", "b1", "b2"} {
		w.add(zone, perZone, first)
	}
	took := w.within(t, 30*time.Second, "join", w.converged)
	t.Logf("%d nodes joined in %v", len(w.nodes), took)
	w.run(20*time.Second, nil)
	if !w.converged() {
		t.Fatal("the view of a quiet cluster changed")
	}
	return w
}

// Guards against nodes that never learn of each other, and against false deaths under 5% loss.
func TestClusterConvergesAndStaysUnderLoss(t *testing.T) {
	w := cluster(t, 1, 8)
	w.loss = 0.05
	w.run(2*time.Minute, nil)
	w.loss = 0
	w.within(t, 10*time.Second, "all ready after loss", w.converged)
	for _, n := range w.nodes {
		if c := n.Counts(); c.Declared > 0 {
			t.Errorf("%s declared %d live members dead", n.Self().Address, c.Declared)
		}
	}
}

// Guards against a killed node that stays in views, whoever probes it.
func TestKillIsDetectedWithinFiveSeconds(t *testing.T) {
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

// Guards against a paused node that stays dead after its return, or that spreads its stale view.
func TestPausedMemberRefutesItsDeath(t *testing.T) {
	w := cluster(t, 3, 8)
	paused := w.nodes[7]
	address := paused.Self().Address
	paused.paused = true
	w.within(t, 5*time.Second, "death", func() bool { return w.agree(address, Dead, nil) })
	w.run(20*time.Second, nil)
	w.resume(paused)
	w.within(t, 5*time.Second, "return", w.converged)
	w.run(10*time.Second, func() {
		if !w.converged() || paused.Counts().Declared > 0 {
			t.Fatal("a member was lost after the return")
		}
	})
}

// Guards against a cut zone that loses its own members, and against a healed cut that nobody notices.
func TestCutZoneServesItselfAndHeals(t *testing.T) {
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
			t.Fatal("a split view changed")
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
			t.Fatal("a zone lost members of its own during the heal")
		}
		return w.converged()
	})
	t.Logf("healed in %v", healed)
}

// Guards against callers that go on choosing a target that is about to stop.
func TestLeavingReachesAllWithinThreeSeconds(t *testing.T) {
	w := cluster(t, 5, 8)
	leaver := w.nodes[11]
	w.post(leaver.Announce(w.now, Leaving, 100))
	took := w.within(t, 3*time.Second, "leaving", func() bool { return w.agree(leaver.Self().Address, Leaving, nil) })
	t.Logf("leaving known everywhere after %v", took)
	leaver.stopped = true
	w.within(t, 6*time.Second, "gone", func() bool { return w.agree(leaver.Self().Address, Dead, nil) })
	w.nodes[11] = w.start(leaver.Self().Address, leaver.zone, w.nodes[0].Self().Address)
	w.nodes = w.nodes[:len(w.nodes)-1]
	w.within(t, 5*time.Second, "restart", w.converged)
}

// Guards against nodes that start together and stay with their only contact, whose budget goes into answers.
// Guards against a member that stops or restarts some time after it announced its leaving, without contacts, and that
// the others neither forget nor find again.
func TestLeavingMemberIsFoundAfterItsRestart(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after its death": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			w := cluster(t, 6, 8)
			leaver := w.nodes[11]
			address := leaver.Self().Address
			w.post(leaver.Announce(w.now, Leaving, 100))
			w.run(20*time.Second, nil)
			leaver.stopped = true
			w.run(down, nil)
			if down > 0 && !w.agree(address, Dead, nil) {
				t.Error("a stopped member is not known as dead")
			}
			w.nodes[11] = w.start(address, leaver.zone)
			w.nodes = w.nodes[:len(w.nodes)-1]
			w.within(t, 30*time.Second, "return", w.converged)
		})
	}
}

func TestManyNodesStartTogether(t *testing.T) {
	w := newNetwork(13)
	w.add("a1", 1)
	for _, zone := range []string{"a1", "a2", "b1"} {
		w.add(zone, 70, w.nodes[0].Self().Address)
	}
	t.Logf("211 nodes joined in %v", w.within(t, time.Minute, "join", w.converged))
}
