package hemlockmember

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watch is the state of a member that this node probes.
type watch struct {
	// silentSince is the earliest time from which the silence of the member counts.
	silentSince      time.Time
	lastProbe        time.Time
	lastProbeRequest time.Time
	// silenceConfirmed is set when an indirect prober has reported that it got no reply either.
	silenceConfirmed bool
	// temporary watches end with the next message of the member. They verify reported deaths and probe members of lost
	// zones, members whose connection failed and members whose probes stopped.
	temporary bool
	// requesters are the members that wait for this node's ProbeResult.
	requesters  []string
	requestedAt time.Time
	// forRequesters marks a watch that exists only for its requesters and ends with the result. Otherwise, each indirect
	// prober would request indirect probes in turn.
	forRequesters bool
	// reportSent is set when the report of the member's death has been sent to the member. The next message of the member
	// resets it.
	reportSent bool
}

func (w *watch) resetSilence(now time.Time) {
	w.silentSince, w.silenceConfirmed = now, false
}

func (w *watch) probeKind() Kind {
	if w.temporary {
		return SingleProbe
	}
	return Probe
}

// watch returns the watch of an address. If there is none, it starts a temporary one.
func (g *Gossip) watch(now time.Time, address string) *watch {
	w := g.watches[address]
	if w == nil {
		w = &watch{silentSince: now, temporary: true}
		g.watches[address] = w
	}
	w.forRequesters = false
	return w
}

// chooseNeighbours selects up to 3 neighbours in this node's zone and 1 in another by rendezvous hashing, so that a change
// of the view changes few connections. It chooses again only after a change of the view or in a new period.
func (g *Gossip) chooseNeighbours(now time.Time) {
	hash := xxhash.Sum64String(g.self.Address)
	// The hash shifts the periods of the members, so that their connections to other regions do not all change at the
	// same time.
	period := (now.Unix() + int64(hash%uint64(remotePeriod/time.Second))) / int64(remotePeriod/time.Second)
	version := g.view.Version()
	if version == g.neighboursVersion && period == g.neighboursPeriod && g.neighbours != nil {
		return
	}
	g.neighboursVersion, g.neighboursPeriod = version, period
	duty := "neighbour/" + g.self.Address
	var chosen []string
	for _, m := range g.view.firstInZones(duty, []string{g.self.Zone}, neighboursInZone+1) {
		if m.Address != g.self.Address && len(chosen) < neighboursInZone {
			chosen = append(chosen, m.Address)
		}
	}
	chosen = append(chosen, g.chooseRemoteNeighbour(duty, period)...)
	for _, address := range chosen {
		w := g.watches[address]
		if w == nil {
			// The first probe is sent at a random time within the interval, which prevents bursts of probes.
			w = g.watch(now, address)
			w.lastProbe = now.Add(-time.Duration(g.random(int(probeInterval))))
		}
		w.temporary, w.forRequesters = false, false
	}
	for _, address := range g.neighbours {
		if !slices.Contains(chosen, address) && g.watches[address] != nil {
			g.watches[address].temporary = true
		}
	}
	g.neighbours = chosen
	if g.neighbours == nil {
		g.neighbours = []string{}
	}
}

// chooseRemoteNeighbour returns the neighbour in another zone, if there is one. Most nodes choose it in their own region. In
// each period, about a quarter of the nodes choose it in another region, because the links between regions may fail while
// the network within each region works. Members of a region without other zones always choose one in another region.
func (g *Gossip) chooseRemoteNeighbour(duty string, period int64) []string {
	zones, otherRegions := g.view.otherZones(g.self.Zone, g.self.Region)
	key := duty + "/" + strconv.FormatInt(period, 10)
	if len(otherRegions) > 0 && (len(zones) == 0 || xxhash.Sum64String(key)%4 == 0) {
		zones, duty = otherRegions, key
	}
	var chosen []string
	if len(zones) > 0 {
		for _, m := range g.view.firstInZones(duty, zones, 1) {
			chosen = append(chosen, m.Address)
		}
	}
	return chosen
}

// probeWatched probes the watched members, reports the results of indirect probes to their requesters and handles the
// silence of members. It ends the watches that are no longer needed.
func (g *Gossip) probeWatched(now time.Time) {
	g.watchInbound(now)
	for _, address := range sortedKeys(g.watches) {
		w := g.watches[address]
		m, known := g.view.Get(address)
		if !known || m.State == Dead {
			g.sendProbeResults(address, w, false)
			delete(g.watches, address)
			continue
		}
		silence := g.silence(now, address, w)
		if w.temporary && silence < now.Sub(w.silentSince) {
			delete(g.watches, address)
			continue
		}
		interval := probeInterval
		if silence > recentContactAge || len(w.requesters) > 0 {
			// A member that is silent or probed for others is probed more often, so that a few lost messages are not
			// mistaken for a failure.
			interval /= 3
		}
		if now.Sub(w.lastProbe) >= interval {
			w.lastProbe = now
			g.sendProbe(w.probeKind(), address)
		}
		if len(w.requesters) > 0 && now.Sub(w.requestedAt) >= indirectProbeTimeout {
			g.sendProbeResults(address, w, false)
		}
		if !w.forRequesters {
			g.handleSilence(now, m, w, silence)
		} else if len(w.requesters) == 0 {
			delete(g.watches, address)
		}
	}
}

