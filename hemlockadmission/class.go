package hemlockadmission

import "time"

const (
	// paceRefused is the part of a class's runs that may fail at a nested call before fewer are admitted. Below it, the
	// slots that the failed runs took were worth less than the requests that fewer admissions would lose.
	paceRefused = 0.35
	// paceFloor and paceProbe keep some runs going, so that the end of the overload below is noticed.
	paceFloor = 0.005
	paceProbe = 250 * time.Millisecond
	// paceCut bounds how far one verdict lowers the share.
	paceCut = 0.1
	// paceStep is the slow growth of the share after recent failures.
	paceStep = 0.05
	// paceCalm is how long no nested call must have been refused before the share triples with each pause. It exceeds
	// paceProbe, so that the share does not grow between two probes that fail. From the floor to the whole takes 5
	// pauses, within the 5 s of the objective for recovery.
	paceCalm = 400 * time.Millisecond
	// paceWait is how long a verdict waits for paceSamples ends.
	paceWait    = time.Second
	paceSamples = 5
	// pacePause is the shortest time between two changes of the share.
	pacePause = 100 * time.Millisecond
	// maxClasses bounds the classes that are told apart; a service file declares a few.
	maxClasses = 64
)

// class is what the controller learned about the requests of one class: their service time, and the share of them
// that is admitted. When nested calls of a class are refused for load, work of this target is wasted on it, so that
// only about as many are admitted as go through.
type class struct {
	mean, deviation time.Duration
	samples         int
	share           float64 // of the offered requests, between paceFloor and 1
	credit          float64
	changed         time.Time
	failedAt        time.Time // when a nested call was last refused
	throughAt       time.Time // when a run last completed
	passed          time.Time // when a request last belonged to the share
	through, failed int       // ends since the last change
	// notice is the moving mean of how long a run takes until its nested call is refused: the delay of the control loop.
	notice time.Duration
}

func (k *class) estimate(service time.Duration) {
	k.samples++
	if k.samples == 1 {
		k.mean, k.deviation = service, service/2
		return
	}
	difference := service - k.mean
	k.mean += time.Duration(float64(difference) * estimateWeight)
	k.deviation += time.Duration(float64(difference.Abs()-k.deviation) * estimateWeight)
}

// shortest is a careful estimate of the time that a run needs: a request with less time left rarely finishes.
func (k *class) shortest() time.Duration {
	if k == nil {
		return 0
	}
	return max(0, k.mean-k.deviation)
}

// observe takes in the end of a run.
func (k *class) observe(now time.Time, o Outcome) {
	if k == nil {
		return
	}
	switch o.Result {
	case Completed:
		k.estimate(o.ServiceTime)
		k.through++
		k.throughAt = now
	case TimedOut:
		if o.ServiceTime > k.mean {
			k.estimate(o.ServiceTime) // it would have taken longer still
		}
		k.failed++
		k.failedAt = now
	case NestedRefused:
		k.failed++
		k.failedAt = now
		k.notice += (o.ServiceTime - k.notice) / 10
	}
	k.adjust(now)
}

// adjust changes the share: down at once per delay of the control loop, up only when runs got through.
func (k *class) adjust(now time.Time) {
	ends, age := k.through+k.failed, now.Sub(k.changed)
	calm := now.Sub(k.failedAt) > paceCalm
	switch {
	case age < pacePause || !calm && age < k.notice:
		return
	case float64(k.failed) > paceRefused*float64(ends):
		if ends < paceSamples && age < paceWait {
			return // too few for a verdict
		}
		k.share = max(paceFloor, k.share*max(paceCut, float64(k.through+1)/float64(ends+2)))
	case !k.throughAt.After(k.failedAt):
		return
	case calm:
		k.share = min(1, 3*k.share)
	default:
		k.share = min(1, k.share+paceStep)
	}
	k.changed, k.through, k.failed = now, 0, 0
}

// pass reports whether the next offered request belongs to the admitted share.
func (k *class) pass(now time.Time) bool {
	if k == nil || k.share >= 1 {
		return true
	}
	k.credit += k.share
	if k.credit < 1 && now.Sub(k.passed) < paceProbe {
		return false
	}
	k.credit, k.passed = max(0, k.credit-1), now
	return true
}

// classOf returns the record of a class, or nil for requests that name none and when there are too many classes: a
// record of different requests would drop short ones for the service time of long ones.
func (c *Controller[T]) classOf(name string) *class {
	k := c.classes[name]
	if k == nil && name != "" && len(c.classes) < maxClasses {
		k = &class{share: 1}
		c.classes[name] = k
	}
	return k
}
