package hemlockselection

import (
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// roomLoad is the load below which the own zone has room: bytes between zones are dear.
	roomLoad = 0.9
	// lighter is how much less loaded a target of another zone must be to be worth the way.
	lighter = 0.3
	// farFaster is how many times faster a target of another zone must be expected to be; targets of one service differ
	// by a factor of 3 without a fault.
	farFaster = 4
	// failingShare is the share of failed calls above which a target of the own zone is compared with those of others.
	failingShare = 0.1
)

// Table holds the targets of all services as one node sees them. It is safe for concurrent use.
type Table struct {
	zone   string
	random func(n int) int

	mutex    sync.Mutex
	entries  map[string]*entry // by address
	services map[string]*group
}

// group holds the targets of one service, in the order of their addresses.
type group struct {
	own   []*entry
	other []*entry
}

// New returns an empty table for a node in the given zone. Random returns a number in [0,n).
func New(zone string, random func(n int) int) *Table {
	return &Table{zone: zone, random: random, entries: map[string]*entry{}, services: map[string]*group{}}
}

// Replace takes in a new list of targets. What was learned about a target stays unless another process serves it now.
func (t *Table) Replace(targets []hemlockcall.Target) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	entries := make(map[string]*entry, len(targets))
	services := map[string]*group{}
	for _, target := range targets {
		e := t.entries[target.Address]
		if e == nil || e.target.Service != target.Service || e.target.Generation != target.Generation {
			fresh := &entry{}
			if e != nil {
				fresh.inFlight = e.inFlight
			}
			e = fresh
		}
		e.target = target
		entries[target.Address] = e
		g := services[target.Service]
		if g == nil {
			g = &group{}
			services[target.Service] = g
		}
		if target.Zone == t.zone {
			g.own = append(g.own, e)
		} else {
			g.other = append(g.other, e)
		}
	}
	for _, g := range services {
		for _, list := range [][]*entry{g.own, g.other} {
			slices.SortFunc(list, func(a, b *entry) int { return strings.Compare(a.target.Address, b.target.Address) })
		}
	}
	t.entries, t.services = entries, services
}

// Pick chooses a target that is not among the tried ones and counts the call as in flight until Done.
func (t *Table) Pick(now time.Time, service string, tried []string) (hemlockcall.Target, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	g := t.services[service]
	if g == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	e := t.choose(now, g, tried)
	if e == nil {
		return hemlockcall.Target{}, &Error{Operation: "pick target", Kind: KindNoTarget}
	}
	e.inFlight++
	return e.target, nil
}

// Acquire chooses a target by its address, for one more attempt, and counts the call as in flight until Done. It returns false
// where the target takes no calls.
func (t *Table) Acquire(address string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.entries[address]
	if e == nil || !e.eligible(nil) {
		return false
	}
	e.inFlight++
	return true
}

// Done takes in the end of a picked call.
func (t *Table) Done(now time.Time, address string, r Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.entries[address]; e != nil {
		e.done(now, r)
	}
}

// Release takes back a pick that was not used.
func (t *Table) Release(address string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e := t.entries[address]; e != nil {
		e.inFlight = max(0, e.inFlight-1)
	}
}

// The methods below are called with the lock held.

func (t *Table) choose(now time.Time, g *group, tried []string) *entry {
	own := t.best(now, g.own, tried, true)
	if own != nil && own.load(now) < roomLoad && own.failing(now) < failingShare && !own.isSlow(g) {
		return own
	}
	other := t.best(now, g.other, tried, true)
	switch {
	case own == nil && other == nil:
		if own = t.best(now, g.own, tried, false); own != nil {
			return own
		}
		return t.best(now, g.other, tried, false)
	case own == nil:
		return other
	case other == nil:
		return own
	case own.load(now) > roomLoad && other.load(now) < own.load(now)-lighter:
		return other
	case farFaster*other.expected(now) < own.expected(now):
		return other
	}
	return own
}

// best returns the better of two random targets: with the best of all, nodes that know the same would all turn to one.
func (t *Table) best(now time.Time, entries []*entry, tried []string, reachable bool) *entry {
	var first, second *entry
	if len(entries) == 0 {
		return nil
	}
	start := t.random(len(entries))
	for i := range entries {
		e := entries[(start+i)%len(entries)]
		if !e.eligible(tried) || reachable && now.Before(e.unreachable) {
			continue
		}
		if first == nil {
			first = e
			// The second is as random as the first.
			if len(entries) > 2 {
				start += t.random(len(entries))
			}
			continue
		}
		if e != first {
			second = e
			break
		}
	}
	if second != nil && second.expected(now) < first.expected(now) {
		return second
	}
	return first
}

// isSlow reports whether the target takes far longer than another one of the service is known to.
func (e *entry) isSlow(g *group) bool {
	for _, list := range [][]*entry{g.own, g.other} {
		for _, o := range list {
			if o.service > 0 && e.service > farFaster*o.service {
				return true
			}
		}
	}
	return false
}
