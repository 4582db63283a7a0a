package hemlockbackpressure

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// arrivalOf returns an arrival of the only class of a priority.
func arrivalOf(p hemlockcall.Priority) Arrival {
	return Arrival{Class: p.String(), Service: "s", Priority: p}
}

func countAdmitted(throttle *Throttle, from time.Time, p hemlockcall.Priority, load float64, count int, interval time.Duration) int {
	admitted := 0
	for i := range count {
		if throttle.Admit(from.Add(time.Duration(i)*interval), arrivalOf(p), Load{Value: load}, 0).Admitted {
			admitted++
		}
	}
	return admitted
}

func TestThrottle(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("admits everything below the setpoint", func(t *testing.T) {
		if got := countAdmitted(NewThrottle(), start, hemlockcall.Sheddable, 0.5, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 call trees admitted below the setpoint, want all", got)
		}
	})
	t.Run("refuses the least important call trees first", func(t *testing.T) {
		throttle := NewThrottle()
		if got := countAdmitted(throttle, start, hemlockcall.Sheddable, 1.8, 3000, time.Millisecond); got > 900 {
			t.Errorf("%d of 3000 sheddable call trees admitted, want at most 900", got)
		}
		if got := countAdmitted(throttle, start, hemlockcall.Critical, 1.8, 1000, time.Millisecond); got != 1000 {
			t.Errorf("%d of 1000 critical call trees admitted, want all", got)
		}
	})
	// Guards against a throttle that goes on refusing call trees after the overload is over.
	t.Run("admits everything two seconds after the load fell", func(t *testing.T) {
		throttle := NewThrottle()
		countAdmitted(throttle, start, hemlockcall.Sheddable, 4, 3000, time.Millisecond)
		countAdmitted(throttle, start.Add(3*time.Second), hemlockcall.Sheddable, 0.4, 2000, time.Millisecond)
		last := throttle.Admit(start.Add(5*time.Second), arrivalOf(hemlockcall.Sheddable), Load{Value: 0.4}, 0)
		if fraction := last.Fraction; fraction < 1 {
			t.Errorf("admitted fraction %.2f after 2 s at low load, want 1", fraction)
		}
	})
}

// Guards against bookings that starve because lookups, which cost the service eight times as much, use up its capacity.
//
// The load is that of a deployment of seventy hosts whose deepest service has three targets: a lookup makes eight calls to
// it, a booking goes directly to it, at the same priority.
func TestDirectCallsToALoadedServiceAreNotThrottled(t *testing.T) {
	now := time.Unix(1000, 0)
	m, throttle := NewLoadMonitor(), NewThrottle()
	booking := Arrival{Class: "booking", Service: "dispatch", Priority: hemlockcall.Sheddable}
	lookup := Arrival{Class: "lookup", Service: "pricing", Priority: hemlockcall.Sheddable}
	bookings, lookups := 0, 0
	const rounds = 300
	for range rounds {
		now = now.Add(10 * time.Millisecond)
		m.RecordLoad(now, "dispatch", 1.3)
		if throttle.Admit(now, booking, m.MaxLoad(now, booking.Priority, "dispatch"), 0).Admitted {
			bookings++
		}
		if throttle.Admit(now, lookup, m.MaxLoad(now, lookup.Priority, "pricing"), 0).Admitted {
			lookups++
		}
	}
	if bookings != rounds || lookups > rounds/2 {
		t.Errorf("%d bookings and %d lookups of %d each admitted, want all bookings and at most half of the lookups", bookings, lookups, rounds)
	}
	t.Run("are refused at the entry node when the service is full", func(t *testing.T) {
		admitted := 0
		for range rounds {
			now = now.Add(10 * time.Millisecond)
			m.RecordLoad(now, "dispatch", 5)
			if throttle.Admit(now, booking, m.MaxLoad(now, booking.Priority, "dispatch"), 0).Admitted {
				admitted++
			}
		}
		if admitted > rounds/2 {
			t.Errorf("%d of %d bookings admitted while the service is full, want at most half", admitted, rounds)
		}
	})
}

