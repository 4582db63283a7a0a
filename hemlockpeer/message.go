// Package hemlockpeer carries calls, gossip, configurations and claims between nodes over drpc. It is the only
// importer of the generated message types.
package hemlockpeer

import (
	"math"
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
	// CrashID distinguishes the crashes that one node saw.
	CrashID uint64
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

// ConfigurationQuery asks a node for a newer configuration.
type ConfigurationQuery struct {
	// NewerThan is the version that the asking node has.
	NewerThan uint64
	// Wait is how long the answer may wait for a newer one; in milliseconds on the wire.
	Wait time.Duration
}

// ConfigurationAnswer is the configuration that a node has in force.
type ConfigurationAnswer struct {
	Version uint64
	// Body is empty when Version is not newer than what was asked for.
	Body []byte
	// Confirmed says that the store had no newer configuration at some time, Age how long ago that was; in milliseconds on
	// the wire.
	Confirmed bool
	Age       time.Duration
}

// longestConfigurationWait bounds how long a node holds a query, whatever the query says.
const longestConfigurationWait = 5 * time.Second

func encodeQuery(query ConfigurationQuery) *hemlockwire.ConfigurationQuery {
	return &hemlockwire.ConfigurationQuery{NewerThan: query.NewerThan,
		WaitMilliseconds: uint32(min(max(query.Wait, 0), longestConfigurationWait) / time.Millisecond)}
}

func decodeQuery(wire *hemlockwire.ConfigurationQuery) ConfigurationQuery {
	wait := time.Duration(wire.GetWaitMilliseconds()) * time.Millisecond
	return ConfigurationQuery{NewerThan: wire.GetNewerThan(), Wait: min(wait, longestConfigurationWait)}
}

func encodeConfiguration(answer ConfigurationAnswer) *hemlockwire.ConfigurationAnswer {
	return &hemlockwire.ConfigurationAnswer{Version: answer.Version, Body: answer.Body, Confirmed: answer.Confirmed,
		AgeMilliseconds: uint64(max(answer.Age, 0) / time.Millisecond)}
}

func decodeConfiguration(wire *hemlockwire.ConfigurationAnswer) ConfigurationAnswer {
	// An age out of the range of a duration is as good as none.
	age := wire.GetAgeMilliseconds()
	confirmed := wire.GetConfirmed() && age < uint64(math.MaxInt64/time.Millisecond)
	answer := ConfigurationAnswer{Version: wire.GetVersion(), Body: wire.GetBody(), Confirmed: confirmed}
	if confirmed {
		answer.Age = time.Duration(age) * time.Millisecond
	}
	return answer
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
			Fingerprint: s.Fingerprint, Cleared: s.Cleared, Origin: s.Origin, CrashId: s.CrashID,
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
			Fingerprint: s.GetFingerprint(), Cleared: s.GetCleared(), Origin: s.GetOrigin(), CrashID: s.GetCrashId(),
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
