package hemlockmember

import (
	"testing"
	"time"

	"hemlockhollow/hemlocksuspect"
)

// Guards against two zones that repeatedly declare each other's members dead while a third zone reaches both.
func TestCutBetweenTwoZones(t *testing.T) {
	w := cluster(t, 6, 8)
	w.cut = func(a, b *node) bool { return a.zone+b.zone == "a1a2" || a.zone+b.zone == "a2a1" }
	before, _ := w.totals()
	w.run(2*time.Minute, nil)
	after, _ := w.totals()
	refuted := uint64(0)
	for _, n := range w.nodes {
		refuted += n.Counts().Refuted
	}
	rate := float64(after-before) / 120 / float64(len(w.nodes))
	t.Logf("%d refutations, %.0f B/s per node", refuted, rate)
	if refuted > 10 || rate > 2000 {
		t.Errorf("%d refutations and %.0f B/s per node in two minutes", refuted, rate)
	}
	w.cut = uncut
	w.within(t, 30*time.Second, "heal", w.converged)
}

// Guards against a partition between regions that is detected late, or whose end is not detected.
func TestCutBetweenRegionsHeals(t *testing.T) {
	w := cluster(t, 7, 8)
	w.cut = func(a, b *node) bool { return regionOf(a.zone) != regionOf(b.zone) }
	split := func() bool {
		for _, n := range w.nodes {
			if !w.agree(n.Self().Address, Ready, func(o *node) bool { return regionOf(o.zone) == regionOf(n.zone) }) ||
				!w.agree(n.Self().Address, Dead, func(o *node) bool { return regionOf(o.zone) != regionOf(n.zone) }) {
				return false
			}
		}
		return true
	}
	t.Logf("split in %v", w.within(t, 30*time.Second, "split", split))
	w.run(5*time.Minute, nil)
	if !split() {
		t.Fatal("a view changed during the partition")
	}
	w.cut = uncut
	t.Logf("healed in %v", w.within(t, 60*time.Second, "heal", w.converged))
}

// Guards against an isolated node whose stale view makes others declare members dead after it is reachable again.
func TestIsolatedNodeReturns(t *testing.T) {
	w := cluster(t, 8, 8)
	cutOff := w.nodes[9]
	cutOff.zone = "lost"
	w.cut = isolated("lost")
	w.run(2*time.Minute, nil)
	cutOff.zone = cutOff.Self().Zone
	w.within(t, 20*time.Second, "return", func() bool {
		for _, n := range w.nodes {
			if n != cutOff && !w.agree(n.Self().Address, Ready, func(o *node) bool { return o != cutOff }) {
				t.Fatalf("%s is not ready everywhere", n.Self().Address)
			}
		}
		return w.converged()
	})
}

// Guards against a restarted node whose previous record supersedes its new ones, even if its clock was set back.
func TestRestartWithOlderClock(t *testing.T) {
	w := cluster(t, 9, 4)
	old := w.nodes[5]
	old.stopped = true
	w.run(10*time.Second, nil)
	self := old.Self()
	self.Incarnation = 0
	old.skew = -time.Hour
	old.Gossip = NewGossip(w.now.Add(old.skew), self, []string{w.nodes[0].Self().Address}, w.random.IntN)
	old.stopped = false
	w.within(t, 5*time.Second, "return", w.converged)
}

// Guards against updates about a lost zone that exceed the byte budget instead of waiting.
func TestLostZoneStaysWithinByteBudget(t *testing.T) {
	const rate, burst = 2500, 6000
	w := convergedNetwork(200)
	for _, n := range w.nodes {
		n.stopped = n.zone == "a2"
		WithRate(rate, burst)(n.Gossip)
		n.budget.tokens = burst
	}
	before := map[*node]uint64{}
	for _, n := range w.nodes {
		before[n] = n.Counts().Bytes
	}
	w.run(10*time.Second, nil)
	for _, n := range w.nodes {
		sent := n.Counts().Bytes - before[n]
		// Probes and their replies do not wait for the budget; an extra twentieth allows for them.
		if sent > (burst+10*rate)*21/20 {
			t.Fatalf("%s sent %d bytes in 10 s", n.Self().Address, sent)
		}
	}
	w.within(t, 30*time.Second, "delayed updates", func() bool {
		for _, n := range w.nodes {
			if n.stopped && !w.agree(n.Self().Address, Dead, nil) {
				return false
			}
		}
		return true
	})
}

// Guards against a failed connection that does not lead to probes, and against declaring a member dead because of the failed
// connection alone.
func TestFailedConnection(t *testing.T) {
	w := cluster(t, 10, 8)
	alive, killed := w.nodes[12], w.nodes[13]
	killed.stopped = true
	w.nodes[10].ConnectionFailed(w.now, killed.Self().Address) // a member of the same zone
	w.nodes[10].ConnectionFailed(w.now, alive.Self().Address)
	w.within(t, 2*time.Second, "declaration", func() bool {
		return w.agree(killed.Self().Address, Dead, func(n *node) bool { return n == w.nodes[10] })
	})
	w.within(t, time.Second, "spread", func() bool { return w.agree(killed.Self().Address, Dead, nil) })
	if w.run(3*time.Second, nil); !w.converged() {
		t.Fatal("a live member was declared dead")
	}
}

// Guards against a single prober that declares a member dead while others reach it.
func TestCutBetweenTwoNodes(t *testing.T) {
	w := cluster(t, 12, 8)
	one := w.nodes[4]
	other := w.byName[one.neighbours[0]]
	w.cut = func(a, b *node) bool { return a == one && b == other || a == other && b == one }
	w.run(time.Minute, func() {
		if !w.converged() {
			t.Fatal("a reachable member was declared dead")
		}
	})
}

// Guards against crash records that leave their zone or do not reach all of it, even if messages are lost and a node joins
// later.
func TestCrashRecordsReachTheZone(t *testing.T) {
	w := cluster(t, 11, 8)
	for _, n := range w.nodes {
		n.suspects = hemlocksuspect.New(n.Self().Address)
	}
	w.loss = 0.2
	first := w.nodes[0]
	for range 2 {
		first.suspects.Started(7)
		w.enqueue(first.DisseminateCrashes(w.now, first.suspects.TargetCrashed(w.now)))
	}
	known := func() bool {
		for _, n := range w.nodes {
			refused := n.suspects.Check(w.now, 7) == hemlocksuspect.Refuse
			if n.zone != first.zone && refused {
				t.Fatalf("%s in another zone refuses the request", n.Self().Address)
			}
			if n.zone == first.zone && !refused {
				return false
			}
		}
		return true
	}
	t.Logf("known in the zone after %v", w.within(t, 10*time.Second, "spread", known))
	late := w.startNode("10.late:7400", first.zone, first.Self().Address)
	late.suspects = hemlocksuspect.New("10.late:7400")
	w.within(t, 10*time.Second, "joining node", known)
}
