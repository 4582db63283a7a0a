package hemlockmember

import (
	"slices"
	"strings"
	"time"
)

const (
	// offerInterval bounds the exchanges that a node starts.
	offerInterval = 500 * time.Millisecond
	// calm is how long the view must be unchanged before a difference counts: while news spreads, views differ anyway.
	calm = time.Second
	// checksPerTick and checksAtOnce bound the probes that verify claimed deaths: about 20/s.
	checksPerTick = 4
	checksAtOnce  = 32
	// sweepDeaths in one zone within sweepWindow start a sweep of that zone.
	sweepDeaths = 2
	sweepWindow = 10 * time.Second
)

// settled reports whether a difference between views is worth an exchange. A node that has just started does not wait.
func (g *Gossip) settled(now time.Time) bool {
	return now.Sub(g.lastChange) >= calm || g.isNew(now)
}

func (g *Gossip) isNew(now time.Time) bool {
	return now.Sub(g.started) < young
}

// compare starts an exchange of the buckets that differ from those of an acknowledgement.
func (g *Gossip) compare(now time.Time, from string, m Message) {
	if len(m.Digests) != DigestBuckets+1 || !g.settled(now) || now.Sub(g.lastOffer) < offerInterval || !g.budget.has(lowPriority) {
		return
	}
	var differing []uint32
	for i, d := range g.view.Digest() {
		if d != m.Digests[i+1] {
			differing = append(differing, uint32(i))
		}
	}
	if len(differing) == 0 {
		return
	}
	// A random start lets several exchanges of a joining node complete different buckets.
	start := g.random(len(differing))
	differing = slices.Concat(differing[start:], differing[:start])
	own := g.view.inBuckets(now, differing)
	for len(differing) > 1 && len(own) > recordsPerMessage {
		differing = differing[:(len(differing)+1)/2]
		own = g.view.inBuckets(now, differing)
	}
	g.lastOffer = now
	g.counts.Exchanges++
	g.send(Message{To: from, Kind: Sync, Buckets: differing, Members: briefly(own)})
}

// complete answers an exchange with the records that the sender does not have.
func (g *Gossip) complete(now time.Time, from string, m Message) {
	if len(m.Buckets) == 0 {
		return
	}
	theirs := make(map[string]Member, len(m.Members))
	for _, r := range m.Members {
		theirs[r.Address] = r
	}
	var missing []Member
	for _, r := range g.view.inBuckets(now, m.Buckets) {
		if t, ok := theirs[r.Address]; r.Address != from && (!ok && r.State != Dead || ok && newer(r, t)) {
			missing = append(missing, r)
		}
	}
	missing = briefly(missing)
	for len(missing) > 0 && g.budget.has(lowPriority) {
		count := min(len(missing), recordsPerMessage)
		g.send(Message{To: from, Kind: Sync, Members: missing[:count]})
		missing = missing[count:]
	}
}

func briefly(members []Member) []Member {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	for i, m := range members {
		members[i] = m.brief()
	}
	return members
}

// verify probes members whose death was claimed. The claim goes along, so that a live member refutes it at once.
func (g *Gossip) verify(now time.Time) {
	started, running := 0, 0
	for _, address := range sortedKeys(g.claims) {
		claim := g.claims[address]
		m, ok := g.view.Get(address)
		if !ok || !newer(claim, m) {
			delete(g.claims, address)
			continue
		}
		if w := g.watches[address]; w != nil && w.checked {
			running++
			continue
		}
		if started >= checksPerTick || running+started >= checksAtOnce || !g.budget.has(lowPriority) {
			continue
		}
		started++
		w := g.watch(now, address)
		w.checked = true
		w.lastProbe = now
		if w.temporary {
			w.since = now
			if at, ok := g.heard[address]; ok {
				// Silence before the check counts, but the probe gets at least 700 ms to be answered.
				w.since = later(at, now.Add(700*time.Millisecond-checkSilence))
			}
		}
		g.sendProbe(w.kind(), address, claim)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sweep is the search for more dead members of a zone.
type sweep struct {
	first  time.Time
	deaths int
	until  time.Time
}

// noteDeath counts deaths by zone. When a zone or the link to it is lost, the few chosen neighbours there are soon dead
// and most of its members have no prober outside; the sweep finds them.
func (g *Gossip) noteDeath(now time.Time, zone string) {
	s := g.sweeps[zone]
	if s == nil || now.Sub(s.first) > sweepWindow {
		s = &sweep{first: now}
		g.sweeps[zone] = s
	}
	if s.deaths++; s.deaths >= sweepDeaths {
		s.until = now.Add(sweepWindow)
	}
}

// sweepZones probes two more members of each lost zone every second, and one of any other zone, because this node may
// be the one that is cut off.
func (g *Gossip) sweepZones(now time.Time) {
	if now.Sub(g.lastSweep) < probeInterval {
		return
	}
	g.lastSweep = now
	var targets []string
	for _, name := range sortedKeys(g.sweeps) {
		s := g.sweeps[name]
		if now.Sub(s.first) > sweepWindow && now.After(s.until) {
			delete(g.sweeps, name)
			continue
		}
		if now.Before(s.until) {
			targets = append(targets, g.view.sample(name, g.random), g.view.sample(name, g.random), g.outsider(name))
		}
	}
	for _, address := range targets {
		if address != "" && address != g.self.Address && g.budget.has(lowPriority) {
			g.watch(now, address)
		}
	}
}

// retryLost probes one dead address or unknown contact each 5 s, so that a healed partition is found by somebody soon.
// Until the node knows another member it tries all contacts each second.
func (g *Gossip) retryLost(now time.Time) {
	alone := g.view.live() <= 1
	if interval := retryInterval; now.Sub(g.lastRetry) < interval && (!alone || now.Sub(g.lastRetry) < probeInterval) {
		return
	}
	g.lastRetry = now
	var lost []Member
	for _, address := range g.contacts {
		if _, ok := g.view.Get(address); !ok {
			lost = append(lost, Member{Address: address})
		}
	}
	lost = append(lost, g.view.lost()...)
	if len(lost) == 0 {
		return
	}
	// The first choice is random, so that the members do not all try the same address at a time.
	if g.retryNext == 0 {
		g.retryNext = 1 + g.random(len(lost))
	}
	count := 1
	if alone {
		count = min(len(lost), ownNeighbours)
	}
	for range count {
		g.retryNext++
		g.sendRetry(lost[g.retryNext%len(lost)])
	}
}

// sendRetry probes a lost address. The node's own record goes along because the other side may not know it, or hold it
// for dead.
func (g *Gossip) sendRetry(m Member) {
	if m.State == Dead {
		g.sendProbe(SingleProbe, m.Address, m, g.self)
		return
	}
	g.sendProbe(SingleProbe, m.Address, g.self)
}
