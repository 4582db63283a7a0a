package hemlockbalancer

import (
	"sort"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

// Balancer is the load balancer of a node: it holds what the node knows about the targets of all services, and picks
// the target of each call. It is safe for concurrent use.
type Balancer struct {
	zone     string
	random   func(n int) int
	settings settings

	mutex   sync.Mutex
	entries map[string]*entry // by address
	groups  map[string]*group // by service
}

// group is the state of one service. Its targets are ordered by address, so that equal inputs give equal picks.
type group struct {
	own   []*entry // in the zone of this node
	other []*entry // in all other zones
	// shortfall is the fraction of the own zone's calls for which it has too few slots if all zones get equal load.
	shortfall float64
	// overflowCredit grows by the overflow fraction with each sheddable call that finds the own zone full, up to one more
	// than that fraction. A call that leaves the zone takes 1.
	overflowCredit float64
	medianLatency  time.Duration                        // median latency of the targets; 0 if fewer than two are known
	medianAt       time.Time                            // when the median was last computed; zero for never
	unhealthy      int                                  // number of unhealthy targets
	shedBelowUntil [hemlockcall.PriorityCount]time.Time // by priority: until when all lower ones are shed
}

// New returns a Balancer without targets for a node in the given zone. Random returns a number in [0,n).
func New(zone string, random func(n int) int, options ...Option) *Balancer {
	b := &Balancer{zone: zone, random: random, settings: defaults(), entries: map[string]*entry{},
		groups: map[string]*group{}}
	for _, apply := range options {
		apply(&b.settings)
	}
	return b
}

// Replace replaces the list of targets. The state of a target that stays is kept, unless it was not ready and is ready
// now, or runs another service. Then it counts as another process: its state is reset, and only the calls in flight are
// kept.
func (b *Balancer) Replace(_ time.Time, targets []hemlockcall.Target) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	entries := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := b.entries[target.Address]
		if e == nil || target.Ready && !e.target.Ready || e.target.Service != target.Service {
			fresh := &entry{}
			if e != nil {
				fresh.inFlight = e.inFlight
			}
			e = fresh
		}
		e.target = target
		entries[target.Address] = e
	}
	b.entries = entries
	b.regroup()
}

// regroup assigns the targets to the groups of their services. A service that stays keeps the state that does not
// depend on the list of targets.
func (b *Balancer) regroup() {
	old := b.groups
	b.groups = map[string]*group{}
	for _, e := range b.entries {
		g := b.groups[e.target.Service]
		if g == nil {
			g = &group{}
			if previous := old[e.target.Service]; previous != nil {
				g.overflowCredit, g.medianLatency, g.medianAt, g.shedBelowUntil = previous.overflowCredit, previous.medianLatency,
					previous.medianAt, previous.shedBelowUntil
			}
			b.groups[e.target.Service] = g
		}
		if e.unhealthy {
			g.unhealthy++
		}
		if e.target.Zone == b.zone {
			g.own = append(g.own, e)
		} else {
			g.other = append(g.other, e)
		}
	}
	for _, g := range b.groups {
		sortByAddress(g.own)
		sortByAddress(g.other)
		g.updateShortfall()
	}
}

func sortByAddress(entries []*entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].target.Address < entries[j].target.Address })
}

// updateShortfall computes the shortfall: by how much the slots of the own zone fall short of an equal part of all
// slots, as a fraction of that part. Only ready targets count, and only other zones with a ready target.
func (g *group) updateShortfall() {
	zones := map[string]bool{}
	own, all := 0, 0
	for _, e := range g.own {
		if e.target.Ready {
			own += e.target.Slots
		}
	}
	all = own
	for _, e := range g.other {
		if e.target.Ready {
			all += e.target.Slots
			zones[e.target.Zone] = true
		}
	}
	g.shortfall = 0
	if all > 0 {
		g.shortfall = max(0, 1-float64(own)*float64(len(zones)+1)/float64(all))
	}
}

// Done ends a picked or acquired call and updates the state of its target by the result.
func (b *Balancer) Done(now time.Time, address string, r Result) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.entries[address]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if r.Feedback.Limit > 0 {
		e.feedback, e.feedbackAt = r.Feedback, now
	}
	if r.Outcome == Refused {
		e.refusedAt = now
	}
	if r.Outcome == Leaving {
		e.leaving = true
	}
	if !b.settings.disabled[OutlierDetection] {
		b.updateHealth(now, b.groups[e.target.Service], e, r)
	}
}

// Acquire counts a call to a target that was chosen without Pick as in flight until Done.
func (b *Balancer) Acquire(_ time.Time, address string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if e := b.entries[address]; e != nil {
		e.inFlight++
	}
}

// Pick chooses a target whose address is not in tried, and counts the call as in flight until Done. The error has
// KindNoTarget or KindShed.
func (b *Balancer) Pick(now time.Time, service string, p hemlockcall.Priority, tried []string) (hemlockcall.Target, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	g := b.groups[service]
	if g == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	e, kind := b.choose(now, g, p, tried)
	if e == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: kind}
	}
	e.inFlight++
	return e.target, nil
}
