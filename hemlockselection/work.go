package hemlockselection

import (
	"sync"
	"time"
)

const (
	// minRemainingFraction is the smallest remaining work of a running call that is assumed, as a fraction of its service time. Service
	// times vary: of calls that have run for as long as usual, many are far from their end.
	minRemainingFraction = 0.5
	// workWeight is the weight of one service time in the mean of its class at the gate. An episode of slowness has some 30 samples
	// of 600 ms; the mean follows half of it at most, so that the remaining work of late calls shows it.
	workWeight = 0.02
	// maxWorkClasses limits the number of classes at one gate with a mean of their own; all others share one.
	maxWorkClasses = 64
)

// Work is the outstanding work at one target: the calls that are queued or running there, as its gate knows them. A nil Work records
// nothing and reports 0. It is safe for concurrent use.
type Work struct {
	mutex   sync.Mutex
	classes map[string]*workClass
}

// workClass is the work of one class.
type workClass struct {
	mean            float64 // of the service times, in seconds; 0 without a sample
	queued, running int
	// started is the sum over the running calls of the time from origin to their start, in seconds.
	started float64
	origin  time.Time
}

// NewWork returns the work at a target without calls.
func NewWork() *Work {
	return &Work{classes: map[string]*workClass{}}
}

// WorkCall is one call in a Work.
type WorkCall struct {
	work    *Work
	class   *workClass
	started time.Time // zero while queued
}

// Queued records a call that has arrived. Ended must be called for it.
func (w *Work) Queued(now time.Time, class string) WorkCall {
	if w == nil {
		return WorkCall{}
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.classes[class]
	if c == nil && len(w.classes) >= maxWorkClasses {
		class = ""
		c = w.classes[class]
	}
	if c == nil {
		c = &workClass{origin: now}
		w.classes[class] = c
	}
	c.queued++
	return WorkCall{work: w, class: c}
}

// Started returns the call once it runs at the target.
func (c WorkCall) Started(now time.Time) WorkCall {
	if c.work == nil {
		return c
	}
	c.work.mutex.Lock()
	defer c.work.mutex.Unlock()
	c.class.queued--
	c.class.running++
	c.class.started += now.Sub(c.class.origin).Seconds()
	c.started = now
	return c
}

// Ended removes the call. The service time of a successful one is used for the mean of its class.
func (c WorkCall) Ended(now time.Time, successful bool) {
	if c.work == nil {
		return
	}
	c.work.mutex.Lock()
	defer c.work.mutex.Unlock()
	k := c.class
	if c.started.IsZero() {
		k.queued--
		return
	}
	k.running--
	k.started -= c.started.Sub(k.origin).Seconds()
	if k.running == 0 {
		k.started, k.origin = 0, now // rounding errors do not add up
	}
	switch taken := now.Sub(c.started).Seconds(); {
	case !successful:
	case k.mean == 0:
		k.mean = taken
	default:
		k.mean += (taken - k.mean) * workWeight
	}
}

// Outstanding returns the expected time that the queued and running calls still need, as a sum, at the usual speed of the target. A
// class whose running calls take longer than usual has as much work left as it is late, so that the work of a slow or frozen target
// rises.
func (w *Work) Outstanding(now time.Time) time.Duration {
	if w == nil {
		return 0
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	sum := 0.0
	for _, c := range w.classes {
		sum += c.outstanding(now)
	}
	return time.Duration(sum * float64(time.Second))
}

func (c *workClass) outstanding(now time.Time) float64 {
	mean := c.mean
	if mean == 0 {
		mean = defaultServiceTime.Seconds()
	}
	expected := float64(c.running) * mean
	taken := float64(c.running)*now.Sub(c.origin).Seconds() - c.started
	return float64(c.queued)*mean + max(expected-taken, expected*minRemainingFraction, taken-expected)
}
