package hemlockbackpressure

import (
	"math"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// updateInterval is the minimum time between two changes of an admitted fraction: about the time until an admitted call
	// tree reaches the deep service.
	updateInterval = 100 * time.Millisecond
	// decreaseGain is the relative decrease of the admitted fraction in one step for each unit by which the load exceeds the
	// setpoint.
	decreaseGain = 0.2
	// maxDecrease limits the relative decrease in one step.
	maxDecrease = 0.25
	// maxIncrease is the relative increase in one step at no load. It falls linearly to 0 at the setpoint.
	maxIncrease = 0.4
	// minAdmittedFraction is the lowest admitted fraction. It keeps some call trees running, so that spare capacity is noticed.
	minAdmittedFraction = 0.02
)

// setpoints are, by priority, the load that the throttle aims at for the most loaded service. Sheddable call trees are refused just before
// all slots of the service are in use, important ones when as many calls are queued as run, and critical ones when twice as many are.
var setpoints = [hemlockcall.PriorityCount]float64{
	hemlockcall.Sheddable: 0.97,
	hemlockcall.Important: 2,
	hemlockcall.Critical:  3,
}

// maxCatchUpSteps limits the steps of one update. An update makes one step for each interval since the last one, because an
// entry node of a large deployment starts few call trees of a kind per second. With one step for each call tree it would
// take tens of seconds to react to a burst.
const maxCatchUpSteps = 3

const (
	// promptAge is the age up to which a load is as good as a current one.
	promptAge = 100 * time.Millisecond
	// delayTime is the delay beyond promptAge at which the throttle reacts half as fast.
	delayTime = 200 * time.Millisecond
	// sparseInterval is the time without a call tree of a kind from which the fraction follows the observed load.
	sparseInterval = 300 * time.Millisecond
)

// Throttle admits a fraction of the new call trees. Which services a call tree calls is not known, so the load of the most loaded service
// applies, with two limits, which keep call trees from being refused for a service that they do not need:
//
//   - Sheddable call trees yield to that load, but not those of a minor class: what makes up little of the load cannot be its cause.
//   - More important ones yield only while trees of their class fail, which shows that they need a service that is overloaded.
//
// It is safe for concurrent use.
type Throttle struct {
	mutex     sync.Mutex
	fractions map[treeKind]*admittedFraction
	// unseen are the fractions with which the kinds of each priority begin.
	unseen [hemlockcall.PriorityCount]admittedFraction
	// classes are the records of classes of which a call tree has arrived.
	classes classes
}

// Arrival is a call that may start a call tree.
type Arrival struct {
	// Class is the class of the call, and Service the service that it goes to.
	Class, Service string
	Priority       hemlockcall.Priority
}

// Decision is the decision on one call tree.
type Decision struct {
	Admitted bool
	// Fraction is the fraction of such call trees that is admitted.
	Fraction float64
	// Load is the one that decides.
	Load Load
}

// treeKind identifies the call trees that share an admitted fraction: those of one priority whose first call goes to the
// same service. The same loads apply to them.
type treeKind struct {
	priority     hemlockcall.Priority
	firstService string
}

// admittedFraction is the fraction of the call trees of one kind that is admitted.
type admittedFraction struct {
	fraction  float64
	credit    float64 // grows by fraction with each call tree, up to 1; each admitted one takes 1
	updatedAt time.Time
	lastTree  time.Time // arrival of the last call tree
}

// NewThrottle returns a throttle that admits all call trees at first.
func NewThrottle() *Throttle {
	t := &Throttle{fractions: map[treeKind]*admittedFraction{}, classes: newClasses()}
	for p := range t.unseen {
		t.unseen[p].fraction = 1
	}
	return t
}

