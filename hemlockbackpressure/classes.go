package hemlockbackpressure

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// harmedFraction is the failed fraction of a class from which its call trees yield to the load of other services, whatever their
	// priority, and harmedTime is how long they do after that.
	harmedFraction = 0.2
	harmedTime     = 5 * time.Second
	// classTimeConstant is the time constant of the numbers of call trees by class.
	classTimeConstant = 30 * time.Second
	// minorShare is the largest part of an entry's call trees that a minor class makes up.
	minorShare = 0.05
	// priorTrees are added to the number of all call trees, so that the first ones of an entry are of minor classes too.
	priorTrees = 20
	// exemptShare limits the exempt call trees of all minor classes, as a fraction of the entry's call trees: many minor classes together
	// may well be what overloads a service.
	exemptShare = 0.1
	// maxExemptions limits the exemptions that are saved up.
	maxExemptions = 10
)

// classes holds the records of the classes of which call trees arrive at an entry. It is not safe for concurrent use.
type classes struct {
	records map[Arrival]*classRecord
	// trees is the decayed number of call trees, as of countedAt.
	trees     float64
	countedAt time.Time
	// exemptions is the number of refused call trees of minor classes that may be admitted now.
	exemptions float64
}

// classRecord is the record of one class.
type classRecord struct {
	priority hemlockcall.Priority
	// failures is the fraction that follows the failures of the class.
	failures admittedFraction
	// harmedAt is when the failed fraction of the class was last at least harmedFraction.
	harmedAt time.Time
	// trees is the decayed number of its call trees, as of countedAt.
	trees     float64
	countedAt time.Time
}

func newClasses() classes {
	return classes{records: map[Arrival]*classRecord{}}
}

// arrived counts a call tree and returns the record of its class.
func (c *classes) arrived(now time.Time, a Arrival, failed float64) *classRecord {
	r := c.records[a]
	if r == nil {
		if len(c.records) >= maxClasses {
			clear(c.records) // mostly classes that no longer exist
		}
		r = &classRecord{priority: a.Priority, failures: admittedFraction{fraction: 1, updatedAt: now}, countedAt: now}
		c.records[a] = r
	}
	if failed >= harmedFraction {
		r.harmedAt = now
	}
	c.trees, c.countedAt = decayed(c.trees, now.Sub(c.countedAt))+1, now
	r.trees, r.countedAt = decayed(r.trees, now.Sub(r.countedAt))+1, now
	c.exemptions = min(c.exemptions+exemptShare, maxExemptions)
	return r
}

func decayed(count float64, elapsed time.Duration) float64 {
	return count * math.Exp(-max(0, elapsed.Seconds())/classTimeConstant.Seconds())
}

// harmed reports whether call trees of the class failed recently.
func (r *classRecord) harmed(now time.Time) bool { return now.Sub(r.harmedAt) < harmedTime }

// yields reports whether the call trees of the class are refused for the load of a service that they may not need.
func (r *classRecord) yields(now time.Time) bool {
	return r.priority == hemlockcall.Sheddable || r.harmed(now)
}

// exempt reports whether the call tree that has just arrived is admitted although the load says otherwise, because its class is a minor one
// and not harmed.
func (c *classes) exempt(now time.Time, r *classRecord) bool {
	if r.harmed(now) || r.trees > minorShare*(c.trees+priorTrees) || c.exemptions < 1 {
		return false
	}
	c.exemptions--
	return true
}
