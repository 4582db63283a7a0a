package hemlockmember

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlocksuspect"
)

const (
	// syncReserve is the number of bytes that must be left in the budget before views are synchronised, as changed records
	// have priority.
	syncReserve = 4000
	// maxRecordsPerMessage limits a message to about 5 KB.
	maxRecordsPerMessage  = 64
	maxSuspectsPerMessage = 64
	maxSuspectBacklog     = 4096
)

// budget is a token bucket in bytes. Its tokens can become negative, as probes are sent regardless of them.
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

// memberUpdate is a changed record that has not been sent to all neighbours yet.
type memberUpdate struct {
	member Member
	// knownBy are the neighbours that have the record already.
	knownBy []string
}

// suspectUpdate is a crash record that has not been sent to all neighbours in the zone yet.
type suspectUpdate struct {
	record  hemlocksuspect.Record
	knownBy []string
}

// enqueueUpdate queues a changed record for all neighbours except the one from which it was received. It replaces an earlier
// change of the same member that is still queued.
func (g *Gossip) enqueueUpdate(_ time.Time, m Member, from string) {
	i := &memberUpdate{member: m.compact()}
	if from != "" {
		i.knownBy = append(i.knownBy, from)
	}
	g.updates[m.Address] = i
	g.hasNewUpdates = true
}

// markKnown records that a neighbour already has a queued record.
func (g *Gossip) markKnown(m Member, from string) {
	if i := g.updates[m.Address]; i != nil && !supersedes(i.member, m) && !slices.Contains(i.knownBy, from) {
		i.knownBy = append(i.knownBy, from)
	}
}

func (g *Gossip) enqueueSuspects(records []hemlocksuspect.Record, from string) {
	for _, r := range records {
		if len(g.suspectUpdates) < maxSuspectBacklog {
			g.suspectUpdates = append(g.suspectUpdates, suspectUpdate{r, []string{from}})
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

// sendUpdates sends queued updates as far as the budget allows; the others wait for a later call. Crash records have the
// highest priority, followed by the node's own record, leaving members, dead members and all others. The node's own record
// does not wait for the budget.
func (g *Gossip) sendUpdates(now time.Time) {
	g.hasNewUpdates = false
	if len(g.updates) == 0 && len(g.suspectUpdates) == 0 {
		return
	}
	recipients := g.recipients(now)
	g.sendSuspects(recipients)
	if len(g.updates) == 0 || len(recipients) == 0 {
		// There are no recipients. Members that appear later get the records by synchronisation.
		clear(g.updates)
		return
	}
	items := make([]*memberUpdate, 0, len(g.updates))
	for _, i := range g.updates {
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b *memberUpdate) int {
		return cmp.Or(cmp.Compare(g.priority(a), g.priority(b)), strings.Compare(a.member.Address, b.member.Address))
	})
	complete := true
	for _, to := range recipients {
		if !g.sendUpdatesTo(to, items) {
			complete = false
		}
	}
	if complete {
		clear(g.updates)
		return
	}
	g.counts.Delayed++
}

// priority returns the order in which updates are sent, the lowest number first.
func (g *Gossip) priority(i *memberUpdate) int {
	switch {
	case i.member.Address == g.self.Address:
		return 0
	case i.member.State == Leaving:
		return 1
	case i.member.State == Dead:
		return 2
	}
	return 3
}

// sendUpdatesTo sends a neighbour the updates that it does not have, and reports whether it has all of them now.
func (g *Gossip) sendUpdatesTo(to string, items []*memberUpdate) bool {
	for {
		var batch []Member
		size := MessageOverhead
		more := false
		for _, i := range items {
			if i.member.Address == to || slices.Contains(i.knownBy, to) {
				continue
			}
			cost := memberSize(&i.member)
			if g.priority(i) > 0 && !g.budget.allows(size+cost) {
				more = true
				break
			}
			if len(batch) == maxRecordsPerMessage {
				more = true
				break
			}
			size += cost
			batch = append(batch, i.member)
			i.knownBy = append(i.knownBy, to)
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

// sendSuspects sends the queued crash records to the recipients in this node's zone.
func (g *Gossip) sendSuspects(recipients []string) {
	for len(g.suspectUpdates) > 0 {
		batch := g.suspectUpdates[:min(len(g.suspectUpdates), maxSuspectsPerMessage)]
		if !g.budget.allows(MessageOverhead) {
			return
		}
		for _, to := range recipients {
			if m, ok := g.view.Get(to); !ok || m.Zone != g.self.Zone {
				continue
			}
			var records []hemlocksuspect.Record
			for _, i := range batch {
				if !slices.Contains(i.knownBy, to) {
					records = append(records, i.record)
				}
			}
			if len(records) > 0 {
				g.send(Message{To: to, Kind: Update, Suspects: records})
			}
		}
		g.suspectUpdates = g.suspectUpdates[len(batch):]
	}
	g.suspectUpdates = nil
}

// receiveSuspects merges crash records from members of this node's zone and queues the new ones for the neighbours. If the
// digest of an Ack still differs afterwards, its sender gets the records of this node.
func (g *Gossip) receiveSuspects(now time.Time, from string, m Message) {
	if g.suspects == nil || !g.inOwnZone(from) {
		return
	}
	if len(m.Suspects) > 0 {
		g.enqueueSuspects(g.suspects.Merge(now, m.Suspects), from)
	}
	if m.Kind != Ack || len(m.Digests) == 0 || m.Digests[0] == g.suspects.Digest(now) || !g.budget.allows(syncReserve) {
		return
	}
	if records := g.suspects.Records(now, maxSuspectsPerMessage); len(records) > 0 {
		g.send(Message{To: from, Kind: Update, Suspects: records})
	}
}

func (g *Gossip) suspectDigest(now time.Time) uint64 {
	if g.suspects == nil {
		return 0
	}
	return g.suspects.Digest(now)
}

func (g *Gossip) inOwnZone(address string) bool {
	m, ok := g.view.Get(address)
	return ok && m.Zone == g.self.Zone
}
