package hemlockbackpressure

import (
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

func admitted(v *Throttle, from time.Time, p hemlockcall.Priority, load float64, count int, every time.Duration) int {
	let := 0
	for i := range count {
		if v.Admit(from.Add(time.Duration(i)*every), p, "s", load) {
			let++
		}
	}
	return let
}

func TestValve(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("lets all in below the aim", func(t *testing.T) {
		if got := admitted(NewThrottle(), start, hemlockcall.Sheddable, 0.5, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 let in", got)
		}
	})
	t.Run("sheds the least important first", func(t *testing.T) {
		v := NewThrottle()
		if got := admitted(v, start, hemlockcall.Sheddable, 1.8, 3000, time.Millisecond); got > 900 {
			t.Errorf("%d of 3000 sheddable trees let in", got)
		}
		if got := admitted(v, start, hemlockcall.Critical, 1.8, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 critical trees let in", got)
		}
	})
	// Guards against a valve that stays closed after the cause is gone.
	t.Run("opens within two seconds", func(t *testing.T) {
		v := NewThrottle()
		admitted(v, start, hemlockcall.Sheddable, 4, 3000, time.Millisecond)
		admitted(v, start.Add(3*time.Second), hemlockcall.Sheddable, 0.4, 2000, time.Millisecond)
		if share := v.AdmittedFraction(hemlockcall.Sheddable, "s"); share < 1 {
			t.Errorf("share %.2f after 2 s without load", share)
		}
	})
}

// The load of a deployment whose deepest service has three targets for seventy hosts: a lookup makes eight calls of it, a
// booking goes straight to it, at the same priority.
//
// Guards against bookings that starve because lookups, which cost the service eight times as much, fill it.
func TestCallsStraightToALoadedServiceAreNotHeldBack(t *testing.T) {
	now := time.Unix(1000, 0)
	m, v := NewLoadMonitor(), NewThrottle()
	bookings, lookups := 0, 0
	const rounds = 300
	for range rounds {
		now = now.Add(10 * time.Millisecond)
		m.RecordLoad(now, "dispatch", 1.3)
		if v.Admit(now, hemlockcall.Sheddable, "dispatch", m.EntryLoad(now, "booking", "dispatch").Value) {
			bookings++
		}
		if v.Admit(now, hemlockcall.Sheddable, "pricing", m.EntryLoad(now, "lookup", "pricing").Value) {
			lookups++
		}
	}
	if bookings != rounds || lookups > rounds/2 {
		t.Errorf("%d bookings and %d lookups of %d let in", bookings, lookups, rounds)
	}
	t.Run("but a full service refuses them before they travel", func(t *testing.T) {
		let := 0
		for range rounds {
			now = now.Add(10 * time.Millisecond)
			m.RecordLoad(now, "dispatch", 5)
			if v.Admit(now, hemlockcall.Sheddable, "dispatch", m.EntryLoad(now, "booking", "dispatch").Value) {
				let++
			}
		}
		if let > rounds/2 {
			t.Errorf("%d of %d let in", let, rounds)
		}
	})
}

// Guards against an entry of a large fleet that follows a burst in tens of seconds, because it begins few trees of a kind.
func TestValveOfAnEntryWithFewTrees(t *testing.T) {
	v, now := NewThrottle(), time.Unix(1000, 0)
	for range 10 { // three a second
		now = now.Add(330 * time.Millisecond)
		v.Admit(now, hemlockcall.Sheddable, "s", 2)
	}
	if share := v.AdmittedFraction(hemlockcall.Sheddable, "s"); share > 0.1 {
		t.Errorf("share %.2f after 3 s at twice the limit", share)
	}
}

func TestMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("forgets old reports", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordLoad(start, "a", 2)
		if got := m.MaxLoad(start.Add(10 * time.Millisecond)); got != 2 {
			t.Errorf("load %v", got)
		}
		if got := m.MaxLoad(start.Add(2 * time.Second)); got != 0 {
			t.Errorf("load %v two seconds after the last report", got)
		}
	})
	// Guards against a missing service that keeps trees out long after it is back.
	t.Run("counts a missing service briefly", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordMissingTarget(start)
		if got := m.MaxLoad(start.Add(100 * time.Millisecond)); got != missingLoad {
			t.Errorf("load %v", got)
		}
		if got := m.MaxLoad(start.Add(400 * time.Millisecond)); got != 0 {
			t.Errorf("load %v 400 ms after the last miss", got)
		}
	})
}

// Guards against trees that are begun one after the other although a service that they need is cut off.
func TestFailingTreesCountAsLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	m := NewLoadMonitor()
	m.RecordLoad(start, "a", 0.5)
	for i := range 40 {
		m.RecordTreeResult(start.Add(time.Duration(i)*time.Millisecond), "browse", true)
		m.RecordTreeResult(start.Add(time.Duration(i)*time.Millisecond), "order", i%4 == 0)
	}
	now := start.Add(40 * time.Millisecond)
	if load := m.EntryLoad(now, "browse", "").Value; load < 4 {
		t.Errorf("load %.2f for a class that always fails", load)
	}
	if load := m.EntryLoad(now, "order", "").Value; load > 1 {
		t.Errorf("load %.2f for a class of which a quarter fails", load)
	}
	if load := m.EntryLoad(now.Add(2*time.Second), "browse", "").Value; load > 1 {
		t.Errorf("load %.2f two seconds after the last tree", load)
	}
}
