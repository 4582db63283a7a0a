// Package hemlockpeer carries calls, gossip, configurations and claims between nodes over drpc. It is the only
// importer of the generated message types.
package hemlockpeer

import (
	"time"

	"hemlockhollow/hemlockpeer/hemlockwire"
)

// GossipMember is the record of one node.
type GossipMember struct {
	Address     string
	Zone        string
	Region      string
	Service     string
	Incarnation uint64
	State       uint32
	Slots       uint32
}

// GossipSuspect is a request that was in flight when a target died.
type GossipSuspect struct {
	Fingerprint uint64
	// Cleared marks a record that a completed run has withdrawn.
	Cleared bool
	// Age is the time since the crash; clock readings are never sent between hosts.
	Age time.Duration
	// Origin is the address of the node that saw the crash.
	Origin string
	// Crash distinguishes the crashes that one node saw.
	Crash uint64
}

// GossipMessage is one message of the membership protocol; the membership package defines the kinds.
type GossipMessage struct {
	From                 string
	Kind                 uint32
	Digests              []uint64
	ConfigurationVersion uint64
	Members              []GossipMember
	Suspects             []GossipSuspect
	// Subject is the member that an indirect probe asks about.
	Subject string
	// Buckets lists the buckets whose records are asked for.
	Buckets []uint32
	// Alive is the result of an indirect probe.
	Alive bool
}

// ClaimChange is a conditional write of one claim row.
type ClaimChange struct {
	Key string
	// Version is the version that the row must have; 0 means absent.
	Version uint64
	Row     []byte
}

func encodeGossip(m GossipMessage) *hemlockwire.Gossip {
	wire := &hemlockwire.Gossip{
		From:                 m.From,
		Kind:                 m.Kind,
		Digests:              m.Digests,
		ConfigurationVersion: m.ConfigurationVersion,
		Subject:              m.Subject,
		Buckets:              m.Buckets,
		Alive:                m.Alive,
	}
	for _, r := range m.Members {
		wire.Members = append(wire.Members, &hemlockwire.Member{
			Address: r.Address, Zone: r.Zone, Region: r.Region, Service: r.Service,
			Incarnation: r.Incarnation, State: r.State, Slots: r.Slots,
		})
	}
	for _, s := range m.Suspects {
		wire.Suspects = append(wire.Suspects, &hemlockwire.Suspect{
			Fingerprint: s.Fingerprint, Cleared: s.Cleared, Origin: s.Origin, CrashId: s.Crash,
			AgeMilliseconds: uint32(min(max(s.Age, 0), maximumRemaining) / time.Millisecond),
		})
	}
	return wire
}

func decodeGossip(wire *hemlockwire.Gossip) GossipMessage {
	m := GossipMessage{
		From:                 wire.GetFrom(),
		Kind:                 wire.GetKind(),
		Digests:              wire.GetDigests(),
		ConfigurationVersion: wire.GetConfigurationVersion(),
		Subject:              wire.GetSubject(),
		Buckets:              wire.GetBuckets(),
		Alive:                wire.GetAlive(),
	}
	for _, r := range wire.GetMembers() {
		m.Members = append(m.Members, GossipMember{
			Address: r.GetAddress(), Zone: r.GetZone(), Region: r.GetRegion(), Service: r.GetService(),
			Incarnation: r.GetIncarnation(), State: r.GetState(), Slots: r.GetSlots(),
		})
	}
	for _, s := range wire.GetSuspects() {
		m.Suspects = append(m.Suspects, GossipSuspect{
			Fingerprint: s.GetFingerprint(), Cleared: s.GetCleared(), Origin: s.GetOrigin(), Crash: s.GetCrashId(),
			Age: time.Duration(s.GetAgeMilliseconds()) * time.Millisecond,
		})
	}
	return m
}

func encodeClaims(changes []ClaimChange) *hemlockwire.ClaimBatch {
	wire := &hemlockwire.ClaimBatch{}
	for _, c := range changes {
		wire.Changes = append(wire.Changes, &hemlockwire.ClaimChange{Key: c.Key, IfVersion: c.Version, Row: c.Row})
	}
	return wire
}

func decodeClaims(wire *hemlockwire.ClaimBatch) []ClaimChange {
	changes := make([]ClaimChange, 0, len(wire.GetChanges()))
	for _, c := range wire.GetChanges() {
		changes = append(changes, ClaimChange{Key: c.GetKey(), Version: c.GetIfVersion(), Row: c.GetRow()})
	}
	return changes
}
