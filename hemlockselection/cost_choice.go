package hemlockselection

import (
	"math"
	"time"
)

const (
	// minZoneGain is how many times shorter the expected time at a target of another zone must be to be worth the traffic between
	// zones. Targets of one service differ by a factor of 3 without a fault, but of two random ones the better is chosen.
	minZoneGain = 3
	// fullLoad is the load from which on the expected time is increased, and fullPenalty the largest increase, at a load of 1. Some
	// targets slow down by a factor of 1.3 above 95% of their slots, and all calls that run there take longer then.
	fullLoad    = 0.8
	fullPenalty = 0.5
	// usableSlots is the fraction of its slots that a gate uses for calls. It replaces the limit of a report that is too old, because one
	// report of a low limit would otherwise keep all calls, and with them all later reports, from its target.
	usableSlots = 0.95
)

// assessment is what is expected of a call at one target.
type assessment struct {
	entry    *entry
	slowness float64
	// load is the fraction of the limit that is in use with one more call.
	load float64
	// time is the expected time until the call ends, in seconds, with a penalty for failures.
	time     float64
	failures float64
}

// assess estimates the time of a call of the class at a target: its slowness times the sum of the wait for a slot and the cost.
func (e *entry) assess(now time.Time, estimates *estimates, class *classCost) assessment {
	cost := class.cost(now)
	limit, load, work := e.occupancy(now, estimates)
	a := assessment{entry: e, slowness: e.cost.slowness.factor(now), load: load, failures: e.failureFraction(now)}
	wait := 0.0
	if load > 0.5 {
		// The probability that all slots are in use, after Sakasegawa's approximation of the wait in a queue with several servers.
		// Only its shape matters: the more slots a target has, the closer to 1 is the load at which calls wait.
		wait = work / float64(limit) * math.Pow(min(1, load), math.Sqrt(2*float64(limit+1))-1)
	}
	near := max(0, min(1, (load-fullLoad)/(1-fullLoad)))
	a.slowness *= e.overdue(now, estimates, a.slowness, wait)
	a.time = a.slowness * (wait + cost) * (1 + fullPenalty*near*near) * (1 + failurePenalty*a.failures)
	return a
}

// occupancy returns the limit, the load with one more call, and the outstanding work in seconds at slowness 1. A report loses weight
// with its age, and its place is taken by the mean of the targets of the own zone or of those of all others.
func (e *entry) occupancy(now time.Time, estimates *estimates) (limit int, load, work float64) {
	limit = max(1, int(float64(e.target.Slots)*usableSlots))
	if e.hasRecentFeedback(now) {
		limit = e.feedback.Limit
	}
	k := &e.cost
	own := k.ownWork(now, estimates)
	slots := float64(limit)
	load, work = estimates.load[k.side].current(now)
	load, work = max(float64(e.inFlight+1)/slots, load), max(own, work*slots)
	if e.hasRecentFeedback(now) {
		weight := min(1, 1-now.Sub(e.feedbackAt).Seconds()/maxFeedbackAge.Seconds())
		inUse := max(e.inFlight, e.feedback.InFlight+e.inFlight-e.inFlightAtFeedback)
		load += (float64(inUse+1)/slots - load) * weight
		work += (max(own, k.reportedWork+own-k.ownWorkAtReport) - work) * weight
	}
	return limit, load, work
}

// overdue returns the factor by which a target is slower than its samples say, because none of its calls in flight has ended for much
// longer than the slowest of them should take. A frozen target gives no samples. Time in which the calls of a class have ended nowhere
// is no evidence for it: their runs wait for the same nested service. The calls of another class in flight may still be.
func (e *entry) overdue(now time.Time, estimates *estimates, slowness, wait float64) float64 {
	if e.inFlight == 0 || e.cost.progressAt.IsZero() {
		return 1
	}
	waited, cost := 0.0, 0.0
	for i, calls := range e.cost.inFlightOf {
		if calls.count == 0 {
			continue
		}
		class, from, until := estimates.list[i], e.cost.progressAt, now
		if calls.since.After(from) {
			from = calls.since
		}
		if len(class.residues) > 1 {
			until = class.lastAt
		}
		waited, cost = max(waited, until.Sub(from).Seconds()), max(cost, class.cost(now))
	}
	if expected := slowness * (wait + cost); waited > minOverdue*expected {
		return min(maxOverdueFactor, waited/expected)
	}
	return 1
}

// chooseByCost is choose for PlacementCost.
func (s *Selector) chooseByCost(now time.Time, g *group, class *classCost, tried []string) *entry {
	if g.estimates.since.IsZero() {
		g.estimates.since = now
	}
	own, reason := s.sooner(now, g, class, g.own, tried, true)
	if own.entry != nil && s.isGoodEnough(now, own, class) {
		s.choices[reason]++
		return own.entry
	}
	other, otherReason := s.sooner(now, g, class, g.other, tried, true)
	switch {
	case own.entry == nil && other.entry == nil:
		reason = ReasonLastResort
		if own, _ = s.sooner(now, g, class, g.own, tried, false); own.entry == nil {
			own, _ = s.sooner(now, g, class, g.other, tried, false)
		}
		if own.entry == nil {
			return nil
		}
	case own.entry == nil:
		own, reason = other, ReasonNoOwnTarget
		if len(g.own) == 0 {
			reason = otherReason
		}
	case other.entry == nil:
	case own.load > 1 && other.load < own.load-minLoadAdvantage:
		own, reason = other, ReasonOwnZoneFull
	case minZoneGain*other.time < own.time:
		reason = ReasonOwnZoneSlow
		if own.load > 1 {
			reason = ReasonOwnZoneFull
		}
		own = other
	}
	s.choices[reason]++
	return own.entry
}

// isGoodEnough reports whether a target of the own zone gets the call without comparison with other zones: it would have to be
// minZoneGain times slower than a target of slowness 1 without load for one there to be worth the traffic.
func (s *Selector) isGoodEnough(now time.Time, a assessment, class *classCost) bool {
	return a.load <= 1 && a.failures < maxFailureFraction && a.time <= minZoneGain*class.cost(now)
}

// sooner returns the one of two random targets at which the call is expected to end sooner, and why; its entry is nil if none is
// eligible. With the same knowledge, all nodes would choose the best of all targets at the same time.
func (s *Selector) sooner(now time.Time, g *group, class *classCost, entries []*entry, tried []string, preferred bool,
) (assessment, Reason) {
	first, second := s.drawTwo(now, entries, tried, preferred)
	if first == nil {
		return assessment{}, ReasonOnlyTarget
	}
	a := first.assess(now, g.estimates, class)
	if second == nil {
		return a, ReasonOnlyTarget
	}
	b := second.assess(now, g.estimates, class)
	if b.time < a.time {
		a, b = b, a
	}
	switch {
	case b.failures > a.failures && b.time/(1+failurePenalty*b.failures) < a.time/(1+failurePenalty*a.failures):
		return a, ReasonFewerFailures
	case a.slowness < b.slowness:
		return a, ReasonFaster
	}
	return a, ReasonLessWork
}
