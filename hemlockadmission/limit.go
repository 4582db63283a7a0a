package hemlockadmission

import (
	"time"
)

const (
	// decreaseFactor multiplies the limit when the target refuses a request or when most runs time out.
	decreaseFactor = 0.9
	// minDecreaseInterval is the minimum time between two decreases: several refusals in one burst have the same cause.
	minDecreaseInterval = 100 * time.Millisecond
	// slowStartDivisor divides the slots to get the limit at which slow start begins.
	slowStartDivisor = 8
	// minLimitDivisor divides the slots to get the minimum limit. It keeps some requests running, so that the recovery of the
	// target is noticed.
	minLimitDivisor = 10
	// estimateWeight is the weight of one service time in the moving averages of service times and of their deviation.
	estimateWeight = 0.05
)

// limit is the adaptive concurrency limit. It is between a tenth of the slots and all of them, and never below 1 unless the
// target has no slots.
type limit struct {
	slots       int
	value       float64
	fixed       bool
	slowStart   bool // set from when the target becomes available until decrease is called
	decreasedAt time.Time
	// completed and timedOut count recent runs. Both are halved when their sum reaches the slots, and reset by a decrease.
	completed, timedOut int
}

func (l *limit) setSlots(slots int, slowStart bool) {
	l.slots = slots
	switch {
	case l.fixed || slots == 0:
		l.value = float64(slots)
	case slowStart:
		l.value = max(1, float64(slots)/slowStartDivisor)
		l.slowStart = true
	default:
		l.value = min(max(l.value, l.minValue()), float64(slots))
	}
}

func (l *limit) minValue() float64 {
	return min(float64(l.slots), max(1, float64(l.slots)/minLimitDivisor))
}

func (l *limit) current() int {
	return int(l.value)
}

// recordOutcome adjusts the limit to the outcome of a run, which inFlight still includes. Only the results Completed, Shed
// and TimedOut count.
func (l *limit) recordOutcome(now time.Time, o Outcome, inFlight int) {
	if l.fixed || l.slots == 0 {
		return
	}
	if l.completed+l.timedOut >= l.slots { // about one run per slot
		l.completed, l.timedOut = l.completed/2, l.timedOut/2
	}
	switch o.Result {
	case Completed:
		l.completed++
		// While less than half of the limit is in use, a completed run does not show that the target can run more requests, so
		// the limit does not grow.
		if 2*inFlight < l.current() {
			return
		}
		if l.slowStart {
			l.value++
		} else {
			l.value += 1 / l.value * additiveIncrease
		}
		l.value = min(l.value, float64(l.slots))
	case Shed:
		l.decrease(now)
	case TimedOut:
		// When most runs complete, timeouts are due to requests that started late or to a single class. A lower limit would
		// leave slots unused and lengthen the wait in the queue.
		if l.timedOut++; l.timedOut > l.completed {
			l.decrease(now)
		}
	}
}

func (l *limit) decrease(now time.Time) {
	l.slowStart = false
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.completed, l.timedOut = 0, 0
	l.value = max(l.value*decreaseFactor, l.minValue())
}

// additiveIncrease is by how many slots the limit grows, outside of slow start, while as many runs complete as the limit
// admits at a time.
const additiveIncrease = 2
