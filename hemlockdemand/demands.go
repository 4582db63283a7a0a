package hemlockdemand

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hemlockhollow/hemlockcall"
)

// mergedDemands are the demands of a class as callee nodes report them: means that are weighted by the runs behind each report.
type mergedDemands struct {
	decay
	// runs is the decayed weight of all reports.
	runs float64
	// completed is the number of runs behind all reports; it does not decay.
	completed int
	// sums are the weighted sums by service, at most maxServices.
	sums []demandSum
	// mean is the weighted mean, which is not modified after it was set. It is nil until completed reaches minRuns.
	mean []hemlockcall.CallDemand
}

type demandSum struct {
	service string
	calls   float64
	// slotSeconds is the slot time of slotCalls, which are the calls of the reports that state a slot time.
	slotSeconds, slotCalls float64
}

func (m *mergedDemands) add(d hemlockcall.CallDemand, weight float64) {
	index := slices.IndexFunc(m.sums, func(s demandSum) bool { return s.service == d.Service })
	if index < 0 {
		if len(m.sums) >= maxServices {
			return
		}
		index = len(m.sums)
		m.sums = append(m.sums, demandSum{service: d.Service})
	}
	s := &m.sums[index]
	s.calls += weight * d.Calls
	if d.SlotTime > 0 {
		s.slotSeconds += weight * d.SlotTime.Seconds()
		s.slotCalls += weight * d.Calls
	}
}

// demands returns the means by service. Reports without a slot time do not count for the slot time of a call.
func (m *mergedDemands) demands() []hemlockcall.CallDemand {
	mean := make([]hemlockcall.CallDemand, 0, len(m.sums))
	for _, s := range m.sums {
		d := hemlockcall.CallDemand{Service: s.service, Calls: s.calls / m.runs}
		if s.slotCalls > 0 {
			d.SlotTime = seconds(d.Calls * s.slotSeconds / s.slotCalls)
		}
		mean = append(mean, d)
	}
	return mean
}

// seconds limits the duration to maxSlotTime.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxSlotTime.Seconds()) * float64(time.Second))
}

