// Package hemlockbackpressure decides how much fresh work an entry lets in, by the load of the services that the work leads
// to. It does no I/O; time is an argument.
//
// One refused call of a deep service fails the whole tree of calls above it, and all work of that tree is lost. So trees
// are turned away before they begin, least important first, and the deep services stay just below their limits.
package hemlockbackpressure

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
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
	// directShare is the part by which the load of a service counts for calls that go straight to it: they are held back once
	// about as many calls wait at its targets as run.
	directShare = 0.5
	// passedOn is the load from which the news of a service is worth passing on.
	passedOn = 0.6
	// mostPassedOn bounds the services in one digest.
	mostPassedOn = 8
	// mostServices bounds the services that are told apart; a deployment has tens.
	mostServices = 256
)

// MovingAverage is a moving mean over time. The zero value is ready.
type MovingAverage struct {
	value float64
	at    time.Time
}

// Add takes in a sample.
func (a *MovingAverage) Add(now time.Time, sample float64) {
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
func (a *MovingAverage) Value(now time.Time) float64 {
	if now.Sub(a.at) > newsAge {
		return 0
	}
	return a.value
}

// LoadMonitor keeps the load of the services that this node hears of. It is safe for concurrent use.
type LoadMonitor struct {
	mutex    sync.Mutex
	services map[string]*MovingAverage
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

// NewLoadMonitor returns a monitor that has heard of no service.
func NewLoadMonitor() *LoadMonitor {
	return &LoadMonitor{services: map[string]*MovingAverage{}, trees: map[string]*failing{}}
}

// RecordLoad takes in the load that a node reported with the end of a call to a service.
func (m *LoadMonitor) RecordLoad(now time.Time, name string, load float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.average(name).Add(now, load)
}

// MergeLoads takes in what another node knows of services. The newest news counts; it is a mean already.
func (m *LoadMonitor) MergeLoads(now time.Time, loads []hemlockcall.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, l := range loads {
		if s, at := m.average(l.Service), now.Add(-l.Age); at.After(s.at) {
			*s = MovingAverage{value: l.Load, at: at}
		}
	}
}

// HighLoads returns the loaded services for other nodes, the most loaded ones first; nil where there is none.
func (m *LoadMonitor) HighLoads(now time.Time) []hemlockcall.ServiceLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var loads []hemlockcall.ServiceLoad
	for name, s := range m.services {
		if value := s.Value(now); value >= passedOn {
			loads = append(loads, hemlockcall.ServiceLoad{Service: name, Load: value, Age: max(0, now.Sub(s.at))})
		}
	}
	if len(loads) > 1 {
		slices.SortFunc(loads, func(a, b hemlockcall.ServiceLoad) int {
			return cmp.Or(cmp.Compare(b.Load, a.Load), strings.Compare(a.Service, b.Service))
		})
		loads = loads[:min(len(loads), mostPassedOn)]
	}
	return loads
}

// average returns the load of a service; it is called with the lock held.
func (m *LoadMonitor) average(name string) *MovingAverage {
	s := m.services[name]
	if s == nil {
		if len(m.services) >= mostServices {
			clear(m.services) // names of services that are gone
		}
		s = &MovingAverage{}
		m.services[name] = s
	}
	return s
}

// RecordMissingTarget takes in that a call found no target of its service.
func (m *LoadMonitor) RecordMissingTarget(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.missing = now.Add(missingAge)
}

// RecordTreeResult takes in how a tree of a class ended.
func (m *LoadMonitor) RecordTreeResult(now time.Time, class string, failed bool) {
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

// EntryLoad returns the load by which the trees of a class are let in whose first call goes to a service: that of the most
// loaded service, or one that rises with the share of trees that fail, where most of them do. A service below may be cut
// off or refuse at random, which its load does not show.
//
// The load of the first service itself counts by directShare. Its targets refuse a call before its tree begins, so that no
// work is lost, and a call that goes straight to a deep service costs it one run where a tree from above costs several.
func (m *LoadMonitor) EntryLoad(now time.Time, class, first string) Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := m.highest(now, first)
	if f := m.trees[class]; f != nil && f.value(now) > treeFailing && missingLoad*f.value(now) > load.Value {
		return Load{Value: missingLoad * f.value(now), Cause: "failing trees"}
	}
	return load
}

// ServiceLoad returns the load of one service.
func (m *LoadMonitor) ServiceLoad(now time.Time, name string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s := m.services[name]; s != nil {
		return s.Value(now)
	}
	return 0
}

// MaxLoad returns the load of the most loaded service, which a tree of calls is taken to reach.
func (m *LoadMonitor) MaxLoad(now time.Time) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.highest(now, "").Value
}

// highest is called with the lock held.
func (m *LoadMonitor) highest(now time.Time, first string) Load {
	if now.Before(m.missing) {
		return Load{Value: missingLoad, Cause: "a service without a target"}
	}
	var highest Load
	for name, s := range m.services {
		value := s.Value(now)
		if name == first {
			value *= directShare
		}
		if value > highest.Value {
			highest = Load{Value: value, Cause: name}
		}
	}
	return highest
}
