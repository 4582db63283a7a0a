// Package hemlockquota decides on the quotas of organisations: how many requests an organisation may start over all nodes together.
//
// Every node owns the same fraction of every quota. A node either uses its fraction itself or lends it, under a lease, to a pool, which
// grants tokens by demand (Pool). Ledger is the side that lends and asks: of a host towards the pools of its zone (level 0), and of such a
// pool towards the pools of all zones (level 1). The invariant that keeps a quota, whatever the nodes know of each other, is that the
// fractions in use never add up to more than One; type loans and Pool.Receive state the two halves of it.
//
// The package addresses load in which one organisation may send many times its quota at a few hosts, while most organisations send few
// requests over all hosts. It does no I/O and gets the time as an argument.
package hemlockquota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fraction is a part of every quota. It is an integer, so that sums are exact.
type Fraction uint64

// One is a whole quota.
const One Fraction = 1 << 40

// Of returns the fraction with the given value, rounded down; values outside of 0 to 1 are limited to that range.
func Of(value float64) Fraction {
	if !(value > 0) { // also true for NaN
		return 0
	}
	return Fraction(min(value, 1) * float64(One))
}

// Value returns the fraction as a number between 0 and 1.
func (f Fraction) Value() float64 { return float64(f) / float64(One) }

// minus returns the difference, or 0 if b is greater.
func (f Fraction) minus(b Fraction) Fraction { return f - min(f, b) }

// Limit is the quota of an organisation.
type Limit struct {
	// PerSecond is positive.
	PerSecond float64
	// Burst is at least 0.
	Burst float64
}

// terms are the conditions of the loans and grants of one level.
type terms struct {
	// lease is how long a pool counts a loan after the receipt of a request.
	lease time.Duration
	// timeout is the age up to which a pool accepts a request, and how long its sender waits for the answer.
	timeout time.Duration
	// renewal is the time between two requests of a lender.
	renewal time.Duration
	// release is how long a pool goes on counting a loan after the lender has reclaimed it, or after the pool's process has ended: what it
	// has lent on to a pool of the next level ends within that time.
	release time.Duration
	// hold is how long granted tokens may be kept unused.
	hold time.Duration
	// ahead is the time for which an organisation with many requests is supplied in advance.
	ahead time.Duration
}

// levels are the terms of hosts towards zone pools and of zone pools towards the pools of all zones. A zone pool lends only fractions
// whose loans to it last for at least lease + timeout of level 1, so that a chain of loans never lasts longer than its first one.
// A host renews its loan at least 0.7 s before its end.
var levels = [2]terms{
	{lease: time.Second, timeout: 300 * time.Millisecond, renewal: 300 * time.Millisecond, release: 600 * time.Millisecond,
		hold: 500 * time.Millisecond, ahead: 250 * time.Millisecond},
	{lease: 500 * time.Millisecond, timeout: 100 * time.Millisecond, renewal: 200 * time.Millisecond, release: 0,
		hold: 100 * time.Millisecond, ahead: 50 * time.Millisecond},
}

// Timeout returns how long the sender of a request of the level waits for the answer.
func Timeout(level int) time.Duration { return levels[level].timeout }

// partition is one of count parts of all organisations, which are divided by a hash of their names.
type partition struct {
	index, count int
}

func hashOf(organisation string) uint64 { return xxhash.Sum64String(organisation) }

func (p partition) contains(hash uint64) bool {
	return p.count > 0 && hash%uint64(p.count) == uint64(p.index)
}

// rate estimates events per second with an exponentially decaying mean.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, count float64, constant time.Duration) {
	r.value = max(0, r.current(now, constant)+count/constant.Seconds())
	r.at = now
}

func (r *rate) current(now time.Time, constant time.Duration) float64 {
	return r.value * math.Exp(-max(0, now.Sub(r.at).Seconds())/constant.Seconds())
}