// Admit decides on a new call tree. load is that of LoadMonitor.MaxLoad, and failed that of LoadMonitor.FailedFraction.
func (t *Throttle) Admit(now time.Time, arrival Arrival, load Load, failed float64) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	class := t.classes.arrived(now, arrival, failed)
	kind := t.fractionOf(arrival.Priority, arrival.Service)
	kind.update(now, load, setpoints[arrival.Priority])
	kind.lastTree = now
	failures := failingLoad(failed)
	class.failures.update(now, failures, setpoints[arrival.Priority])
	if !class.yields(now) || class.failures.fraction <= kind.fraction {
		return Decision{Admitted: class.failures.admit(), Fraction: class.failures.fraction, Load: failures}
	}
	admitted := kind.admit() || t.classes.exempt(now, class)
	return Decision{Admitted: admitted, Fraction: kind.fraction, Load: load}
}

// admit reports whether the next call tree belongs to the admitted fraction.
func (f *admittedFraction) admit() bool {
	if f.fraction >= 1 {
		return true
	}
	f.credit = min(f.credit+f.fraction, 1)
	if f.credit < 1 {
		return false
	}
	f.credit--
	return true
}

// Observe changes the admitted fractions by the load that applies to call trees of the given priority and first service, for kinds of which
// no call tree has arrived for sparseInterval. An entry node of a large deployment, which starts a call tree of a kind every few seconds,
// calls it several times a second, so that the fraction follows the load in between. loadOf is called with the lock held.
func (t *Throttle) Observe(now time.Time, loadOf func(priority hemlockcall.Priority, firstService string) Load) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for p := range t.unseen {
		t.unseen[p].update(now, loadOf(hemlockcall.Priority(p), ""), setpoints[p])
	}
	for kind, f := range t.fractions {
		if now.Sub(f.lastTree) < sparseInterval {
			continue
		}
		f.update(now, loadOf(kind.priority, kind.firstService), setpoints[kind.priority])
	}
}

// fractionOf returns the record of a kind and creates it if necessary. It is called with the lock held.
func (t *Throttle) fractionOf(priority hemlockcall.Priority, firstService string) *admittedFraction {
	k := treeKind{priority: priority, firstService: firstService}
	f := t.fractions[k]
	if f == nil {
		if len(t.fractions) >= maxServices {
			clear(t.fractions) // mostly services that no longer exist; the others begin with 1 again
		}
		unseen := t.unseen[priority]
		f = &admittedFraction{fraction: unseen.fraction, updatedAt: unseen.updatedAt}
		t.fractions[k] = f
	}
	return f
}

// update changes the fraction so that the load approaches the setpoint, at most once per updateInterval.
func (f *admittedFraction) update(now time.Time, current Load, setpoint float64) {
	load := current.Value
	elapsed := now.Sub(f.updatedAt)
	switch {
	case elapsed < updateInterval:
		return
	case elapsed > maxReportAge:
		load = min(load, setpoint) // no call tree of this kind arrived for a while: the first one does not lower the fraction
	}
	f.updatedAt = now
	steps := min(float64(elapsed/updateInterval), maxCatchUpSteps)
	f.fraction = adjusted(f.fraction, load, setpoint, steps*gainAt(current.Age))
}

// adjusted returns an admitted fraction after a number of steps, which may be a fraction of one, towards the setpoint of the load.
func adjusted(fraction, load, setpoint, steps float64) float64 {
	excess := load - setpoint
	factor := 1 + maxIncrease*min(1, -excess/setpoint)
	if excess > 0 {
		factor = 1 - min(maxDecrease, decreaseGain*excess)
	}
	return min(max(fraction*math.Pow(factor, steps), minAdmittedFraction), 1)
}

// gainAt returns how fast the throttle reacts to a load of the given age, as a fraction of its reaction to a current one. With a delay,
// a fast reaction to what has changed already makes the load oscillate.
func gainAt(age time.Duration) float64 {
	delay := max(0, age-promptAge)
	return delayTime.Seconds() / (delayTime + delay).Seconds()
}
