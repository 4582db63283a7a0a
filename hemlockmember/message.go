package hemlockmember

import (
	"math/bits"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlocksuspect"
)

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	// Probe is sent regularly to a chosen neighbour, which replies with Ack. Digests contains the digest of the crash
	// records and that of the whole view. The receiver sends updates to the sender and probes it if its probes stop.
	Probe Kind = iota
	// SingleProbe is a probe of a member that is not a neighbour. The receiver does not treat the sender as a
	// neighbour; otherwise, two members that probe each other would never stop doing so.
	SingleProbe
	// Ack is the reply to a Probe or SingleProbe. If the views differ, Digests contains the digest of the crash records
	// and those of all buckets; if only the crash records differ, it contains only their digest. Different crash records
	// count only between members of one zone, and different views only if the view of the Ack's sender has not changed
	// recently or its node is new.
	Ack
	// ProbeRequest requests an indirect probe: the receiver probes Subject.
	ProbeRequest
	// ProbeResult reports whether a message of Subject arrived after the ProbeRequest.
	ProbeResult
	// Update disseminates changed member records, new crash records and changed loads.
	Update
	// Sync is part of an anti-entropy synchronisation of two views: Members are records of the sender, and Buckets are the
	// buckets for which the receiver replies with the records that the sender lacks.
	Sync
)

// Message is one gossip message.
type Message struct {
	From, To string
	Kind     Kind
	// Digests are described at Probe and Ack. An Ack has none if nothing differs or if the byte budget of its sender is too
	// low.
	Digests []uint64
	// ConfigurationVersion is the version of the sender's active configuration.
	ConfigurationVersion uint64
	Members              []Member
	// CrashRecords report requests that were in flight when a target crashed, which makes the requests suspects.
	CrashRecords []hemlocksuspect.Record
	// Subject is the address of the member that a ProbeRequest or a ProbeResult is about.
	Subject string
	// Buckets are the indices of digest buckets in a Sync.
	Buckets []uint32
	// Alive is the result in a ProbeResult. In a Probe or SingleProbe, it means that the sender has just started and needs
	// records of other members.
	Alive bool
	// Loads are load reports of services; only members of the sender's zone get them.
	Loads []hemlockcall.ServiceLoad
}

// MessageOverhead is the estimated number of bytes of a message in addition to its encoded size: about 45 bytes of drpc
// frames (method name, open and close) and one TCP/IP header of 52 bytes.
const MessageOverhead = 100

// loadNumbersSize is the size of the load and its age in a load report, in bytes.
const loadNumbersSize = 6

// Size estimates the bytes of a message on the wire from the protobuf encoding of Gossip in node.proto: one byte for the tag
// of each field, one for the length of each string, varints, and 8 bytes for a fixed64.
func (m *Message) Size() int {
	size := MessageOverhead + stringField(m.From) + varintField(uint64(m.Kind)) + varintField(m.ConfigurationVersion) + stringField(m.Subject)
	if len(m.Digests) > 0 {
		size += 3
		for _, d := range m.Digests {
			size += varintSize(d)
		}
	}
	if len(m.Buckets) > 0 {
		size += 2
		for _, b := range m.Buckets {
			size += varintSize(uint64(b))
		}
	}
	for i := range m.Members {
		size += memberSize(&m.Members[i])
	}
	for _, r := range m.CrashRecords {
		size += crashRecordSize(r)
	}
	if m.Alive {
		size += 2
	}
	for _, l := range m.Loads {
		size += 2 + stringField(l.Service) + loadNumbersSize
	}
	return size
}

func memberSize(m *Member) int {
	return 2 + stringField(m.Address) + stringField(m.Zone) + stringField(m.Region) + stringField(m.Service) +
		varintField(m.Incarnation) + varintField(uint64(m.State)) + varintField(uint64(m.Slots))
}

func crashRecordSize(r hemlocksuspect.Record) int {
	return 2 + 9 + 2 + varintField(uint64(r.Age.Milliseconds())) + stringField(r.Origin) + varintField(r.CrashID)
}

func stringField(s string) int {
	if s == "" {
		return 0
	}
	return 2 + len(s)
}

// varintField returns the size of a varint with its tag. It is 0 for the zero value, which proto3 does not encode.
func varintField(x uint64) int {
	if x == 0 {
		return 0
	}
	return 1 + varintSize(x)
}

func varintSize(x uint64) int {
	return (bits.Len64(x|1) + 6) / 7
}
