package hemlockselection

import (
	"math"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against calls that avoid a target because a run there was the first to wait for a nested service that has become slow.
func TestSlowNestedServiceRaisesCostOfClass(t *testing.T) {
	load := replayLoad{targets: 29, slots: 47, slowNestedFrom: 20 * time.Second, classes: []replayClass{
		{name: "tree", cost: 160 * time.Millisecond, nested: 100 * time.Millisecond, rate: 726, entries: 12}}}
	r := newReplay(load, PlacementCost, pickOwn)
	slowed := 0.0
	for at := 20 * time.Second; at < 24*time.Second; at += 100 * time.Millisecond {
		r.runUntil(at)
		for _, s := range r.selectors[:12] {
			for _, e := range s.groups["s"].own {
				slowed = max(slowed, e.cost.slowness.current(r.now)-e.cost.slowness.usual)
			}
		}
	}
	if slowed > 0.6 {
		t.Errorf("an entry took a target for %.2f times slower than usual, want at most 1.8 times", math.Exp(slowed))
	}
	if cost := r.selectors[0].Snapshot(r.now).Services[0].CostMilliseconds["tree"]; cost < 500 {
		t.Errorf("the cost of the class is %.0f ms, want above 500 ms", cost)
	}
}

// Guards against calls that go to a target that has stopped: it sends no responses, so its slowness and load stay as they were.
func TestFrozenTargetGetsFewCalls(t *testing.T) {
	r := newReplay(replayLoads()["episodes"], PlacementCost, pickOwn)
	r.runUntil(20 * time.Second)
	frozen := r.targets["3"]
	frozen.frozen = true
	before := len(frozen.queue) + frozen.running
	r.runUntil(22 * time.Second)
	// An equal share is 190 calls a second.
	if calls := len(frozen.queue) + frozen.running - before; calls > 110 {
		t.Errorf("%d calls to a frozen target in two seconds, want at most 110", calls)
	}
}

// Guards against all nodes sending their calls to a target that has just started because it is idle.
func TestNewTargetGetsItsShareGradually(t *testing.T) {
	known := []hemlockcall.Target{target("1", "a"), target("2", "a"), target("3", "a")}
	s := newSelectorBy(PlacementCost, known...)
	now := start
	share := func(of time.Duration) float64 {
		calls := 0
		for end := now.Add(of); now.Before(end); now = now.Add(time.Millisecond) {
			chosen, _ := s.Pick(now, "s", "c", nil)
			if chosen.Address == "new" {
				calls++
			}
			s.Done(now, chosen.Address, "c", completed(20*time.Millisecond, 5))
		}
		return float64(calls) / of.Seconds() / 1000
	}
	share(time.Second)
	s.Replace(append(known, target("new", "a")))
	if early := share(500 * time.Millisecond); early < 0.01 || early > 0.1 {
		t.Errorf("a new target gets %.2f of the calls, want 0.01 to 0.1", early)
	}
	share(gradualStart)
	if late := share(time.Second); late < 0.15 {
		t.Errorf("a target gets %.2f of the calls after its start, want at least 0.15", late)
	}
}

// Guards against a target that looks idle although its calls are late, or that looks busy after they have ended.
func TestOutstandingWork(t *testing.T) {
	const c = 100 * time.Millisecond
	w := NewWork()
	w.Queued(start, "c").Started(start).Ended(start.Add(c), true)
	now := start.Add(time.Second)
	want := func(after, work time.Duration) {
		t.Helper()
		if got := w.Outstanding(now.Add(after)); (got - work).Abs() > time.Millisecond {
			t.Errorf("%v of work after %v, want %v", got, after, work)
		}
	}
	first, second := w.Queued(now, "c").Started(now), w.Queued(now, "c")
	want(0, 2*c)
	want(c/4, c*7/4)
	want(c, c*3/2)
	want(5*c, 5*c)
	first.Ended(now.Add(c), false)
	second.Ended(now.Add(c), false)
	want(c, 0)
}
