// Package hemlockmember implements the membership of nodes by gossip: member records and their merge rules, failure
// detection, dissemination of changes, and rendezvous ranking. Each node has its own view of the members. The package does
// no I/O: the engine (Gossip) returns the messages to send.
package hemlockmember

import (
	"cmp"
	"math"
)

// State is the state of a member. Of two records with the same incarnation, the one with the higher state replaces the
// other.
type State uint8

// The states, in merge order.
const (
	// Joining members have no ready target yet, but their nodes already gossip and are assigned background duties (see
	// View.Rank).
	Joining State = iota
	// Ready members accept requests for their target.
	Ready
	// Leaving members accept no new requests and are assigned no background duties. Only a higher incarnation makes
	// them joining or ready again.
	Leaving
	// Dead members were unreachable for two probers, or for one that could not find a second. Only the member itself can
	// become joining, ready or leaving again, by a higher incarnation. View.Expire removes records that remain dead.
	Dead
)

var stateNames = [...]string{"joining", "ready", "leaving", "dead"}

// String returns the name of the state, as state dumps contain it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is the record of one node and its target. Only the member itself increments its incarnation and changes the other
// fields; other nodes may only declare it dead.
type Member struct {
	// Address is the peer address; it identifies the member and is never empty.
	Address string
	// Zone and Region are empty only in a compact dead record. When a view merges such a record, it keeps the zone and the
	// region of the member if it knows them.
	Zone, Region string
	// Service is the service that the target implements.
	Service string
	// Incarnation orders the records of a member. It starts at the wall-clock time of the node's start in milliseconds,
	// so that the records of a restarted node supersede those from before the restart without persistent state.
	Incarnation uint64
	State       State
	// Slots is the declared maximum concurrency of the target.
	Slots int
}

const (
	maxTextLength = 64
	// maxIncarnation leaves higher incarnations for the refutation of any accepted record.
	maxIncarnation = math.MaxUint64 / 2
	maxSlots       = 1 << 20
)

// valid reports whether a record from a peer may be merged into the view.
func (m Member) valid() bool {
	if m.Address == "" || len(m.Address) > maxTextLength || m.Incarnation > maxIncarnation || m.State > Dead {
		return false
	}
	if m.State != Dead && (m.Zone == "" || m.Region == "") {
		return false
	}
	return len(m.Zone) <= maxTextLength && len(m.Region) <= maxTextLength && len(m.Service) <= maxTextLength &&
		m.Slots >= 0 && m.Slots <= maxSlots
}

// supersedes reports whether record a replaces record b of the same member. The order of records is total, so that all
// nodes converge to the same record regardless of the order of arrival. Fields other than incarnation and state
// matter only after a fault in which a member issued two records with the same incarnation. All dead records of one incarnation are equal.
func supersedes(a, b Member) bool {
	if order := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State)); order != 0 {
		return order > 0
	}
	if a.State == Dead {
		return false
	}
	return cmp.Or(cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Region, b.Region)) > 0
}

// compact returns the record as it is sent. A dead record is sent with only its address, incarnation and state. This more
// than halves the bytes that are sent after the loss of a zone.
func (m Member) compact() Member {
	if m.State != Dead {
		return m
	}
	return Member{Address: m.Address, Incarnation: m.Incarnation, State: Dead}
}
