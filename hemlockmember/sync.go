package hemlockmember

import (
	"slices"
	"strings"
	"time"
)

const (
	// minSyncInterval is the minimum time between two synchronisations that a node starts.
	minSyncInterval = 500 * time.Millisecond
	// quietPeriod is how long the view must be unchanged before a difference starts a synchronisation. While updates are
	// being disseminated, views differ anyway.
	quietPeriod = time.Second
	// maxVerificationsPerTick and maxVerifications limit the probes that verify reported deaths to about 20/s.
	maxVerificationsPerTick = 4
	maxVerifications        = 32
	// minZoneDeaths deaths in one zone within zoneDeathWindow make the zone count as lost for another zoneDeathWindow.
	minZoneDeaths   = 2
	zoneDeathWindow = 10 * time.Second
)

// viewSettled reports whether the view has been unchanged for long enough to synchronise a difference. A node that has just
// started does not wait.
func (g *Gossip) viewSettled(now time.Time) bool {
	return now.Sub(g.lastChange) >= quietPeriod || g.isNew(now)
}

func (g *Gossip) isNew(now time.Time) bool {
	return now.Sub(g.started) < newNodePeriod
}

// startSync starts a synchronisation of the buckets that differ from those in an Ack. If they contain more than
// maxRecordsPerMessage records, it leaves some of the buckets to later synchronisations.
func (g *Gossip) startSync(now time.Time, from string, m Message) {
	if len(m.Digests) != DigestBuckets+1 || !g.viewSettled(now) || now.Sub(g.lastSync) < minSyncInterval || !g.budget.allows(syncReserve) {
		return
	}
	var differing []uint32
	for i, d := range g.view.Digests() {
		if d != m.Digests[i+1] {
			differing = append(differing, uint32(i))
		}
	}
	if len(differing) == 0 {
		return
	}
	// Starts at a random bucket, so that several synchronisations of a node that has just started cover different
	// buckets.
	start := g.random(len(differing))
	differing = slices.Concat(differing[start:], differing[:start])
	own := g.view.membersInBuckets(now, differing)
	for len(differing) > 1 && len(own) > maxRecordsPerMessage {
		differing = differing[:(len(differing)+1)/2]
		own = g.view.membersInBuckets(now, differing)
	}
	g.lastSync = now
	g.counts.Synchronisations++
	g.send(Message{To: from, Kind: Sync, Buckets: differing, Members: sortCompact(own)})
}

// replyToSync replies to a synchronisation with the records that the sender lacks or has in an older version. Dead records
// that the sender lacks are omitted. So are records for which the budget is too low.
func (g *Gossip) replyToSync(now time.Time, from string, m Message) {
	if len(m.Buckets) == 0 {
		return
	}
	theirs := make(map[string]Member, len(m.Members))
	for _, r := range m.Members {
		theirs[r.Address] = r
	}
	var missing []Member
	for _, r := range g.view.membersInBuckets(now, m.Buckets) {
		if t, ok := theirs[r.Address]; r.Address != from && (!ok && r.State != Dead || ok && supersedes(r, t)) {
			missing = append(missing, r)
		}
	}
	missing = sortCompact(missing)
	for len(missing) > 0 && g.budget.allows(syncReserve) {
		count := min(len(missing), maxRecordsPerMessage)
		g.send(Message{To: from, Kind: Sync, Members: missing[:count]})
		missing = missing[count:]
	}
}

// sortCompact sorts the records by address and replaces them by their compact form.
func sortCompact(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	for i, m := range members {
		members[i] = m.compact()
	}
	return members
}

