package hemlockmember

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlocksuspect"
)

const (
	// syncReserve is the number of bytes that must be left in the budget before views or crash records are synchronised or
	// additional members are probed, as changed records have priority.
	syncReserve = 4000
	// maxRecordsPerMessage limits a message to about 5 KB.
	maxRecordsPerMessage      = 64
	maxCrashRecordsPerMessage = 64
	maxQueuedCrashRecords     = 4096
)

// budget is a token bucket in bytes. Its tokens can become negative, as probes, replies and the node's own record are sent
// regardless of them.
type budget struct {
	rate, burst, tokens float64
	refilled            time.Time
}

func (b *budget) refill(now time.Time) {
	if passed := now.Sub(b.refilled); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.refilled = now
	}
}

func (b *budget) allows(bytes int) bool {
	return b.tokens >= float64(bytes)
}

// memberUpdate is a changed record that has not been sent to all recipients yet.
type memberUpdate struct {
	member Member
	// knownBy are the recipients that have the record already.
	knownBy []string
}

// crashUpdate is a crash record that has not been sent to all recipients in the zone yet.
type crashUpdate struct {
	record  hemlocksuspect.Record
	knownBy []string
}

// enqueueUpdate queues a changed record for all recipients except the one from which it was received; from is empty if there is
// no such recipient. The record replaces an earlier one of the same member that is still queued.
func (g *Gossip) enqueueUpdate(_ time.Time, m Member, from string) {
	u := &memberUpdate{member: m.compact()}
	if from != "" {
		u.knownBy = append(u.knownBy, from)
	}
	g.updates[m.Address] = u
	g.hasNewUpdates = true
}

// markKnown records that a member already has the queued record or a newer one.
func (g *Gossip) markKnown(m Member, from string) {
	if u := g.updates[m.Address]; u != nil && !supersedes(u.member, m) && !slices.Contains(u.knownBy, from) {
		u.knownBy = append(u.knownBy, from)
	}
}

func (g *Gossip) enqueueCrashRecords(records []hemlocksuspect.Record, from string) {
	for _, r := range records {
		if len(g.crashUpdates) < maxQueuedCrashRecords {
			g.crashUpdates = append(g.crashUpdates, crashUpdate{r, []string{from}})
			g.hasNewUpdates = true
		}
	}
}

// recipients returns the addresses that receive updates: the chosen neighbours and the members that probe this node.
func (g *Gossip) recipients(now time.Time) []string {
	recipients := slices.Clone(g.neighbours)
	for _, address := range sortedKeys(g.inboundProbes) {
		if now.Sub(g.inboundProbes[address]) <= inboundProbeLifetime && !slices.Contains(recipients, address) {
			recipients = append(recipients, address)
		}
	}
	return recipients
}

// sendUpdates sends queued updates as far as the budget allows; the others wait for a later call. Crash records have
// the highest priority, followed by the node's own record, leaving members, dead members and all others. The node's own
// record does not wait for the budget. Without recipients, all updates are dropped.
func (g *Gossip) sendUpdates(now time.Time) {
	g.hasNewUpdates = false
	if len(g.updates) == 0 && len(g.crashUpdates) == 0 {
		return
	}
	recipients := g.recipients(now)
	g.sendCrashRecords(recipients)
	if len(g.updates) == 0 || len(recipients) == 0 {
		// Members that appear later receive the dropped records by synchronisation.
		clear(g.updates)
		return
	}
	updates := make([]*memberUpdate, 0, len(g.updates))
	for _, u := range g.updates {
		updates = append(updates, u)
	}
	slices.SortFunc(updates, func(a, b *memberUpdate) int {
		return cmp.Or(cmp.Compare(g.priority(a), g.priority(b)), strings.Compare(a.member.Address, b.member.Address))
	})
	allSent := true
	for _, to := range recipients {
		if !g.sendUpdatesTo(to, updates) {
			allSent = false
		}
	}
	if allSent {
		clear(g.updates)
		return
	}
	g.counts.Delayed++
}

// priority returns the order in which updates are sent, the lowest number first.
func (g *Gossip) priority(u *memberUpdate) int {
	switch {
	case u.member.Address == g.self.Address:
		return 0
	case u.member.State == Leaving:
		return 1
	case u.member.State == Dead:
		return 2
	}
	return 3
}

