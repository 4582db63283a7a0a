// Package hemlockpeer transports calls, gossip, configurations and idempotency claims between nodes over drpc. It is the
// only package that imports the generated message types.
//
// Client sends calls with streamed bodies, each over a pooled connection that it uses alone, and control messages.
// RelayClient multiplexes calls with buffered bodies over one long-lived connection to each peer. Server is the receiving
// side of both.
package hemlockpeer

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockpeer/hemlockwire"
)

// GossipMember is the membership record of one node and its target.
type GossipMember struct {
	Address     string
	Zone        string
	Region      string
	Service     string
	Incarnation uint64
	State       uint32
	Slots       uint32
}

// CrashRecord is the record of a suspected poison request: it was in flight when a target crashed.
type CrashRecord struct {
	Fingerprint uint64
	// Cleared is set when the request has completed since, so that the record no longer counts.
	Cleared bool
	// Age is the time since the crash. A duration is sent instead of a time, as the clocks of hosts differ.
	Age time.Duration
	// Origin is the address of the node that saw the crash.
	Origin string
	// CrashID distinguishes the crashes that one node saw.
	CrashID uint64
}

// GossipMessage is one message of the membership protocol; package hemlockmember defines the kinds.
type GossipMessage struct {
	From                 string
	Kind                 uint32
	Digests              []uint64
	ConfigurationVersion uint64
	Members              []GossipMember
	CrashRecords         []CrashRecord
	// Subject is the address of the member that an indirect probe checks.
	Subject string
	// Buckets are the indices of the digest buckets of the view whose records are requested.
	Buckets []uint32
	// Alive is the result of an indirect probe.
	Alive bool
	// Loads are load reports.
	Loads []hemlockcall.ServiceLoad
}

// ConfigurationQuery requests a newer configuration from a node.
type ConfigurationQuery struct {
	// NewerThan is the version that the querying node has.
	NewerThan uint64
	// Wait is how long the queried node may wait for a newer version before it responds; in milliseconds on the wire.
	Wait time.Duration
	// Era is the era of the store in which the configuration of the querying node was read; empty if unknown. Of two
	// configurations with the same version, the one of the later era is newer.
	Era string
}

// ConfigurationResponse is the response to a ConfigurationQuery: the active configuration of a node.
type ConfigurationResponse struct {
	Version uint64
	// Body is empty when the configuration is not newer than the one in the query.
	Body []byte
	// Era is the era of the store in which the configuration was read; empty if unknown.
	Era string
	// StoreEra is the era that the store last stated to the responding node; empty if unknown.
	StoreEra string
	// Confirmed is set when the store has reported that no newer configuration exists; Age is the time since that report,
	// in milliseconds on the wire.
	Confirmed bool
	Age       time.Duration
}

// maxConfigurationWait limits how long a node waits before it responds to a query, whatever the query says.
const maxConfigurationWait = 5 * time.Second

func encodeConfigurationQuery(query ConfigurationQuery) *hemlockwire.ConfigurationQuery {
	return &hemlockwire.ConfigurationQuery{NewerThan: query.NewerThan,
		WaitMilliseconds: uint32(min(max(query.Wait, 0), maxConfigurationWait) / time.Millisecond), Era: query.Era}
}

func decodeConfigurationQuery(wire *hemlockwire.ConfigurationQuery) ConfigurationQuery {
	wait := time.Duration(wire.GetWaitMilliseconds()) * time.Millisecond
	return ConfigurationQuery{NewerThan: wire.GetNewerThan(), Wait: min(wait, maxConfigurationWait), Era: wire.GetEra()}
}

func encodeConfigurationResponse(response ConfigurationResponse) *hemlockwire.ConfigurationAnswer {
	return &hemlockwire.ConfigurationAnswer{Version: response.Version, Body: response.Body, Confirmed: response.Confirmed,
		AgeMilliseconds: uint64(max(response.Age, 0) / time.Millisecond), Era: response.Era, StoreEra: response.StoreEra}
}

func decodeConfigurationResponse(wire *hemlockwire.ConfigurationAnswer) ConfigurationResponse {
	// A report whose age exceeds the range of a duration is treated as missing.
	age := wire.GetAgeMilliseconds()
	confirmed := wire.GetConfirmed() && age < uint64(math.MaxInt64/time.Millisecond)
	response := ConfigurationResponse{Version: wire.GetVersion(), Body: wire.GetBody(), Confirmed: confirmed,
		Era: wire.GetEra(), StoreEra: wire.GetStoreEra()}
	if confirmed {
		response.Age = time.Duration(age) * time.Millisecond
	}
	return response
}

// ClaimChange is a conditional write of the row of one idempotency claim.
type ClaimChange struct {
	Key string
	// Version is the version that the row must have; 0 means that the row must not exist.
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
		Loads:                encodeLoads(m.Loads),
	}
	for _, r := range m.Members {
		wire.Members = append(wire.Members, &hemlockwire.Member{
			Address: r.Address, Zone: r.Zone, Region: r.Region, Service: r.Service,
			Incarnation: r.Incarnation, State: r.State, Slots: r.Slots,
		})
	}
	for _, s := range m.CrashRecords {
		wire.Suspects = append(wire.Suspects, &hemlockwire.Suspect{
			Fingerprint: s.Fingerprint, Cleared: s.Cleared, Origin: s.Origin, CrashId: s.CrashID,
			AgeMilliseconds: uint32(min(max(s.Age, 0), maxDuration) / time.Millisecond),
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
		Loads:                decodeLoads(wire.GetLoads()),
	}
	for _, r := range wire.GetMembers() {
		m.Members = append(m.Members, GossipMember{
			Address: r.GetAddress(), Zone: r.GetZone(), Region: r.GetRegion(), Service: r.GetService(),
			Incarnation: r.GetIncarnation(), State: r.GetState(), Slots: r.GetSlots(),
		})
	}
	for _, s := range wire.GetSuspects() {
		m.CrashRecords = append(m.CrashRecords, CrashRecord{
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
