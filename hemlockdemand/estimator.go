// Package hemlockdemand learns what one run of a class demands of services: the calls and the slot time there, with all nested calls.
// It does no I/O; time is an argument.
//
// It addresses call trees whose calls carry no context: only the entry node of a customer request can refuse a tree at no cost, but the
// services that the tree calls are known only to the nodes beside the targets that make the calls. A node attributes calls of its host to
// runs at its target by their deadlines. Nodes report the demands of a class on the responses to its calls, so that each node learns
// those of the classes that it calls.
package hemlockdemand

import (
	"math"
	"slices"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// attributionWindow is the largest difference between the deadline of a call and that of the run to which it is attributed. Measured
	// differences were at most 2 ms for nested calls and above 5 ms for customer requests. It must be shorter than the margin by which an
	// entry shortens the remaining time of an attempt (10 ms): otherwise, a customer request would be attributed to a run of the same
	// class that started just before it, and at 150 such runs per second most requests would count as nested.
	attributionWindow = 3 * time.Millisecond
	// timeConstant is the time constant of all estimates, so that they follow a changed configuration.
	timeConstant = 4 * time.Second
	// maxAge is how long an estimate is valid without a new run or report.
	maxAge = 30 * time.Second
	// minRuns is the number of runs from which the demands of a class are known.
	minRuns = 20
	// minNestedFraction is the fraction of the calls of a class that must be attributed for it to count as nested. The calls of a nested
	// class with a shorter timeout of its own cannot be attributed: a quarter of them was measured.
	minNestedFraction = 0.25
	// minNestedCalls is the number of calls from which minNestedFraction applies. Before that, each attributed call counts as nested.
	minNestedCalls = 8
	// minCalls is the number of calls for each run below which a demand is dropped: a wrong attribution, or a service that is no longer
	// called.
	minCalls = 0.005
	// maxCalls and maxSlotTime limit the demand of one run at one service. Classes that call each other would otherwise have demands
	// without bound.
	maxCalls    = 1000
	maxSlotTime = time.Hour
	// maxClasses limits the number of classes with a record, in each table.
	maxClasses = 256
	// maxServices limits the number of services of one class, and the number of classes that its runs call.
	maxServices = 16
)

// Class identifies a class at a service. The weighted split of a route sends calls of one class to several services, where a run may
// take another time.
type Class struct {
	Name    string
	Service string
}

// Run is a run at the local target.
type Run struct {
	Class Class
	// Deadline is the one that the target was given.
	Deadline time.Time
	// Organisation is the customer for whom the run is made, and OrganisationRank its rank; nested calls inherit both.
	Organisation     string
	OrganisationRank uint8
}

// Handle identifies a run in flight. The zero value is no run.
type Handle struct{ run *runInFlight }

// runInFlight is a run that has not ended, with the calls that it has made.
type runInFlight struct {
	Run
	calls []callCount
}

// callCount is the number of calls of a class that one run has made, or the decayed number that several runs have made.
type callCount struct {
	class Class
	count float64
}

// addCalls adds to the count of a class. Classes beyond maxServices are not counted.
func addCalls(counts []callCount, class Class, count float64) []callCount {
	for i := range counts {
		if counts[i].class == class {
			counts[i].count += count
			return counts
		}
	}
	if len(counts) >= maxServices {
		return counts
	}
	return append(counts, callCount{class: class, count: count})
}

// decay is the time of the last change of an estimate.
type decay struct{ updatedAt time.Time }

// advance sets the time and returns the factor by which sums must be multiplied. Time does not run backwards.
func (d *decay) advance(now time.Time) float64 {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return 1
	}
	d.updatedAt = now
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

func (d *decay) expired(now time.Time) bool { return now.Sub(d.updatedAt) > maxAge }

// ownClass is the record of a class that runs at the local target. Its sums decay together, so that their ratios are weighted means.
type ownClass struct {
	decay
	// runs is the decayed number of runs, and slotSeconds their decayed service time.
	runs, slotSeconds float64
	// completed is the number of all runs; it does not decay.
	completed uint64
	calls     []callCount
}

// calledClass is the record of how many calls of a class from this host were attributed to a run.
type calledClass struct {
	decay
	attributed, other float64
	// calls is the number of all calls; it does not decay.
	calls int
}

// nested reports whether the calls of the class are nested ones; see certain.
func (c *calledClass) nested() bool {
	return c.attributed > 0 && c.attributed >= minNestedFraction*(c.attributed+c.other)
}

// certain reports whether there were enough calls to tell whether the class is nested.
func (c *calledClass) certain() bool { return c.calls >= minNestedCalls }

// Estimator holds the estimates of one node. It is safe for concurrent use.
type Estimator struct {
	mutex sync.Mutex
	// inFlight are the runs at the local target, in the order of their deadlines.
	inFlight []*runInFlight
	// unused are ended runs, for reuse.
	unused  []*runInFlight
	own     map[Class]*ownClass
	called  map[string]*calledClass
	merged  map[Class]*mergedDemands
	reports map[reportKey]report
	// reportTokens are the reports that may be made now; see takeReportToken.
	reportTokens   float64
	reportTokensAt time.Time
}

