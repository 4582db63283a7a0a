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

// Guards against work for a target that has sent its drain notice and goes on announcing itself while its successor
// on another port is ready.
func TestDrainingTargetDoesNotReplaceItsSuccessor(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", nil)
	announce := func(address string) {
		if err := n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: address}); err != nil {
			t.Fatal(err)
		}
	}
	announce("127.210.0.200:1")
	n.health.HandleDrain()
	announce("127.210.0.200:1")
	if !n.health.draining() {
		t.Fatal("an announcement undid the drain notice")
	}
	announce("127.210.0.200:2")
	announce("127.210.0.200:1")
	if state := n.health.State(); state.Address != "127.210.0.200:2" || state.State != hemlockmember.Ready.String() {
		t.Errorf("after the successor's announcement the target is %s at %s", state.State, state.Address)
	}
}

// Guards against a target that restarts at its old address at once and stays leaving for as long as it announces itself.
func TestRestartedInstanceIsReady(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", nil)
	announce := func(instance string) {
		_ = n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: "127.210.0.200:1", Instance: instance})
	}
	announce("first")
	n.health.HandleDrain()
	announce("first")
	if !n.health.draining() {
		t.Fatal("an announcement of the drained instance undid the drain notice")
	}
	announce("second")
	if !n.health.serves("pages") {
		t.Fatal("a new instance at the address of the drained one is not ready")
	}
}

// Guards against a target that announces itself at the moment at which it is lost, and then counts as ready without
// slots until it restarts.
func TestAnnouncementDuringLossIsNotLost(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", nil)
	announce := func() {
		_ = n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8, Address: "127.210.0.200:1"})
	}
	for round := range 5000 {
		announce()
		var both sync.WaitGroup
		both.Go(announce)
		both.Go(func() { n.health.lost("no announcement") })
		both.Wait()
		announce()
		limit, state := n.server.admission.Snapshot(time.Now()).Limit, n.announcer.Gossip().Self().State
		if !n.health.serves("pages") || limit == 0 || state != hemlockmember.Ready {
			t.Fatalf("in round %d the target is %s with a limit of %d, and announced as %v",
				round, n.health.State().State, limit, state)
		}
	}
}

// Guards against requests that are sent to a target after its drain notice because they were queued before it.
func TestQueuedRequestIsNotSentToDrainingTarget(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.node("a", nil)
	blocked := make(chan struct{})
	target := c.target(n, "pages", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-blocked
		}
	})
	eventuallyServes(t, n, "GET", "/pages/fast", "")
	before := target.runs.Load()
	answers := make(chan int, 30)
	for range cap(answers) {
		go func() {
			status, _, _ := send("GET", "http://"+n.callers+"/pages/slow", nil)
			answers <- status
		}()
	}
	eventually(t, "requests are queued", func() bool {
		s := n.server.admission.Snapshot(time.Now())
		return s.Queued+s.InFlight == cap(answers) && s.Queued > 0 && target.runs.Load() == before+int64(s.InFlight)
	})
	running := target.runs.Load()
	n.health.HandleDrain()
	close(blocked)
	for range cap(answers) {
		<-answers
	}
	if now := target.runs.Load(); now != running {
		t.Errorf("%d queued requests were sent to the draining target", now-running)
	}
}

// Guards against slots and connections that stay at an older version of the service file.
func TestSlotsFollowTheConfiguration(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.node("a", nil)
	c.target(n, "pages", says("a"))
	slots := func() int { return n.announcer.Gossip().Self().Slots }
	eventually(t, "the slots of the first version", func() bool { return n.version() == 1 && slots() == 80 })
	c.publish(strings.Replace(pagesFile, "slots = 80", "slots = 40", 1))
	eventually(t, "the slots of the second version", func() bool { return slots() == 40 })
	eventually(t, "the limit follows", func() bool { return n.server.admission.Snapshot(time.Now()).Limit <= 40 })
}

// Guards against work for a target that leaves while its drain notice is lost.
func TestSilentTargetGetsNoWork(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	caller, leaving, staying := c.node("a", nil), c.node("a", nil), c.node("a", nil)
	silent := c.target(leaving, "pages", says("page"))
	c.target(staying, "pages", says("page"))
	eventually(t, "both targets are known", func() bool { return caller.ready() == 2 && caller.version() == 1 })
	silent.silent.Store(true)
	eventually(t, "the target counts as lost", func() bool { return !leaving.health.serves("pages") })
	ran := silent.runs.Load()
	for range 100 {
		if status, text, err := send("GET", "http://"+caller.callers+"/pages/x", nil); status != http.StatusOK || err != nil {
			t.Fatalf("a request got %d %s %v", status, text, err)
		}
	}
	if silent.runs.Load() != ran {
		t.Error("the silent target got new work")
	}
}

// Guards against retries spent on a node that leaves while its announcement is lost.
func TestCallMovesOnFromLeavingNodeAtNoCost(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	caller, leaving, staying := c.node("a", nil), c.node("a", nil), c.node("a", nil)
	gone := c.target(leaving, "pages", says("page"))
	c.target(staying, "pages", says("page"))
	eventually(t, "both targets are known", func() bool { return caller.ready() == 2 && caller.version() == 1 })
	leaving.server.leaving.Store(true)
	ran := gone.runs.Load()
	_, err := leaving.server.Invoke(t.Context(), pageRequest(0))
	if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictNotRun || refusal.Reason != hemlockcall.ReasonLeaving {
		t.Errorf("the leaving node answered %v, want a refusal as not run", err)
	}
	// The class allows no retry, so every answer shows that moving on was free.
	for range 100 {
		if status, text, err := send("GET", "http://"+caller.callers+"/pages/x", nil); status != http.StatusOK || err != nil {
			t.Fatalf("a request got %d %s %v", status, text, err)
		}
	}
	if gone.runs.Load() != ran {
		t.Error("the target of the leaving node got new work")
	}
}

// Guards against a request that crashes its targets and runs once more than it may, because a target was restarted before
// its node tried to connect.
func TestFastRestartIsACrash(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", nil)
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
		t.Errorf("%d crash records after another instance took over", crashes())
	}
	n.health.suspects.Started(8)
	n.health.HandleDrain()
	announce("third")
	if crashes() != 1 {
		t.Errorf("%d crash records after a planned change", crashes())
	}
}

// Guards against a crash that is not recorded, and a request that runs once more than it may, because the process that was
// ending still accepted the connection by which its node looked.
func TestEndingTargetIsACrash(t *testing.T) {
	c := newCluster(t)
	n := c.node("a", nil)
	socket := listen(t, 200)
	if err := n.health.HandleAnnouncement(hemlocktarget.Announcement{Service: "pages", Slots: 8,
		Address: socket.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	flight := n.health.suspects.Started(7)
	n.health.suspects.Finished(time.Now(), flight, false)
	n.health.observe(hemlockcall.RefuseUnknown(hemlockcall.ReasonConnection, "EOF"))
	accepted, err := socket.Accept() // the first attempt succeeds
	if err != nil {
		t.Fatal(err)
	}
	_ = accepted.Close()
	_ = socket.Close()
	eventually(t, "the crash is recorded", func() bool { return n.health.State().State != hemlockmember.Ready.String() })
	if records, _ := n.health.suspects.Counts(); records != 1 {
		t.Errorf("%d crash records", records)
	}
}
