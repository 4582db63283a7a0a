package hemlocknode

import (
	"strings"
	"testing"
	"time"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/platform/hemlockplatform"
)

// hasServices reports whether the node's active configuration has exactly the services of the names.
func hasServices(n *testNode, names ...string) bool {
	services := n.configurationWatcher.holder.Current().Services
	for _, name := range names {
		if _, ok := services[name]; !ok {
			return false
		}
	}
	return len(services) == len(names)
}

func pagesNamed(name string) string {
	return strings.Replace(pagesFile, `"pages"`, `"`+name+`"`, 1)
}

// Guards against a publish that gets the version of one that the platform has lost, and that every node which had the lost version
// ignores; and against the lost one being reverted.
func TestPublishWithTheVersionOfALostOneIsInForce(t *testing.T) {
	c := newCluster(t)
	c.publish(pagesNamed("a"))
	nodes := []*testNode{c.startNode("zone-a", nil), c.startNode("zone-a", nil)}
	copied := c.store.Copy()
	c.publish(pagesNamed("b"))
	for _, n := range nodes {
		eventually(t, "the node has both services", func() bool { return hasServices(n, "a", "b") })
	}
	c.store.Restore(copied)
	c.publish(pagesNamed("c"))
	nodes = append(nodes, c.startNode("zone-b", nil)) // starts with what is published now
	for _, n := range nodes {
		eventually(t, "the node has all services", func() bool { return hasServices(n, "a", "b", "c") })
	}
}

// Guards against a configuration that is lost when the nodes which have it are replaced after a return of the platform, also when only
// its object was lost.
func TestLostConfigurationIsWrittenToThePlatformAgain(t *testing.T) {
	for _, name := range []string{"row and object lost", "object lost"} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			c.publish(pagesNamed("a"))
			copied := c.store.Copy()
			n := c.startNode("zone-a", nil)
			c.publish(pagesNamed("b"))
			eventually(t, "the node has both services", func() bool { return hasServices(n, "a", "b") })
			if name == "object lost" {
				copied = c.store.Copy().WithoutObjects()
			}
			c.store.Restore(copied)
			eventually(t, "the platform has the configuration again", func() bool {
				client := hemlockplatform.New(c.platform)
				head, _, err := NewConfigurationStore(client).ReadHead(t.Context())
				if err != nil || head.Version != 2 {
					return false
				}
				_, err = hemlockconfiguration.Load(t.Context(), NewConfigurationStore(client), head)
				return err == nil
			})
			n.stop()
			<-n.done
			c.seeds = nil
			started := c.startNode("zone-a", nil)
			eventually(t, "the next node has both services", func() bool { return hasServices(started, "a", "b") })
		})
	}
}

// Guards against a node that finds no others for up to a minute because the platform has lost the seed rows, or returned rows of hosts
// that no longer exist.
func TestNodeJoinsAfterSeedRowsWereLost(t *testing.T) {
	c := newCluster(t)
	empty := c.store.Copy()
	c.publish(pagesNamed("a"))
	var addresses []string
	for range 3 {
		n := c.startNode("zone-a", nil)
		eventually(t, "the node has the configuration", func() bool { return hasServices(n, "a") })
		addresses = append(addresses, n.settings.PeersAddress)
	}
	time.Sleep(2 * seedRetryInterval) // until all nodes have refreshed the rows and wait for the next time
	c.store.Restore(empty)
	lostAt := time.Now()
	c.seeds = nil
	joining := c.startNode("zone-a", nil)
	eventually(t, "the node knows the others", func() bool {
		for _, a := range addresses {
			if _, ok := joining.gossipDriver.Gossip().View().Get(a); !ok {
				return false
			}
		}
		return true
	})
	if took := time.Since(lostAt); took > 20*time.Second {
		t.Errorf("the node knows the others after %v, want at most 20 s", took)
	}
}
