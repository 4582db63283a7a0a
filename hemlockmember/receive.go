package hemlockmember

import (
	"slices"
	"time"
)

// maxRequesters limits the members that wait for one ProbeResult. Further members retry their request a second later.
const maxRequesters = 16

// Receive handles a message of the peer with the address from and returns the messages to send. One that is addressed to
// that peer may be sent as the reply.
func (g *Gossip) Receive(now time.Time, from string, m Message) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if from == "" || from == g.self.Address {
		return nil
	}
	g.budget.refill(now)
	g.received[from] = now
	if w := g.watches[from]; w != nil {
		w.silenceConfirmed, w.reportSent = false, false
		g.sendProbeResults(from, w, true)
	}
	delete(g.reportedDeaths, from)
	g.receiveMembers(now, from, m.Kind, m.Members)
	g.receiveCrashRecords(now, from, m)
	g.receiveLoads(now, from, m.Loads)
	switch m.Kind {
	case Probe, SingleProbe:
		if m.Kind == Probe {
			g.inboundProbes[from] = now
		}
		g.acknowledge(now, from, m)
	case Ack:
		g.startSync(now, from, m)
	case ProbeRequest:
		g.probeForRequester(now, from, m.Subject)
	case ProbeResult:
		g.receiveProbeResult(now, m.Subject, m.Alive)
	case Sync:
		g.replyToSync(now, from, m)
	case Update:
	}
	// Updates that the budget delays wait for the next tick, as sorting them for each message would take most of the
	// CPU time.
	if g.hasNewUpdates && (g.budget.allows(MessageOverhead) || g.updates[g.self.Address] != nil) {
		g.sendUpdates(now)
	}
	return g.takeOutbox()
}

// receiveMembers merges records of a peer. If the view contains a member that is not dead, a dead record of the member is
// accepted immediately only in an Update of a trusted sender and if no message of the member arrived recently; see
// needsVerification.
func (g *Gossip) receiveMembers(now time.Time, from string, kind Kind, records []Member) {
	sender, _ := g.view.Get(from)
	// The records that a new node receives in an Ack or a Sync are known to others; disseminating a whole view would use
	// up the budget.
	knownToOthers := (kind == Ack || kind == Sync) && g.isNew(now)
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
			if g.needsVerification(now, m, kind == Update && g.trustsReport(sender, subject)) {
				continue
			}
		}
		g.apply(now, m, from)
		if knownToOthers {
			delete(g.updates, m.Address)
		}
	}
}

// trustsReport reports whether a sender's report of the death of subject is trusted. It is trusted if the sender is in the
// zone of subject, or if it shares this node's links to subject. It shares them if it is in this node's zone, or in this
// node's region while subject is in another region. An unknown sender is not trusted.
func (g *Gossip) trustsReport(sender, subject Member) bool {
	switch sender.Zone {
	case "":
		return false
	case g.self.Zone, subject.Zone:
		return true
	}
	return sender.Region == g.self.Region && subject.Region != g.self.Region
}

// refute handles a record about this node. If it supersedes the node's own record, refute raises the incarnation above
// it and sends the new record to the peer. An older dead record is answered with the node's own record.
func (g *Gossip) refute(now time.Time, from string, m Member) {
	if m.Incarnation < g.self.Incarnation {
		if m.State == Dead {
			g.send(Message{To: from, Kind: Update, Members: []Member{g.self}})
		}
		return
	}
	if !supersedes(m, g.self) {
		return
	}
	g.counts.Refuted++
	g.raiseIncarnation(now, m.Incarnation)
	g.send(Message{To: from, Kind: Update, Members: []Member{g.self}})
}

// needsVerification reports whether a reported death must be verified before it is accepted; if so, it records the
// report. A record of a member that is unknown or already dead, or that does not supersede the known record, needs no
// verification. This node verifies other reports by a probe of its own if a message of the member arrived recently or if
// the sender is not trusted. After a partition, both sides consider the members of the other side dead. Without
// verification, a member of one zone would accept the reports of the other zone about its own neighbours until all of
// these had refuted them.
func (g *Gossip) needsVerification(now time.Time, m Member, trusted bool) bool {
	known, ok := g.view.Get(m.Address)
	if !ok || known.State == Dead || !supersedes(m, known) {
		return false
	}
	at, received := g.received[m.Address]
	if trusted && (!received || now.Sub(at) > recentContactAge) {
		delete(g.reportedDeaths, m.Address)
		return false
	}
	g.reportedDeaths[m.Address] = m.compact()
	return true
}

