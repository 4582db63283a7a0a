package hemlockmember

import (
	"slices"
	"sync"
	"time"

	"hemlockhollow/hemlocksuspect"
)

const (
	probeInterval = time.Second
	// A member is silent while no message arrives from it. After indirectProbeSilence, other members are requested to probe
	// it too; after deathSilence, it may be declared dead.
	indirectProbeSilence = 2 * time.Second
	deathSilence         = 3 * time.Second
	// reportedDeathSilence is the silence that confirms a reported death. It is shorter than deathSilence because the
	// reporting member has waited longer already, and because a probe of this node got no reply either.
	reportedDeathSilence = 1500 * time.Millisecond
	// indirectProbeTimeout is how long an indirect prober waits for a reply before it reports the member as unreachable.
	indirectProbeTimeout = time.Second
	// isolatedSilence is how long a member must be silent before it may be declared dead without an indirect probe, if
	// no other member replies either. In that case this node may itself be isolated; the declaration is not
	// disseminated, as no neighbour is reachable.
	isolatedSilence = 15 * time.Second
	// recentContactAge is the maximum age of the last message of a member that counts as reachable. A message of that
	// age contradicts a reported death. Reachable neighbours send a message every second.
	recentContactAge = 1500 * time.Millisecond
	// maxTickGap is the maximum interval between ticks that counts as a delay; a longer one means that the process was
	// paused. After a pause, missing messages are no evidence of a failure.
	maxTickGap           = 1500 * time.Millisecond
	neighboursInZone     = 3
	housekeepingInterval = 5 * time.Second
	// newNodePeriod is how long a node counts as new after its start.
	newNodePeriod         = 15 * time.Second
	defaultBytesPerSecond = 7000
	defaultBurstBytes     = 28000
	// remotePeriod is the time after which the choice of neighbours in other regions changes. At any time, about a quarter
	// of the nodes have their neighbour outside of the zone in another region; see chooseRemoteNeighbour.
	remotePeriod = 10 * time.Minute
	// retryInterval is the interval between probes of unreachable addresses. A node that restarts while the platform is
	// unreachable knows no other member and is found by members that still have its address.
	retryInterval = 2 * time.Second
	// inboundProbeLifetime is how long after its last Probe a member still receives updates.
	inboundProbeLifetime = 3 * time.Second
)

// Gossip is the membership engine of one node. The caller calls Tick about every 200 ms. Tick, Receive,
// ConnectionFailed, Announce, AnnounceService and DisseminateCrashRecords do no I/O; all except ConnectionFailed return
// messages to send, which may be lost. Gossip is safe for concurrent use. Its mutex is locked before those of its View
// and of the table of crash records.
type Gossip struct {
	mutex    sync.Mutex
	view     *View
	suspects *hemlocksuspect.Table
	random   func(n int) int
	self     Member
	// configurationVersion is the configuration version that messages report.
	configurationVersion uint64
	seeds                []string
	// watches contains the watched members by address.
	watches map[string]*watch
	// received contains the times at which the last message of each address arrived, inboundProbes those of its last
	// Probe.
	received, inboundProbes map[string]time.Time
	// neighbours are the addresses that this node has chosen to probe regularly, neighboursVersion and neighboursPeriod
	// the version of the view and the period for which it chose them.
	neighbours        []string
	neighboursVersion uint64
	neighboursPeriod  int64
	// reportedDeaths are the dead records from peers that this node verifies by a probe of its own before it accepts them.
	reportedDeaths map[string]Member
	// updates are the changed records that have not been sent to all recipients yet, by address.
	updates map[string]*memberUpdate
	// crashUpdates are the crash records that have not been sent to all recipients in the zone yet.
	crashUpdates []crashUpdate
	// loads are exchanged within the zone; nil if they are not. sentLoads are those that sendChangedLoads has sent last, by service.
	loads     LoadReports
	sentLoads map[string]float64
	// zoneDeaths contains the recent deaths by zone.
	zoneDeaths       map[string]*deathCount
	budget           budget
	started          time.Time
	lastTick         time.Time
	lastHousekeeping time.Time
	// lastChange is when a received record or a declared death last changed the view.
	lastChange    time.Time
	lastRetry     time.Time
	lastZoneProbe time.Time
	lastSync      time.Time
	// hasNewUpdates is set while there are updates that have been queued since the last call of sendUpdates.
	hasNewUpdates bool
	// retryIndex determines the unreachable address that was probed last; 0 before the first retry.
	retryIndex int
	counts     Counts
	// outbox contains the messages that the current call returns.
	outbox []Message
}

// Counts are the counters of an engine since its start.
type Counts struct {
	// Messages and Bytes are the numbers of sent messages and of their estimated bytes.
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
	// DeclaredDead is the number of members that this node declared dead.
	DeclaredDead uint64 `json:"declared"`
	// Refuted is the number of times that this node raised its incarnation to refute a record about itself.
	Refuted uint64 `json:"refuted"`
	// Synchronisations is the number of synchronisations that this node started.
	Synchronisations uint64 `json:"exchanges"`
	// Delayed is the number of times that updates had to wait for the byte budget.
	Delayed uint64 `json:"delayed"`
}

// Option changes a Gossip.
type Option func(*Gossip)

// WithCrashRecords makes the engine disseminate the crash records of a table, and tell the table which nodes are in the zone.
func WithCrashRecords(table *hemlocksuspect.Table) Option {
	return func(g *Gossip) {
		g.suspects = table
		table.SetLocalOrigins(g.inOwnZone)
	}
}

