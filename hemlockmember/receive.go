package hemlockmember

import (
	"slices"
	"time"
)

// askersAtOnce bounds those who wait for one answer; further ones ask again a second later.
const askersAtOnce = 16

// Receive takes a message of a peer and returns the messages to send; one for the sender may go as the reply.
func (g *Gossip) Receive(now time.Time, from string, m Message) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if from == "" || from == g.self.Address {
		return nil
	}
	g.budget.fill(now)
	g.heard[from] = now
	if w := g.watches[from]; w != nil {
		w.denied, w.checked = false, false
		g.settle(from, w, true)
	}
	delete(g.claims, from)
	g.absorb(now, from, m.Kind, m.Members)
	g.absorbSuspects(now, from, m)
	switch m.Kind {
	case Probe, SingleProbe:
		if m.Kind == Probe {
			g.inbound[from] = now
		}
		g.acknowledge(now, from, m)
	case Ack:
		g.compare(now, from, m)
	case ProbeRequest:
		g.assist(now, from, m.Subject)
	case ProbeResult:
		g.hearsay(now, m.Subject, m.Alive)
	case Sync:
		g.complete(now, from, m)
	case Update:
	}
	// What the budget held back waits for the next tick; sorting it on each message would cost most of the time.
	if g.freshNews && (g.budget.has(MessageOverhead) || g.news[g.self.Address] != nil) {
		g.flush(now)
	}
	return g.take()
}

// absorb merges records of a peer. A death is believed at once only as news of a trusted sender; see doubt.
func (g *Gossip) absorb(now time.Time, from string, kind Kind, records []Member) {
	sender, _ := g.view.Get(from)
	// What a new node learns from answers is news to nobody else; passing on a whole view would use up the budget.
	quiet := (kind == Ack || kind == Sync) && g.isNew(now)
	for _, m := range records {
		if !m.valid() {
			continue
		}
		if m.Address == g.self.Address {
			g.refute(now, from, m)
			continue
		}
		if m.State == Dead {
			subject, _ := g.view.Get(m.Address)
			if g.doubt(now, m, kind == Update && g.trusts(sender, subject)) {
				continue
			}
		}
		g.apply(now, m, from)
		if quiet {
			delete(g.news, m.Address)
		}
	}
}

// trusts reports whether the sender's news of a death needs no check: it shares this node's links to the dead member,
// as a member of the own zone or, for a member in another region, of the own region; or it is of the dead member's zone.
func (g *Gossip) trusts(sender, subject Member) bool {
	switch sender.Zone {
	case "":
		return false
	case g.self.Zone, subject.Zone:
		return true
	}
	return sender.Region == g.self.Region && subject.Region != g.self.Region
}

// refute answers a foreign record about this node itself with a higher incarnation.
func (g *Gossip) refute(now time.Time, from string, m Member) {
	if m.Incarnation < g.self.Incarnation {
		if m.State == Dead {
			g.send(Message{To: from, Kind: Update, Members: []Member{g.self}})
		}
		return
	}
	if !newer(m, g.self) {
		return
	}
	g.counts.Refuted++
	g.raise(now, m.Incarnation)
	g.send(Message{To: from, Kind: Update, Members: []Member{g.self}})
}

// doubt reports whether a claimed death is not believed yet. A claim is checked by a probe of this node's own if the
// member was heard just now, or if the news is not trusted. After a partition, both sides hold the other
// side's members for dead; without this check, a member of one zone would believe the other zone's claims about its
// own neighbours until all of them had refuted.
func (g *Gossip) doubt(now time.Time, m Member, trusted bool) bool {
	known, ok := g.view.Get(m.Address)
	if !ok || known.State == Dead || !newer(m, known) {
		return false
	}
	at, heard := g.heard[m.Address]
	if trusted && (!heard || now.Sub(at) > freshness) {
		delete(g.claims, m.Address)
		return false
	}
	g.claims[m.Address] = m.brief()
	return true
}

// apply merges a believed record and passes it on if it is new here.
func (g *Gossip) apply(now time.Time, m Member, from string) {
	before, known := g.view.Get(m.Address)
	changes := g.view.Merge(now, []Member{m})
	if len(changes) == 0 {
		if known && !newer(before, m) {
			g.knows(m, from)
		}
		return
	}
	g.lastChange = now
	changed := changes[0]
	if changed.State == Dead {
		if w := g.watches[m.Address]; w != nil {
			g.settle(m.Address, w, false)
			delete(g.watches, m.Address)
		}
		if known && before.State != Dead && before.State != Leaving {
			g.noteDeath(now, changed.Zone)
		}
	}
	delete(g.claims, m.Address)
	g.spread(now, changed, from)
}

// acknowledge answers a probe. A sender that is held for dead here gets that record, so that it refutes it.
func (g *Gossip) acknowledge(now time.Time, from string, m Message) {
	ack := Message{To: from, Kind: Ack}
	if sender, ok := g.view.Get(from); ok && sender.State == Dead {
		ack.Members = []Member{sender.brief()}
	}
	if len(m.Members) > 0 {
		// The sender may not know this node; without a record it cannot choose it as a neighbour.
		ack.Members = append(ack.Members, g.self)
	}
	if len(m.Digests) == 2 && g.budget.has(lowPriority) {
		suspects := g.suspectDigest(now)
		if m.Digests[0] != suspects && g.inOwnZone(from) {
			ack.Digests = []uint64{suspects}
			ack.Suspects = g.suspects.Records(now, suspectsPerMessage)
		}
		if m.Digests[1] != g.view.sum() && g.settled(now) {
			ack.Digests = append([]uint64{suspects}, g.view.Digest()...)
		}
	}
	if m.Alive && len(ack.Digests) <= 1 && len(m.Digests) == 2 && m.Digests[1] != g.view.sum() {
		ack.Members = append(ack.Members, g.introductions(from)...)
	}
	g.send(ack)
}

// introductions are a few random members for a new node that this node cannot give its view now. When many nodes start
// at once, they would otherwise all stay with the few contacts, whose budget goes into answers to their probes.
func (g *Gossip) introductions(to string) []Member {
	zone := g.self.Zone
	if m, ok := g.view.Get(to); ok && m.Zone != "" {
		zone = m.Zone
	}
	var members []Member
	for range ownNeighbours {
		if m, ok := g.view.Get(g.view.sample(zone, g.random)); ok && m.Address != to && !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return members
}

// assist probes a member for another node and answers later. What was heard before the question does not count: it may
// be older than the asker's own silence and would only delay the detection.
func (g *Gossip) assist(now time.Time, from, subject string) {
	if subject == g.self.Address {
		g.send(Message{To: from, Kind: ProbeResult, Subject: subject, Alive: true})
		return
	}
	m, known := g.view.Get(subject)
	if !known || m.State == Dead {
		// The asker learns the death from the digest exchange; this node does not probe on its behalf.
		g.send(Message{To: from, Kind: ProbeResult, Subject: subject})
		return
	}
	before := g.watches[subject]
	errand := before == nil || before.errand
	w := g.watch(now, subject)
	w.errand = errand
	if len(w.askers) == 0 {
		w.askedAt = now
	}
	if len(w.askers) < askersAtOnce {
		w.askers = append(w.askers, from)
	}
	w.lastProbe = now
	g.sendProbe(w.kind(), subject)
}

// hearsay takes the word of a second prober.
func (g *Gossip) hearsay(now time.Time, subject string, alive bool) {
	w := g.watches[subject]
	if w == nil {
		return
	}
	if alive {
		w.restart(now)
		delete(g.claims, subject)
		return
	}
	w.denied = true
}
