package hemlockbackpressure

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// fleet spreads the load of runReplay over many entry nodes. Middle nodes, one for ten entry nodes and at least one, make
// the calls to the deepest service, and only they receive its load. The response to a call tree, or its refusal, carries the
// load reports of its middle node to its entry node, and gossip carries those of all nodes.
type fleet struct {
	replay
	entries []*fleetEntry
	middles []*LoadMonitor
	// loadReports is set if responses and gossip carry load reports.
	loadReports bool
	// arrivals is the number of requests that have arrived.
	arrivals int
}

type fleetEntry struct {
	throttle *Throttle
	monitor  *LoadMonitor
}

const entriesPerMiddle = 10

func newFleet(entries int, loadReports bool) *fleet {
	f := &fleet{loadReports: loadReports}
	for range entries {
		f.entries = append(f.entries, &fleetEntry{throttle: NewThrottle(), monitor: NewLoadMonitor()})
	}
	for range max(1, entries/entriesPerMiddle) {
		f.middles = append(f.middles, NewLoadMonitor())
	}
	return f
}

func (f *fleet) arrive(priority hemlockcall.Priority, calls int, interval time.Duration) {
	if f.now > arrivalPeriod {
		return
	}
	f.after(interval, func() { f.arrive(priority, calls, interval) })
	f.arrivals++
	// The prime factors distribute consecutive requests over the nodes.
	entry, middle := f.entries[f.arrivals*7919%len(f.entries)], f.middles[f.arrivals*104729%len(f.middles)]
	f.offered[priority]++
	if !admitReplayed(entry.throttle, entry.monitor, f.clock(), priority) {
		return
	}
	t := &callTree{priority: priority, callsLeft: calls, started: f.now}
	f.after(60*time.Millisecond, func() { f.nextCall(t, entry, middle) })
}

// nextCall makes the next call of a call tree from a middle node: the call is started, queued or refused. A refused call
// ends the call tree.
func (f *fleet) nextCall(t *callTree, entry *fleetEntry, middle *LoadMonitor) {
	load := float64(f.running+len(f.waiting)) / deepestSlots
	f.after(reportDelay, func() {
		middle.RecordLoad(f.clock(), "deepest", load)
		if f.loadReports && t.callsLeft <= 1 {
			entry.monitor.MergeLoads(f.clock(), middle.HighLoads(f.clock()))
		}
	})
	switch {
	case f.running < deepestSlots:
		f.runCall(t, entry, middle)
	case len(f.waiting) < deepestQueueSize:
		f.waiting = append(f.waiting, t)
		t.resume = func() { f.runCall(t, entry, middle) }
	default:
		f.after(reportDelay, func() {
			entry.monitor.RecordCallTreeResult(f.clock(), t.priority.String(), "first", true)
			if f.loadReports {
				entry.monitor.MergeLoads(f.clock(), middle.HighLoads(f.clock()))
			}
		})
	}
}

func (f *fleet) runCall(t *callTree, entry *fleetEntry, middle *LoadMonitor) {
	f.running++
	f.after(deepestServiceTime, func() {
		f.running--
		if len(f.waiting) > 0 {
			next := f.waiting[0]
			f.waiting = f.waiting[1:]
			next.resume()
		}
		if t.callsLeft--; t.callsLeft > 0 {
			f.nextCall(t, entry, middle)
			return
		}
		entry.monitor.RecordCallTreeResult(f.clock(), t.priority.String(), "first", f.now-t.started > treeDeadline)
		if f.now-t.started <= treeDeadline {
			f.served[t.priority]++
		}
	})
}

// The exchange of load reports by gossip, as in hemlockmember.
const (
	fleetZones       = 5
	probeInterval    = time.Second
	tickInterval     = 200 * time.Millisecond
	neighboursInZone = 3
	minLoadChange    = 0.5
)

// gossiper is a node that exchanges load reports with its neighbours in the zone.
type gossiper struct {
	monitor    *LoadMonitor
	neighbours []*LoadMonitor
	// sentLoad is the load that the neighbours were sent last without a probe.
	sentLoad float64
}

// startGossip makes all nodes exchange load reports, and the entry nodes observe the load.
func (f *fleet) startGossip() {
	monitors := slices.Clone(f.middles)
	for _, e := range f.entries {
		monitors = append(monitors, e.monitor)
	}
	phase := func(i int, interval time.Duration) time.Duration { return interval * time.Duration(i*7919%1000) / 1000 }
	for i, m := range monitors {
		g := &gossiper{monitor: m}
		for n := range neighboursInZone {
			g.neighbours = append(g.neighbours, monitors[(i+fleetZones*(n*n*37+n*11+1))%len(monitors)])
		}
		f.after(phase(i, probeInterval), func() { f.probe(g) })
		f.after(phase(i, tickInterval), func() { f.sendChangedLoad(g) })
	}
	for i, e := range f.entries {
		f.after(phase(i, tickInterval), func() { f.observe(e) })
	}
}

