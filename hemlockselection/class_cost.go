package hemlockselection

import (
	"math"
	"slices"
	"time"
)

const (
	// costTimeConstant is the time constant of the cost of a class, and that of the long-term slowness of a target. Both are far longer
	// than an episode of slowness (600 ms), so that an episode does not move them by more than a few percent.
	costTimeConstant = 10 * time.Second
	// maxCostWeight limits the weight of one sample in the cost of a class that is called rarely.
	maxCostWeight = 0.1
	// maxClasses limits the number of classes of one service with a cost of their own; all others share one.
	maxClasses = 64
	// recentTargets is the number of targets whose last samples show what a change of all targets has in common. Half of them plus one
	// decide, so that an episode at 15% of the targets is not taken for a change of the class.
	recentTargets = 9
	// minRecentTargets is the number of recent samples from which a common change is computed. With fewer, one slow target could
	// be most of them.
	minRecentTargets = 4
	// maxSampleAge is how long a sample counts for the common change.
	maxSampleAge = time.Second
)

// classCost is the cost of the calls of one class: their service time at a target of slowness 1, with all nested calls. The slot of a
// target is held while its run waits for nested calls, so a slow nested service raises the service times at all targets alike. Such a
// common change is part of the cost, and not of the slowness of the targets.
type classCost struct {
	// index is that of the class in entry.inFlightOf.
	index int
	// logCost is the logarithm of the long-term cost in seconds; valid if samples is above 0.
	logCost  float64
	samples  int
	lastAt   time.Time
	residues []residue // at most recentTargets, of different targets, the oldest first
	// common is the median of the recent residues: how far the cost currently is from the long-term one. It is a logarithm.
	common   float64
	commonAt time.Time
}

// residue is the last deviation of a service time from the one expected in the long term, as a logarithm.
type residue struct {
	entry *entry
	value float64
	at    time.Time
}

// cost returns the current cost in seconds.
func (c *classCost) cost(now time.Time) float64 {
	if c.samples == 0 {
		return defaultServiceTime.Seconds()
	}
	return math.Exp(c.logCost + c.currentCommon(now))
}

// currentCommon returns the common change, which decays after the last sample.
func (c *classCost) currentCommon(now time.Time) float64 {
	if age := now.Sub(c.commonAt); age > maxSampleAge {
		return c.common * decay(age-maxSampleAge, maxSampleAge)
	}
	return c.common
}

// add records a service time at a target with the given long-term slowness, and returns its deviation from the one expected in
// the long term, apart from the common change. All three are logarithms.
func (c *classCost) add(now time.Time, e *entry, logTime, usual float64) float64 {
	if c.samples == 0 {
		c.logCost, c.lastAt = logTime-usual, now
	}
	value := logTime - c.logCost - usual
	c.residues = slices.DeleteFunc(c.residues, func(r residue) bool { return r.entry == e || now.Sub(r.at) > maxSampleAge })
	if len(c.residues) == recentTargets {
		c.residues = slices.Delete(c.residues, 0, 1)
	}
	c.residues = append(c.residues, residue{entry: e, value: value, at: now})
	c.common, c.commonAt = c.median(), now
	c.samples++
	weight := min(maxCostWeight, 1-decay(now.Sub(c.lastAt), costTimeConstant))
	if early := 1 / float64(c.samples); c.samples <= 1/maxCostWeight {
		weight = early
	}
	c.lastAt = now
	step := clip(value) * weight
	c.logCost += step
	// The median stays that of the deviations from the changed cost.
	for i := range c.residues {
		c.residues[i].value -= step
	}
	if len(c.residues) >= minRecentTargets {
		c.common -= step
	}
	return value - step - c.common
}

// median returns the median of the residues; 0 if there are fewer than minRecentTargets.
func (c *classCost) median() float64 {
	if len(c.residues) < minRecentTargets {
		return 0
	}
	var buffer [recentTargets]float64
	values := buffer[:0]
	for _, r := range c.residues {
		values = append(values, r.value)
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// decay returns the factor by which a difference shrinks in a time with the given time constant.
func decay(passed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, passed.Seconds()) / timeConstant.Seconds())
}

// maxDeviation is the largest deviation of a single sample that counts, as a logarithm: a factor of 4, which exceeds the factor of
// 2.5 of an episode. A lost response or a pause of a host would otherwise move a target for a long time.
var maxDeviation = math.Log(4)

func clip(deviation float64) float64 {
	return max(-maxDeviation, min(maxDeviation, deviation))
}
