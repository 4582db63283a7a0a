package hemlockbalancer

import (
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

// The methods of this file are called with the lock held.

// choose picks a target, or sheds the call. A shed call holds up the priorities below it, for as long as a target
// does after a refusal: else they would be admitted as soon as a reported level expires.
func (t *Table) choose(now time.Time, g *group, p hemlockcall.Priority, tried []string) (*entry, Kind) {
	if !t.settings.off[EarlyShedding] && now.Before(g.heldBelow(p)) {
		g.held[p] = now.Add(t.settings.levelAge)
		return nil, KindShed
	}
	e := t.find(now, g, p, tried)
	if e != nil {
		return e, ""
	}
	kind := g.whyNone(tried)
	if kind == KindShed && len(tried) == 0 { // after an attempt, the refusal is the target's, which holds by itself
		g.held[p] = now.Add(t.settings.levelAge)
	}
	return nil, kind
}

// heldBelow returns until when calls of the priority are shed.
func (g *group) heldBelow(p hemlockcall.Priority) time.Time {
	var until time.Time
	for _, held := range g.held[p+1:] {
		if held.After(until) {
			until = held
		}
	}
	return until
}

// find picks in this order: a bad target whose probe is due, the own zone, other zones, bad targets.
func (t *Table) find(now time.Time, g *group, p hemlockcall.Priority, tried []string) *entry {
	if e := t.dueProbe(now, g, p, tried); e != nil {
		return e
	}
	// When the own zone has fewer slots than its share of the load, the rest goes to the others from the start.
	local := g.shortfall == 0 || float64(t.random(1000)) >= g.shortfall*1000
	if local {
		if e := t.better(now, g.own, p, tried, true); e != nil {
			return t.relieve(now, g, e, p, tried)
		}
	}
	if !local || p > hemlockcall.Sheddable || t.mayOverflow(now, g, tried) {
		if e := t.better(now, g.other, p, tried, true); e != nil {
			return e
		}
	}
	if !local {
		if e := t.better(now, g.own, p, tried, true); e != nil {
			return e
		}
	}
	// No healthy target admits the call. A bad one is better than none; one that sheds the priority is not.
	if e := t.better(now, g.own, p, tried, false); e != nil {
		return e
	}
	if p > hemlockcall.Sheddable {
		return t.better(now, g.other, p, tried, false)
	}
	return nil
}

// relieve returns a target of another zone that has room when the chosen one of the own zone is full.
func (t *Table) relieve(now time.Time, g *group, own *entry, p hemlockcall.Priority, tried []string) *entry {
	if own.load(now, t.settings.reportAge) <= 1 || p == hemlockcall.Sheddable && !t.mayOverflow(now, g, tried) {
		return own
	}
	if other := t.better(now, g.other, p, tried, true); other != nil && other.load(now, t.settings.reportAge) < 1 {
		return other
	}
	return own
}

// mayOverflow spends the bounded share of sheddable calls that may leave a full zone. A zone without healthy targets
// has no such bound: its load is an equal share that the others carry. A target that has just crashed counts as bad
// before its death is announced.
func (t *Table) mayOverflow(_ time.Time, g *group, _ []string) bool {
	if !slices.ContainsFunc(g.own, func(e *entry) bool { return !e.bad && e.eligible(nil) }) {
		return true
	}
	g.credit = min(g.credit+t.settings.overflowShare, 1+t.settings.overflowShare)
	if g.credit < 1 {
		return false
	}
	g.credit--
	return true
}

func (g *group) whyNone(tried []string) Kind {
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

func (t *Table) usable(now time.Time, e *entry, p hemlockcall.Priority, tried []string, healthy bool) bool {
	if healthy && e.bad || !e.eligible(tried) {
		return false
	}
	if t.settings.off[EarlyShedding] {
		return true
	}
	return e.admits(now, p, t.settings.levelAge) && t.mayRepeat(now, e, p, tried)
}

// mayRepeat reports whether the target may get a call after the tried ones. After a refusal for load, the target must
// report room and must not have refused the same priority lately: its level equals the priority if it did. Such
// attempts most likely fail and add to the overload.
func (t *Table) mayRepeat(now time.Time, e *entry, p hemlockcall.Priority, tried []string) bool {
	isRecent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < t.settings.reportAge }
	if !slices.ContainsFunc(tried, func(address string) bool {
		other := t.entries[address]
		return other != nil && isRecent(other.refusedAt)
	}) {
		return true
	}
	if p == hemlockcall.Sheddable && isRecent(e.refusedAt) {
		return false
	}
	return !isRecent(e.reportedAt) || e.reported.InFlight < e.reported.Limit &&
		(p == hemlockcall.Sheddable || e.reported.MinPriority < p)
}

// draws is how often a random draw may hit a target that cannot be used before all are looked at.
const draws = 4

// better returns the less loaded of two random usable targets, or nil when there is none.
func (t *Table) better(now time.Time, entries []*entry, p hemlockcall.Priority, tried []string, healthy bool) *entry {
	if len(entries) == 0 {
		return nil
	}
	var first, second *entry
	for i := 0; i < draws && second == nil; i++ {
		e := entries[t.random(len(entries))]
		switch {
		case e == first || !t.usable(now, e, p, tried, healthy):
		case first == nil:
			first = e
		default:
			second = e
		}
	}
	if second == nil {
		first, second = t.scan(now, entries, p, tried, healthy)
	}
	if second == nil || first.load(now, t.settings.reportAge) <= second.load(now, t.settings.reportAge) {
		return first
	}
	return second
}

// scan returns the first two usable targets from a random start.
func (t *Table) scan(now time.Time, entries []*entry, p hemlockcall.Priority, tried []string, healthy bool) (first,
	second *entry) {
	start := t.random(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if !t.usable(now, e, p, tried, healthy) {
			continue
		}
		if first != nil {
			return first, e
		}
		first = e
	}
	return first, nil
}
