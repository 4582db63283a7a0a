// Package hemlockbackpressure decides which new call trees an entry node admits, by the load of the services downstream.
// A call tree is a customer request with all nested calls that its run makes. The package does no I/O; time is an
// argument.
//
// One refused call to a deep service fails the whole call tree upstream of it, and all work done for that tree is lost.
// So call trees are refused before they start, the least important first, and the deep services stay just below their
// limits.
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
	// loadTimeConstant is the time constant of the moving average of a service's load: a few service times of a deep call.
	loadTimeConstant = 150 * time.Millisecond
	// maxReportAge is how long a load report is valid. A service without a valid report counts as unloaded.
	maxReportAge = time.Second
	// missingTargetTime is how long a service counts as unreachable after a call found no target: as long as the throttle
	// takes to react.
	missingTargetTime = 300 * time.Millisecond
	// unreachableLoad is the load assumed while a service has no target, because call trees that need it fail. It is also the
	// load assumed for a class whose call trees all fail.
	unreachableLoad = 5
	// treeResultWeight is the weight of one call tree in the moving average of failures.
	treeResultWeight = 0.08
	// failureHalfTime is the time after which the moving average of failures has halved if there are no further results.
	failureHalfTime = time.Second
	// failingThreshold is the failed fraction above which the call trees of a class are assumed to need an unreachable
	// service.
	failingThreshold = 0.5
	// maxClasses limits the number of classes with a record of failures.
	maxClasses = 256
	// firstServiceFactor multiplies the load of a service for sheddable call trees whose first call goes to it. They are throttled only
	// once about as many calls are queued at its targets as run.
	firstServiceFactor = 0.5
	// minHighLoad is the minimum load at which a service is reported to other nodes.
	minHighLoad = 0.6
	// relievedReportTime is how long after its last high load a service is still reported. Without a report of the lower load, other
	// nodes would refuse call trees by the high one until that expires.
	relievedReportTime = 3 * time.Second
	// maxHighLoads limits the number of load reports that HighLoads returns.
	maxHighLoads = 8
	// maxServices limits the number of services with a record; a deployment has tens.
	maxServices = 256
)

// MovingAverage is a time-weighted moving average. The zero value is ready to use.
type MovingAverage struct {
	value     float64
	updatedAt time.Time
}

