package hemlocknode

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocktarget"
)

// Guards against requests that are sent to a target after its drain notice, because it continues to announce itself while
// its successor on another port is ready.
func TestDrainingTargetDoesNotReplaceItsSuccessor(t *testing.T) {
	c := newCluster(t)
	n := c.startNode("a", nil)
	announce := func(address string) {
		if err := n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: address}); err != nil {
			t.Fatal(err)
		}
	}
	announce("127.210.0.200:1")
	n.health.HandleDrain()
	announce("127.210.0.200:1")
	if !n.health.isDraining() {
		t.Fatal("an announcement undid the drain notice")
	}
	announce("127.210.0.200:2")
	announce("127.210.0.200:1")
	if state := n.health.State(); state.Address != "127.210.0.200:2" || state.State != hemlockmember.Ready.String() {
		t.Errorf("after the successor's announcement the target is %s at %s, want ready at the address of the successor", state.State, state.Address)
	}
}

// Guards against a target that restarts immediately at its old address but keeps the state leaving for as long as it
// announces itself.
func TestRestartedInstanceIsReady(t *testing.T) {
	c := newCluster(t)
	n := c.startNode("a", nil)
	announce := func(instance string) {
		_ = n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: "127.210.0.200:1", Instance: instance})
	}
	announce("first")
	n.health.HandleDrain()
	announce("first")
	if !n.health.isDraining() {
		t.Fatal("an announcement of the drained instance undid the drain notice")
	}
	announce("second")
	if !n.health.serves("pages") {
		t.Fatal("a new instance at the address of the drained one is not ready")
	}
}

// Guards against a target that announces itself while it is being marked as unavailable, and then counts as ready without
// slots until it restarts.
func TestAnnouncementDuringTargetLossTakesEffect(t *testing.T) {
	c := newCluster(t)
	n := c.startNode("a", nil)
	announce := func() {
		_ = n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: "127.210.0.200:1"})
	}
	for round := range 5000 {
		announce()
		var group sync.WaitGroup
		group.Go(announce)
		group.Go(func() { n.health.markUnavailable("no announcement") })
		group.Wait()
		announce()
		limit, state := n.server.admission.Snapshot(time.Now()).Limit, n.gossipDriver.Gossip().Self().State
		if !n.health.serves("pages") || limit == 0 || state != hemlockmember.Ready {
			t.Fatalf("in round %d the target is %s with a limit of %d, and its state in gossip is %v; want ready, above 0 and ready",
				round, n.health.State().State, limit, state)
		}
	}
}

// Guards against queued requests that are sent to a target although its drain notice has arrived in the meantime.
func TestQueuedRequestIsNotSentToDrainingTarget(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.startNode("a", nil)
	blocked := make(chan struct{})
	target := c.startTarget(n, "pages", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-blocked
		}
	})
	eventuallyServes(t, n, "GET", "/pages/fast", "")
	before := target.runs.Load()
	statuses := make(chan int, 30)
	for range cap(statuses) {
		go func() {
			status, _, _ := send("GET", "http://"+n.callersAddress+"/pages/slow", nil)
			statuses <- status
		}()
	}
	eventually(t, "requests are queued", func() bool {
		s := n.server.admission.Snapshot(time.Now())
		return s.Queued+s.InFlight == cap(statuses) && s.Queued > 0 && target.runs.Load() == before+int64(s.InFlight)
	})
	running := target.runs.Load()
	n.health.HandleDrain()
	close(blocked)
	for range cap(statuses) {
		<-statuses
	}
	if now := target.runs.Load(); now != running {
		t.Errorf("%d queued requests were sent to the target after its drain notice, want none", now-running)
	}
}

// Guards against a number of slots and a concurrency limit that keep the value of an older version of the configuration.
func TestSlotsFollowConfiguration(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.startNode("a", nil)
	c.startTarget(n, "pages", respondWith("a"))
	slots := func() int { return n.gossipDriver.Gossip().Self().Slots }
	eventually(t, "the node announces the slots of the first version", func() bool { return n.version() == 1 && slots() == 80 })
	c.publish(strings.Replace(pagesFile, "slots = 80", "slots = 40", 1))
	eventually(t, "the node announces the slots of the second version", func() bool { return slots() == 40 })
	eventually(t, "the limit is at most the slots of the second version", func() bool { return n.server.admission.Snapshot(time.Now()).Limit <= 40 })
}

