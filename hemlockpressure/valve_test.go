package hemlockpressure

import (
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

func admitted(v *Valve, from time.Time, p hemlockcall.Priority, load float64, count int, every time.Duration) int {
	let := 0
	for i := range count {
		if v.Admit(from.Add(time.Duration(i)*every), p, load) {
			let++
		}
	}
	return let
}

func TestValve(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("lets all in below the aim", func(t *testing.T) {
		if got := admitted(NewValve(), start, hemlockcall.Sheddable, 0.5, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 let in", got)
		}
	})
	t.Run("sheds the least important first", func(t *testing.T) {
		v := NewValve()
		if got := admitted(v, start, hemlockcall.Sheddable, 1.8, 3000, time.Millisecond); got > 900 {
			t.Errorf("%d of 3000 sheddable trees let in", got)
		}
		if got := admitted(v, start, hemlockcall.Critical, 1.8, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 critical trees let in", got)
		}
	})
	// Guards against a valve that stays closed after the cause is gone.
	t.Run("opens within two seconds", func(t *testing.T) {
		v := NewValve()
		admitted(v, start, hemlockcall.Sheddable, 4, 3000, time.Millisecond)
		admitted(v, start.Add(3*time.Second), hemlockcall.Sheddable, 0.4, 2000, time.Millisecond)
		if share := v.Share(hemlockcall.Sheddable); share < 1 {
			t.Errorf("share %.2f after 2 s without load", share)
		}
	})
}

func TestMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("forgets old reports", func(t *testing.T) {
		m := NewMonitor()
		m.Report(start, "a", 2)
		if got := m.Highest(start.Add(10 * time.Millisecond)); got != 2 {
			t.Errorf("load %v", got)
		}
		if got := m.Highest(start.Add(2 * time.Second)); got != 0 {
			t.Errorf("load %v two seconds after the last report", got)
		}
	})
	// Guards against a missing service that keeps trees out long after it is back.
	t.Run("counts a missing service briefly", func(t *testing.T) {
		m := NewMonitor()
		m.Missing(start)
		if got := m.Highest(start.Add(100 * time.Millisecond)); got != missingLoad {
			t.Errorf("load %v", got)
		}
		if got := m.Highest(start.Add(400 * time.Millisecond)); got != 0 {
			t.Errorf("load %v 400 ms after the last miss", got)
		}
	})
}

// Guards against trees that are begun one after the other although a service that they need is cut off.
func TestFailingTreesCountAsLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	m := NewMonitor()
	m.Report(start, "a", 0.5)
	for i := range 40 {
		m.Ended(start.Add(time.Duration(i)*time.Millisecond), "browse", true)
		m.Ended(start.Add(time.Duration(i)*time.Millisecond), "order", i%4 == 0)
	}
	now := start.Add(40 * time.Millisecond)
	if load := m.ForTree(now, "browse").Value; load < 4 {
		t.Errorf("load %.2f for a class that always fails", load)
	}
	if load := m.ForTree(now, "order").Value; load > 1 {
		t.Errorf("load %.2f for a class of which a quarter fails", load)
	}
	if load := m.ForTree(now.Add(2*time.Second), "browse").Value; load > 1 {
		t.Errorf("load %.2f two seconds after the last tree", load)
	}
}

// The load when a deep service fails nearly all trees: 30 trees a second begin at a node and fail after 300 ms each; later
// they go well again.
//
// Guards against trees that are let in again and again for nothing, and against a class that stays closed afterwards.
func TestReplayOfAServiceThatFailsAllTrees(t *testing.T) {
	const rate, took, failing, healed = 30, 300 * time.Millisecond, 8 * time.Second, 4 * time.Second
	start := time.Unix(1000, 0)
	m, v := NewMonitor(), NewValve()
	type end struct {
		at     time.Time
		failed bool
	}
	var ends []end
	letIn, after := 0, 0
	for i := range int((failing + healed).Seconds() * rate) {
		now := start.Add(time.Duration(i) * time.Second / rate)
		for len(ends) > 0 && !ends[0].at.After(now) {
			m.Ended(ends[0].at, "browse", ends[0].failed)
			ends = ends[1:]
		}
		if !v.Admit(now, hemlockcall.Sheddable, m.ForTree(now, "browse").Value) {
			continue
		}
		since := now.Sub(start)
		ends = append(ends, end{at: now.Add(took), failed: since < failing})
		switch {
		case since > 2*time.Second && since < failing:
			letIn++
		case since > failing+healed-time.Second:
			after++
		}
	}
	if most := int((failing - 2*time.Second).Seconds() * rate / 20); letIn > most {
		t.Errorf("%d trees were let in while all fail, want %d at the most", letIn, most)
	}
	if after < rate*9/10 {
		t.Errorf("%d trees a second were let in three seconds later, want %d", after, rate)
	}
}
