package hemlockbench

import (
	"testing"
	"time"

	"hemlockhollow/hemlockselection"
)

// Guards against a choice by cost under which calls take longer than under simpler rules, or that overloads a target. With -v, it
// prints the rows of the table in docs/design/placement.md.
func TestPlacementComparison(t *testing.T) {
	// margins holds the largest ratio of the mean and of the 99th percentile by cost to those of each other rule.
	margins := map[string]float64{"episodes": 0.95, "episodes-full": 0.9, "few-calls": 0.98, "few-calls-busy": 1.02, "full": 1}
	for name, scenario := range placementScenarios() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var cost placementResult
			for i, rule := range []struct {
				name      string
				placement hemlockselection.Placement
				choose    placementRule
			}{{"cost", hemlockselection.PlacementCost, bySelector}, {"load", hemlockselection.PlacementLoad, bySelector},
				{"least outstanding", hemlockselection.PlacementLoad, byLeastOutstanding},
				{"two by load", hemlockselection.PlacementLoad, byLoadOfTwo}} {
				r := newPlacementRun(scenario, rule.placement, rule.choose)
				r.runUntil(placementEnd)
				result := r.result()
				t.Logf("| `%s` | %s | %.1f | %.0f | %.2f | %.1f |", name, rule.name, result.mean, result.p99, result.busiest, result.crossed)
				switch margin := margins[name]; {
				case i == 0:
					cost = result
					if cost.busiest > 1.4 {
						t.Errorf("the busiest target has %.2f times the mean use, want at most 1.4", cost.busiest)
					}
				case cost.mean > margin*result.mean || cost.p99 > margin*result.p99:
					t.Errorf("cost %+v, %s %+v; want at most %.2f times its mean and 99th percentile", cost, rule.name, result, margin)
				}
			}
		})
	}
}

// Guards against calls that avoid a target because a run there was the first to wait for a nested service that has become slow.
func TestSlowNestedServiceRaisesCostOfClass(t *testing.T) {
	r := newPlacementRun(placementScenario{targets: 29, slots: 47, slowNestedFrom: 20 * time.Second, classes: []placementClass{
		{"tree", 160 * time.Millisecond, 100 * time.Millisecond, 726, 12}}}, hemlockselection.PlacementCost, bySelector)
	slowed := 0.0
	for at := 20 * time.Second; at < 24*time.Second; at += 100 * time.Millisecond {
		r.runUntil(at)
		for _, e := range r.entries[:12] {
			for _, target := range e.selector.Snapshot(r.clock()).Services[0].Targets {
				slowed = max(slowed, target.SampledSlowness/target.UsualSlowness)
			}
		}
	}
	if slowed > 1.8 {
		t.Errorf("an entry took a target for %.2f times slower than usual, want at most 1.8 times", slowed)
	}
	if cost := r.entries[0].selector.Snapshot(r.clock()).Services[0].CostMilliseconds["tree"]; cost < 500 {
		t.Errorf("the cost of the class is %.0f ms, want above 500 ms", cost)
	}
}

// Guards against calls that go to a target that has stopped: it sends no responses, so its slowness and load stay as they were.
func TestFrozenTargetGetsFewCalls(t *testing.T) {
	r := newPlacementRun(placementScenarios()["episodes"], hemlockselection.PlacementCost, bySelector)
	r.runUntil(20 * time.Second)
	frozen := r.targets[3]
	frozen.frozen = true
	before := len(frozen.queue)
	r.runUntil(22 * time.Second)
	// An equal share is 190 calls a second.
	if calls := len(frozen.queue) - before; calls > 110 {
		t.Errorf("%d calls to a frozen target in two seconds, want at most 110", calls)
	}
}

// Guards against calls that leave the zone because the runs at all targets wait for a nested service that has stopped: elsewhere they
// would wait too.
func TestStoppedNestedServiceKeepsCallsInTheZone(t *testing.T) {
	r := newPlacementRun(placementScenarios()["few-calls"], hemlockselection.PlacementCost, bySelector)
	r.runUntil(20 * time.Second)
	queued := func() (own, other int) {
		for _, target := range r.targets {
			for _, c := range target.queue {
				if c.entry.zone == target.zone {
					own++
				} else {
					other++
				}
			}
		}
		return own, other
	}
	for _, target := range r.targets {
		target.frozen = true
	}
	r.runUntil(24 * time.Second)
	if own, other := queued(); other > own/20 {
		t.Errorf("%d of %d calls left their zone, want at most a twentieth", other, own+other)
	}
}