// Guards against an entry node of a large deployment that takes tens of seconds to react to a burst because it starts few
// call trees of a kind.
func TestThrottleOfAnEntryNodeWithFewCallTrees(t *testing.T) {
	throttle, now := NewThrottle(), time.Unix(1000, 0)
	for range 10 { // three per second
		now = now.Add(330 * time.Millisecond)
		throttle.Admit(now, arrivalOf(hemlockcall.Sheddable), Load{Value: 2}, 0)
	}
	if fraction := throttle.Admit(now, arrivalOf(hemlockcall.Sheddable), Load{Value: 2}, 0).Fraction; fraction > 0.1 {
		t.Errorf("admitted fraction %.2f after 3 s at twice the limit, want at most 0.1", fraction)
	}
}

// Guards against call trees of a failing class that are admitted because the load alone, which does not show the failures, is low.
func TestObservedLoadDoesNotHideFailingCallTrees(t *testing.T) {
	throttle, now := NewThrottle(), time.Unix(1000, 0)
	low := func(hemlockcall.Priority, string) Load { return Load{Value: 0.2} }
	admitted := 0
	for range 100 {
		now = now.Add(160 * time.Millisecond)
		if throttle.Admit(now, arrivalOf(hemlockcall.Sheddable), Load{Value: 0.2}, 1).Admitted {
			admitted++
		}
		throttle.Observe(now.Add(110*time.Millisecond), low)
	}
	if admitted > 20 {
		t.Errorf("%d of 100 call trees of a failing class admitted, want at most 20", admitted)
	}
	throttle.Observe(now.Add(2*sparseInterval), low)
	last := throttle.Admit(now.Add(2*sparseInterval), arrivalOf(hemlockcall.Sheddable), Load{Value: 0.2}, 0)
	if before, after := minAdmittedFraction, last.Fraction; after <= before {
		t.Errorf("admitted fraction %.2f after a time without call trees at a low load, want more than %.2f", after, before)
	}
}

func TestLoadMonitor(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("ignores expired reports", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordLoad(start, "a", 2)
		if got := m.MaxLoad(start.Add(10*time.Millisecond), hemlockcall.Sheddable, "").Value; got != 2 {
			t.Errorf("load %v 10 ms after the report, want 2", got)
		}
		if got := m.MaxLoad(start.Add(2*time.Second), hemlockcall.Sheddable, "").Value; got != 0 {
			t.Errorf("load %v two seconds after the last report, want 0", got)
		}
	})
	// Guards against call trees that are refused long after a service without a target is available again.
	t.Run("counts a service without a target as unreachable for a short time", func(t *testing.T) {
		m := NewLoadMonitor()
		m.RecordMissingTarget(start)
		if got := m.MaxLoad(start.Add(100*time.Millisecond), hemlockcall.Sheddable, "").Value; got != unreachableLoad {
			t.Errorf("load %v 100 ms after a call without a target, want unreachableLoad", got)
		}
		if got := m.MaxLoad(start.Add(400*time.Millisecond), hemlockcall.Sheddable, "").Value; got != 0 {
			t.Errorf("load %v 400 ms after the last call without a target, want 0", got)
		}
	})
}

// Guards against call trees that go on starting although a service that they need is unreachable.
func TestFailingCallTreesCountAsLoad(t *testing.T) {
	start := time.Unix(1000, 0)
	m := NewLoadMonitor()
	m.RecordLoad(start, "a", 0.5)
	for i := range 40 {
		m.RecordCallTreeResult(start.Add(time.Duration(i)*time.Millisecond), "browse", "s", true)
		m.RecordCallTreeResult(start.Add(time.Duration(i)*time.Millisecond), "order", "s", i%4 == 0)
	}
	now := start.Add(40 * time.Millisecond)
	if load := failingLoad(m.FailedFraction(now, "browse", "s")).Value; load < 4 {
		t.Errorf("load %.2f for a class that always fails, want at least 4", load)
	}
	if load := failingLoad(m.FailedFraction(now, "order", "s")).Value; load > 1 {
		t.Errorf("load %.2f for a class of which a quarter fails, want at most 1", load)
	}
	if load := failingLoad(m.FailedFraction(now.Add(2*time.Second), "browse", "s")).Value; load > 1 {
		t.Errorf("load %.2f two seconds after the last call tree, want at most 1", load)
	}
}

