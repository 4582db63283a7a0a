package hemlockmember

import (
	"slices"
	"sync"
	"time"

	"hemlockhollow/hemlocksuspect"
)

const (
	probeInterval = time.Second
	// askSilence starts the indirect probe, deathSilence allows the declaration.
	askSilence   = 2 * time.Second
	deathSilence = 3 * time.Second
	// checkSilence confirms a claimed death: the claimant has waited longer already, and two probes got no answer.
	checkSilence = 1500 * time.Millisecond
	// helperWait is how long a second prober waits for the subject before it denies it.
	helperWait = time.Second
	// loneSilence allows a declaration without a second prober when nobody else answers either. The node may be cut off
	// itself, and such a declaration does not spread by News, because no neighbour is reachable.
	loneSilence = 15 * time.Second
	// freshness is how recent direct contact must be to contradict a declaration; live neighbours are heard each second.
	freshness = 1500 * time.Millisecond
	// longestTickGap separates a late tick from a pause of the process. After a pause, silence says nothing.
	longestTickGap = 1500 * time.Millisecond
	ownNeighbours  = 3
	housekeeping   = 5 * time.Second
	young          = 15 * time.Second
	defaultRate    = 7000
	defaultBurst   = 28000
	farEpoch       = 10 * time.Minute
	// retryInterval is how often one lost address is tried. A node that restarts while the platform is away knows nobody and
	// is found by those that remember it.
	retryInterval   = 2 * time.Second
	inboundLifetime = 3 * time.Second
)

// Gossip is the membership engine of one node. Tick is called about every 200 ms. Tick, Receive, Failed, Announce and
// Spread do no I/O; all but Failed return messages to send, which may be lost. It is safe for concurrent use; its mutex
// comes before that of its View and that of the suspects.
type Gossip struct {
	mutex    sync.Mutex
	view     *View
	suspects *hemlocksuspect.Table
	random   func(n int) int
	self     Member
	// version is the configuration version that probes report.
	version  uint64
	contacts []string
	watches  map[string]*watch
	// heard is when a message of an address last arrived, inbound when its last probe did.
	heard, inbound map[string]time.Time
	// neighbours are the addresses that this node has chosen to probe.
	neighbours []string
	chosenAt   uint64
	chosenFar  int64
	// claims are deaths that this node has been told and verifies by a probe of its own before it believes them.
	claims map[string]Member
	// news are the records that neighbours still have to get.
	news map[string]*item
	// suspectNews are the suspects that neighbours in the zone still have to get.
	suspectNews []suspectItem
	sweeps      map[string]*sweep
	budget      budget
	started     time.Time
	lastTick    time.Time
	lastCare    time.Time
	lastChange  time.Time
	lastRetry   time.Time
	lastSweep   time.Time
	lastOffer   time.Time
	// fresh news has not been offered to any neighbour yet.
	freshNews bool
	retryNext int
	counts    Counts
	out       []Message
}

// Counts are the counters of an engine since its start.
type Counts struct {
	Messages  uint64 `json:"messages"`
	Bytes     uint64 `json:"bytes"`
	Declared  uint64 `json:"declared"`
	Refuted   uint64 `json:"refuted"`
	Exchanges uint64 `json:"exchanges"`
	Delayed   uint64 `json:"delayed"`
}

// Option changes a Gossip.
type Option func(*Gossip)

// WithSuspects makes the engine spread the records of a suspect table within the zone.
func WithSuspects(table *hemlocksuspect.Table) Option {
	return func(g *Gossip) { g.suspects = table }
}

// WithRate bounds the bytes per second and the burst. Probes and their answers are never held back but count.
func WithRate(perSecond, burst int) Option {
	return func(g *Gossip) { g.budget.rate, g.budget.burst = float64(perSecond), float64(burst) }
}

// NewGossip returns the engine of a node. The incarnation of self is set from the wall clock, in milliseconds. The
// contacts are addresses to join through; self may be among them.
func NewGossip(now time.Time, self Member, contacts []string, random func(n int) int, options ...Option) *Gossip {
	g := &Gossip{
		view: NewView(0), random: random, self: self, watches: map[string]*watch{}, heard: map[string]time.Time{},
		inbound: map[string]time.Time{}, claims: map[string]Member{}, news: map[string]*item{}, sweeps: map[string]*sweep{},
		budget: budget{rate: defaultRate, burst: defaultBurst}, started: now, lastTick: now, lastCare: now,
	}
	for _, option := range options {
		option(g)
	}
	g.budget.tokens, g.budget.filled = g.budget.burst, now
	g.self.Incarnation = max(uint64(max(now.UnixMilli(), 1)), self.Incarnation)
	g.view.Merge(now, []Member{g.self})
	g.addContacts(contacts)
	return g
}

