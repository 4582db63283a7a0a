package hemlockbackpressure

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// fleet is the load of TestReplayOfABurstAtTheDeepestService spread over many entries. The calls of the deepest service are
// made by middle nodes, one for ten entries, which alone hear its load; the answer to a tree brings their news to its entry.
type fleet struct {
	replay
	entries []*fleetEntry
	middles []*LoadMonitor
	// share says whether answers carry news.
	share bool
	next  int
}

type fleetEntry struct {
	valve   *Throttle
	monitor *LoadMonitor
}

const entriesForMiddle = 10

func newFleet(entries int, share bool) *fleet {
	f := &fleet{share: share}
	for range entries {
		f.entries = append(f.entries, &fleetEntry{valve: NewThrottle(), monitor: NewLoadMonitor()})
	}
	for range max(1, entries/entriesForMiddle) {
		f.middles = append(f.middles, NewLoadMonitor())
	}
	return f
}

func (f *fleet) arrive(priority hemlockcall.Priority, calls int, every time.Duration) {
	if f.now > replayTime {
		return
	}
	f.after(every, func() { f.arrive(priority, calls, every) })
	f.next++
	entry, middle := f.entries[f.next*7919%len(f.entries)], f.middles[f.next*104729%len(f.middles)]
	f.asked[priority]++
	if !entry.valve.Admit(f.clock(), priority, "first", entry.monitor.MaxLoad(f.clock())) {
		return
	}
	t := &tree{priority: priority, left: calls, born: f.now}
	f.after(60*time.Millisecond, func() { f.descend(t, entry, middle) })
}

// descend makes the calls of a tree one after the other, at a middle node.
func (f *fleet) descend(t *tree, entry *fleetEntry, middle *LoadMonitor) {
	load := float64(f.running+len(f.waiting)) / leafSlots
	f.after(reportDelay, func() {
		middle.RecordLoad(f.clock(), "deepest", load)
		if f.share && (t.left <= 1 || load > 1+leafQueue/leafSlots) {
			entry.monitor.MergeLoads(f.clock(), middle.HighLoads(f.clock()))
		}
	})
	switch {
	case f.running < leafSlots:
		f.execute(t, entry, middle)
	case len(f.waiting) < leafQueue:
		f.waiting = append(f.waiting, t)
		t.resume = func() { f.execute(t, entry, middle) }
	case f.share:
		f.after(reportDelay, func() { entry.monitor.MergeLoads(f.clock(), middle.HighLoads(f.clock())) })
	}
}

func (f *fleet) execute(t *tree, entry *fleetEntry, middle *LoadMonitor) {
	f.running++
	f.after(leafTime, func() {
		f.running--
		if len(f.waiting) > 0 {
			next := f.waiting[0]
			f.waiting = f.waiting[1:]
			next.resume()
		}
		if t.left--; t.left > 0 {
			f.descend(t, entry, middle)
		} else if f.now-t.born <= treeDeadline {
			f.served[t.priority]++
		}
	})
}

func (f *fleet) play() *fleet {
	f.arrive(hemlockcall.Sheddable, browseCalls, time.Second/browseRate)
	f.arrive(hemlockcall.Critical, orderCalls, time.Second/orderRate)
	f.drain()
	return f
}

// worth is the share of the worth that was served; an order is worth three times a browse.
func (f *fleet) worth() float64 {
	const order = 3
	owed := f.asked[hemlockcall.Sheddable] + order*f.asked[hemlockcall.Critical]
	return float64(f.served[hemlockcall.Sheddable]+order*f.served[hemlockcall.Critical]) / float64(owed)
}

// wantServed plays the same load at a number of entries, which may lose no more than a twentieth of the worth.
func wantServed(t *testing.T, entries int) {
	t.Helper()
	least := newFleet(15, true).play().worth() - 0.05
	with, without := newFleet(entries, true).play().worth(), newFleet(entries, false).play().worth()
	t.Logf("worth served with news on answers %.3f, without %.3f", with, without)
	if with < least {
		t.Errorf("worth served %.3f, want %.3f", with, least)
	}
	if with <= without {
		t.Error("news on answers serve no more")
	}
}

// Guards against decisions that get worse as the same load is spread over more entries, each of which hears little itself.
func TestReplayOfABurstAtManyEntries(t *testing.T) {
	for _, entries := range []int{78, 195} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) { wantServed(t, entries) })
	}
}

// Guards against the same where an entry begins a tree every two seconds, and news on answers is too old.
func TestReplayOfABurstAtThousandsOfEntries(t *testing.T) {
	wantServed(t, 1500)
}

func TestNews(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("the newest counts", func(t *testing.T) {
		m := NewLoadMonitor()
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 2, Age: 100 * time.Millisecond}})
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 1, Age: 300 * time.Millisecond}})
		if got := m.ServiceLoad(now, "s"); got != 2 {
			t.Errorf("load %v", got)
		}
	})
	t.Run("ages on its way", func(t *testing.T) {
		m := NewLoadMonitor()
		m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: "s", Load: 2, Age: newsAge}})
		if got := m.ServiceLoad(now.Add(time.Millisecond), "s"); got != 0 {
			t.Errorf("load %v of old news", got)
		}
	})
	t.Run("what has room is not passed on", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordLoad(now, "idle", passedOn/2)
		if digest := m.HighLoads(now); digest != nil {
			t.Errorf("digest %v", digest)
		}
	})
	t.Run("is bounded, the most loaded first", func(t *testing.T) {
		m := NewLoadMonitor()
		for i := range 20 {
			m.RecordLoad(now, fmt.Sprint(i), 1+float64(i)/10)
		}
		digest := m.HighLoads(now)
		if len(digest) != mostPassedOn || digest[0].Service != "19" {
			t.Errorf("digest %v", digest)
		}
	})
	t.Run("names without an end do not fill the memory", func(t *testing.T) {
		m := NewLoadMonitor()
		for i := range 10 * mostServices {
			m.MergeLoads(now, []hemlockcall.ServiceLoad{{Service: fmt.Sprint(i), Load: 1}})
		}
		if len(m.services) > mostServices {
			t.Errorf("%d services", len(m.services))
		}
	})
}
