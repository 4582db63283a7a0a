package hemlocknode

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"hemlockhollow/hemlockmember"
)

// batchingNodesPerZone is how many nodes of a zone write the claims of the other nodes to the platform, in batches.
const batchingNodesPerZone = 2

// maxClaimTransactions limits the claim transactions per second of all batching nodes together. The platform's table can
// handle several hundred writes/s, and configuration and seed rows need some of them.
const maxClaimTransactions = 300

// Duties assigns background duties, such as polling the configuration, to a few nodes by rendezvous hashing over the
// membership view of this node. While the views of two nodes differ, both may perform the same duty, which costs some work
// but is safe.
type Duties struct {
	self string
	zone string
	view *hemlockmember.View

	mutex sync.Mutex
	// assignments caches the assigned addresses by zone and duty, because the time for ranking grows with the size of the
	// view. It is valid for the version of the view in the field version.
	assignments map[string][]string
	version     uint64
	// avoidedUntil contains, by address, the time until which no claims are forwarded to a batching node that failed.
	avoidedUntil map[string]time.Time
}

func newDuties(self, zone string, view *hemlockmember.View) *Duties {
	return &Duties{self: self, zone: zone, view: view, assignments: map[string][]string{}, avoidedUntil: map[string]time.Time{}}
}

// assignees returns the addresses of the nodes, at most count, to which a duty is assigned in a zone. An empty zone means
// all zones.
func (d *Duties) assignees(duty, zone string, count int) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version := d.view.Version(); version != d.version {
		d.assignments, d.version = map[string][]string{}, version
	}
	key := zone + "/" + duty
	addresses, known := d.assignments[key]
	if !known {
		for _, m := range d.view.FirstRanked(duty, zone, count) {
			addresses = append(addresses, m.Address)
		}
		d.assignments[key] = addresses
	}
	return addresses
}

// isAssigned reports whether this node is one of the assignees of a duty in its zone.
func (d *Duties) isAssigned(duty string, count int) bool {
	return slices.Contains(d.assignees(duty, d.zone, count), d.self)
}

// batchingNode returns the address of the node to which the claim of a key is forwarded, or an empty string if this node
// writes it.
func (d *Duties) batchingNode(key string) string {
	candidates := d.assignees("claims", d.zone, batchingNodesPerZone)
	if len(candidates) == 0 {
		return ""
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(key))
	chosen := candidates[int(digest.Sum32())%len(candidates)]
	if chosen == d.self || d.isAvoided(chosen, time.Now()) {
		return ""
	}
	return chosen
}

// claimInterval returns the minimum time between two claim transactions of this node, so that the batching nodes of all
// zones in the view together stay within maxClaimTransactions.
func (d *Duties) claimInterval() time.Duration {
	zones := map[string]bool{d.zone: true}
	for _, m := range d.view.Members() {
		if m.State != hemlockmember.Dead {
			zones[m.Zone] = true
		}
	}
	return time.Duration(len(zones)*batchingNodesPerZone) * time.Second / maxClaimTransactions
}

// avoid makes this node write claims itself, until the given time, instead of forwarding them to the batching node at the
// address.
func (d *Duties) avoid(address string, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.avoidedUntil[address] = until
}

// isAvoided reports whether claims must not be forwarded to the batching node at the time now.
func (d *Duties) isAvoided(address string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until, known := d.avoidedUntil[address]
	if known && now.After(until) {
		delete(d.avoidedUntil, address)
		return false
	}
	return known
}
