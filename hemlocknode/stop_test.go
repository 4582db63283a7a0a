package hemlocknode

import (
	"net/http"
	"testing"
	"time"
)

// Guards against a node that never exits because a request outlasts the graceful shutdown.
func TestStopEndsWhenARequestOutlastsIt(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile)
	n := c.node("a", func(s *Settings) { s.StopTimeout = time.Second })
	c.target(n, "pages", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
		}
	})
	eventuallyServes(t, n, "GET", "/pages/fast", "")
	go func() { _, _, _ = send("GET", "http://"+n.callers+"/pages/slow", nil) }()
	eventually(t, "the request runs", func() bool { return n.server.admission.Snapshot(time.Now()).InFlight > 0 })
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