// Add adds a sample. A sample that is no later than the last one is ignored.
func (a *MovingAverage) Add(now time.Time, sample float64) {
	if a.updatedAt.IsZero() {
		a.value, a.updatedAt = sample, now
		return
	}
	elapsed := now.Sub(a.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	weight := elapsed / (elapsed + loadTimeConstant.Seconds())
	a.value += (sample - a.value) * weight
	a.updatedAt = now
}

// Value returns the average, or 0 if the last sample is older than maxReportAge.
func (a *MovingAverage) Value(now time.Time) float64 {
	if now.Sub(a.updatedAt) > maxReportAge {
		return 0
	}
	return a.value
}

// LoadMonitor tracks the load of services, which other nodes report to this node, and the failures of this node's call
// trees. It is safe for concurrent use.
type LoadMonitor struct {
	mutex    sync.Mutex
	services map[string]*serviceLoad
	// missingUntil is the time until which some service counts as unreachable.
	missingUntil time.Time
	failures     map[classAtService]*failureFraction
}

// serviceLoad is the record of one service.
type serviceLoad struct {
	MovingAverage
	// nestedAt is when a call tree was last decided on that reaches the service through another one.
	nestedAt time.Time
	// highAt is when the load was last at least minHighLoad.
	highAt time.Time
	// refusals and missingUntil are recorded only for the admission by call trees.
	refusals refusals
	// missingUntil is the time until which the service counts as unreachable, because a call found no target.
	missingUntil time.Time
}

// reportable reports whether the load is of interest to other nodes: it is high, or they may still take it for high.
func (s *serviceLoad) reportable(now time.Time) bool {
	return now.Sub(s.updatedAt) <= maxReportAge && now.Sub(s.highAt) <= relievedReportTime || s.refusals.reportable(now)
}

// report returns the load report for other nodes.
func (s *serviceLoad) report(now time.Time, service string) hemlockcall.ServiceLoad {
	load := hemlockcall.ServiceLoad{Service: service, Load: s.value, Age: max(0, now.Sub(s.updatedAt))}
	if refused := s.refusals.value(now); refused > 0 {
		load.Refused, load.RefusedAge = refused, max(0, now.Sub(s.refusals.measuredAt))
	}
	return load
}

// noteHigh is called after each change.
func (s *serviceLoad) noteHigh() {
	if s.value >= minHighLoad {
		s.highAt = s.updatedAt
	}
}

// classAtService identifies the call trees of one class whose first call goes to the same service. The parts of a weighted split, and the
// services that a route leads to before and after a change of the configuration, fail independently.
type classAtService struct{ class, service string }

// failureFraction is the moving average of the fraction of failed call trees of one class at one service.
type failureFraction struct {
	fraction  float64
	updatedAt time.Time
}

// value returns the fraction. It decays with the time since the last result, so that call trees of a failing class are
// admitted again.
func (f *failureFraction) value(now time.Time) float64 {
	return f.fraction / (1 + now.Sub(f.updatedAt).Seconds()/failureHalfTime.Seconds())
}

// NewLoadMonitor returns a monitor without records.
func NewLoadMonitor() *LoadMonitor {
	return &LoadMonitor{services: map[string]*serviceLoad{}, failures: map[classAtService]*failureFraction{}}
}

// RecordLoad records the load of a service, which the node beside a target reported with the result of a call.
func (m *LoadMonitor) RecordLoad(now time.Time, service string, load float64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	s := m.recordOf(service)
	s.Add(now, load)
	s.noteHigh()
}

// MergeLoads merges the load reports of another node. A load that was measured later than the recorded one replaces it,
// without averaging, because it is an average already. Any other load is ignored.
func (m *LoadMonitor) MergeLoads(now time.Time, loads []hemlockcall.ServiceLoad) {
	if len(loads) == 0 {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, l := range loads {
		s, updatedAt := m.recordOf(l.Service), now.Add(-l.Age)
		if updatedAt.After(s.updatedAt) {
			s.MovingAverage = MovingAverage{value: l.Load, updatedAt: updatedAt}
			s.noteHigh()
		}
		s.refusals.merge(now, l.Refused, l.RefusedAge)
	}
}

// HighLoads returns the load reports for other nodes: the services with a load of at least minHighLoad, now or in the last
// relievedReportTime, and those that refuse calls, the most loaded first and at most maxHighLoads; nil if there are none.
func (m *LoadMonitor) HighLoads(now time.Time) []hemlockcall.ServiceLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var loads []hemlockcall.ServiceLoad
	for name, s := range m.services {
		if s.reportable(now) {
			loads = append(loads, s.report(now, name))
		}
	}
	if len(loads) > 1 {
		slices.SortFunc(loads, func(a, b hemlockcall.ServiceLoad) int {
			return cmp.Or(cmp.Compare(reportOrder(b), reportOrder(a)), strings.Compare(a.Service, b.Service))
		})
		loads = loads[:min(len(loads), maxHighLoads)]
	}
	return loads
}

// reportOrder returns the value by which load reports are ordered: the load, or for services that refuse calls, the load that their
// refusals amount to.
func reportOrder(l hemlockcall.ServiceLoad) float64 { return max(l.Load, unreachableLoad*l.Refused) }

// recordOf returns the load record of a service and creates it if necessary. It is called with the lock held.
func (m *LoadMonitor) recordOf(service string) *serviceLoad {
	s := m.services[service]
	if s == nil {
		if len(m.services) >= maxServices {
			clear(m.services) // mostly services that no longer exist; the others are reported again
		}
		s = &serviceLoad{}
		m.services[service] = s
	}
	return s
}

// RecordMissingTarget records that a call found no target of its service.
func (m *LoadMonitor) RecordMissingTarget(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.missingUntil = now.Add(missingTargetTime)
}

// RecordCallTreeResult records whether a call tree of a class whose first call went to the service failed.
func (m *LoadMonitor) RecordCallTreeResult(now time.Time, class, firstService string, failed bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	k := classAtService{class, firstService}
	f := m.failures[k]
	if f == nil {
		if len(m.failures) >= maxClasses {
			clear(m.failures) // mostly classes that no longer exist; the others are recorded again
		}
		f = &failureFraction{updatedAt: now}
		m.failures[k] = f
	}
	sample := 0.0
	if failed {
		sample = 1
	}
	f.fraction = f.value(now) + (sample-f.value(now))*treeResultWeight
	f.updatedAt = now
}

// Load is the load that applies to a call tree, and its cause.
type Load struct {
	// Value is the number of calls running or queued at a target, as a multiple of its concurrency limit, or a load that is
	// assumed because of failures.
	Value float64
	// Cause is the name of the most loaded service or a description of the failures; empty if no load is known.
	Cause string
	// Age is the time since the value was measured; 0 if it is assumed.
	Age time.Duration
}

// FailedFraction returns the fraction of the call trees of a class that failed recently, where their first call went to the service.
func (m *LoadMonitor) FailedFraction(now time.Time, class, firstService string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if f := m.failures[classAtService{class, firstService}]; f != nil {
		return f.value(now)
	}
	return 0
}

// failingLoad returns the load that is assumed for a class of which the given fraction of call trees fails. Most of them must: a
// downstream service may then be unreachable or refuse calls at random, which its load does not show.
func failingLoad(failed float64) Load {
	if failed <= failingThreshold {
		return Load{}
	}
	return Load{Value: unreachableLoad * failed, Cause: "failing call trees"}
}

// ServiceLoad returns the load of one service; 0 if it is unknown.
func (m *LoadMonitor) ServiceLoad(now time.Time, service string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s := m.services[service]; s != nil {
		return s.Value(now)
	}
	return 0
}

// MaxLoad returns the highest load for call trees of a priority whose first call goes to firstService, because it is not known which
// services a call tree calls. For a short time after a call found no target, it is unreachableLoad. It is 0 if no load is known.
//
// The load of the first service itself counts less for sheddable call trees, and not for more important ones, for two reasons. Its targets
// refuse a call before the call tree starts, so that no work is lost. And a call tree that starts at a deep service causes one run there,
// whereas a call tree that starts upstream causes several.
func (m *LoadMonitor) MaxLoad(now time.Time, priority hemlockcall.Priority, firstService string) Load {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.Before(m.missingUntil) {
		return Load{Value: unreachableLoad, Cause: "a service without a target"}
	}
	var highest Load
	for name, s := range m.services {
		value := s.Value(now)
		switch {
		case name != firstService:
		case priority == hemlockcall.Sheddable:
			value *= firstServiceFactor
		default:
			continue
		}
		if value > highest.Value {
			highest = Load{Value: value, Cause: name, Age: now.Sub(s.updatedAt)}
		}
	}
	return highest
}
