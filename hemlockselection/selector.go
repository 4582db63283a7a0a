package hemlockselection

import (
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// localLoadLimit is the load below which a target of the own zone that neither fails nor is slow gets a call without
	// comparison with other zones, as traffic between zones is expensive.
	localLoadLimit = 0.9
	// minLoadAdvantage is how much lower the load of a target of another zone must be to be worth the traffic between
	// zones.
	minLoadAdvantage = 0.3
	// minSpeedup is how many times shorter the expected time of a target of another zone must be to be worth the traffic
	// between zones. A target is slow if its service time exceeds that of another target by more than this factor.
	// Targets of one service differ by a factor of 3 without a fault.
	minSpeedup = 4
	// maxFailureFraction is the fraction of failed calls from which a target of the own zone is compared with targets of
	// other zones.
	maxFailureFraction = 0.1
)

// Selector is the load balancer of a node: it holds what the node knows about the targets of all services, and chooses
// the target of each call. It is safe for concurrent use.
type Selector struct {
	zone      string
	random    func(n int) int
	placement Placement

	mutex   sync.Mutex
	entries map[string]*entry // by address
	groups  map[string]*group // by service
	// reports holds, by address, the reports that state something; at most maxReports that belong to no entry.
	reports map[string]hemlockcall.TargetReport
	choices [reasonCount]uint64 // by cost
}

// maxReports limits the reports about targets that are not listed. Such a target may be listed again after its node was
// restarted.
const maxReports = 1024

// group holds the targets of one service, in the order of their addresses.
type group struct {
	own   []*entry // in the zone of this node
	other []*entry // in all other zones
	// estimates is nil unless targets are chosen by cost.
	estimates *estimates
}

// New returns a Selector without targets for a node in the given zone. Random returns a number in [0,n).
func New(zone string, random func(n int) int, options ...Option) *Selector {
	s := &Selector{zone: zone, random: random, placement: PlacementLoad, entries: map[string]*entry{}, groups: map[string]*group{},
		reports: map[string]hemlockcall.TargetReport{}}
	for _, o := range options {
		o(s)
	}
	return s
}

// Replace replaces the list of targets. The state of a target is kept unless its service or its generation has changed:
// then another process runs at its address, and only the calls in flight are kept.
func (s *Selector) Replace(targets []hemlockcall.Target) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entries := make(map[string]*entry, len(targets))
	groups := map[string]*group{}
	for _, target := range targets {
		e := s.entries[target.Address]
		if e == nil || e.target.Service != target.Service || e.target.Generation != target.Generation {
			e = s.newEntry(e, target)
		}
		e.target = target
		e.rateLimit = s.reports[target.Address].RateLimit
		entries[target.Address] = e
		g := groups[target.Service]
		if g == nil {
			g = &group{}
			if s.placement == PlacementCost {
				g.estimates = s.estimatesOf(target.Service)
			}
			groups[target.Service] = g
		}
		e.group = g
		if target.Zone == s.zone {
			g.own = append(g.own, e)
			e.cost.side = 0
		} else {
			g.other = append(g.other, e)
			e.cost.side = 1
		}
	}
	for _, g := range groups {
		for _, list := range [][]*entry{g.own, g.other} {
			slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.target.Address, b.target.Address) })
		}
	}
	s.entries, s.groups = entries, groups
	s.dropReports()
}

// newEntry returns the entry of a target that is not known yet, or that runs in another process than the previous entry says.
func (s *Selector) newEntry(previous *entry, target hemlockcall.Target) *entry {
	e := &entry{}
	// A node that has just started knows no target; all of them are then equally new to it.
	e.cost.isNew = s.groups[target.Service] != nil
	if previous != nil {
		e.inFlight = previous.inFlight
		if previous.target.Service == target.Service {
			e.cost.inFlightOf, e.cost.progressAt = previous.cost.inFlightOf, previous.cost.progressAt
		}
	}
	return e
}

// estimatesOf returns the estimates of a service, which are kept while it has targets.
func (s *Selector) estimatesOf(service string) *estimates {
	if g := s.groups[service]; g != nil {
		return g.estimates
	}
	return &estimates{classes: map[string]*classCost{}}
}

// dropReports removes the reports about targets that are not listed if there are more than maxReports of them. It is called
// with the lock held.
func (s *Selector) dropReports() {
	if len(s.reports) <= maxReports+len(s.entries) {
		return
	}
	for address := range s.reports {
		if s.entries[address] == nil {
			delete(s.reports, address)
		}
	}
}

// Report returns what is known of the statements of the target at an address; a report without content if it states nothing.
func (s *Selector) Report(address string) hemlockcall.TargetReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reports[address]
}

// Known returns what is known of the target at an address: its statements as from Report, and its generation.
func (s *Selector) Known(address string) (hemlockcall.TargetReport, uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	generation := uint64(0)
	if e := s.entries[address]; e != nil {
		generation = e.target.Generation
	}
	return s.reports[address], generation
}