// Merge merges the demands of a class that a callee node has reported, with the number of runs behind them. Reports of many nodes are
// averaged, each weighted by its runs; the weights decay.
func (e *Estimator) Merge(now time.Time, class Class, demands []hemlockcall.CallDemand, runs int) {
	if len(demands) == 0 || runs <= 0 {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	m := recordIn(e.merged, now, class, func() *mergedDemands { return &mergedDemands{} })
	factor := m.advance(now)
	m.runs = m.runs*factor + float64(runs)
	m.completed += runs
	for i := range m.sums {
		m.sums[i].calls *= factor
		m.sums[i].slotSeconds *= factor
		m.sums[i].slotCalls *= factor
	}
	for _, d := range demands {
		m.add(limited(d), float64(runs))
	}
	m.sums = slices.DeleteFunc(m.sums, func(s demandSum) bool { return s.calls < minCalls*m.runs })
	if m.completed >= minRuns {
		m.mean = m.demands()
	}
}

// TreeDemands returns the demands of one run of a class at a service that this node calls, the run itself included; nil while they are
// unknown. The slice must not be modified.
func (e *Estimator) TreeDemands(now time.Time, class Class) []hemlockcall.CallDemand {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if m := e.merged[class]; m != nil && !m.expired(now) {
		return m.mean
	}
	return nil
}

// Demands returns the demands of one run of a class at the local target: the run itself and its nested calls, for which callee nodes
// have reported theirs. It is nil before the first run. Calls of a class whose callee reports nothing count without slot time.
func (e *Estimator) Demands(now time.Time, class Class) []hemlockcall.CallDemand {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.demands(now, class)
}

// demands is called with the lock held.
func (e *Estimator) demands(now time.Time, class Class) []hemlockcall.CallDemand {
	o := e.own[class]
	if o == nil || o.expired(now) {
		return nil
	}
	demands := []hemlockcall.CallDemand{{Service: class.Service, Calls: 1, SlotTime: seconds(o.slotSeconds / o.runs)}}
	for _, c := range o.calls {
		called := e.called[c.class.Name]
		if called == nil || called.expired(now) || !called.nested() {
			continue
		}
		// Calls with a shorter timeout of their own cannot be attributed; they are made by the same parents as the others.
		calls := c.count / o.runs * (called.attributed + called.other) / called.attributed
		nested := []hemlockcall.CallDemand{{Service: c.class.Service, Calls: 1}}
		if m := e.merged[c.class]; m != nil && !m.expired(now) {
			nested = m.demands()
		}
		for _, d := range nested {
			demands = addDemand(demands, hemlockcall.CallDemand{Service: d.Service, Calls: calls * d.Calls,
				SlotTime: time.Duration(min(calls*float64(d.SlotTime), float64(maxSlotTime)))})
		}
	}
	return slices.DeleteFunc(demands, func(d hemlockcall.CallDemand) bool { return d.Calls < minCalls })
}

// addDemand adds a demand to those of the same service. Services beyond maxServices are dropped.
func addDemand(demands []hemlockcall.CallDemand, d hemlockcall.CallDemand) []hemlockcall.CallDemand {
	for i := range demands {
		if demands[i].Service == d.Service {
			demands[i].Calls += d.Calls
			demands[i].SlotTime += d.SlotTime
			demands[i] = limited(demands[i])
			return demands
		}
	}
	if len(demands) >= maxServices {
		return demands
	}
	return append(demands, limited(d))
}

const (
	// reportInterval is the minimum time between two reports of the demands of a class to one peer.
	reportInterval = 500 * time.Millisecond
	// reportsPerSecond limits the reports to all peers together. A report takes up to 180 bytes with seven services, and control messages
	// of a node may take 7 KB/s. At 1,500 nodes, each peer calls a target so rarely that reportInterval alone would not limit them.
	reportsPerSecond = 20
	// maxReports limits the number of peers and classes with a record of the last report. Within maxAge, there are at most
	// reportsPerSecond times maxAge reports.
	maxReports = 1024
)

// reportKey identifies what is reported to whom. A peer that connects again gets a report at once.
type reportKey struct {
	connection uint64
	class      Class
}

type report struct {
	at time.Time
	// completed is the number of runs of the class up to this report.
	completed uint64
}

// Report returns the demands of a class for the peer with the given connection and the number of runs since the last report to it, by
// which the peer weighs them. It returns nil if there was no run since then, if the last report is more recent than reportInterval, or if
// there were reportsPerSecond reports to all peers in the last second.
func (e *Estimator) Report(now time.Time, connection uint64, class Class) ([]hemlockcall.CallDemand, int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	key := reportKey{connection: connection, class: class}
	last, known := e.reports[key]
	if known && now.Sub(last.at) < reportInterval {
		return nil, 0
	}
	o := e.own[class]
	if o == nil || o.expired(now) {
		return nil, 0
	}
	if last.completed > o.completed {
		last.completed = 0 // the record has expired and was created again
	}
	runs := min(float64(o.completed-last.completed), o.runs+0.5)
	if runs < 1 || !e.takeReportToken(now) {
		return nil, 0
	}
	if !known && len(e.reports) >= maxReports {
		for k, r := range e.reports {
			if now.Sub(r.at) > maxAge {
				delete(e.reports, k)
			}
		}
		if len(e.reports) >= maxReports {
			clear(e.reports) // some peers then get a report earlier than usual
		}
	}
	e.reports[key] = report{at: now, completed: o.completed}
	return e.demands(now, class), int(runs)
}

// takeReportToken takes a token from a bucket that is refilled with reportsPerSecond and holds those of one second; false if it is empty.
// It is called with the lock held.
func (e *Estimator) takeReportToken(now time.Time) bool {
	e.reportTokens = min(e.reportTokens+max(0, now.Sub(e.reportTokensAt).Seconds())*reportsPerSecond, reportsPerSecond)
	e.reportTokensAt = now
	if e.reportTokens < 1 {
		return false
	}
	e.reportTokens--
	return true
}

// ClassDemands are the demands of one class, for operators.
type ClassDemands struct {
	Class   string       `json:"class"`
	Service string       `json:"service"`
	Known   bool         `json:"known"`
	Demands []DemandView `json:"demands"`
}

// DemandView is the demand at one service, for operators.
type DemandView struct {
	Service string  `json:"service"`
	Calls   float64 `json:"calls"`
	SlotMS  float64 `json:"slot-ms"`
}

// Snapshot is the state of an estimator, for operators.
type Snapshot struct {
	Trees         []ClassDemands `json:"trees"`
	NestedClasses []string       `json:"nested-classes"`
	RunsInFlight  int            `json:"runs-in-flight"`
}

// Snapshot returns the demands of the classes that this node calls, and the classes that are nested, both in order of their names.
func (e *Estimator) Snapshot(now time.Time) Snapshot {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := Snapshot{RunsInFlight: len(e.inFlight), Trees: []ClassDemands{}, NestedClasses: []string{}}
	for class, m := range e.merged {
		if m.expired(now) {
			continue
		}
		c := ClassDemands{Class: class.Name, Service: class.Service, Known: m.mean != nil}
		for _, d := range m.demands() {
			c.Demands = append(c.Demands, DemandView{Service: d.Service, Calls: d.Calls,
				SlotMS: float64(d.SlotTime.Microseconds()) / 1000})
		}
		slices.SortFunc(c.Demands, func(a, b DemandView) int { return strings.Compare(a.Service, b.Service) })
		s.Trees = append(s.Trees, c)
	}
	for name, c := range e.called {
		if !c.expired(now) && c.certain() && c.nested() {
			s.NestedClasses = append(s.NestedClasses, name)
		}
	}
	slices.SortFunc(s.Trees, func(a, b ClassDemands) int {
		return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Service, b.Service))
	})
	slices.Sort(s.NestedClasses)
	return s
}