// verifyReportedDeaths probes members whose death was reported. The probe contains the report, so that a live member
// refutes it immediately. handleSilence accepts the report if the member does not reply.
func (g *Gossip) verifyReportedDeaths(now time.Time) {
	started, running := 0, 0
	for _, address := range sortedKeys(g.reportedDeaths) {
		report := g.reportedDeaths[address]
		m, ok := g.view.Get(address)
		if !ok || !supersedes(report, m) {
			delete(g.reportedDeaths, address)
			continue
		}
		if w := g.watches[address]; w != nil && w.reportSent {
			running++
			continue
		}
		if started >= maxVerificationsPerTick || running+started >= maxVerifications || !g.budget.allows(syncReserve) {
			continue
		}
		started++
		w := g.watch(now, address)
		w.reportSent = true
		w.lastProbe = now
		if w.temporary {
			w.silentSince = now
			if at, ok := g.received[address]; ok {
				// Silence before the verification counts, but the member gets at least 700 ms to reply to the probe.
				w.silentSince = later(at, now.Add(700*time.Millisecond-reportedDeathSilence))
			}
		}
		g.sendProbe(w.probeKind(), address, report)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// deathCount counts the recent deaths in a zone. Until probeUntil, the zone counts as lost and more of its members are probed.
type deathCount struct {
	first      time.Time
	deaths     int
	probeUntil time.Time
}

// recordDeath counts deaths by zone. If a zone or the link to it is lost, the few neighbours in it are soon declared dead.
// Most of its members have no prober outside of the zone; probeLostZones detects their deaths.
func (g *Gossip) recordDeath(now time.Time, zone string) {
	count := g.zoneDeaths[zone]
	if count == nil || now.Sub(count.first) > zoneDeathWindow {
		count = &deathCount{first: now}
		g.zoneDeaths[zone] = count
	}
	if count.deaths++; count.deaths >= minZoneDeaths {
		count.probeUntil = now.Add(zoneDeathWindow)
	}
}

// probeLostZones starts to probe up to two more members of each lost zone every second. For each of these zones, it also
// probes one member of a third zone, because this node may be the one that is isolated.
func (g *Gossip) probeLostZones(now time.Time) {
	if now.Sub(g.lastZoneProbe) < probeInterval {
		return
	}
	g.lastZoneProbe = now
	var addresses []string
	for _, name := range sortedKeys(g.zoneDeaths) {
		count := g.zoneDeaths[name]
		if now.Sub(count.first) > zoneDeathWindow && now.After(count.probeUntil) {
			delete(g.zoneDeaths, name)
			continue
		}
		if now.Before(count.probeUntil) {
			addresses = append(addresses, g.view.randomMember(name, g.random), g.view.randomMember(name, g.random), g.memberOfThirdZone(name))
		}
	}
	for _, address := range addresses {
		if address != "" && address != g.self.Address && g.budget.allows(syncReserve) {
			g.watch(now, address)
		}
	}
}

// retryUnreachable probes one dead or leaving member or unknown seed per retryInterval, so that some node soon detects
// the end of a partition. While its view contains no other live member, it probes up to 3 of these addresses every
// second.
func (g *Gossip) retryUnreachable(now time.Time) {
	alone := g.view.live() <= 1
	if interval := retryInterval; now.Sub(g.lastRetry) < interval && (!alone || now.Sub(g.lastRetry) < probeInterval) {
		return
	}
	g.lastRetry = now
	var unreachable []Member
	for _, address := range g.seeds {
		if _, ok := g.view.Get(address); !ok {
			unreachable = append(unreachable, Member{Address: address})
		}
	}
	unreachable = append(unreachable, g.view.deadOrLeaving()...)
	if len(unreachable) == 0 {
		return
	}
	// Starts at a random address, so that the members do not all probe the same one at the same time.
	if g.retryIndex == 0 {
		g.retryIndex = 1 + g.random(len(unreachable))
	}
	count := 1
	if alone {
		count = min(len(unreachable), neighboursInZone)
	}
	for range count {
		g.retryIndex++
		g.sendRetry(unreachable[g.retryIndex%len(unreachable)])
	}
}

// sendRetry probes an unreachable address. The probe contains the node's own record, because the other side may not know this
// node or may consider it dead.
func (g *Gossip) sendRetry(m Member) {
	if m.State == Dead {
		g.sendProbe(SingleProbe, m.Address, m, g.self)
		return
	}
	g.sendProbe(SingleProbe, m.Address, g.self)
}
