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

func respondWith(text string) http.HandlerFunc {
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

func (n *testNode) version() uint64 { return n.configurationWatcher.holder.Current().Version }

// readyTargets returns the number of ready targets in the membership view of the node.
func (n *testNode) readyTargets() int {
	count := 0
	for _, m := range n.gossipDriver.Gossip().View().Members() {
		if m.State == hemlockmember.Ready {
			count++
		}
	}
	return count
}

func eventuallyServes(t *testing.T, n *testNode, method, path, want string) {
	t.Helper()
	eventually(t, method+" "+path+" responds with "+want, func() bool {
		status, text, err := send(method, "http://"+n.callersAddress+path, newKey(t))
		return err == nil && status == http.StatusOK && text == want
	})
}

// checkVersionsNeverDecrease returns a check that no node has returned to an earlier version since the last check.
func checkVersionsNeverDecrease(t *testing.T, nodes []*testNode) func() {
	versions := make([]uint64, len(nodes))
	return func() {
		t.Helper()
		for i, n := range nodes {
			current := n.version()
			if current < versions[i] {
				t.Fatalf("node %d returned from version %d to %d", i, versions[i], current)
			}
			versions[i] = current
		}
	}
}

func checkOrderRefused(t *testing.T, n *testNode) {
	t.Helper()
	status, text, err := send("POST", "http://"+n.callersAddress+"/orders/x", newKey(t))
	if err != nil || status != http.StatusServiceUnavailable || !strings.HasPrefix(text, "not-runplatform") {
		t.Errorf("an order without the platform got status %d, content %s, error %v; want status 503, verdict not-run and reason platform", status, text, err)
	}
}

func checkPageServed(t *testing.T, n *testNode, zone string) {
	t.Helper()
	if status, text, err := send("GET", "http://"+n.callersAddress+"/pages/x", nil); status != http.StatusOK || text != zone || err != nil {
		t.Errorf("a page request in zone %s got status %d, content %s, error %v; want status 200 and the page of this zone", zone, status, text, err)
	}
}

// Guards against a zone that stops serving when a network partition separates it from the others, against orders that run
// without a claim, and against effects that remain after the end of the partition.
func TestNetworkPartitionBetweenZones(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesFile, ordersFile)
	var nodes []*testNode
	var targets []*testTarget
	for _, zone := range []string{"a", "b"} {
		for _, service := range []string{"pages", "orders"} {
			n := c.startNode(zone, nil)
			nodes, targets = append(nodes, n), append(targets, c.startTarget(n, service, respondWith(zone)))
		}
	}
	checkVersions := checkVersionsNeverDecrease(t, nodes)
	allReady := func() bool {
		checkVersions()
		return !slices.ContainsFunc(nodes, func(n *testNode) bool { return n.readyTargets() != len(nodes) || n.version() == 0 })
	}
	eventually(t, "all nodes see all targets and have a configuration", allReady)
	eventuallyServes(t, nodes[0], "POST", "/orders/x", "a")
	eventuallyServes(t, nodes[2], "POST", "/orders/x", "b")

	c.network.setBlocked("a", "b", true)
	c.network.setBlocked("b", "platform", true)
	before := targets[3].runs.Load()
	for i := range 20 {
		checkOrderRefused(t, nodes[2+i%2])
	}
	eventually(t, "the targets of the other zone are no longer ready", func() bool {
		checkVersions()
		return nodes[0].readyTargets() == 2 && nodes[3].readyTargets() == 2
	})
	for i := range 40 {
		checkPageServed(t, nodes[i%4], []string{"a", "a", "b", "b"}[i%4])
	}
	eventuallyServes(t, nodes[0], "POST", "/orders/x", "a")
	c.publish(strings.Replace(pagesFile, "retries = 0", "retries = 1", 1))
	eventually(t, "zone a has the new version", func() bool {
		checkVersions()
		return nodes[0].version() == 2 && nodes[1].version() == 2
	})
	if nodes[2].version() != 1 || nodes[3].version() != 1 {
		t.Error("zone b has the new version although it cannot have received it")
	}
	if targets[3].runs.Load() != before || targets[1].runs.Load() == 0 {
		t.Error("an order that was refused with verdict not-run has run in zone b, or no order has run in zone a")
	}

	c.network.setBlocked("a", "b", false)
	eventually(t, "the new version reaches zone b through zone a", func() bool {
		checkVersions()
		return nodes[2].version() == 2 && nodes[3].version() == 2
	})
	eventually(t, "all nodes see all targets again", allReady)
	c.network.setBlocked("b", "platform", false)
	eventuallyServes(t, nodes[2], "POST", "/orders/x", "b")
}
