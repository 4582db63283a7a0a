package hemlockselection

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
)

// Guards against a target that never gets a call again after extreme service times, wrong reports or clock readings out of order, and
// against calls that are counted as in flight after their end.
func TestEstimatesStayUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := []hemlockcall.Target{target("1", "a"), target("2", "a"), target("3", "b"), target("4", "b")}
		s := newSelectorBy(PlacementCost, all...)
		type running struct{ address, class string }
		var calls []running
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e8, 3e9).Draw(t, "passed")))
			if rapid.IntRange(0, 9).Draw(t, "replaced") == 0 {
				s.Replace(all[rapid.IntRange(0, 2).Draw(t, "first"):])
			}
			if len(calls) == 0 || rapid.Bool().Draw(t, "begins") {
				class := fmt.Sprint(rapid.IntRange(0, 2*maxClasses).Draw(t, "class"))
				chosen, err := s.Pick(now, "s", class, nil)
				if err != nil {
					t.Fatal("no target was picked although all are ready")
				}
				calls = append(calls, running{chosen.Address, class})
				continue
			}
			c := calls[0]
			calls = calls[1:]
			s.Done(now, c.address, c.class, Result{Outcome: Outcome(rapid.IntRange(0, int(Cancelled)).Draw(t, "outcome")),
				ServiceTime: time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "service time")),
				Feedback: hemlockcall.Feedback{InFlight: rapid.IntRange(0, 1e9).Draw(t, "in flight"), Limit: rapid.IntRange(0, 50).Draw(t, "limit"),
					Outstanding: time.Duration(rapid.Int64Range(0, math.MaxInt64).Draw(t, "outstanding"))}})
		}
		for _, e := range s.entries {
			a := e.assess(now, e.group.estimates, e.group.estimates.classOf("0"))
			if !(a.time > 0) || math.IsInf(a.time, 0) || !(e.group.estimates.load[e.cost.side].load <= maxReportedLoad) {
				t.Fatalf("target %s has the assessment %+v", e.target.Address, a)
			}
			counted, want := int32(0), int32(0)
			for _, n := range e.cost.inFlightOf {
				counted += n.count
			}
			for _, c := range calls {
				if c.address == e.target.Address {
					want++
				}
			}
			if counted > want {
				t.Fatalf("target %s has %d calls in flight by class, want at most %d", e.target.Address, counted, want)
			}
		}
	})
}
