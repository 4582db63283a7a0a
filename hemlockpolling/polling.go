// Package hemlockpolling decides which nodes poll the configuration store and when another node queries the store itself.
// It does no I/O; time is an argument.
//
// In each availability zone, a few nodes are leaders and keep a long poll open to the store, so that the number of calls to
// the store grows with zones and changes and not with hosts. Every other node keeps a long poll open to a leader of its
// zone, and each leader keeps one open to a leader of another zone: if the leaders of a zone are cut off from the store,
// the zone receives a change as soon as any other zone does. Each response of a leader contains the age of its last
// confirmation by the store that its configuration is current. A node whose own confirmation is too old queries the store.
package hemlockpolling

import (
	"sync"
	"time"

	"hemlockhollow/hemlockmember"
)

const (
	// leaderDuty is the background duty for which rendezvous hashing ranks the nodes of a zone; the first ones are the
	// leaders.
	leaderDuty = "configuration"
	// leadersPerZone is more than 1 because a leader that failed or is cut off may remain undetected for seconds.
	leadersPerZone = 2
	// StorePollTimeout is the longest time that the store waits for a change before it responds to the long poll of a leader;
	// see StorePollWait. A leader detects a connection that became silent only after this time and StorePollMargin, so that
	// their sum and the time of a read must stay below the 3 s after which a node counts as undisturbed again.
	StorePollTimeout = 1800 * time.Millisecond
	// minStorePollWait is the shortest wait for a change.
	minStorePollWait = 1200 * time.Millisecond
	// StorePollMargin is how much later than the wait for a change a response of the store may arrive.
	StorePollMargin = 900 * time.Millisecond
	// PeerPollTimeout is how long a leader waits for a change before it responds to the long poll of a node. Together with
	// PeerPollMargin it must not exceed the time in which a version must be active everywhere (2 s on the smallest
	// deployments).
	PeerPollTimeout = time.Second
	// PeerPollMargin is how much longer than PeerPollTimeout a node waits for the response.
	PeerPollMargin = 300 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation at which a node queries the store itself. With working
	// leaders the age stays below it: a leader gets a response from the store every StorePollTimeout, and a node gets
	// one from its leader every PeerPollTimeout.
	maxConfirmationAge = StorePollTimeout + 2*PeerPollTimeout + 2*PeerPollMargin
	// maxPeerFailures is the number of consecutive failed polls of leaders after which a node queries the store
	// immediately.
	maxPeerFailures = 2
	// storeQueryPause is the minimum time between two queries of the store by one node, and failedQueryPause is the
	// minimum time after a failed query. With 200 nodes, failedQueryPause limits the queries to 50 per second while the
	// store is unreachable. It may be longer than storeQueryPause, as the leaders detect the recovery of the store.
	storeQueryPause  = 2 * time.Second
	failedQueryPause = 4 * time.Second
	// bootstrapWait is how long a node that starts at the same time as all others waits before it may become a leader.
	// Until it knows most members of its zone, it would consider itself one.
	bootstrapWait = 3 * time.Second
)

// StorePollWait returns how long the store is to wait for a change in the next poll. After a change, the polls of all leaders
// begin at the same moment; the random waits keep connections that fail then from being noticed by all of them at the same time.
func StorePollWait(random func(n int) int) time.Duration {
	steps := int((StorePollTimeout - minStorePollWait) / time.Millisecond)
	return minStorePollWait + time.Duration(random(steps+1))*time.Millisecond
}

// Role is the part that a node has in the distribution of configurations.
type Role struct {
	// Leader means that the node polls the store.
	Leader bool
	// Peers are the addresses of the nodes to poll. The node polls one of them at a time, chosen at random: the leaders
	// of its zone or, for a leader, those of the other zones. Without other zones, a leader polls the other leaders of
	// its own.
	Peers []string
}

// RoleOf returns the role of a member in a view. Members that are leaving or dead are never leaders. A node that starts
// together with all others may be a leader only when MayLead reports so.
func RoleOf(view *hemlockmember.View, self hemlockmember.Member) Role {
	var role Role
	for _, m := range view.FirstRanked(leaderDuty, self.Zone, leadersPerZone) {
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
		for _, m := range view.FirstRanked(leaderDuty, zone, leadersPerZone) {
			others = append(others, m.Address)
		}
	}
	if len(others) > 0 {
		role.Peers = others
	}
	return role
}

// Freshness records when the store last confirmed that a node's configuration is current, and decides when the node
// queries the store. It is safe for concurrent use.
type Freshness struct {
	random func(n int) int
	// mayLeadFrom is the time from which the node may be a leader.
	mayLeadFrom time.Time

	mutex sync.Mutex
	// confirmedAt is the latest time at which the store is known to have had no newer configuration than this node; zero
	// before the first confirmation.
	confirmedAt time.Time
	// peerFailures counts the polls of peers that failed since the last response of a peer.
	peerFailures int
	// nextStoreQuery is the earliest time of the next query of the store.
	nextStoreQuery time.Time
}

// NewFreshness returns the Freshness of a node that starts now. bootstrap means that all nodes start at the same time:
// the node may then neither be a leader before bootstrapWait has passed nor query the store before another
// PeerPollTimeout has passed. random returns a random number from 0 to n-1, for the jitter of the pauses.
func NewFreshness(now time.Time, bootstrap bool, random func(n int) int) *Freshness {
	f := &Freshness{random: random, mayLeadFrom: now, nextStoreQuery: now}
	if bootstrap {
		f.mayLeadFrom = now.Add(bootstrapWait)
		f.nextStoreQuery = f.mayLeadFrom.Add(PeerPollTimeout)
	}
	return f
}

// MayLead reports whether the node may be a leader yet.
func (f *Freshness) MayLead(now time.Time) bool {
	return !now.Before(f.mayLeadFrom)
}

// MarkCurrent records that the store had no newer configuration than this node at the given time.
func (f *Freshness) MarkCurrent(at time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// MarkOutdated records that there is a newer configuration, which this node failed to get from a peer. It discards the
// last confirmation, so that the node queries the store as soon as the pause after its last query is over.
func (f *Freshness) MarkOutdated() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirmedAt = time.Time{}
}

// Age returns the time since the last confirmation, or false if there is none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(f.confirmedAt)), true
}

// PeerResponded records that a peer responded to a poll.
func (f *Freshness) PeerResponded() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peerFailures = 0
}

// PeerFailed records that a poll of a peer failed or that there is no peer to poll.
func (f *Freshness) PeerFailed() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peerFailures++
}

// AllowStoreQuery reports whether the node is to query the store now: the pause after its last query is over, and there
// is no confirmation, the last one is too old, or several polls of peers failed in succession. If it returns true, the
// next query is allowed only after another pause.
func (f *Freshness) AllowStoreQuery(now time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if now.Before(f.nextStoreQuery) {
		return false
	}
	if f.peerFailures < maxPeerFailures && !f.confirmedAt.IsZero() && now.Sub(f.confirmedAt) < maxConfirmationAge {
		return false
	}
	f.nextStoreQuery = now.Add(f.withJitter(storeQueryPause))
	return true
}

// StoreQueryFailed records that a query of the store failed at the given time. The next one is allowed only after
// failedQueryPause.
func (f *Freshness) StoreQueryFailed(now time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.nextStoreQuery = now.Add(f.withJitter(failedQueryPause))
}

// withJitter lengthens a wait by up to a half, at random, so that nodes that lose the same leader do not query the
// store at the same time.
func (f *Freshness) withJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(f.random(int(wait/2)))
}