// WithRate limits the bytes per second and per burst; the defaults are 7,000 and 28,000. Only synchronisation, additional
// probes and updates about others wait for the limit. All messages count towards it.
func WithRate(perSecond, burst int) Option {
	return func(g *Gossip) { g.budget.rate, g.budget.burst = float64(perSecond), float64(burst) }
}

// NewGossip returns the engine of a node. The incarnation is the wall-clock time in milliseconds, or that of self if it
// is higher. The seeds are addresses of peers through which the node joins; its own address may be among them. random
// returns a random number from 0 to n-1.
func NewGossip(now time.Time, self Member, seeds []string, random func(n int) int, options ...Option) *Gossip {
	g := &Gossip{
		view: NewView(0), random: random, self: self, watches: map[string]*watch{}, received: map[string]time.Time{},
		inboundProbes: map[string]time.Time{}, reportedDeaths: map[string]Member{}, updates: map[string]*memberUpdate{}, zoneDeaths: map[string]*deathCount{},
		budget: budget{rate: defaultBytesPerSecond, burst: defaultBurstBytes}, started: now, lastTick: now, lastHousekeeping: now,
	}
	for _, option := range options {
		option(g)
	}
	g.budget.tokens, g.budget.refilled = g.budget.burst, now
	g.self.Incarnation = max(uint64(max(now.UnixMilli(), 1)), self.Incarnation)
	g.view.Merge(now, []Member{g.self})
	g.addSeeds(seeds)
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

// SetConfigurationVersion sets the configuration version that messages report.
func (g *Gossip) SetConfigurationVersion(configurationVersion uint64) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.configurationVersion = configurationVersion
}

// AddSeeds adds addresses to join through, for example from the rows in the store that contain addresses. The engine keeps
// the 64 seeds that were added last.
func (g *Gossip) AddSeeds(seeds []string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.addSeeds(seeds)
}

func (g *Gossip) addSeeds(seeds []string) {
	for _, address := range seeds {
		if address != "" && address != g.self.Address && !slices.Contains(g.seeds, address) {
			g.seeds = append(g.seeds, address)
		}
	}
	// The rows in the store that contain addresses change over time, and the addresses that were read last are the most
	// useful.
	if excess := len(g.seeds) - 64; excess > 0 {
		g.seeds = slices.Delete(g.seeds, 0, excess)
	}
}

// Announce changes the node's own state and slots, and returns the messages that send them to the neighbours without
// waiting for the next tick. It returns nil if nothing changes. Dead is announced as Leaving.
func (g *Gossip) Announce(now time.Time, state State, slots int) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.announce(now, g.self.Service, state, slots)
}

// AnnounceService is Announce for a target whose service becomes known only after the node's start.
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
	g.raiseIncarnation(now, g.self.Incarnation)
	g.sendUpdates(now)
	return g.takeOutbox()
}

// raiseIncarnation sets the node's incarnation to a value above the given one and queues its record for the neighbours.
func (g *Gossip) raiseIncarnation(now time.Time, above uint64) {
	g.self.Incarnation = max(above+1, uint64(max(now.UnixMilli(), 1)))
	g.view.Merge(now, []Member{g.self})
	g.enqueueUpdate(now, g.self, "")
}

// ConnectionFailed reports that a connection to a member failed. The next ticks probe the member and request indirect
// probes without waiting for its silence.
func (g *Gossip) ConnectionFailed(now time.Time, address string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if m, ok := g.view.Get(address); !ok || m.State == Dead || address == g.self.Address {
		return
	}
	w := g.watch(now, address)
	w.silentSince = now.Add(-indirectProbeSilence)
	delete(g.received, address)
}

// DisseminateCrashRecords queues new crash records of this node for the zone, sends them to the other zones, and returns the messages
// that may be sent now. Records that the byte budget delays follow in later messages within the zone.
func (g *Gossip) DisseminateCrashRecords(now time.Time, records []hemlocksuspect.Record) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.enqueueCrashRecords(records, "")
	g.sendUpdates(now)
	g.sendCrashRecordsToOtherZones(records)
	return g.takeOutbox()
}

// Tick probes members, declares silent ones dead, sends delayed updates, and returns the messages to send.
func (g *Gossip) Tick(now time.Time) []Message {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if now.Sub(g.lastTick) > maxTickGap {
		for _, w := range g.watches {
			w.resetSilence(now)
		}
	}
	g.lastTick = now
	g.budget.refill(now)
	g.chooseNeighbours(now)
	g.probeWatched(now)
	g.verifyReportedDeaths(now)
	g.probeLostZones(now)
	g.retryUnreachable(now)
	if now.Sub(g.lastHousekeeping) >= housekeepingInterval {
		g.lastHousekeeping = now
		g.view.Expire(now)
		removeBefore(g.received, now.Add(-housekeepingInterval))
		removeBefore(g.inboundProbes, now.Add(-housekeepingInterval))
	}
	g.sendUpdates(now)
	g.sendChangedLoads(now)
	return g.takeOutbox()
}

func removeBefore(times map[string]time.Time, before time.Time) {
	for address, at := range times {
		if at.Before(before) {
			delete(times, address)
		}
	}
}

// send queues a message. It subtracts the size from the budget but does not wait for the budget.
func (g *Gossip) send(m Message) {
	m.From, m.ConfigurationVersion = g.self.Address, g.configurationVersion
	size := m.Size()
	g.budget.tokens -= float64(size)
	g.counts.Messages++
	g.counts.Bytes += uint64(size)
	g.outbox = append(g.outbox, m)
}

func (g *Gossip) takeOutbox() []Message {
	out := g.outbox
	g.outbox = nil
	return out
}