// apply merges an accepted record and disseminates it if it changes the view.
func (g *Gossip) apply(now time.Time, m Member, from string) {
	before, known := g.view.Get(m.Address)
	changes := g.view.Merge(now, []Member{m})
	if len(changes) == 0 {
		if known && !supersedes(before, m) {
			g.markKnown(m, from)
		}
		return
	}
	g.lastChange = now
	changed := changes[0]
	if changed.State == Dead {
		if w := g.watches[m.Address]; w != nil {
			g.sendProbeResults(m.Address, w, false)
			delete(g.watches, m.Address)
		}
		if known && before.State != Dead && before.State != Leaving {
			g.recordDeath(now, changed.Zone)
		}
	}
	delete(g.reportedDeaths, m.Address)
	g.enqueueUpdate(now, changed, from)
}

// acknowledge replies to a probe. A sender that is dead in this node's view receives this dead record, so that it can
// refute it. If the digests of the probe differ, the reply contains this node's digests, as described at Ack.
func (g *Gossip) acknowledge(now time.Time, from string, m Message) {
	ack := Message{To: from, Kind: Ack, Loads: g.loadsFor(now, from)}
	if sender, ok := g.view.Get(from); ok && sender.State == Dead {
		ack.Members = []Member{sender.compact()}
	}
	if len(m.Members) > 0 {
		// The sender may not know this node, and without a record it cannot choose it as a neighbour.
		ack.Members = append(ack.Members, g.self)
	}
	if len(m.Digests) == 2 && g.budget.allows(syncReserve) {
		crashDigest := g.crashDigest(now)
		if m.Digests[0] != crashDigest && g.inOwnZone(from) {
			ack.Digests = []uint64{crashDigest}
			ack.CrashRecords = g.suspects.Records(now, maxCrashRecordsPerMessage)
		}
		if m.Digests[1] != g.view.checksum() && g.viewSettled(now) {
			ack.Digests = append([]uint64{crashDigest}, g.view.Digests()...)
		}
	}
	if m.Alive && len(ack.Digests) <= 1 && len(m.Digests) == 2 && m.Digests[1] != g.view.checksum() {
		ack.Members = append(ack.Members, g.membersForNewNode(from)...)
	}
	g.send(ack)
}

// membersForNewNode returns a few random members of its zone and one of another zone for a new node to which this node cannot send its
// digests now. If many nodes start at the same time, they would otherwise all keep probing the few seeds, which spend their budget on
// replies: with 82 nodes in 3 zones, most views had no member of other zones but the seeds for 19 s.
func (g *Gossip) membersForNewNode(to string) []Member {
	zone := g.self.Zone
	if m, ok := g.view.Get(to); ok && m.Zone != "" {
		zone = m.Zone
	}
	var members []Member
	for range neighboursInZone {
		if m, ok := g.view.Get(g.view.randomMember(zone, g.random)); ok && m.Address != to && !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	if m, ok := g.view.Get(g.memberOfOtherZone(zone)); ok && m.Address != to {
		members = append(members, m)
	}
	return members
}

// memberOfOtherZone returns the address of a random member outside of a zone, or an empty string if there is none.
func (g *Gossip) memberOfOtherZone(zone string) string {
	zones, otherRegions := g.view.otherZones(zone, g.self.Region)
	zones = append(zones, otherRegions...)
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones) // a fixed order, so that only the random numbers decide
	return g.view.randomMember(zones[g.random(len(zones))], g.random)
}

// probeForRequester probes a member for another node, which receives the result when the member replies or the probe
// times out. Messages that arrived before the request do not count, as they may be older than the silence that the
// requester observed and would only delay the detection.
func (g *Gossip) probeForRequester(now time.Time, from, subject string) {
	if subject == g.self.Address {
		g.send(Message{To: from, Kind: ProbeResult, Subject: subject, Alive: true})
		return
	}
	m, known := g.view.Get(subject)
	if !known || m.State == Dead {
		// The requester receives the dead record by synchronisation; this node does not probe the member for it.
		g.send(Message{To: from, Kind: ProbeResult, Subject: subject})
		return
	}
	previous := g.watches[subject]
	forRequesters := previous == nil || previous.forRequesters
	w := g.watch(now, subject)
	w.forRequesters = forRequesters
	if len(w.requesters) == 0 {
		w.requestedAt = now
	}
	if len(w.requesters) < maxRequesters {
		w.requesters = append(w.requesters, from)
	}
	w.lastProbe = now
	g.sendProbe(w.probeKind(), subject)
}

// receiveProbeResult handles the result of an indirect probe that this node requested. It ignores results about members
// that it no longer watches.
func (g *Gossip) receiveProbeResult(now time.Time, subject string, alive bool) {
	w := g.watches[subject]
	if w == nil {
		return
	}
	if alive {
		w.resetSilence(now)
		delete(g.reportedDeaths, subject)
		return
	}
	w.silenceConfirmed = true
}
