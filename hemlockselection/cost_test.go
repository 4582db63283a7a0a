package hemlockselection

import (
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

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
	s.Replace(append(known, target("early", "a")))
	share(time.Second)
	if s.entries["early"].cost.isNew {
		t.Error("a target that was found right after the start of the node counts as new")
	}
	share(settleTime)
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

// Guards against a target that gets no call again although it has recovered: without calls, nothing new is learned of it.
func TestTargetIsTriedAgain(t *testing.T) {
	run := func(s *Selector, now *time.Time, of time.Duration, resultOf func(address string, variation time.Duration) Result) (calls int) {
		for end := now.Add(of); now.Before(end); *now = now.Add(10 * time.Millisecond) {
			chosen, _ := s.Pick(*now, "s", "c", nil)
			if chosen.Address == "1" {
				calls++
			}
			variation := time.Duration(now.UnixMilli()/10*7919%2000) * time.Microsecond // a tenth: without it, all others are equal
			s.Done(*now, chosen.Address, "c", resultOf(chosen.Address, variation))
		}
		return calls
	}
	usual := func(_ string, variation time.Duration) Result { return completed(20*time.Millisecond+variation, 0) }
	for name, faulty := range map[string]Result{"slow": completed(60*time.Millisecond, 0), "reported one slot": {
		ServiceTime: 20 * time.Millisecond, Feedback: hemlockcall.Feedback{Limit: 1}}} {
		t.Run(name, func(t *testing.T) {
			s, now := newSelectorBy(PlacementCost, target("1", "a"), target("2", "a"), target("3", "a"), target("4", "a")), start
			run(s, &now, 10*time.Second, usual)
			run(s, &now, 30*time.Second, func(address string, variation time.Duration) Result {
				if address == "1" {
					return faulty
				}
				return usual(address, variation)
			})
			run(s, &now, 5*time.Minute, usual)
			if calls := run(s, &now, 10*time.Second, usual); calls < 50 {
				t.Errorf("%d of 1000 calls five minutes after the fault, want at least 50", calls)
			}
		})
	}
}

// Guards against a frozen target that keeps its share because a call of a rare class is in flight there: the calls of that class have
// not ended anywhere else either.
func TestRareClassDoesNotHideFrozenTarget(t *testing.T) {
	targets := []hemlockcall.Target{target("1", "a"), target("2", "a"), target("3", "a"), target("4", "a")}
	s, now := newSelectorBy(PlacementCost, targets...), start
	run := func(class string, serviceTime time.Duration) {
		for i := range 400 {
			now = now.Add(time.Millisecond)
			address := targets[1+i%3].Address
			s.Acquire(now, address, class)
			s.Done(now, address, class, completed(serviceTime, 0))
		}
	}
	run("rare", 200*time.Millisecond)
	run("frequent", 20*time.Millisecond)
	s.Acquire(now, "1", "rare")
	s.Acquire(now, "1", "frequent")
	for range 10 {
		run("frequent", 20*time.Millisecond)
	}
	if slowness := s.Snapshot(now).Services[0].Targets[0].Slowness; slowness < 10 {
		t.Errorf("slowness %.2f of a target at which no call has ended for 4 s, want at least 10", slowness)
	}
	s.Acquire(now, "2", "rare")
	now = now.Add(time.Minute)
	s.Acquire(now, "2", "frequent")
	s.Acquire(now, "3", "frequent")
	s.Done(now, "3", "frequent", completed(20*time.Millisecond, 0))
	if slowness := s.Snapshot(now).Services[0].Targets[1].Slowness; slowness > 2 {
		t.Errorf("slowness %.2f of a target whose calls of the frequent class have just begun, want at most 2", slowness)
	}
}
