package hemlockquota

import (
	"slices"
	"time"
)

// loan is what one request may have made a pool count.
type loan struct {
	pool     string
	sequence uint64
	fraction Fraction
	// until is when the pool has stopped counting it at the latest, whether or not and when the request arrived.
	until time.Time
	// answered is set if the pool has accepted the request, so that it has replaced the loans of answered requests before it.
	answered bool
}

// loans are the loans of one fraction. Invariant: no pool counts more for this lender than lentTo returns for it, and the lender itself
// uses no more than its fraction minus total. So the fraction is never counted twice.
type loans struct {
	entries []loan
}

// total returns the sum of what all pools may count.
func (l *loans) total(now time.Time) Fraction {
	l.entries = slices.DeleteFunc(l.entries, func(e loan) bool { return !now.Before(e.until) })
	var sum Fraction
	for i, e := range l.entries {
		if !slices.ContainsFunc(l.entries[:i], func(f loan) bool { return f.pool == e.pool }) {
			sum += l.lentTo(now, e.pool)
		}
	}
	return sum
}

// lentTo returns what the pool may count. A pool counts the loan of one request only, and it is unknown which one of the unanswered
// requests arrived last.
func (l *loans) lentTo(now time.Time, pool string) Fraction {
	var highest Fraction
	for _, e := range l.entries {
		if e.pool == pool && now.Before(e.until) {
			highest = max(highest, e.fraction)
		}
	}
	return highest
}

// available returns how much of the fraction may be lent to the pool, which includes what it already has.
func (l *loans) available(now time.Time, fraction Fraction, pool string) Fraction {
	return fraction.minus(l.total(now) - l.lentTo(now, pool))
}

// lend records a request before it is sent.
func (l *loans) lend(now time.Time, pool string, sequence uint64, fraction Fraction, t terms) {
	l.entries = append(l.entries, loan{pool: pool, sequence: sequence, fraction: fraction, until: now.Add(t.lease + t.timeout)})
}

// accepted records that the pool has accepted the request. A request that lends nothing has no entry.
func (l *loans) accepted(pool string, sequence uint64) {
	l.entries = slices.DeleteFunc(l.entries, func(e loan) bool { return e.pool == pool && e.answered && e.sequence < sequence })
	for i := range l.entries {
		if e := &l.entries[i]; e.pool == pool && e.sequence == sequence {
			e.answered = true
		}
	}
}

// withdraw records that the request was not sent, or that the pool has stated that it does not count it.
func (l *loans) withdraw(sequence uint64) {
	l.entries = slices.DeleteFunc(l.entries, func(e loan) bool { return e.sequence == sequence })
}

// end records that the pool stops counting the loans at the given time. While its process runs, unanswered requests may still arrive
// there, so that their loans keep their ends.
func (l *loans) end(pool string, at time.Time, processEnded bool) {
	for i := range l.entries {
		if e := &l.entries[i]; e.pool == pool && (e.answered || processEnded) && at.Before(e.until) {
			e.until = at
		}
	}
}
