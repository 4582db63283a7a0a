// Package hemlockpolling decides which nodes follow the store for the configuration and when another node asks the store
// itself. It does no I/O; time is an argument.
//
// A few leaders of each availability zone hold a long poll at the store, so that the calls to it grow with zones and changes
// and not with hosts. Every other node holds a long poll at a leader of its zone, and each leader one at a leader of another
// zone: a zone whose leaders are cut off from the store learns of a change as soon as any other zone does. With each answer
// comes the age of the store's last word. A node that hears nothing fresh asks the store.
package hemlockpolling

import (
	"sync"
	"time"

	"hemlockhollow/hemlockmember"
)

const (
	// duty names the choice of leaders in the rendezvous order of members.
	duty = "configuration"
	// leadersPerZone is how many nodes of a zone follow the store: one can fail or be cut off unnoticed for seconds.
	leadersPerZone = 2
	// StorePollTimeout is how long the store holds a question of a leader. A connection that has gone silent is noticed after it, so
	// it is no longer than the time by which an unstable store may stretch the spread of a version.
	StorePollTimeout = 3 * time.Second
	// PeerPollTimeout is how long a leader holds a question of a node. Together with PeerMargin it stays within the time in which a
	// version must be in force everywhere (2 s on the smallest deployments).
	PeerPollTimeout = time.Second
	// PeerPollMargin is how much later than PeerWait an answer may come.
	PeerPollMargin = 300 * time.Millisecond
	// patience is the age of the store's word beyond which a node asks for itself. With sound leaders it stays below: a leader
	// hears from the store each StoreWait, and a node from its leader each PeerWait.
	patience = StorePollTimeout + PeerPollTimeout + 2*PeerPollMargin
	// failuresInRow is how many questions to leaders fail before a node asks the store at once.
	failuresInRow = 2
	// askPause is the wait between two questions of one node to the store, askPauseFailed the one after a question that
	// failed: with 200 nodes these are 50 calls a second while the store is away, and the leaders notice its return.
	askPause       = 2 * time.Second
	askPauseFailed = 4 * time.Second
	// startPatience is how long a node that starts with all others waits before it decides who leads: until it knows most of
	// its zone, it would take itself for a leader.
	startPatience = 3 * time.Second
)

// Role is what a node does for the configuration.
type Role struct {
	// Leader says that the node follows the store.
	Leader bool
	// Peers are the addresses to ask, a random one at a time: the leaders of the zone or, for a leader, those of others.
	Peers []string
}

// RoleOf returns the role of a member in a view.
func RoleOf(view *hemlockmember.View, self hemlockmember.Member) Role {
	var role Role
	for _, m := range view.FirstRanked(duty, self.Zone, leadersPerZone) {
		if m.Address == self.Address {
			role.Leader = true
		} else {
			role.Peers = append(role.Peers, m.Address)
		}
	}
	if !role.Leader {
		return role
	}
	var others []string
	for _, zone := range view.Zones() {
		if zone == self.Zone {
			continue
		}
		for _, m := range view.FirstRanked(duty, zone, leadersPerZone) {
			others = append(others, m.Address)
		}
	}
	if len(others) > 0 {
		role.Peers = others
	}
	return role
}

// Freshness is how fresh a node's configuration is. It is safe for concurrent use.
type Freshness struct {
	random func(n int) int
	// decides is when the node may take itself for a leader.
	decides time.Time

	mutex sync.Mutex
	// confirmed is when the store is known to have had no newer configuration than this node; zero before the first word.
	confirmed time.Time
	// failures counts the questions to peers that failed since the last answer.
	failures int
	// asks is the earliest time of the next question to the store.
	asks time.Time
}

// NewFreshness returns the knowledge of a node that starts now, together with all others or alone.
func NewFreshness(now time.Time, together bool, random func(n int) int) *Freshness {
	k := &Freshness{random: random, decides: now, asks: now}
	if together {
		k.decides = now.Add(startPatience)
		k.asks = k.decides.Add(PeerPollTimeout)
	}
	return k
}

// MayLead reports whether the node may take itself for a leader.
func (k *Freshness) MayLead(now time.Time) bool {
	return !now.Before(k.decides)
}

// MarkCurrent takes in that the store had no newer configuration at a time.
func (k *Freshness) MarkCurrent(at time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if at.After(k.confirmed) {
		k.confirmed = at
	}
}

// MarkOutdated takes in that there is a newer configuration than this node could get from a peer.
func (k *Freshness) MarkOutdated() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.confirmed = time.Time{}
}

// Age returns the age of the store's last word; false before the first.
func (k *Freshness) Age(now time.Time) (time.Duration, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(k.confirmed)), true
}

// PeerAnswered takes in that a peer answered.
func (k *Freshness) PeerAnswered() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.failures = 0
}

// PeerFailed takes in that a peer could not be asked, or that there is none.
func (k *Freshness) PeerFailed() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.failures++
}

// AllowStoreQuery reports whether the node asks the store now. It counts the question, so that the next one comes later.
func (k *Freshness) AllowStoreQuery(now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if now.Before(k.asks) {
		return false
	}
	if k.failures < failuresInRow && !k.confirmed.IsZero() && now.Sub(k.confirmed) < patience {
		return false
	}
	k.asks = now.Add(k.spread(askPause))
	return true
}

// StoreQueryFailed takes in that the store did not answer.
func (k *Freshness) StoreQueryFailed(now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.asks = now.Add(k.spread(askPauseFailed))
}

// spread lengthens a wait by up to a half, so that nodes that miss the same leader do not ask together.
func (k *Freshness) spread(wait time.Duration) time.Duration {
	return wait + time.Duration(k.random(int(wait/2)))
}
