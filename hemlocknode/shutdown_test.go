package hemlocknode

import (
	"net/http"
	"testing"
	"time"

	"hemlockhollow/hemlockmember"
)

// Guards against a node that never exits because a request takes longer than the timeout of the graceful shutdown.
func TestShutdownEndsAtItsTimeout(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.startNode("a", func(s *Settings) { s.StopTimeout = time.Second })
	c.startTarget(n, "pages", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
	})
	eventuallyServes(t, n, "GET", "/pages/fast", "")
	go func() { _, _, _ = send("GET", "http://"+n.callersAddress+"/pages/slow", nil) }()
	eventually(t, "the request is running", func() bool { return n.server.admission.Snapshot(time.Now()).InFlight > 0 })
	n.stop()
	eventually(t, "the node stops with an error", func() bool {
		select {
		case err := <-n.done:
			return err != nil
		default:
			return false
		}
	})
}

// Guards against a stopping node that counts as ready again because its target announces itself again.
func TestStoppingNodeStaysLeaving(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.startNode("a", func(s *Settings) { s.DrainGrace, s.StopTimeout = time.Minute, 2*time.Minute })
	target := c.startTarget(n, "pages", respondWith("a"))
	eventuallyServes(t, n, "GET", "/pages/x", "a")
	n.stop()
	eventually(t, "the node is leaving", func() bool { return n.gossipDriver.Gossip().Self().State == hemlockmember.Leaving })
	target.silent.Store(true)
	eventually(t, "the target is unavailable", func() bool { return n.health.State().State == hemlockmember.Joining.String() })
	c.startTarget(n, "pages", respondWith("b"))
	eventually(t, "the target is ready", func() bool { return n.health.State().State == hemlockmember.Ready.String() })
	if state := n.gossipDriver.Gossip().Self().State; state != hemlockmember.Leaving {
		t.Errorf("the stopping node announced itself as %v, want leaving", state)
	}
}