// watchInbound starts to watch members that used to probe this node as soon as their probes stop. A member that few or
// no others have chosen as a neighbour is thus watched at least by those that it has chosen itself.
func (g *Gossip) watchInbound(now time.Time) {
	for address, at := range g.inboundProbes {
		if now.Sub(at) > recentContactAge && now.Sub(at) <= housekeepingInterval && g.watches[address] == nil {
			if m, ok := g.view.Get(address); ok && m.State != Dead {
				g.watch(now, address).silentSince = g.received[address]
			}
		}
	}
}

// silence returns how long no message has arrived from a watched member.
func (g *Gossip) silence(now time.Time, address string, w *watch) time.Duration {
	last := w.silentSince
	if at, ok := g.received[address]; ok && at.After(last) {
		last = at
	}
	return now.Sub(last)
}

// handleSilence accepts the reported death of a member that is silent for this node too. It requests indirect probes of any
// other silent member and declares it dead once an indirect prober got no reply either; see also mayDeclareAlone.
func (g *Gossip) handleSilence(now time.Time, m Member, w *watch, silence time.Duration) {
	if report, ok := g.reportedDeaths[m.Address]; ok && silence >= reportedDeathSilence {
		// The reporting member was the first prober, and this node is the second.
		delete(g.reportedDeaths, m.Address)
		g.apply(now, report, "")
		return
	}
	if silence < indirectProbeSilence {
		w.silenceConfirmed = false
		return
	}
	if silence >= deathSilence && (w.silenceConfirmed || g.mayDeclareAlone(silence, now)) {
		g.counts.DeclaredDead++
		g.apply(now, Member{Address: m.Address, Incarnation: m.Incarnation, State: Dead}, "")
		return
	}
	if now.Sub(w.lastProbeRequest) >= probeInterval {
		w.lastProbeRequest = now
		for _, prober := range g.indirectProbers(now, m) {
			g.send(Message{To: prober, Kind: ProbeRequest, Subject: m.Address})
		}
	}
}

// mayDeclareAlone reports whether a silent member may be declared dead without an indirect probe, because no other member
// could be the indirect prober.
func (g *Gossip) mayDeclareAlone(silence time.Duration, now time.Time) bool {
	if silence >= isolatedSilence {
		return len(g.recentContacts(now, "")) == 0
	}
	// Without a third member, there is no indirect prober.
	return silence >= deathSilence+indirectProbeTimeout && g.view.live() <= 2
}

// indirectProbers returns up to two reachable members as indirect probers, preferably of this node's zone. For a member
// of another zone, one of them is in a third zone: if only the link between two zones has failed, the third zone still
// reaches the member, and its result prevents the two zones from repeatedly declaring each other's members dead.
func (g *Gossip) indirectProbers(now time.Time, subject Member) []string {
	addresses := g.recentContacts(now, subject.Address)
	if len(addresses) > 2 {
		start := g.random(len(addresses))
		addresses = []string{addresses[start], addresses[(start+1)%len(addresses)]}
	}
	if subject.Zone == g.self.Zone {
		return addresses
	}
	if other := g.memberOfThirdZone(subject.Zone); other != "" && !slices.Contains(addresses, other) {
		addresses = append(addresses[:min(len(addresses), 1)], other)
	}
	return addresses
}

// memberOfThirdZone returns a random member that is neither in this node's zone nor in the given one, or an empty string.
func (g *Gossip) memberOfThirdZone(except string) string {
	sameRegion, otherRegions := g.view.otherZones(g.self.Zone, g.self.Region)
	zones := slices.DeleteFunc(append(sameRegion, otherRegions...), func(name string) bool { return name == except })
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return g.view.randomMember(zones[g.random(len(zones))], g.random)
}

// recentContacts returns the addresses of the members, apart from except, that sent a message within recentContactAge. If
// some of them are in this node's zone, it returns only those, because they share this node's links to other zones.
func (g *Gossip) recentContacts(now time.Time, except string) []string {
	var own, other []string
	for _, address := range sortedKeys(g.received) {
		m, ok := g.view.Get(address)
		if !ok || m.State == Dead || address == except || now.Sub(g.received[address]) > recentContactAge {
			continue
		}
		if m.Zone == g.self.Zone {
			own = append(own, address)
		} else {
			other = append(other, address)
		}
	}
	if len(own) > 0 {
		return own
	}
	return other
}

// sendProbeResults sends the result of the indirect probe of a member to its requesters and removes them from the watch.
func (g *Gossip) sendProbeResults(address string, w *watch, alive bool) {
	for _, requester := range w.requesters {
		g.send(Message{To: requester, Kind: ProbeResult, Subject: address, Alive: alive})
	}
	w.requesters = nil
}

func (g *Gossip) sendProbe(kind Kind, address string, members ...Member) {
	digests := []uint64{g.crashDigest(g.lastTick), g.view.checksum()}
	g.send(Message{To: address, Kind: kind, Digests: digests, Members: members, Alive: g.isNew(g.lastTick),
		Loads: g.loadsFor(g.lastTick, address)})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
