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