// Guards against requests that are sent to a target that no longer announces itself and whose drain notice was lost.
func TestTargetWithoutAnnouncementsGetsNoRequests(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	caller, leaving, staying := c.startNode("a", nil), c.startNode("a", nil), c.startNode("a", nil)
	silentTarget := c.startTarget(leaving, "pages", respondWith("page"))
	c.startTarget(staying, "pages", respondWith("page"))
	eventually(t, "both targets are known", func() bool { return caller.readyTargets() == 2 && caller.version() == 1 })
	silentTarget.silent.Store(true)
	eventually(t, "the target counts as unavailable", func() bool { return !leaving.health.serves("pages") })
	before := silentTarget.runs.Load()
	for range 100 {
		if status, text, err := send("GET", "http://"+caller.callersAddress+"/pages/x", nil); status != http.StatusOK || err != nil {
			t.Fatalf("a request got status %d, content %s, error %v; want status 200 and no error", status, text, err)
		}
	}
	if silentTarget.runs.Load() != before {
		t.Error("the target without announcements got new requests")
	}
}

// Guards against retries that are spent because a node is leaving while its announcement was lost.
func TestRerouteFromLeavingNodeCostsNoRetry(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	caller, leaving, staying := c.startNode("a", nil), c.startNode("a", nil), c.startNode("a", nil)
	leavingTarget := c.startTarget(leaving, "pages", respondWith("page"))
	c.startTarget(staying, "pages", respondWith("page"))
	eventually(t, "both targets are known", func() bool { return caller.readyTargets() == 2 && caller.version() == 1 })
	leaving.server.leaving.Store(true)
	before := leavingTarget.runs.Load()
	_, err := leaving.server.Invoke(t.Context(), pageRequest(0))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictNotRun || refusal.Reason != hemlockcall.ReasonLeaving {
		t.Errorf("the leaving node returned %v, want a refusal with verdict not-run and reason leaving", err)
	}
	// The class allows no retries, so each response shows that the reroute did not spend one.
	for range 100 {
		if status, text, err := send("GET", "http://"+caller.callersAddress+"/pages/x", nil); status != http.StatusOK || err != nil {
			t.Fatalf("a request got status %d, content %s, error %v; want status 200 and no error", status, text, err)
		}
	}
	if leavingTarget.runs.Load() != before {
		t.Error("the target of the leaving node got new requests")
	}
}

// Guards against a request that crashes its targets and is run once more than allowed, because a target was restarted before
// its node tried to connect.
func TestNewInstanceCountsAsCrash(t *testing.T) {
	c := newCluster(t)
	n := c.startNode("a", nil)
	announce := func(instance string) {
		if err := n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: "127.210.0.200:1",
			Instance: instance}); err != nil {
			t.Fatal(err)
		}
	}
	crashes := func() int {
		records, _ := n.health.suspects.Counts()
		return records
	}
	announce("first")
	n.health.suspects.Started(7)
	announce("first")
	if crashes() != 0 {
		t.Fatal("a repeated announcement counts as a crash")
	}
	announce("second")
	if crashes() != 1 {
		t.Errorf("%d crash records after an announcement of another instance, want 1", crashes())
	}
	n.health.suspects.Started(8)
	n.health.HandleDrain()
	announce("third")
	if crashes() != 1 {
		t.Errorf("%d crash records after another instance followed a drain notice, want still 1", crashes())
	}
}

// Guards against a crash that is not recorded because the exiting process still accepted the first connection attempt of its
// node. The request that caused the crash would then run once more than allowed.
func TestCrashIsDetectedWhileProcessExits(t *testing.T) {
	c := newCluster(t)
	n := c.startNode("a", nil)
	socket := listen(t, 200)
	if err := n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8,
		Address: socket.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	suspectExecution := n.health.suspects.Started(7)
	n.health.suspects.Finished(time.Now(), suspectExecution, false)
	n.health.checkForCrash(hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, "EOF"))
	accepted, err := socket.Accept() // the first connection attempt succeeds
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	_ = socket.Close()
	eventually(t, "the crash is recorded", func() bool { return n.health.State().State != hemlockmember.Ready.String() })
	if records, _ := n.health.suspects.Counts(); records != 1 {
		t.Errorf("%d crash records, want 1", records)
	}
}