// sendUpdatesTo sends a recipient the updates that it does not have, and reports whether all of them were sent.
func (g *Gossip) sendUpdatesTo(to string, updates []*memberUpdate) bool {
	for {
		var batch []Member
		size := MessageOverhead
		more := false
		for _, u := range updates {
			if u.member.Address == to || slices.Contains(u.knownBy, to) {
				continue
			}
			cost := memberSize(&u.member)
			if g.priority(u) > 0 && !g.budget.allows(size+cost) {
				more = true
				break
			}
			if len(batch) == maxRecordsPerMessage {
				more = true
				break
			}
			size += cost
			batch = append(batch, u.member)
			u.knownBy = append(u.knownBy, to)
		}
		if len(batch) > 0 {
			g.send(Message{To: to, Kind: Update, Members: batch})
		}
		if !more {
			return true
		}
		if len(batch) < maxRecordsPerMessage {
			return false
		}
	}
}

// sendCrashRecords sends the queued crash records to the recipients in this node's zone.
func (g *Gossip) sendCrashRecords(recipients []string) {
	for len(g.crashUpdates) > 0 {
		batch := g.crashUpdates[:min(len(g.crashUpdates), maxCrashRecordsPerMessage)]
		if !g.budget.allows(MessageOverhead) {
			return
		}
		for _, to := range recipients {
			if m, ok := g.view.Get(to); !ok || m.Zone != g.self.Zone {
				continue
			}
			var records []hemlocksuspect.Record
			for _, u := range batch {
				if !slices.Contains(u.knownBy, to) {
					records = append(records, u.record)
				}
			}
			if len(records) > 0 {
				g.send(Message{To: to, Kind: Update, CrashRecords: records})
			}
		}
		g.crashUpdates = g.crashUpdates[len(batch):]
	}
	g.crashUpdates = nil
}

// remoteCopies is the number of members of each other zone that get the crash records of this node, because a message may be lost.
const remoteCopies = 2

// sendCrashRecordsToOtherZones sends the crash records of this node to members of each other zone, which disseminate them there, as far
// as the budget allows. A request that crashes its targets would otherwise be allowed crashLimit crashes in each zone.
func (g *Gossip) sendCrashRecordsToOtherZones(records []hemlocksuspect.Record) {
	sameRegion, otherRegions := g.view.otherZones(g.self.Zone, g.self.Region)
	zones := slices.Concat(sameRegion, otherRegions)
	slices.Sort(zones)
	for batch := range slices.Chunk(records, maxCrashRecordsPerMessage) {
		for range remoteCopies {
			for _, zone := range zones {
				m := Message{To: g.view.randomMember(zone, g.random), Kind: Update, CrashRecords: batch}
				if m.To != "" && g.budget.allows(m.Size()) {
					g.send(m)
				}
			}
		}
	}
}

// receiveCrashRecords merges crash records, which members of other zones send in an Update only, and queues the new ones for the
// recipients.
// If the digest of an Ack still differs afterwards and the budget allows it, this node sends the sender of the Ack up to
// maxCrashRecordsPerMessage of its own records.
func (g *Gossip) receiveCrashRecords(now time.Time, from string, m Message) {
	inOwnZone := g.inOwnZone(from)
	if g.suspects == nil || !inOwnZone && m.Kind != Update {
		return
	}
	if len(m.CrashRecords) > 0 {
		g.enqueueCrashRecords(g.suspects.Merge(now, m.CrashRecords), from)
	}
	if !inOwnZone || m.Kind != Ack || len(m.Digests) == 0 || m.Digests[0] == g.suspects.Digest(now) || !g.budget.allows(syncReserve) {
		return
	}
	if records := g.suspects.Records(now, maxCrashRecordsPerMessage); len(records) > 0 {
		g.send(Message{To: from, Kind: Update, CrashRecords: records})
	}
}

func (g *Gossip) crashDigest(now time.Time) uint64 {
	if g.suspects == nil {
		return 0
	}
	return g.suspects.Digest(now)
}

func (g *Gossip) inOwnZone(address string) bool {
	m, ok := g.view.Get(address)
	return ok && m.Zone == g.self.Zone
}
