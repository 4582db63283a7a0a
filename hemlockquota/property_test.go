package hemlockquota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// bound is the number of requests that may run in any 5 s.
func bound(l Limit) float64 { return (5*l.PerSecond+l.Burst)*1.1 + 20 }

// Guards against more runs than the quota allows, and against fractions that are counted twice, while hosts and pools are killed,
// restarted and frozen, zones and hosts are partitioned, messages are lost or delivered late, views differ and limits change.
func TestNoFaultExceedsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := map[string]Limit{}
		for _, name := range []string{"large", "small"} {
			perSecond := rapid.Float64Range(1, 30).Draw(t, name+" rate")
			if name == "large" {
				perSecond *= 10
			}
			limits[name] = Limit{perSecond, perSecond * rapid.Float64Range(0, 2).Draw(t, name+" burst")}
		}
		s := newSimulation(rapid.Int64().Draw(t, "seed"), 3, rapid.IntRange(1, 5).Draw(t, "hosts per zone"), limits)
		s.loss, s.late = rapid.Float64Range(0, 0.05).Draw(t, "loss"), rapid.Float64Range(0, 0.05).Draw(t, "late")
		highest := map[string]Limit{}
		for name, l := range limits {
			highest[name] = l
			s.demand(name, l.PerSecond*rapid.Float64Range(0.3, 6).Draw(t, name+" demand"), s.nodes, 12*time.Second,
				rapid.Float64Range(0, 0.5).Draw(t, name+" refused later"))
		}
		for range 12 {
			s.fault(t, highest)
			s.run(time.Second)
			if s.failure != "" {
				t.Fatal(s.failure)
			}
		}
		for name, l := range highest {
			if runs := s.busiest(name); float64(runs) > bound(l) {
				t.Fatalf("%d runs of %s in 5 s, at most %.0f allowed", runs, name, bound(l))
			}
		}
	})
}

// fault causes a random fault, or ends one.
func (s *simulation) fault(t *rapid.T, highest map[string]Limit) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		n.dead = true
	case 1:
		s.start(n)
	case 2:
		for _, m := range s.nodes {
			s.start(m)
		}
	case 3:
		n.frozenUntil = s.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "freeze")) * time.Millisecond)
	case 4:
		s.cut = func(a, b *node) bool { return (a == n) != (b == n) }
	case 5:
		s.cut = func(a, b *node) bool { return (a.zone == n.zone) != (b.zone == n.zone) }
	case 6:
		s.cut = func(*node, *node) bool { return false }
	case 7:
		s.rank(n, rapid.IntRange(1, 3).Draw(t, "partitions"), rapid.IntRange(0, 5).Draw(t, "shift"))
	case 8:
		n.host.Stop()
	case 9:
		name := rapid.SampledFrom([]string{"large", "small"}).Draw(t, "organisation")
		l := Limit{rapid.Float64Range(1, 300).Draw(t, "rate"), rapid.Float64Range(0, 300).Draw(t, "burst")}
		changed := map[string]Limit{}
		for other, limit := range s.limits {
			changed[other] = limit
		}
		changed[name] = l
		s.limits = changed
		highest[name] = Limit{max(highest[name].PerSecond, l.PerSecond), max(highest[name].Burst, l.Burst)}
		for _, m := range s.nodes {
			s.setLimits(m)
		}
	}
}

// Guards against a customer that gets less than its quota: at least 0.9 of it is used from 2 s after demand begins, wherever it arrives,
// and also after it has moved to another zone.
func TestDemandGetsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{PerSecond: rapid.Float64Range(3, 300).Draw(t, "rate")}
		// With a burst near 0, tokens are lost between random arrivals.
		limit.Burst = 3 + limit.PerSecond*rapid.Float64Range(0.2, 2).Draw(t, "burst")
		s := newSimulation(rapid.Int64().Draw(t, "seed"), 3, rapid.IntRange(1, 6).Draw(t, "hosts per zone"),
			map[string]Limit{"customer": limit})
		s.run(4 * time.Second)
		for range 2 {
			var nodes []*node
			places := rapid.IntRange(1, len(s.nodes)).Draw(t, "places")
			first := rapid.IntRange(0, len(s.nodes)-1).Draw(t, "first")
			for i := range places {
				nodes = append(nodes, s.nodes[(first+i*3)%len(s.nodes)])
			}
			s.demand("customer", limit.PerSecond*rapid.Float64Range(2, 6).Draw(t, "demand"), nodes, 6*time.Second, 0)
			begin := s.now
			s.run(6 * time.Second)
			runs := s.within("customer", begin.Add(2*time.Second), begin.Add(6*time.Second))
			// Below the mean by three standard deviations of a small demand.
			if want := 0.9*4*limit.PerSecond - 4; float64(runs) < want {
				t.Fatalf("%d runs in 4 s, at least %.0f expected: %+v", runs, want, s.refused)
			}
		}
	})
}

// Guards against the cost of one or more messages between zones for each request of small organisations, and against refusals below the
// quota.
func TestMostRequestsStayInTheZone(t *testing.T) {
	limits := map[string]Limit{}
	for i := range 20 {
		limits[string(rune('a'+i))] = Limit{PerSecond: 20, Burst: 20}
	}
	s := newSimulation(1, 3, 9, limits)
	s.run(4 * time.Second)
	before := s.messages
	for name := range limits {
		s.demand(name, 12, s.nodes, 10*time.Second, 0)
	}
	s.run(10 * time.Second)
	requests := s.refused[Granted] + s.refused[Exhausted] + s.refused[Unavailable]
	upper := s.messages[1] - before[1]
	t.Logf("%d requests, %d messages to zone pools, %d to pools of all zones, outcomes %v", requests, s.messages[0]-before[0], upper, s.refused)
	if renewals := 3 * 10 * 5; upper-renewals > requests/5 {
		t.Errorf("%d messages between zones for %d requests", upper, requests)
	}
	if s.refused[Exhausted]+s.refused[Unavailable] > requests/50 {
		t.Errorf("outcomes %v below the quota", s.refused)
	}
}
