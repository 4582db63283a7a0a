package hemlocknode

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"hemlockhollow/hemlockmember"
)

// collectorsPerZone is how many nodes of a zone write claims for the others.
const collectorsPerZone = 2

// claimWrites is the number of claim transactions per second that all collectors share. The platform's table takes
// several hundred writes/s, and configuration and seed rows need some of them.
const claimWrites = 300

// Duties tells which nodes take a duty, by rendezvous hashing over this node's view. Another node's view may differ;
// then both take the duty, which costs work and no safety.
type Duties struct {
	self string
	zone string
	view *hemlockmember.View

	mutex sync.Mutex
	// ranked holds the ranking of each duty at version; ranking costs time in the size of the view.
	ranked  map[string][]string
	version uint64
	// avoided holds until when a collector that failed gets no claims.
	avoided map[string]time.Time
}

func newDuties(self, zone string, view *hemlockmember.View) *Duties {
	return &Duties{self: self, zone: zone, view: view, ranked: map[string][]string{}, avoided: map[string]time.Time{}}
}

// holders returns the addresses of the nodes that take a duty in a zone; an empty zone means all zones.
func (d *Duties) holders(duty, zone string, count int) []string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if version := d.view.Version(); version != d.version {
		d.ranked, d.version = map[string][]string{}, version
	}
	key := zone + "/" + duty
	addresses, known := d.ranked[key]
	if !known {
		for _, m := range d.view.FirstRanked(duty, zone, count) {
			addresses = append(addresses, m.Address)
		}
		d.ranked[key] = addresses
	}
	return addresses
}

// holds reports whether this node takes a duty in its zone.
func (d *Duties) holds(duty string, count int) bool {
	return slices.Contains(d.holders(duty, d.zone, count), d.self)
}

// collector returns the node that writes the claim of a key, or an empty string for this node.
func (d *Duties) collector(key string) string {
	collectors := d.holders("claims", d.zone, collectorsPerZone)
	if len(collectors) == 0 {
		return ""
	}
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(key))
	chosen := collectors[int(digest.Sum32())%len(collectors)]
	if chosen == d.self || d.isAvoided(chosen, time.Now()) {
		return ""
	}
	return chosen
}

// claimInterval returns the shortest time between two claim transactions of this node, so that the collectors of all
// zones in the view together stay within claimWrites.
func (d *Duties) claimInterval() time.Duration {
	zones := map[string]bool{d.zone: true}
	for _, m := range d.view.Members() {
		if m.State != hemlockmember.Dead {
			zones[m.Zone] = true
		}
	}
	return time.Duration(len(zones)*collectorsPerZone) * time.Second / claimWrites
}

// avoid lets this node write the claims of a collector itself for a while.
func (d *Duties) avoid(address string, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.avoided[address] = until
}

func (d *Duties) isAvoided(address string, now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until, known := d.avoided[address]
	if known && now.After(until) {
		delete(d.avoided, address)
		return false
	}
	return known
}
