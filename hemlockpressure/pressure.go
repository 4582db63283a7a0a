// Package hemlockpressure decides how much fresh work an entry lets in, by the load of the services that the work leads
// to. It does no I/O; time is an argument.
//
// One refused call of a deep service fails the whole tree of calls above it, and all work of that tree is lost. So trees
// are turned away before they begin, least important first, and the deep services stay just below their limits.
package hemlockpressure

import (
	"sync"
	"time"
)

const (
	// smoothing is the time constant of the load at a service: a few service times of a deep call.
	smoothing = 150 * time.Millisecond
	// newsAge is how long a report counts; a service that nobody reports about has no load to speak of.
	newsAge = time.Second
	// missingAge is how long a service counts as missing after a call found no target: as long as the steps by which the
	// shares of trees change need to react.
	missingAge = 300 * time.Millisecond
	// missingLoad stands for the load of a missing service: trees that need it fail.
	missingLoad = 5
	// treeWeight is the weight of one tree in the moving share of failures, treeFade the time in which it halves without.
	treeWeight = 0.08
	treeFade   = time.Second
	// treeFailing is the share of failures above which trees of a class are taken to lack a service.
	treeFailing = 0.5
	// treeClasses bounds the classes that are told apart.
	treeClasses = 256
)

// Average is a moving mean over time. The zero value is ready.
type Average struct {
	value float64
	at    time.Time
}

// Add takes in a sample.
func (a *Average) Add(now time.Time, sample float64) {
	if a.at.IsZero() {
		a.value, a.at = sample, now
		return
	}
	passed := now.Sub(a.at).Seconds()
	if passed <= 0 {
		return
	}
	weight := passed / (passed + smoothing.Seconds())
	a.value += (sample - a.value) * weight
	a.at = now
}

// Value returns the mean, or 0 when the last sample is too old.
func (a *Average) Value(now time.Time) float64 {
	if now.Sub(a.at) > newsAge {
		return 0
	}
	return a.value
}

// Monitor keeps the load of the services that this node hears of. It is safe for concurrent use.
type Monitor struct {
	mutex    sync.Mutex
	services map[string]*Average
	// missing is until when a service counts as missing.
	missing time.Time
	trees   map[string]*failing
}

// failing is the moving share of the trees of one class that failed.
type failing struct {
	share float64
	at    time.Time
}

// value fades with time, so that a class is tried again.
func (f *failing) value(now time.Time) float64 {
	return f.share / (1 + now.Sub(f.at).Seconds()/treeFade.Seconds())
}

// NewMonitor returns a monitor that has heard of no service.
func NewMonitor() *Monitor {
	return &Monitor{services: map[string]*Average{}, trees: map[string]*failing{}}
}

// Report takes in the load that a node reported with the end of a call to a service.
func (m *Monitor) Report(now time.Time, service string, load float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	a := m.services[service]
	if a == nil {
		a = &Average{}
		m.services[service] = a
	}
	a.Add(now, load)
}

// Missing takes in that a call found no target of its service.
func (m *Monitor) Missing(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.missing = now.Add(missingAge)
}

// Ended takes in how a tree of a class ended.
func (m *Monitor) Ended(now time.Time, class string, failed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	f := m.trees[class]
	if f == nil {
		if len(m.trees) >= treeClasses {
			clear(m.trees) // names of routes that are gone
		}
		f = &failing{at: now}
		m.trees[class] = f
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share = f.value(now) + (sample-f.value(now))*treeWeight
	f.at = now
}

// Load is a load with what it stems from.
type Load struct {
	// Value is the load as a multiple of a limit.
	Value float64
	// Cause is the most loaded service, or says what else the load stands for.
	Cause string
}

// ForTree returns the load by which the trees of a class are let in: that of the most loaded service, or one that rises
// with the share of trees that fail, where most of them do. A service below may be cut off or refuse at random, which its
// load does not show.
func (m *Monitor) ForTree(now time.Time, class string) Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := m.highest(now)
	if f := m.trees[class]; f != nil && f.value(now) > treeFailing && missingLoad*f.value(now) > load.Value {
		return Load{Value: missingLoad * f.value(now), Cause: "failing trees"}
	}
	return load
}

// Of returns the load of one service.
func (m *Monitor) Of(now time.Time, service string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if a := m.services[service]; a != nil {
		return a.Value(now)
	}
	return 0
}

// Highest returns the load of the most loaded service, which a tree of calls is taken to reach.
func (m *Monitor) Highest(now time.Time) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.highest(now).Value
}

// highest is called with the lock held.
func (m *Monitor) highest(now time.Time) Load {
	if now.Before(m.missing) {
		return Load{Value: missingLoad, Cause: "a service without a target"}
	}
	var highest Load
	for name, a := range m.services {
		if value := a.Value(now); value > highest.Value {
			highest = Load{Value: value, Cause: name}
		}
	}
	return highest
}
