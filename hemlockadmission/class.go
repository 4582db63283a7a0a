package hemlockadmission

import "time"

const (
	// maxWastedFraction is the fraction of a class's runs that may time out or have a nested call refused before fewer are
	// admitted. Below it, admitting fewer would lose more requests than the slots of the wasted runs could serve.
	maxWastedFraction = 0.35
	// minAdmittedFraction is the lowest admitted fraction. Together with probeInterval it keeps some requests running, so that
	// the end of the downstream overload is noticed.
	minAdmittedFraction = 0.005
	// probeInterval is the time since the last allowed request after which the next one is allowed, as a probe, whatever the
	// admitted fraction.
	probeInterval = 250 * time.Millisecond
	// minDecreaseFactor limits how far one adjustment lowers the admitted fraction.
	minDecreaseFactor = 0.1
	// slowIncrease is the increase of the admitted fraction in one adjustment within fastIncreaseDelay of a wasted run.
	slowIncrease = 0.05
	// fastIncreaseDelay is the time without wasted runs after which the admitted fraction triples with each adjustment. It
	// exceeds probeInterval, so that the fraction does not triple while every probe is wasted. The growth from
	// minAdmittedFraction to 1 takes 5 adjustments, which fits into the recovery objective of 5 s.
	fastIncreaseDelay = 400 * time.Millisecond
	// maxDecisionDelay is the time since the last adjustment up to which a decrease waits for minDecisionRuns runs to finish.
	maxDecisionDelay = time.Second
	minDecisionRuns  = 5
	// minChangeInterval is the minimum time between two adjustments.
	minChangeInterval = 100 * time.Millisecond
	// maxClasses limits the number of classes with a record; a service file declares a few.
	maxClasses = 64
)

// class is the record of one class of requests: their service time and the fraction of them that is admitted. The work that
// this target does for a request is wasted if the run times out or if a nested call is refused because of load or at its
// deadline. So only about as many requests are admitted as can complete. Only runs with the results TimedOut and
// NestedRefused count as wasted, and runs with the results Failed, Shed and Cancelled are ignored.
type class struct {
	meanServiceTime, deviation time.Duration
	samples                    int
	admittedFraction           float64 // of the offered requests, between minAdmittedFraction and 1
	credit                     float64 // grows by admittedFraction with each offered request; each that allow accepts takes up to 1
	changedAt                  time.Time
	wastedAt                   time.Time // time at which the last wasted run ended
	completedAt                time.Time // time at which the last completed run ended
	allowedAt                  time.Time // time at which allow last returned true at a fraction below 1
	completed, wasted          int       // runs since changedAt
	// refusedRunTime is the moving average of the duration of runs that had a nested call refused. It is the delay of the
	// control loop: a change of the admitted fraction shows in the results only after such a run.
	refusedRunTime time.Duration
}

func (k *class) addServiceTime(service time.Duration) {
	k.samples++
	if k.samples == 1 {
		k.meanServiceTime, k.deviation = service, service/2
		return
	}
	difference := service - k.meanServiceTime
	k.meanServiceTime += time.Duration(float64(difference) * estimateWeight)
	k.deviation += time.Duration(float64(difference.Abs()-k.deviation) * estimateWeight)
}

// lowServiceTimeEstimate returns the mean service time minus the mean deviation, or 0 if k is nil. A request whose remaining
// time is shorter rarely completes.
func (k *class) lowServiceTimeEstimate() time.Duration {
	if k == nil {
		return 0
	}
	return max(0, k.meanServiceTime-k.deviation)
}

// recordOutcome records the outcome of a run and adjusts the admitted fraction.
func (k *class) recordOutcome(now time.Time, o Outcome) {
	if k == nil {
		return
	}
	switch o.Result {
	case Completed:
		k.addServiceTime(o.ServiceTime)
		k.completed++
		k.completedAt = now
	case TimedOut:
		if o.ServiceTime > k.meanServiceTime {
			k.addServiceTime(o.ServiceTime) // a lower bound of the service time, because the run did not complete
		}
		k.wasted++
		k.wastedAt = now
	case NestedRefused:
		k.wasted++
		k.wastedAt = now
		k.refusedRunTime += (o.ServiceTime - k.refusedRunTime) / 10
	}
	k.adjust(now)
}

// adjust changes the admitted fraction, at most once per minChangeInterval. Within fastIncreaseDelay of a wasted run, it
// does so at most once per refusedRunTime. It increases the fraction only if a run has completed after the last wasted one.
func (k *class) adjust(now time.Time) {
	runs, sinceChange := k.completed+k.wasted, now.Sub(k.changedAt)
	fastIncrease := now.Sub(k.wastedAt) > fastIncreaseDelay
	switch {
	case sinceChange < minChangeInterval || !fastIncrease && sinceChange < k.refusedRunTime:
		return
	case float64(k.wasted) > maxWastedFraction*float64(runs):
		if runs < minDecisionRuns && sinceChange < maxDecisionDelay {
			return // too few runs for a decision
		}
		// One completed and one wasted run are added, so that a few runs with the same result do not count as certainty.
		k.admittedFraction = max(minAdmittedFraction, k.admittedFraction*max(minDecreaseFactor, float64(k.completed+1)/float64(runs+2)))
	case !k.completedAt.After(k.wastedAt):
		return
	case fastIncrease:
		k.admittedFraction = min(1, 3*k.admittedFraction)
	default:
		k.admittedFraction = min(1, k.admittedFraction+slowIncrease)
	}
	k.changedAt, k.completed, k.wasted = now, 0, 0
}

// allow reports whether the request that is offered now belongs to the admitted fraction or is a probe; see probeInterval.
// It is always true if k is nil.
func (k *class) allow(now time.Time) bool {
	if k == nil || k.admittedFraction >= 1 {
		return true
	}
	k.credit += k.admittedFraction
	if k.credit < 1 && now.Sub(k.allowedAt) < probeInterval {
		return false
	}
	k.credit, k.allowedAt = max(0, k.credit-1), now
	return true
}

// classOf returns the record of a class and creates it if necessary. It returns nil for requests without a class and, once
// maxClasses classes have a record, for any other class. Such requests share no common record: with one, short requests
// would be refused because of the service time of long ones.
func (c *Controller[T]) classOf(name string) *class {
	k := c.classes[name]
	if k == nil && name != "" && len(c.classes) < maxClasses {
		k = &class{admittedFraction: 1}
		c.classes[name] = k
	}
	return k
}
