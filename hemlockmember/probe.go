package hemlockmember

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watch is a member that this node probes.
type watch struct {
	// since is when silence began to count, at the earliest.
	since     time.Time
	lastProbe time.Time
	lastAsk   time.Time
	// denied is set when a second prober got no answer either.
	denied bool
	// temporary watches end when the member is heard: checks of claims, sweeps, broken connections.
	temporary bool
	// askers wait for this node's word on the member.
	askers  []string
	askedAt time.Time
	// errand marks a watch that exists for its askers only and ends with the answer. Otherwise each second prober would
	// become a prober of its own and ask others.
	errand bool
	// checked is set when the member was sent a claim of its death since it was last heard.
	checked bool
}

func (w *watch) restart(now time.Time) {
	w.since, w.denied = now, false
}

func (w *watch) kind() Kind {
	if w.temporary {
		return SingleProbe
	}
	return Probe
}

// watch returns the watch of an address, a new temporary one if there is none.
func (g *Gossip) watch(now time.Time, address string) *watch {
	w := g.watches[address]
	if w == nil {
		w = &watch{since: now, temporary: true}
		g.watches[address] = w
	}
	w.errand = false
	return w
}

// choose selects the neighbours: 3 in the own zone and 1 in another, by rendezvous hashing, so that a change of the
// view moves few connections.
func (g *Gossip) choose(now time.Time) {
	mark := xxhash.Sum64String(g.self.Address)
	// A member's period ends at its own time, so that the far connections of all members do not move at once.
	period := (now.Unix() + int64(mark%uint64(farEpoch/time.Second))) / int64(farEpoch/time.Second)
	version := g.view.Version()
	if version == g.chosenAt && period == g.chosenFar && g.neighbours != nil {
		return
	}
	g.chosenAt, g.chosenFar = version, period
	duty := "neighbour/" + g.self.Address
	var chosen []string
	for _, m := range g.view.pick(duty, []string{g.self.Zone}, ownNeighbours+1) {
		if m.Address != g.self.Address && len(chosen) < ownNeighbours {
			chosen = append(chosen, m.Address)
		}
	}
	chosen = append(chosen, g.chooseOutside(duty, period)...)
	for _, address := range chosen {
		w := g.watches[address]
		if w == nil {
			// The first probe comes at a random time within the interval, so that probes do not come in bursts.
			w = g.watch(now, address)
			w.lastProbe = now.Add(-time.Duration(g.random(int(probeInterval))))
		}
		w.temporary, w.errand = false, false
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

// chooseOutside returns the neighbour in another zone, if there is one. It is in the same region, but a quarter of the
// nodes, others in each period, look into another region, because links between regions may be cut while each region is
// whole.
func (g *Gossip) chooseOutside(duty string, period int64) []string {
	zones, far := g.view.otherZones(g.self.Zone, g.self.Region)
	key := duty + "/" + strconv.FormatInt(period, 10)
	if len(far) > 0 && (len(zones) == 0 || xxhash.Sum64String(key)%4 == 0) {
		zones, duty = far, key
	}
	var chosen []string
	if len(zones) > 0 {
		for _, m := range g.view.pick(duty, zones, 1) {
			chosen = append(chosen, m.Address)
		}
	}
	return chosen
}

// probeAll probes the watched members and declares the silent ones dead.
func (g *Gossip) probeAll(now time.Time) {
	g.watchInbound(now)
	for _, address := range sortedKeys(g.watches) {
		w := g.watches[address]
		m, known := g.view.Get(address)
		if !known || m.State == Dead {
			g.settle(address, w, false)
			delete(g.watches, address)
			continue
		}
		silence := g.silence(now, address, w)
		if w.temporary && silence < now.Sub(w.since) {
			delete(g.watches, address)
			continue
		}
		interval := probeInterval
		if silence > freshness || len(w.askers) > 0 {
			// A doubtful member gets more chances to answer, so that a few lost messages do not look like a death.
			interval /= 3
		}
		if now.Sub(w.lastProbe) >= interval {
			w.lastProbe = now
			g.sendProbe(w.kind(), address)
		}
		if len(w.askers) > 0 && now.Sub(w.askedAt) >= helperWait {
			g.settle(address, w, false)
		}
		if !w.errand {
			g.judge(now, m, w, silence)
		} else if len(w.askers) == 0 {
			delete(g.watches, address)
		}
	}
}

// watchInbound watches members that used to probe this node as soon as they fall silent: a member that few others have
// chosen is watched at least by those that it has chosen itself.
func (g *Gossip) watchInbound(now time.Time) {
	for address, at := range g.inbound {
		if now.Sub(at) > freshness && now.Sub(at) <= housekeeping && g.watches[address] == nil {
			if m, ok := g.view.Get(address); ok && m.State != Dead {
				g.watch(now, address).since = g.heard[address]
			}
		}
	}
}

// silence is how long nothing has arrived from a watched member.
func (g *Gossip) silence(now time.Time, address string, w *watch) time.Duration {
	last := w.since
	if at, ok := g.heard[address]; ok && at.After(last) {
		last = at
	}
	return now.Sub(last)
}

// judge asks second probers about a silent member and declares it dead once one of them confirms.
func (g *Gossip) judge(now time.Time, m Member, w *watch, silence time.Duration) {
	if claim, ok := g.claims[m.Address]; ok && silence >= checkSilence {
		// The claimant is the first prober and this node the second.
		delete(g.claims, m.Address)
		g.apply(now, claim, "")
		return
	}
	if silence < askSilence {
		w.denied = false
		return
	}
	if silence >= deathSilence && (w.denied || g.mayDeclareAlone(silence, now)) {
		g.counts.Declared++
		g.apply(now, Member{Address: m.Address, Incarnation: m.Incarnation, State: Dead}, "")
		return
	}
	if now.Sub(w.lastAsk) >= probeInterval {
		w.lastAsk = now
		for _, helper := range g.helpers(now, m) {
			g.send(Message{To: helper, Kind: ProbeRequest, Subject: m.Address})
		}
	}
}

func (g *Gossip) mayDeclareAlone(silence time.Duration, now time.Time) bool {
	if silence >= loneSilence {
		return len(g.fresh(now, "")) == 0
	}
	// With no third member there is no second prober.
	return silence >= deathSilence+helperWait && g.view.live() <= 2
}

// helpers returns up to two second probers that answer now, those of the own zone first. About a member of another zone
// a third zone is asked as well: when only the link between two zones is cut, it still reaches the member, and its word
// keeps the two zones from declaring each other dead over and over.
func (g *Gossip) helpers(now time.Time, subject Member) []string {
	addresses := g.fresh(now, subject.Address)
	if len(addresses) > 2 {
		start := g.random(len(addresses))
		addresses = []string{addresses[start], addresses[(start+1)%len(addresses)]}
	}
	if subject.Zone == g.self.Zone {
		return addresses
	}
	if third := g.outsider(subject.Zone); third != "" && !slices.Contains(addresses, third) {
		addresses = append(addresses[:min(len(addresses), 1)], third)
	}
	return addresses
}

// outsider returns a random member outside the own zone and the given one, or an empty string.
func (g *Gossip) outsider(except string) string {
	near, far := g.view.otherZones(g.self.Zone, g.self.Region)
	zones := slices.DeleteFunc(append(near, far...), func(name string) bool { return name == except })
	if len(zones) == 0 {
		return ""
	}
	slices.Sort(zones)
	return g.view.sample(zones[g.random(len(zones))], g.random)
}

// fresh returns the members that were heard just now; only those of the own zone if there are any, because they share
// this node's links to other zones.
func (g *Gossip) fresh(now time.Time, except string) []string {
	var own, other []string
	for _, address := range sortedKeys(g.heard) {
		m, ok := g.view.Get(address)
		if !ok || m.State == Dead || address == except || now.Sub(g.heard[address]) > freshness {
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

// settle answers those who asked about a member.
func (g *Gossip) settle(address string, w *watch, alive bool) {
	for _, asker := range w.askers {
		g.send(Message{To: asker, Kind: ProbeResult, Subject: address, Alive: alive})
	}
	w.askers = nil
}

func (g *Gossip) sendProbe(kind Kind, address string, members ...Member) {
	digests := []uint64{g.suspectDigest(g.lastTick), g.view.sum()}
	g.send(Message{To: address, Kind: kind, Digests: digests, Members: members, Alive: g.isNew(g.lastTick)})
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