// View returns the view that the engine maintains.
func (g *Gossip) View() *View {
	return g.view
}

// Self returns the node's own record.
func (g *Gossip) Self() Member {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.self
}

// Counts returns the counters.
func (g *Gossip) Counts() Counts {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.counts
}

// SetConfigurationVersion sets the version that messages report.
func (g *Gossip) SetConfigurationVersion(version uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.version = version
}

// AddSeeds adds addresses to join through, for example from the seed rows.
func (g *Gossip) AddSeeds(contacts []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.addContacts(contacts)
}

func (g *Gossip) addContacts(contacts []string) {
	for _, address := range contacts {
		if address != "" && address != g.self.Address && !slices.Contains(g.contacts, address) {
			g.contacts = append(g.contacts, address)
		}
	}
	// Seed rows change over time; the latest ones matter.
	if excess := len(g.contacts) - 64; excess > 0 {
		g.contacts = slices.Delete(g.contacts, 0, excess)
	}
}

// Announce changes the node's own state and slots, and returns the messages that tell the neighbours at once.
func (g *Gossip) Announce(now time.Time, state State, slots int) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.announce(now, g.self.Service, state, slots)
}

// AnnounceService is Announce for a target that names its service only after the node's start.
func (g *Gossip) AnnounceService(now time.Time, service string, state State, slots int) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.announce(now, service, state, slots)
}

func (g *Gossip) announce(now time.Time, service string, state State, slots int) []Message {
	if service == g.self.Service && state == g.self.State && slots == g.self.Slots {
		return nil
	}
	// A member never declares itself dead.
	g.self.Service, g.self.State, g.self.Slots = service, min(state, Leaving), slots
	g.raise(now, g.self.Incarnation)
	g.flush(now)
	return g.take()
}

// raise gives the node an incarnation above the given one and spreads its record.
func (g *Gossip) raise(now time.Time, above uint64) {
	g.self.Incarnation = max(above+1, uint64(max(now.UnixMilli(), 1)))
	g.view.Merge(now, []Member{g.self})
	g.spread(now, g.self, "")
}

// ConnectionFailed reports that the connection to a member broke, so that it is probed at once.
func (g *Gossip) ConnectionFailed(now time.Time, address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.view.Get(address); !ok || m.State == Dead || address == g.self.Address {
		return
	}
	w := g.watch(now, address)
	w.since = now.Add(-askSilence)
	delete(g.heard, address)
}

// DisseminateCrashes returns messages that pass new crash records on within the zone.
func (g *Gossip) DisseminateCrashes(now time.Time, records []hemlocksuspect.Record) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.spreadSuspects(records, "")
	g.flush(now)
	return g.take()
}

// Tick advances the engine and returns the messages to send.
func (g *Gossip) Tick(now time.Time) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.lastTick) > longestTickGap {
		for _, w := range g.watches {
			w.restart(now)
		}
	}
	g.lastTick = now
	g.budget.fill(now)
	g.choose(now)
	g.probeAll(now)
	g.verify(now)
	g.sweepZones(now)
	g.retryLost(now)
	if now.Sub(g.lastCare) >= housekeeping {
		g.lastCare = now
		g.view.Expire(now)
		forget(g.heard, now.Add(-housekeeping))
		forget(g.inbound, now.Add(-housekeeping))
	}
	g.flush(now)
	return g.take()
}

func forget(times map[string]time.Time, before time.Time) {
	for address, at := range times {
		if at.Before(before) {
			delete(times, address)
		}
	}
}

// send queues a message; it counts against the budget but is not held back by it.
func (g *Gossip) send(m Message) {
	m.From, m.ConfigurationVersion = g.self.Address, g.version
	size := m.Size()
	g.budget.tokens -= float64(size)
	g.counts.Messages++
	g.counts.Bytes += uint64(size)
	g.out = append(g.out, m)
}

func (g *Gossip) take() []Message {
	out := g.out
	g.out = nil
	return out
}