// Pick chooses a target for a call of a class whose address is not in tried, and counts the call as in flight until Done or
// Release. The error has KindNoTarget.
func (s *Selector) Pick(now time.Time, service, class string, tried []string) (hemlockcall.Target, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.groups[service]
	if g == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	var e *entry
	if g.estimates != nil {
		e = s.chooseByCost(now, g, g.estimates.classOf(class), tried)
	} else {
		e = s.choose(now, g, tried)
	}
	if e == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	e.begin(now, class)
	return e.target, nil
}

// Acquire selects the target at an address for a call of a class, for a retry, and counts the call as in flight until Done or
// Release. It returns false if the target is unknown, not ready or leaving.
func (s *Selector) Acquire(now time.Time, address, class string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entries[address]
	if e == nil || !e.eligible(nil) {
		return false
	}
	e.begin(now, class)
	return true
}

// begin counts a call as in flight. It is called with the lock held.
func (e *entry) begin(now time.Time, class string) {
	if e.group.estimates != nil {
		e.cost.begin(now, e.group.estimates.classOf(class), e.inFlight)
	}
	e.inFlight++
}

// Done records the result of a picked or acquired call of a class.
func (s *Selector) Done(now time.Time, address, class string, r Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if report := r.Feedback.Target; report.StatesAnything() {
		s.reports[address] = report
	} else if report.Instance != "" {
		delete(s.reports, address)
	}
	if e := s.entries[address]; e != nil {
		e.rateLimit = s.reports[address].RateLimit
		e.recordResult(now, r)
		if e.group.estimates != nil {
			e.learn(now, e.group.estimates.classOf(class), r)
		}
	}
}

// Release ends a picked or acquired call of a class that was never sent.
func (s *Selector) Release(address, class string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if e := s.entries[address]; e != nil {
		e.inFlight = max(0, e.inFlight-1)
		if e.group.estimates != nil {
			e.cost.end(e.group.estimates.classOf(class))
		}
	}
}

// The methods below are called with the lock held.

// choose returns nil if no target is eligible. Unreachable targets, and rate-limited ones that are passed over, are chosen only
// if there is no other.
func (s *Selector) choose(now time.Time, g *group, tried []string) *entry {
	own := s.betterOfTwo(now, g.own, tried, true)
	if own != nil && own.load(now) < localLoadLimit && own.failureFraction(now) < maxFailureFraction && !own.isSlow(g) {
		return own
	}
	other := s.betterOfTwo(now, g.other, tried, true)
	switch {
	case own == nil && other == nil:
		if own = s.betterOfTwo(now, g.own, tried, false); own != nil {
			return own
		}
		return s.betterOfTwo(now, g.other, tried, false)
	case own == nil:
		return other
	case other == nil:
		return own
	case own.load(now) > localLoadLimit && other.load(now) < own.load(now)-minLoadAdvantage:
		return other
	case minSpeedup*other.expectedTime(now) < own.expectedTime(now):
		return other
	}
	return own
}

// betterOfTwo returns the one of two random eligible targets with the shorter expected time, or nil if none is
// eligible. If it returned the best of all, all nodes with the same feedback would send their calls to one target.
func (s *Selector) betterOfTwo(now time.Time, entries []*entry, tried []string, preferred bool) *entry {
	first, second := s.drawTwo(now, entries, tried, preferred)
	if second != nil && second.expectedTime(now) < first.expectedTime(now) {
		return second
	}
	return first
}

// drawTwo returns two random eligible targets; the second, or both, are nil if there are fewer. With preferred set, it skips
// unreachable targets and passes over rate-limited ones and, where targets are chosen by cost, those that have just started.
func (s *Selector) drawTwo(now time.Time, entries []*entry, tried []string, preferred bool) (first, second *entry) {
	if len(entries) == 0 {
		return nil, nil
	}
	start := s.random(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if !e.eligible(tried) || preferred && (now.Before(e.unreachableUntil) || s.passesOver(now, e)) {
			continue
		}
		if first == nil {
			first = e
			// Continue at another random position, so that the second target is random too.
			if len(entries) > 2 {
				start += s.random(len(entries))
			}
			continue
		}
		if e != first {
			return first, e
		}
	}
	return first, nil
}

// passesOver decides at random to skip a rate-limited target, so that limited and other targets get calls in proportion to what
// they accept. Recent feedback says more, because it includes the calls of other nodes. In a large deployment, a node that has
// a call for a target every few seconds has no recent feedback.
func (s *Selector) passesOver(now time.Time, e *entry) bool {
	const steps = 1 << 20
	if s.placement == PlacementCost {
		if share := e.startShare(now); share < 1 && float64(s.random(steps)) >= share*steps {
			return true
		}
	}
	return e.rateLimit.Stated && !e.hasRecentFeedback(now) && float64(s.random(steps)) >= e.limitedShare()*steps
}

// isSlow reports whether the service time of the target is more than minSpeedup times that of another target of the
// service in any zone.
func (e *entry) isSlow(g *group) bool {
	for _, list := range [][]*entry{g.own, g.other} {
		for _, o := range list {
			if o.serviceTime > 0 && e.serviceTime > minSpeedup*o.serviceTime {
				return true
			}
		}
	}
	return false
}
