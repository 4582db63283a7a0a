package hemlockbalancer

import (
	"sort"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

// Balancer is the load balancer of a node: it holds what the node knows about the targets of all services, and picks the
// target of each call. It is safe for concurrent use.
type Balancer struct {
	zone     string
	random   func(n int) int
	settings settings

	mutex    sync.Mutex
	entries  map[string]*entry // by address
	services map[string]*group
}

// group holds the targets of one service, ordered by address, so that equal inputs give equal picks.
type group struct {
	own   []*entry // in the zone of this node
	other []*entry // in all other zones
	// shortfall is the fraction of the own zone's calls for which it has too few slots if all zones get equal load.
	shortfall float64
	// overflowCredit grows by the overflow fraction for each sheddable call; each whole unit lets one call leave the zone.
	overflowCredit float64
	median         time.Duration                        // median latency of the targets
	medianAt       time.Time                            // when the median was last computed
	unhealthy      int                                  // number of unhealthy targets
	shedBelowUntil [hemlockcall.PriorityCount]time.Time // by priority: until when all lower ones are shed
}

// New returns an empty table for a node in the given zone. Random returns a number in [0,n).
func New(zone string, random func(n int) int, options ...Option) *Balancer {
	t := &Balancer{zone: zone, random: random, settings: defaults(), entries: map[string]*entry{},
		services: map[string]*group{}}
	for _, apply := range options {
		apply(&t.settings)
	}
	return t
}

// Replace replaces the list of targets. The state of targets that stay is kept, unless a target was not ready and is
// ready now, or runs another service: then it is another process, and its state is reset.
func (t *Balancer) Replace(_ time.Time, targets []hemlockcall.Target) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entries := make(map[string]*entry, len(targets))
	for _, target := range targets {
		e := t.entries[target.Address]
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
	t.entries = entries
	t.regroup()
}

func (t *Balancer) regroup() {
	old := t.services
	t.services = map[string]*group{}
	for _, e := range t.entries {
		g := t.services[e.target.Service]
		if g == nil {
			g = &group{}
			if previous := old[e.target.Service]; previous != nil {
				g.overflowCredit, g.median, g.medianAt, g.shedBelowUntil = previous.overflowCredit, previous.median,
					previous.medianAt, previous.shedBelowUntil
			}
			t.services[e.target.Service] = g
		}
		if e.unhealthy {
			g.unhealthy++
		}
		if e.target.Zone == t.zone {
			g.own = append(g.own, e)
		} else {
			g.other = append(g.other, e)
		}
	}
	for _, g := range t.services {
		sortByAddress(g.own)
		sortByAddress(g.other)
		g.updateShortfall()
	}
}

func sortByAddress(entries []*entry) {
	sort.Slice(entries, func(i, j int) bool { return entries[i].target.Address < entries[j].target.Address })
}

// updateShortfall computes by how much the slots of the own zone fall short of an equal part of all slots.
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

// Done records the result of a picked or acquired call.
func (t *Balancer) Done(now time.Time, address string, r Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[address]
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
	if !t.settings.disabled[OutlierDetection] {
		t.updateHealth(now, t.services[e.target.Service], e, r)
	}
}

// Acquire counts a call to a target that was chosen without Pick as in flight until Done.
func (t *Balancer) Acquire(_ time.Time, address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.entries[address]; e != nil {
		e.inFlight++
	}
}

// Pick chooses a target that is not among the tried ones and counts the call as in flight until Done.
func (t *Balancer) Pick(now time.Time, service string, p hemlockcall.Priority, tried []string) (hemlockcall.Target, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.services[service]
	if g == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	e, kind := t.choose(now, g, p, tried)
	if e == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: kind}
	}
	e.inFlight++
	return e.target, nil
}
