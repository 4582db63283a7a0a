package hemlockbackpressure

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// refusalTimeConstant is the time constant of the refused fraction of the nested calls of this host.
	refusalTimeConstant = 300 * time.Millisecond
	// minRefusalSamples is the decayed number of nested calls from which the refused fraction is known.
	minRefusalSamples = 5
	// minRefused is the refused fraction from which a service is reported to other nodes. Trees with 27 calls there then succeed with the
	// probability minSuccess.
	minRefused = 0.05
	// maxRefusedAge is how long a refused fraction is valid. A recovered service is not reported, so trees stay held back that long.
	maxRefusedAge = 700 * time.Millisecond
	// refusedReportWeight is the weight of one reported fraction against the recorded one. Each reporting node has measured few calls.
	refusedReportWeight = 0.3
	// minNewerRefusals is by how much a reported fraction must have been measured later than the recorded one to count. The age of a report
	// does not include its transit and is rounded down to milliseconds, so an echo appears to be measured later with each hop: at 300
	// messages per second and node with a transit of 5 ms, fractions stayed valid for 12 s in a simulation of 40 nodes.
	minNewerRefusals = 100 * time.Millisecond
	// failingTreeThreshold is the failed fraction of a class with known demands from which its call trees are held back. A class that makes
	// one call at a service that refuses half of its calls is still served.
	failingTreeThreshold = 0.6
	// minTreeCalls is the number of calls of a tree at a service from which its load counts. A few calls may be attributed to a wrong run,
	// and no tree is to be refused for a service that it does not call.
	minTreeCalls = 0.1
)

// nestedMemory is how long a service counts as one that call trees reach through others after such a tree was last decided on.
const nestedMemory = 10 * time.Second

// refusals is how many calls of a service fail after all attempts because its targets refuse them.
type refusals struct {
	// failed and calls are decayed numbers of nested calls of this host.
	failed, calls float64
	lastCall      time.Time
	// fraction is the measured or reported one, and measuredAt the time of its measurement.
	fraction   float64
	measuredAt time.Time
}

// add records the result of a nested call of this host.
func (r *refusals) add(now time.Time, failed bool) {
	factor := math.Exp(-max(0, now.Sub(r.lastCall).Seconds()) / refusalTimeConstant.Seconds())
	r.failed, r.calls, r.lastCall = r.failed*factor, r.calls*factor+1, now
	if failed {
		r.failed++
	}
	if r.calls >= minRefusalSamples {
		r.fraction, r.measuredAt = r.failed/r.calls, now
	}
}

// merge averages in what another node has measured later than the recorded fraction. Any other report may be an echo.
func (r *refusals) merge(now time.Time, fraction float64, age time.Duration) {
	measuredAt := now.Add(-age)
	if fraction <= 0 || measuredAt.Sub(r.measuredAt) < minNewerRefusals {
		return
	}
	if r.valid(now) {
		fraction = r.fraction + (fraction-r.fraction)*refusedReportWeight
	}
	r.fraction, r.measuredAt = fraction, measuredAt
}

func (r *refusals) valid(now time.Time) bool { return now.Sub(r.measuredAt) <= maxRefusedAge }

// value returns the refused fraction; 0 if it is unknown.
func (r *refusals) value(now time.Time) float64 {
	if !r.valid(now) {
		return 0
	}
	return r.fraction
}

// reportable reports whether other nodes are told the fraction.
func (r *refusals) reportable(now time.Time) bool { return r.value(now) >= minRefused }

// RecordNestedCall records the result of a nested call of this host after all attempts: whether it failed because the targets of its
// service refuse calls.
func (m *LoadMonitor) RecordNestedCall(now time.Time, service string, refused bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.recordOf(service).refusals.add(now, refused)
}

// RecordMissingService records that a call found no target of a service, which then counts as unreachable for a short time.
func (m *LoadMonitor) RecordMissingService(now time.Time, service string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.recordOf(service).missingUntil = now.Add(missingTargetTime)
}

// TreeLoad is what decides on a new call tree whose demands are known.
type TreeLoad struct {
	// Load is that of the scarce service: the one with the highest load among those that the tree calls at least minTreeCalls times.
	Load
	// Demand is that of the tree at the scarce service.
	Demand hemlockcall.CallDemand
	// Success is the probability that no call of the tree fails because targets refuse it.
	Success float64
	// Refusing is the service whose refusals lower Success most; empty if there are none.
	Refusing hemlockcall.CallDemand
}

// TreeLoad returns what decides on a new call tree of a class with the given demands. Only the services that the tree calls count. The load
// of the first service is multiplied by firstServiceFactor unless other trees reach that service through others: then
// they compete for it, and their refused calls cost more work. If more call trees of the class fail than failingTreeThreshold, the load is at
// least one that rises with the failed fraction.
func (m *LoadMonitor) TreeLoad(now time.Time, class, firstService string, demands []hemlockcall.CallDemand) TreeLoad {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	load := TreeLoad{Success: 1}
	lowest := 1.0
	for _, d := range demands {
		s := m.services[d.Service]
		if s == nil {
			continue
		}
		value, age := s.Value(now), now.Sub(s.updatedAt)
		if d.Service != firstService {
			if d.Calls >= minTreeCalls {
				s.nestedAt = now
			}
		} else if now.Sub(s.nestedAt) > nestedMemory {
			value *= firstServiceFactor
		}
		if now.Before(s.missingUntil) {
			value, age = unreachableLoad, 0
		}
		if value > load.Value && d.Calls >= minTreeCalls {
			load.Load, load.Demand = Load{Value: value, Cause: d.Service, Age: age}, d
		}
		if refused := s.refusals.value(now); refused > 0 {
			success := math.Pow(1-refused, d.Calls)
			load.Success *= success
			if success < lowest {
				lowest, load.Refusing = success, d
			}
		}
	}
	if f := m.failures[classAtService{class, firstService}]; f != nil {
		if failed := f.value(now); failed > failingTreeThreshold && unreachableLoad*failed > load.Value {
			load.Load, load.Demand = Load{Value: unreachableLoad * failed, Cause: "failing call trees"}, hemlockcall.CallDemand{}
		}
	}
	return load
}
