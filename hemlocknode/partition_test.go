package hemlocknode

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/google/uuid"

	"hemlockhollow/hemlockmember"
)

const pagesFile = `service "pages" {
  slots = 80
  connections = 200
  not-run-statuses = [503]
  class "page" {
    match { path = "/*" }
    priority = "important"
    repeat = "safe"
    timeout = "5s"
    retries = 0
  }
}`

const ordersFile = `service "orders" {
  slots = 80
  connections = 200
  not-run-statuses = [503]
  claim-retention = "48h"
  class "booking" {
    match { path = "/*" }
    priority = "critical"
    repeat = "never"
    timeout = "3s"
    retries = 2
    max-answer = "64KiB"
  }
}`

func says(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

func newKey(t *testing.T) http.Header {
	t.Helper()
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return http.Header{"Idempotency-Key": {key.String()}}
}

func (n *testNode) version() uint64 { return n.watch.holder.Current().Version }

// ready counts the ready targets in the node's view.
func (n *testNode) ready() int {
	count := 0
	for _, m := range n.announcer.Gossip().View().Members() {
		if m.State == hemlockmember.Ready {
			count++
		}
	}
	return count
}

func eventuallyServes(t *testing.T, n *testNode, method, path, answer string) {
	t.Helper()
	eventually(t, method+" "+path+" answers "+answer, func() bool {
		status, text, err := send(method, "http://"+n.callers+path, newKey(t))
		return err == nil && status == http.StatusOK && text == answer
	})
}

// risingVersions returns a check that no node goes back to an earlier version.
func risingVersions(t *testing.T, nodes []*testNode) func() {
	versions := make([]uint64, len(nodes))
	return func() {
		t.Helper()
		for i, n := range nodes {
			now := n.version()
			if now < versions[i] {
				t.Fatalf("node %d went back from version %d to %d", i, versions[i], now)
			}
			versions[i] = now
		}
	}
}

func refusesOrder(t *testing.T, n *testNode) {
	t.Helper()
	status, text, err := send("POST", "http://"+n.callers+"/orders/x", newKey(t))
	if err != nil || status != http.StatusServiceUnavailable || !strings.HasPrefix(text, "not-runplatform") {
		t.Errorf("an order without platform got %d %s %v, want a refusal as not run", status, text, err)
	}
}

func servesPage(t *testing.T, n *testNode, zone string) {
	t.Helper()
	if status, text, err := send("GET", "http://"+n.callers+"/pages/x", nil); status != http.StatusOK || text != zone || err != nil {
		t.Errorf("a page in zone %s got %d %s %v", zone, status, text, err)
	}
}

// Guards against a zone that stops serving when it is cut off, against orders that run without a claim, and against a
// partition whose effects outlast it.
func TestZonesCutOffFromEachOther(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile, ordersFile)
	var nodes []*testNode
	var targets []*testTarget
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"pages", "orders"} {
			n := c.node(zone, nil)
			nodes, targets = append(nodes, n), append(targets, c.target(n, service, says(zone)))
		}
	}
	check := risingVersions(t, nodes)
	knowAll := func() bool {
		check()
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.ready() != len(nodes) || n.version() == 0 })
	}
	eventually(t, "all nodes know each other", knowAll)
	eventuallyServes(t, nodes[0], "POST", "/orders/x", "a")
	eventuallyServes(t, nodes[2], "POST", "/orders/x", "b")

	c.network.set("a", "b", true)
	c.network.set("b", "platform", true)
	ran := targets[3].runs.Load()
	for i := range 20 {
		refusesOrder(t, nodes[2+i%2])
	}
	eventually(t, "the zones lose sight of each other", func() bool {
		check()
		return nodes[0].ready() == 2 && nodes[3].ready() == 2
	})
	for i := range 40 {
		servesPage(t, nodes[i%4], []string{"a", "a", "b", "b"}[i%4])
	}
	eventuallyServes(t, nodes[0], "POST", "/orders/x", "a")
	c.publish(strings.Replace(pagesFile, "retries = 0", "retries = 1", 1))
	eventually(t, "zone a has the new version", func() bool {
		check()
		return nodes[0].version() == 2 && nodes[1].version() == 2
	})
	if nodes[2].version() != 1 || nodes[3].version() != 1 {
		t.Error("the zone that is cut off has a version that it cannot know")
	}
	if targets[3].runs.Load() != ran || targets[1].runs.Load() == 0 {
		t.Error("an order that was refused as not run has run")
	}

	c.network.set("a", "b", false)
	eventually(t, "the new version reaches zone b through zone a", func() bool {
		check()
		return nodes[2].version() == 2 && nodes[3].version() == 2
	})
	eventually(t, "the zones know each other again", knowAll)
	c.network.set("b", "platform", false)
	eventuallyServes(t, nodes[2], "POST", "/orders/x", "b")
}
