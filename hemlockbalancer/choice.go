package hemlockbalancer

import (
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

// The methods of this file are called with the lock held.

// choose picks a target, or returns why there is none. After a shed first attempt, lower priorities are shed too, for
// maxMinPriorityAge, as a target refuses them for a time after a refusal because of load. Otherwise they would be
// admitted as soon as a reported minimum priority is too old.
func (b *Balancer) choose(now time.Time, g *group, p hemlockcall.Priority, tried []string) (*entry, Kind) {
	if !b.settings.disabled[EarlyShedding] && now.Before(g.shedUntil(p)) {
		g.shedBelowUntil[p] = now.Add(b.settings.maxMinPriorityAge)
		return nil, KindShed
	}
	e := b.selectTarget(now, g, p, tried)
	if e != nil {
		return e, ""
	}
	kind := g.kindWithoutTarget(tried)
	if kind == KindShed && len(tried) == 0 { // after an attempt, the target itself refuses lower priorities for a while
		g.shedBelowUntil[p] = now.Add(b.settings.maxMinPriorityAge)
	}
	return nil, kind
}

// shedUntil returns until when calls of the priority are shed because a higher one was; zero if none was.
func (g *group) shedUntil(p hemlockcall.Priority) time.Time {
	var until time.Time
	for _, shedBelowUntil := range g.shedBelowUntil[p+1:] {
		if shedBelowUntil.After(until) {
			until = shedBelowUntil
		}
	}
	return until
}

// selectTarget picks in this order: an unhealthy target whose probe is due, a healthy target of the own zone, a healthy
// target of another zone, an unhealthy target. For a part of the calls, as large as the shortfall of the own zone,
// healthy targets of other zones come before those of the own zone. It returns nil if no target is usable.
func (b *Balancer) selectTarget(now time.Time, g *group, p hemlockcall.Priority, tried []string) *entry {
	if e := b.dueProbe(now, g, p, tried); e != nil {
		return e
	}
	// If the own zone has too few slots for its part of the load, the excess goes to other zones before the own one is
	// full.
	ownZoneFirst := g.shortfall == 0 || float64(b.random(1000)) >= g.shortfall*1000
	if ownZoneFirst {
		if e := b.lessLoaded(now, g.own, p, tried, true); e != nil {
			return b.overflowIfFull(now, g, e, p, tried)
		}
	}
	if !ownZoneFirst || p > hemlockcall.Sheddable || b.mayOverflow(now, g, tried) {
		if e := b.lessLoaded(now, g.other, p, tried, true); e != nil {
			return e
		}
	}
	if !ownZoneFirst {
		if e := b.lessLoaded(now, g.own, p, tried, true); e != nil {
			return e
		}
	}
	// No healthy target admits the call. An unhealthy one is better than none, but one that refuses the priority is not.
	if e := b.lessLoaded(now, g.own, p, tried, false); e != nil {
		return e
	}
	if p > hemlockcall.Sheddable {
		return b.lessLoaded(now, g.other, p, tried, false)
	}
	return nil
}

// overflowIfFull returns a target of another zone with spare capacity if the chosen target of the own zone is full and
// the call may leave the zone; otherwise the chosen target.
func (b *Balancer) overflowIfFull(now time.Time, g *group, own *entry, p hemlockcall.Priority, tried []string) *entry {
	if own.load(now, b.settings.maxFeedbackAge) <= 1 || p == hemlockcall.Sheddable && !b.mayOverflow(now, g, tried) {
		return own
	}
	if other := b.lessLoaded(now, g.other, p, tried, true); other != nil && other.load(now, b.settings.maxFeedbackAge) < 1 {
		return other
	}
	return own
}

// mayOverflow reports whether a sheddable call may leave a full zone, and counts it: only a limited fraction of these
// calls may. There is no limit for a zone without healthy targets: the other zones then serve its part of the load.
// Health counts besides readiness, because a target that has just crashed becomes unhealthy before it is reported as
// not ready.
func (b *Balancer) mayOverflow(_ time.Time, g *group, _ []string) bool {
	if !slices.ContainsFunc(g.own, func(e *entry) bool { return !e.unhealthy && e.eligible(nil) }) {
		return true
	}
	g.overflowCredit = min(g.overflowCredit+b.settings.overflowFraction, 1+b.settings.overflowFraction)
	if g.overflowCredit < 1 {
		return false
	}
	g.overflowCredit--
	return true
}

// kindWithoutTarget returns why no target was picked: all that are left refuse the call, or none is left.
func (g *group) kindWithoutTarget(tried []string) Kind {
	for _, entries := range [][]*entry{g.own, g.other} {
		if slices.ContainsFunc(entries, func(e *entry) bool { return e.eligible(tried) }) {
			return KindShed
		}
	}
	return KindNoTarget
}

func (e *entry) eligible(tried []string) bool {
	return e.target.Ready && !e.leaving && !slices.Contains(tried, e.target.Address)
}

// usable reports whether the call may go to the target. With healthy set, unhealthy targets are not usable.
func (b *Balancer) usable(now time.Time, e *entry, p hemlockcall.Priority, tried []string, healthy bool) bool {
	if healthy && e.unhealthy || !e.eligible(tried) {
		return false
	}
	if b.settings.disabled[EarlyShedding] {
		return true
	}
	return e.admits(now, p, b.settings.maxMinPriorityAge) && b.mayRetry(now, e, p, tried)
}

// mayRetry reports whether the target may get a call after the tried ones. If one of those has recently refused a call,
// the target must report spare capacity, and its minimum priority must be below that of the call: a target that refused
// some calls of a priority reports this priority as the minimum. A Sheddable call needs a target without any recent
// refusal instead, because targets that refuse nothing report Sheddable too. Other retries would most likely be refused
// and add to the overload. Without recent feedback, the spare capacity and the minimum priority are not checked.
func (b *Balancer) mayRetry(now time.Time, e *entry, p hemlockcall.Priority, tried []string) bool {
	isRecent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < b.settings.maxFeedbackAge }
	if !slices.ContainsFunc(tried, func(address string) bool {
		other := b.entries[address]
		return other != nil && isRecent(other.refusedAt)
	}) {
		return true
	}
	if p == hemlockcall.Sheddable && isRecent(e.refusedAt) {
		return false
	}
	return !isRecent(e.feedbackAt) || e.feedback.InFlight < e.feedback.Limit &&
		(p == hemlockcall.Sheddable || e.feedback.MinPriority < p)
}

// maxDraws is how many targets are drawn at random in search of two usable ones before all targets are scanned.
const maxDraws = 4

// lessLoaded returns the less loaded of two random usable targets, or nil when there is none.
func (b *Balancer) lessLoaded(now time.Time, entries []*entry, p hemlockcall.Priority, tried []string, healthy bool,
) *entry {
	if len(entries) == 0 {
		return nil
	}
	var first, second *entry
	for i := 0; i < maxDraws && second == nil; i++ {
		e := entries[b.random(len(entries))]
		switch {
		case e == first || !b.usable(now, e, p, tried, healthy):
		case first == nil:
			first = e
		default:
			second = e
		}
	}
	if second == nil {
		first, second = b.scan(now, entries, p, tried, healthy)
	}
	if second == nil || first.load(now, b.settings.maxFeedbackAge) <= second.load(now, b.settings.maxFeedbackAge) {
		return first
	}
	return second
}

// scan returns the first two usable targets after a random start.
func (b *Balancer) scan(now time.Time, entries []*entry, p hemlockcall.Priority, tried []string, healthy bool) (first,
	second *entry) {
	start := b.random(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if !b.usable(now, e, p, tried, healthy) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}
