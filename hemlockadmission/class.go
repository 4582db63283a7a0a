package hemlockadmission

import "time"

const (
	// maxFailedFraction is the fraction of a class's runs that may fail at a nested call or time out before fewer are
	// admitted. Below it, the slots that failed runs use cost less than the requests that admitting fewer would lose.
	maxFailedFraction = 0.35
	// minAdmittedFraction and probeInterval, after which the next request is admitted whatever the fraction, keep some
	// requests running, so that the end of the downstream overload is noticed.
	minAdmittedFraction = 0.005
	probeInterval       = 250 * time.Millisecond
	// minDecreaseFactor limits how far one adjustment lowers the admitted fraction.
	minDecreaseFactor = 0.1
	// slowIncrease is the increase of the admitted fraction in one adjustment after recent failures.
	slowIncrease = 0.05
	// fastIncreaseDelay is the time without failures after which the admitted fraction triples with each adjustment. It
	// exceeds probeInterval, so that the fraction does not grow between two probes that fail. From minAdmittedFraction to 1
	// takes 5 adjustments, which fits into the recovery objective of 5 s.
	fastIncreaseDelay = 400 * time.Millisecond
	// maxDecisionDelay is how long a decrease waits for minDecisionRuns results.
	maxDecisionDelay = time.Second
	minDecisionRuns  = 5
	// minChangeInterval is the minimum time between two adjustments.
	minChangeInterval = 100 * time.Millisecond
	// maxClasses limits the number of classes with a record; a service file declares a few.
	maxClasses = 64
)

// class is the record of one class of requests: their service time and the fraction of them that is admitted. When
// nested calls of a request are refused because of load, the work that this target did for the request is wasted. So only
// about as many requests are admitted as can complete.
type class struct {
	meanServiceTime, deviation time.Duration
	samples                    int
	admittedFraction           float64 // of the offered requests, between minAdmittedFraction and 1
	credit                     float64 // grows by admittedFraction with each offered request; an admitted one takes 1
	changedAt                  time.Time
	failedAt                   time.Time // time of the last failed run
	completedAt                time.Time // time of the last completed run
	allowedAt                  time.Time // time at which allow last returned true at a fraction below 1
	completed, failed          int       // runs since changedAt
	// failureDelay is the moving average of the time that a run takes until its nested call is refused. It is the delay of
	// the control loop.
	failureDelay time.Duration
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

// lowServiceTimeEstimate returns the mean service time less the deviation: a request with less time left rarely completes.
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
			k.addServiceTime(o.ServiceTime) // a lower bound: the run did not complete
		}
		k.failed++
		k.failedAt = now
	case NestedRefused:
		k.failed++
		k.failedAt = now
		k.failureDelay += (o.ServiceTime - k.failureDelay) / 10
	}
	k.adjust(now)
}

// adjust changes the admitted fraction, at most once per minChangeInterval and, after a recent failure, at most once per
// failureDelay. It increases the fraction only if a run has completed since the last failure.
func (k *class) adjust(now time.Time) {
	results, sinceChange := k.completed+k.failed, now.Sub(k.changedAt)
	noRecentFailure := now.Sub(k.failedAt) > fastIncreaseDelay
	switch {
	case sinceChange < minChangeInterval || !noRecentFailure && sinceChange < k.failureDelay:
		return
	case float64(k.failed) > maxFailedFraction*float64(results):
		if results < minDecisionRuns && sinceChange < maxDecisionDelay {
			return // too few results for a decision
		}
		k.admittedFraction = max(minAdmittedFraction, k.admittedFraction*max(minDecreaseFactor, float64(k.completed+1)/float64(results+2)))
	case !k.completedAt.After(k.failedAt):
		return
	case noRecentFailure:
		k.admittedFraction = min(1, 3*k.admittedFraction)
	default:
		k.admittedFraction = min(1, k.admittedFraction+slowIncrease)
	}
	k.changedAt, k.completed, k.failed = now, 0, 0
}

// allow reports whether the next offered request belongs to the admitted fraction or is a probe; see probeInterval.
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

// classOf returns the record of a class and creates it if necessary. It returns nil for requests without a class and when
// there are too many classes: with a common record of unrelated requests, short ones would be refused because of the service
// time of long ones.
func (c *Controller[T]) classOf(name string) *class {
	k := c.classes[name]
	if k == nil && name != "" && len(c.classes) < maxClasses {
		k = &class{admittedFraction: 1}
		c.classes[name] = k
	}
	return k
}
