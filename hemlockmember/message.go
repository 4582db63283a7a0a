package hemlockmember

import (
	"math/bits"

	"hemlockhollow/hemlocksuspect"
)

// Kind says what a message is for.
type Kind uint8

// The kinds of messages.
const (
	// Probe asks a chosen neighbour to answer with Ack. Digests holds the digest of the suspects and that of the whole
	// view. The receiver watches the sender in return and sends it news.
	Probe Kind = iota
	// SingleProbe is a probe of any other member. It makes no neighbours: two members that check each other would never stop.
	SingleProbe
	// Ack answers a Probe. If the views differ, Digests holds the digest of the suspects and those of all buckets.
	Ack
	// ProbeRequest asks the receiver to probe Subject.
	ProbeRequest
	// ProbeResult says whether Subject answered a probe of the sender.
	ProbeResult
	// Update passes on changed members and suspects.
	Update
	// Sync settles a difference: Members are the sender's records, Buckets those that the receiver shall complete.
	Sync
)

// Message is one gossip message.
type Message struct {
	From, To string
	Kind     Kind
	// Digests depend on the kind; empty when the views agree.
	Digests []uint64
	// ConfigurationVersion is the version in force at the sender.
	ConfigurationVersion uint64
	Members              []Member
	Suspects             []hemlocksuspect.Record
	Subject              string
	Buckets              []uint32
	// Alive is the result of an Answer; in a probe it says that the sender is new and needs members.
	Alive bool
}

// MessageOverhead is the estimated cost of a message beyond its encoded size: about 45 bytes of drpc frames (method name, open
// and close) and one TCP/IP header of 52 bytes.
const MessageOverhead = 100

// Size estimates the bytes of a message on the wire from the protobuf encoding of Gossip in node.proto: one byte of tag
// for each field, one of length for each string, varints, and 8 bytes for a fixed64.
func (m *Message) Size() int {
	size := MessageOverhead + textSize(m.From) + varintField(uint64(m.Kind)) + varintField(m.ConfigurationVersion) + textSize(m.Subject)
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
	for _, s := range m.Suspects {
		size += suspectSize(s)
	}
	if m.Alive {
		size += 2
	}
	return size
}

func memberSize(m *Member) int {
	return 2 + textSize(m.Address) + textSize(m.Zone) + textSize(m.Region) + textSize(m.Service) +
		varintField(m.Incarnation) + varintField(uint64(m.State)) + varintField(uint64(m.Slots))
}

func suspectSize(s hemlocksuspect.Record) int {
	return 2 + 9 + 2 + varintField(uint64(s.Age.Milliseconds())) + textSize(s.Origin) + varintField(s.CrashID)
}

func textSize(s string) int {
	if s == "" {
		return 0
	}
	return 2 + len(s)
}

// varintField is zero for the zero value, which proto3 does not send.
func varintField(x uint64) int {
	if x == 0 {
		return 0
	}
	return 1 + varintSize(x)
}

func varintSize(x uint64) int {
	return (bits.Len64(x|1) + 6) / 7
}
