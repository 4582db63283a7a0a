package hemlockgossip

import (
	"hemlockhollow/hemlockmember"
	"hemlockhollow/hemlocknet"
	"hemlockhollow/hemlockpeer"
	"hemlockhollow/hemlocksuspect"
)

func encodeMessage(m hemlockmember.Message) hemlockpeer.GossipMessage {
	message := hemlockpeer.GossipMessage{
		From:                 m.From,
		Kind:                 uint32(m.Kind),
		Digests:              m.Digests,
		ConfigurationVersion: m.ConfigurationVersion,
		Subject:              m.Subject,
		Buckets:              m.Buckets,
		Alive:                m.Alive,
		Loads:                m.Loads,
	}
	for _, r := range m.Members {
		message.Members = append(message.Members, hemlockpeer.GossipMember{
			Address:     r.Address,
			Zone:        r.Zone,
			Region:      r.Region,
			Service:     r.Service,
			Incarnation: r.Incarnation,
			State:       uint32(r.State),
			Slots:       uint32(max(r.Slots, 0)),
		})
	}
	for _, r := range m.CrashRecords {
		message.CrashRecords = append(message.CrashRecords, hemlockpeer.CrashRecord{
			Fingerprint: r.Fingerprint,
			Origin:      r.Origin,
			CrashID:     r.CrashID,
			Cleared:     r.Cleared,
			Age:         r.Age,
		})
	}
	return message
}

// decodeMessage omits members with an unknown state or without a valid address. The engine ignores the purpose of a message of an unknown kind.
func decodeMessage(m hemlockpeer.GossipMessage) hemlockmember.Message {
	message := hemlockmember.Message{
		From:                 m.From,
		Kind:                 hemlockmember.Kind(min(m.Kind, 255)),
		Digests:              m.Digests,
		ConfigurationVersion: m.ConfigurationVersion,
		Subject:              m.Subject,
		Buckets:              m.Buckets,
		Alive:                m.Alive,
		Loads:                m.Loads,
	}
	for _, r := range m.Members {
		if r.State > uint32(hemlockmember.Dead) || !hemlocknet.ValidAddress(r.Address) {
			continue
		}
		message.Members = append(message.Members, hemlockmember.Member{
			Address:     r.Address,
			Zone:        r.Zone,
			Region:      r.Region,
			Service:     r.Service,
			Incarnation: r.Incarnation,
			State:       hemlockmember.State(r.State),
			Slots:       int(r.Slots),
		})
	}
	for _, r := range m.CrashRecords {
		message.CrashRecords = append(message.CrashRecords, hemlocksuspect.Record{
			Fingerprint: r.Fingerprint,
			Origin:      r.Origin,
			CrashID:     r.CrashID,
			Cleared:     r.Cleared,
			Age:         r.Age,
		})
	}
	return message
}
