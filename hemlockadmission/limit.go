package hemlockadmission

import (
	"time"
)

const (
	// decrease is the factor on the limit when the target sheds or times out.
	decrease = 0.9
	// decreasePause keeps the sheds of one burst from counting as many; they stem from the same excess.
	decreasePause = 100 * time.Millisecond
	// coldShare is the part of the slots that a cold target starts with.
	coldShare = 8
	// floorShare is the part of the slots that the limit never falls below, so that it is always found out whether the
	// target recovered.
	floorShare = 10
	// estimateWeight is the weight of one new service time in the moving estimate.
	estimateWeight = 0.05
)

// limit is the adaptive concurrency limit. It is no higher than the slots and no lower than a tenth of them.
type limit struct {
	slots     int
	value     float64
	fixed     bool
	ramping   bool // set from a cold start until the first sign of load
	decreased time.Time
	// completed and late count the ends since the last look at time-outs.
	completed, late int
}

func (l *limit) setSlots(slots int, cold bool) {
	l.slots = slots
	switch {
	case l.fixed || slots == 0:
		l.value = float64(slots)
	case cold:
		l.value = max(1, float64(slots)/coldShare)
		l.ramping = true
	default:
		l.value = min(max(l.value, l.floor()), float64(slots))
	}
}

func (l *limit) floor() float64 {
	return min(float64(l.slots), max(1, float64(l.slots)/floorShare))
}

func (l *limit) current() int {
	return int(l.value)
}

// observe takes in the end of a run; inFlight counts it as still running.
func (l *limit) observe(now time.Time, o Outcome, inFlight int) {
	if l.fixed || l.slots == 0 {
		return
	}
	if l.completed+l.late >= l.slots { // about one round of the slots
		l.completed, l.late = l.completed/2, l.late/2
	}
	switch o.Result {
	case Completed:
		l.completed++
		// An unused limit is not tested by a success, so it does not grow.
		if 2*inFlight < l.current() {
			return
		}
		if l.ramping {
			l.value++
		} else {
			l.value += 1 / l.value * additive
		}
		l.value = min(l.value, float64(l.slots))
	case Shed:
		l.lower(now)
	case TimedOut:
		// Time-outs beside many completed runs come from a late start or from one class; a lower limit would leave slots
		// unused and make the queue wait longer.
		if l.late++; l.late > l.completed {
			l.lower(now)
		}
	}
}

func (l *limit) lower(now time.Time) {
	l.ramping = false
	if now.Sub(l.decreased) < decreasePause {
		return
	}
	l.decreased = now
	l.completed, l.late = 0, 0
	l.value = max(l.value*decrease, l.floor())
}

// additive is the growth of the limit in slots for one limit's worth of completed requests.
const additive = 2
