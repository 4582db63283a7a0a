package hemlockselection

import (
	"math"
	"time"
)

const (
	// slownessTimeConstant is the time constant of the current slowness of a target, and the time in which it drifts back to the
	// long-term slowness without samples. An episode of slowness lasts twice as long.
	slownessTimeConstant = 300 * time.Millisecond
	// maxSlownessWeight limits the weight of one sample after a pause, as service times vary without a fault.
	maxSlownessWeight = 0.5
	// slownessPrior is the number of samples of slowness 1 that a target starts with.
	slownessPrior = 3
	// maxUsualWeight limits the weight of one sample in the long-term slowness of a target that is called rarely.
	maxUsualWeight = 0.1
)

// slowness is the service time at one target relative to the mean of its service. Its values are logarithms: 0 is the mean.
type slowness struct {
	// usual is the long-term slowness.
	usual   float64
	samples int
	// recent is the deviation from it at recentAt.
	recent   float64
	recentAt time.Time
}

// current returns the logarithm of the slowness.
func (s *slowness) current(now time.Time) float64 {
	if s.recent == 0 {
		return s.usual
	}
	return s.usual + s.recent*decay(now.Sub(s.recentAt), slownessTimeConstant)
}

// add records the deviation of a sample from the long-term slowness.
func (s *slowness) add(now time.Time, deviation float64) {
	deviation = clip(deviation)
	s.samples++
	passed := now.Sub(s.recentAt)
	weight := min(maxUsualWeight, max(1-decay(passed, costTimeConstant), 1/float64(s.samples+slownessPrior)))
	if s.samples > 1/maxUsualWeight {
		weight = min(maxUsualWeight, 1-decay(passed, costTimeConstant))
	}
	s.recent = (s.current(now) - s.usual)
	s.recent += (deviation - s.recent) * min(maxSlownessWeight, 1-decay(passed, slownessTimeConstant))
	s.usual += deviation * weight
	s.recent -= deviation * weight
	s.recentAt = now
}

// factor returns the slowness as a factor.
func (s *slowness) factor(now time.Time) float64 {
	return math.Exp(s.current(now))
}
