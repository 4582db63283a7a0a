// Package hemlockmember keeps each node's view of the other nodes: member records and their merge rules, failure
// detection, dissemination and rendezvous ranking. It does no I/O: the gossip engine returns the messages to send.
package hemlockmember

import (
	"cmp"
	"math"
)

// State is the state of a member. At equal incarnations the higher state wins.
type State uint8

// The states, in merge order.
const (
	// Joining members serve no target yet; their nodes already gossip and take duties.
	Joining State = iota
	// Ready members serve their target.
	Ready
	// Leaving members take no new work and no duties. Only a higher incarnation ends this state.
	Leaving
	// Dead members were unreachable for two probers. Only the member itself ends this state, by a higher incarnation.
	Dead
)

var stateNames = [...]string{"joining", "ready", "leaving", "dead"}

// String returns the name used in dumps.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Member is one node with its target. Only the member itself raises its incarnation and changes the other fields; all
// other nodes may only declare it dead.
type Member struct {
	// Address is the peer address; it identifies the member and is never empty.
	Address string
	// Zone and Region are empty only in a brief dead record of an unknown member.
	Zone, Region string
	// Service is the service of the target.
	Service string
	// Incarnation orders the records of a member. It starts at the wall-clock milliseconds of the node's start, so that a
	// restarted node beats its former records without a disk.
	Incarnation uint64
	State       State
	// Slots is the declared concurrency of the target.
	Slots int
}

const (
	longestText = 64
	// highestIncarnation leaves room for refutations above any accepted record.
	highestIncarnation = math.MaxUint64 / 2
	highestSlots       = 1 << 20
)

// valid reports whether a record that came from a peer may enter the view.
func (m Member) valid() bool {
	if m.Address == "" || len(m.Address) > longestText || m.Incarnation > highestIncarnation || m.State > Dead {
		return false
	}
	if m.State != Dead && (m.Zone == "" || m.Region == "") {
		return false
	}
	return len(m.Zone) <= longestText && len(m.Region) <= longestText && len(m.Service) <= longestText &&
		m.Slots >= 0 && m.Slots <= highestSlots
}

// newer reports whether record a replaces record b of the same member. The order is total up to equality, so that all
// nodes end with the same record whatever order the records arrive in. The content decides only after a fault, when a
// member made two records with one incarnation. All dead records of one incarnation are equal.
func newer(a, b Member) bool {
	if order := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.State, b.State)); order != 0 {
		return order > 0
	}
	if a.State == Dead {
		return false
	}
	return cmp.Or(cmp.Compare(a.Slots, b.Slots), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Region, b.Region)) > 0
}

// brief returns the record as it travels: a dead record needs only address, incarnation and state, which more than
// halves the bytes when a whole zone is lost.
func (m Member) brief() Member {
	if m.State != Dead {
		return m
	}
	return Member{Address: m.Address, Incarnation: m.Incarnation, State: Dead}
}
