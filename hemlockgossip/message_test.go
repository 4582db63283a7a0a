package hemlockgossip

import (
	"math"
	"testing"
	"time"

	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlockpeer"
)

// Guards against a node that ends, or follows members that cannot exist, because of an odd entry in the gossip of another one.
func TestOddGossipMembers(t *testing.T) {
	self := hemlockmember.Member{Address: "127.0.0.1:1", Zone: "a", Region: "r"}
	gossip := hemlockmember.NewGossip(time.Now(), self, nil, func(int) int { return 0 })
	valid := hemlockpeer.GossipMember{Address: "127.0.0.1:3", Zone: "a", Region: "r", Slots: 5, State: uint32(hemlockmember.Ready)}
	odd := []func(*hemlockpeer.GossipMember){
		func(m *hemlockpeer.GossipMember) { m.Address = "127.0.0.1:99999" },
		func(m *hemlockpeer.GossipMember) { m.Address = "127.0.0.1:-1" },
		func(m *hemlockpeer.GossipMember) { m.Address = "" },
		func(m *hemlockpeer.GossipMember) { m.Address = string(make([]byte, 1<<20)) },
		func(m *hemlockpeer.GossipMember) { m.State = math.MaxUint32 },
		func(m *hemlockpeer.GossipMember) { m.Incarnation = math.MaxUint64 },
		func(m *hemlockpeer.GossipMember) { m.Slots = math.MaxUint32 },
		func(m *hemlockpeer.GossipMember) { m.Zone = string(make([]byte, 1<<20)) },
	}
	message := hemlockpeer.GossipMessage{From: "127.0.0.1:2", Kind: uint32(hemlockmember.Update),
		Digests: make([]uint64, 9999), Buckets: []uint32{math.MaxUint32}, Subject: "127.0.0.1:99999"}
	for _, change := range odd {
		m := valid
		m.Address = "127.0.0.1:4"
		change(&m)
		message.Members = append(message.Members, m)
	}
	message.Members = append(message.Members, valid)
	message.CrashRecords = []hemlockpeer.CrashRecord{{Age: math.MaxInt64, Origin: "x"}, {Age: math.MinInt64}}
	for kind := range uint32(16) {
		message.Kind = kind
		gossip.Receive(time.Now(), message.From, decodeMessage(message))
		gossip.Tick(time.Now())
	}
	for _, m := range gossip.View().Members() {
		if m.Address != self.Address && m.Address != valid.Address && m.Address != message.From {
			t.Errorf("member %+v in the view, want only valid ones", m)
		}
	}
	if _, ok := gossip.View().Get(valid.Address); !ok {
		t.Error("the valid member of the message is missing")
	}
}