// probe sends load reports to the neighbours, whose replies contain theirs.
func (f *fleet) probe(g *gossiper) {
	if f.now > arrivalPeriod {
		return
	}
	f.after(probeInterval, func() { f.probe(g) })
	loads := g.monitor.HighLoads(f.clock())
	for _, to := range g.neighbours {
		f.after(reportDelay, func() {
			reply := to.HighLoads(f.clock())
			to.MergeLoads(f.clock(), loads)
			f.after(reportDelay, func() { g.monitor.MergeLoads(f.clock(), reply) })
		})
	}
}

// sendChangedLoad sends load reports to the neighbours if the load has changed much.
func (f *fleet) sendChangedLoad(g *gossiper) {
	if f.now > arrivalPeriod {
		return
	}
	f.after(tickInterval, func() { f.sendChangedLoad(g) })
	loads := g.monitor.HighLoads(f.clock())
	if len(loads) == 0 || math.Abs(loads[0].Load-g.sentLoad) < minLoadChange {
		return
	}
	g.sentLoad = loads[0].Load
	for _, to := range g.neighbours {
		f.after(reportDelay, func() { to.MergeLoads(f.clock(), loads) })
	}
}

func (f *fleet) observe(e *fleetEntry) {
	if f.now > arrivalPeriod {
		return
	}
	f.after(tickInterval, func() { f.observe(e) })
	e.throttle.Observe(f.clock(), func(priority hemlockcall.Priority, firstService string) Load {
		return e.monitor.MaxLoad(f.clock(), priority, firstService)
	})
}

func (f *fleet) simulate() *fleet {
	if f.loadReports {
		f.startGossip()
	}
	f.arrive(hemlockcall.Sheddable, browseCalls, time.Second/browseRate)
	f.arrive(hemlockcall.Critical, orderCalls, time.Second/orderRate)
	f.runEvents()
	return f
}

// servedValue returns the served fraction of the value of all requests; an order counts as much as three browse requests.
func (f *fleet) servedValue() float64 {
	const orderValue = 3
	total := f.offered[hemlockcall.Sheddable] + orderValue*f.offered[hemlockcall.Critical]
	return float64(f.served[hemlockcall.Sheddable]+orderValue*f.served[hemlockcall.Critical]) / float64(total)
}

// checkServedValue replays the load at the given number of entry nodes. They may serve at most 5 percentage points less of
// the value than 15 entry nodes, and load reports must increase the served value.
func checkServedValue(t *testing.T, entries int) {
	t.Helper()
	minValue := newFleet(15, true).simulate().servedValue() - 0.05
	with, without := newFleet(entries, true).simulate().servedValue(), newFleet(entries, false).simulate().servedValue()
	t.Logf("served value with load reports %.3f, without %.3f", with, without)
	if with < minValue {
		t.Errorf("served value %.3f, want %.3f", with, minValue)
	}
	if with <= without {
		t.Error("load reports do not increase the served value")
	}
}

// Guards against decisions that get worse when the same load is spread over more entry nodes, each of which receives few
// load reports.
func TestReplayOfABurstAtManyEntries(t *testing.T) {
	for _, entries := range []int{78, 195} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) { checkServedValue(t, entries) })
	}
}

// Guards against worse decisions when there are so many entry nodes that each starts a call tree only every two seconds, so
// that its load reports on responses are outdated: those that gossip brings count.
func TestReplayOfABurstAtThousandsOfEntries(t *testing.T) {
	checkServedValue(t, 1500)
}

func TestLoadReports(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("the latest one counts", func(t *testing.T) {
		m := NewLoadMonitor()
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 2, Age: 100 * time.Millisecond}})
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 1, Age: 300 * time.Millisecond}})
		if got := m.ServiceLoad(now, "s"); got != 2 {
			t.Errorf("load %v after an older report, want 2", got)
		}
	})
	t.Run("age counts from the measurement", func(t *testing.T) {
		m := NewLoadMonitor()
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 2, Age: maxReportAge}})
		if got := m.ServiceLoad(now.Add(time.Millisecond), "s"); got != 0 {
			t.Errorf("load %v of an expired report, want 0", got)
		}
	})
	t.Run("services with spare capacity are left out", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordLoad(now, "idle", minHighLoad/2)
		if loads := m.HighLoads(now); loads != nil {
			t.Errorf("load reports %v, want none", loads)
		}
	})
	t.Run("are limited to the most loaded services", func(t *testing.T) {
		m := NewLoadMonitor()
		for i := range 20 {
			m.RecordLoad(now, fmt.Sprint(i), 1+float64(i)/10)
		}
		loads := m.HighLoads(now)
		if len(loads) != maxHighLoads || loads[0].Service != "19" {
			t.Errorf("load reports %v, want maxHighLoads, that of the most loaded service 19 first", loads)
		}
	})
	t.Run("many names do not exhaust the memory", func(t *testing.T) {
		m := NewLoadMonitor()
		for i := range 10 * maxServices {
			m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: fmt.Sprint(i), Load: 1}})
		}
		if len(m.services) > maxServices {
			t.Errorf("%d services have a record, want at most maxServices", len(m.services))
		}
	})
}