// Guards against call trees that are refused for a service that they do not need, and against ones that are started although they fail for
// want of it.
func TestOnlyHarmedClassesYieldToOtherServices(t *testing.T) {
	full := Load{Value: unreachableLoad, Cause: "full"}
	for _, c := range []struct {
		name     string
		priority hemlockcall.Priority
		failed   float64
		min, max float64
	}{
		{"critical, unharmed", hemlockcall.Critical, harmedFraction / 2, 1, 1},
		{"important, unharmed", hemlockcall.Important, harmedFraction / 2, 1, 1},
		{"critical, harmed", hemlockcall.Critical, harmedFraction, 0, 0.1},
		{"important, harmed", hemlockcall.Important, harmedFraction, 0, 0.1},
		{"sheddable, unharmed", hemlockcall.Sheddable, 0, 0, 0.1},
	} {
		t.Run(c.name, func(t *testing.T) {
			throttle, now, admitted := NewThrottle(), time.Unix(1000, 0), 0
			const trees = 1000
			for range trees {
				now = now.Add(10 * time.Millisecond)
				if throttle.Admit(now, arrivalOf(c.priority), full, c.failed).Admitted {
					admitted++
				}
			}
			if got := float64(admitted) / trees; got < c.min || got > c.max {
				t.Errorf("admitted fraction %.3f, want from %.2f to %.2f", got, c.min, c.max)
			}
		})
	}
}

// Guards against call trees that are refused because those of another class with the same priority and first service fail.
func TestFailuresOfAClassDoNotCountForOthers(t *testing.T) {
	throttle, now := NewThrottle(), time.Unix(1000, 0)
	failing := Arrival{Class: "failing", Service: "s", Priority: hemlockcall.Critical}
	for number := range 1000 {
		now = now.Add(10 * time.Millisecond)
		throttle.Admit(now, failing, Load{}, 1)
		if number%100 == 99 && !throttle.Admit(now, arrivalOf(hemlockcall.Critical), Load{}, 0).Admitted {
			t.Fatal("a call tree of a class without failures was refused")
		}
	}
}

// Guards against a service that stays overloaded because call trees of many minor classes are exempt from the throttle.
func TestMinorClassesTogetherYield(t *testing.T) {
	full := Load{Value: unreachableLoad, Cause: "full"}
	for _, c := range []struct {
		name     string
		classes  int
		min, max float64 // of the admitted fraction
	}{
		{"one in a hundred", 1, 0.95, 1},
		{"all of them", 100, 0.08, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			throttle, now := NewThrottle(), time.Unix(1000, 0)
			arrived, admitted := 0, 0
			for number := range 20_000 {
				now = now.Add(5 * time.Millisecond)
				arrival := arrivalOf(hemlockcall.Sheddable)
				if number%100 < c.classes {
					arrival.Class = fmt.Sprint("minor-", number%100)
				}
				decision := throttle.Admit(now, arrival, full, 0)
				if number < 1000 || number%100 >= c.classes {
					continue
				}
				arrived++
				if decision.Admitted {
					admitted++
				}
			}
			if got := float64(admitted) / float64(arrived); got < c.min || got > c.max {
				t.Errorf("admitted fraction of minor classes %.3f, want from %.2f to %.2f", got, c.min, c.max)
			}
		})
	}
}

// Guards against memory that grows with the number of classes.
func TestRecordsOfClassesAreBounded(t *testing.T) {
	throttle, now := NewThrottle(), time.Unix(1000, 0)
	for number := range 10 * maxClasses {
		throttle.Admit(now, Arrival{Class: fmt.Sprint(number), Service: fmt.Sprint(number)}, Load{}, 0)
	}
	if got := len(throttle.classes.records) + len(throttle.fractions); got > maxClasses+maxServices {
		t.Errorf("%d records, want at most %d", got, maxClasses+maxServices)
	}
}
