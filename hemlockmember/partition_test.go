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

// crashOn makes a request crash the target of a node.
func (net *network) crashOn(n *node, fingerprint uint64) {
	n.suspects.Started(fingerprint)
	net.enqueue(n.DisseminateCrashRecords(net.now, n.suspects.TargetCrashed(net.now)))
}

// withSuspects gives each node of a network a table of crash records.
func withSuspects(net *network) {
	for _, n := range net.nodes {
		WithCrashRecords(hemlocksuspect.New(n.Self().Address))(n.Gossip)
	}
}

// refusedBy counts the nodes that refuse a request, in a zone and in all others.
func (net *network) refusedBy(fingerprint uint64, zone string) (inZone, elsewhere int) {
	for _, n := range net.nodes {
		if n.suspects.Check(net.now, fingerprint) != hemlocksuspect.Refuse {
			continue
		}
		if n.zone == zone {
			inZone++
		} else {
			elsewhere++
		}
	}
	return inZone, elsewhere
}

// Guards against crash records that do not reach all of their zone, or make other zones refuse a request before its third crash, even if
// messages are lost and a node joins later.
func TestCrashRecordsReachTheZone(t *testing.T) {
	net := joinedNetwork(t, 11, 8)
	withSuspects(net)
	net.loss = 0.2
	first := net.nodes[0]
	for range 2 {
		net.crashOn(first, 7)
	}
	known := func() bool {
		inZone, elsewhere := net.refusedBy(7, first.zone)
		if elsewhere > 0 {
			t.Fatalf("%d nodes of other zones refuse the request after two crashes, want none", elsewhere)
		}
		return inZone == len(net.nodes)-net.countElsewhere(first.zone)
	}
	t.Logf("known in the zone after %v", net.within(t, 10*time.Second, "dissemination of the crash records", known))
	joining := net.startNode("10.late:7400", first.zone, first.Self().Address)
	WithCrashRecords(hemlocksuspect.New("10.late:7400"))(joining.Gossip)
	net.within(t, 10*time.Second, "dissemination to the joining node", known)
}

func (net *network) countElsewhere(zone string) int {
	count := 0
	for _, n := range net.nodes {
		if n.zone != zone {
			count++
		}
	}
	return count
}

// Guards against a request that crashes two targets in each zone of a deployment with many zones: more than three after the third.
func TestRequestThatCrashesTargetsInAllZonesIsRefusedAfterTheThird(t *testing.T) {
	net := joinedNetwork(t, 12, 8)
	withSuspects(net)
	net.loss = 0.05
	crashes := 0
	for attempt := range 40 { // at targets of all zones in turn
		n := net.nodes[(attempt*9+1)%len(net.nodes)]
		if n.suspects.Check(net.now, 7) != hemlocksuspect.Refuse {
			net.crashOn(n, 7)
			crashes++
		}
		net.run(3*time.Second, nil) // the caller sends it again
	}
	if crashes > 3 {
		t.Errorf("the request has crashed %d targets, want at most 3", crashes)
	}
	if _, refusing := net.refusedBy(7, ""); refusing != len(net.nodes) {
		t.Errorf("%d of %d nodes refuse the request, want all", refusing, len(net.nodes))
	}
	for _, n := range net.nodes {
		n.suspects.Finished(net.now, n.suspects.Started(8), true)
		if decision := n.suspects.Check(net.now, 8); decision != hemlocksuspect.Run {
			t.Errorf("decision %v for another request, want Run", decision)
		}
	}
}