// New returns an estimator without estimates.
func New() *Estimator {
	return &Estimator{own: map[Class]*ownClass{}, called: map[string]*calledClass{}, merged: map[Class]*mergedDemands{},
		reports: map[reportKey]report{}}
}

// position returns the index of the first run whose deadline is not before the given one. It is called with the lock held.
func (e *Estimator) position(deadline time.Time) int {
	index, _ := slices.BinarySearchFunc(e.inFlight, deadline, func(r *runInFlight, d time.Time) int { return r.Deadline.Compare(d) })
	return index
}

// RunStarted records that a run begins at the local target. The handle must be passed to RunFinished or RunFailed.
func (e *Estimator) RunStarted(run Run) Handle {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var r *runInFlight
	if last := len(e.unused) - 1; last >= 0 {
		r, e.unused = e.unused[last], e.unused[:last]
	} else {
		r = &runInFlight{}
	}
	r.Run, r.calls = run, r.calls[:0]
	e.inFlight = slices.Insert(e.inFlight, e.position(run.Deadline), r)
	return Handle{run: r}
}

// RunFinished records that a run has completed, with the time for which it held its slot. Its calls count from now on.
func (e *Estimator) RunFinished(now time.Time, handle Handle, serviceTime time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := handle.run
	o := recordIn(e.own, now, r.Class, func() *ownClass { return &ownClass{} })
	factor := o.advance(now)
	o.runs, o.slotSeconds = o.runs*factor+1, o.slotSeconds*factor+serviceTime.Seconds()
	o.completed++
	for i := range o.calls {
		o.calls[i].count *= factor
	}
	o.calls = slices.DeleteFunc(o.calls, func(c callCount) bool { return c.count < minCalls*o.runs })
	for _, c := range r.calls {
		o.calls = addCalls(o.calls, c.class, c.count)
	}
	e.remove(r)
}

// RunFailed records that a run has ended without success. It does not count: it may have ended at a nested call that failed, before the
// calls that it would have made otherwise.
func (e *Estimator) RunFailed(handle Handle) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.remove(handle.run)
}

// remove is called with the lock held, once for each run.
func (e *Estimator) remove(r *runInFlight) {
	for i := e.position(r.Deadline); i < len(e.inFlight); i++ {
		if e.inFlight[i] == r {
			e.inFlight = slices.Delete(e.inFlight, i, i+1)
			e.unused = append(e.unused, r)
			return
		}
	}
}

// CallArrived records a call of this host, and reports whether it is a nested call of a run at the local target. The parent is the run
// whose deadline is nearest; it is the zero Run if the call cannot be attributed, although its class is nested.
func (e *Estimator) CallArrived(now time.Time, class Class, deadline time.Time) (parent Run, nested bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c := recordIn(e.called, now, class.Name, func() *calledClass { return &calledClass{} })
	factor := c.advance(now)
	c.attributed, c.other = c.attributed*factor, c.other*factor
	c.calls++
	r := e.nearest(deadline)
	if r == nil {
		c.other++
		return Run{}, c.certain() && c.nested()
	}
	c.attributed++
	r.calls = addCalls(r.calls, class, 1)
	if c.certain() && !c.nested() {
		return Run{}, false // a customer request whose deadline equals that of a run by chance
	}
	return r.Run, true
}

// nearest returns the run in flight whose deadline is nearest to the given one, if it is within attributionWindow. It is called with the
// lock held.
func (e *Estimator) nearest(deadline time.Time) *runInFlight {
	var found *runInFlight
	smallest := attributionWindow
	after := e.position(deadline)
	for i := max(after-1, 0); i <= after && i < len(e.inFlight); i++ {
		if difference := e.inFlight[i].Deadline.Sub(deadline).Abs(); difference <= smallest {
			found, smallest = e.inFlight[i], difference
		}
	}
	return found
}

// expirer is a record that becomes invalid after maxAge.
type expirer interface{ expired(now time.Time) bool }

// recordIn returns the record with a key and creates it if necessary, or if it has expired. If the table is full, it drops the expired
// records first, and all if there are none.
func recordIn[K comparable, R expirer](table map[K]R, now time.Time, key K, create func() R) R {
	record, ok := table[key]
	if ok && !record.expired(now) {
		return record
	}
	if !ok && len(table) >= maxClasses {
		for k, r := range table {
			if r.expired(now) {
				delete(table, k)
			}
		}
		if len(table) >= maxClasses {
			clear(table)
		}
	}
	record = create()
	table[key] = record
	return record
}

// limited returns the demand with calls and slot time within their limits.
func limited(d hemlockcall.CallDemand) hemlockcall.CallDemand {
	d.Calls, d.SlotTime = min(d.Calls, maxCalls), min(d.SlotTime, maxSlotTime)
	return d
}
