package hemlockselection

import (
	"math/rand/v2"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

var start = time.Unix(1000, 0)

func newSelector(targets ...hemlockcall.Target) *Selector {
	return newSelectorBy(PlacementLoad, targets...)
}

func newSelectorBy(placement Placement, targets ...hemlockcall.Target) *Selector {
	random := rand.New(rand.NewPCG(1, 2))
	s := New("a", random.IntN, WithPlacement(placement))
	s.Replace(targets)
	return s
}

// withEachPlacement runs a test with selectors of both placements.
func withEachPlacement(t *testing.T, test func(*testing.T, func(...hemlockcall.Target) *Selector)) {
	for _, p := range []Placement{PlacementLoad, PlacementCost} {
		t.Run(string(p), func(t *testing.T) {
			test(t, func(targets ...hemlockcall.Target) *Selector { return newSelectorBy(p, targets...) })
		})
	}
}

func target(address, zone string) hemlockcall.Target {
	return hemlockcall.Target{Address: address, Zone: zone, Service: "s", Slots: 10, Ready: true}
}

// pickMany picks targets and ends each call immediately with the result for its address. It returns the number of calls
// by address.
func pickMany(t *testing.T, selector *Selector, count int, resultOf func(address string) Result) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for i := range count {
		now := start.Add(time.Duration(i) * time.Millisecond)
		chosen, err := selector.Pick(now, "s", "c", nil)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.Address]++
		selector.Done(now, chosen.Address, "c", resultOf(chosen.Address))
	}
	return counts
}

func completed(serviceTime time.Duration, inFlight int) Result {
	return Result{Outcome: Completed, ServiceTime: serviceTime,
		Feedback: hemlockcall.Feedback{InFlight: inFlight, Limit: 10}}
}

func TestPick(t *testing.T) { withEachPlacement(t, testPick) }

func testPick(t *testing.T, newSelector func(...hemlockcall.Target) *Selector) {
	t.Run("stays in the own zone while it has spare capacity", func(t *testing.T) {
		counts := pickMany(t, newSelector(target("own", "a"), target("other", "b")), 200,
			func(string) Result { return completed(20*time.Millisecond, 5) })
		if counts["other"] != 0 {
			t.Errorf("%d calls left the zone, want none", counts["other"])
		}
	})
	t.Run("leaves the zone for much more spare capacity", func(t *testing.T) {
		counts := pickMany(t, newSelector(target("own", "a"), target("other", "b")), 200, func(address string) Result {
			if address == "own" {
				return completed(20*time.Millisecond, 14)
			}
			return completed(20*time.Millisecond, 2)
		})
		if counts["other"] < 150 {
			t.Errorf("%d of 200 calls left the full zone, want at least 150", counts["other"])
		}
	})
	// Guards against a target that counts as faulty although it is only slower by a factor that occurs without a fault:
	// its calls would cross zones without need.
	t.Run("stays in the zone for a target with a third of the speed", func(t *testing.T) {
		counts := pickMany(t, newSelector(target("own", "a"), target("other", "b")), 200, func(address string) Result {
			if address == "own" {
				return completed(60*time.Millisecond, 4)
			}
			return completed(20*time.Millisecond, 4)
		})
		if counts["other"] != 0 {
			t.Errorf("%d calls left the zone, want none", counts["other"])
		}
	})
	t.Run("avoids a target that fails quickly", func(t *testing.T) {
		counts := pickMany(t, newSelector(target("good", "a"), target("grey", "a")), 400, func(address string) Result {
			if address == "grey" {
				return Result{Outcome: Failed}
			}
			return completed(20*time.Millisecond, 3)
		})
		if counts["grey"] > 100 {
			t.Errorf("%d of 400 calls went to the failing target, want at most 100", counts["grey"])
		}
	})
}

func TestPickAvailableTargets(t *testing.T) { withEachPlacement(t, testPickAvailableTargets) }

func testPickAvailableTargets(t *testing.T, newSelector func(...hemlockcall.Target) *Selector) {
	t.Run("skips an unreachable target and tries it again later", func(t *testing.T) {
		selector := newSelector(target("good", "a"), target("gone", "a"))
		for range 20 {
			chosen, err := selector.Pick(start, "s", "c", []string{"good"})
			if err != nil {
				t.Fatal(err)
			}
			selector.Done(start, chosen.Address, "c", Result{Outcome: Unreachable})
		}
		counts := pickMany(t, selector, 100, func(string) Result { return completed(20*time.Millisecond, 1) })
		if counts["gone"] != 0 {
			t.Errorf("%d calls to an unreachable target, want none", counts["gone"])
		}
		later := start.Add(2 * maxUnreachablePause)
		for range 50 {
			if chosen, _ := selector.Pick(later, "s", "c", nil); chosen.Address == "gone" {
				return
			}
		}
		t.Error("the unreachable target was not picked again after its pause")
	})
	t.Run("picks a leaving target again once its generation has changed", func(t *testing.T) {
		selector := newSelector(target("one", "a"))
		if _, err := selector.Pick(start, "s", "c", nil); err != nil {
			t.Fatal(err)
		}
		selector.Done(start, "one", "c", Result{Outcome: Leaving})
		if chosen, err := selector.Pick(start, "s", "c", nil); err == nil {
			t.Errorf("%v was picked while it is leaving, want an error", chosen)
		}
		restarted := target("one", "a")
		restarted.Generation = 2
		selector.Replace([]hemlockcall.Target{restarted})
		if _, err := selector.Pick(start, "s", "c", nil); err != nil {
			t.Error(err)
		}
	})
	// Guards against a target that gets no calls because a refusal by its previous process arrived after its announcement.
	t.Run("ignores the refusal of an earlier generation", func(t *testing.T) {
		former := target("one", "a")
		former.Generation = 1
		selector := newSelector(former)
		if _, err := selector.Pick(start, "s", "c", nil); err != nil {
			t.Fatal(err)
		}
		_, generation := selector.Known("one")
		restarted := target("one", "a")
		restarted.Generation = generation + 1
		selector.Replace([]hemlockcall.Target{restarted})
		selector.Done(start, "one", "c", Result{Outcome: Leaving, Generation: generation})
		if _, err := selector.Pick(start, "s", "c", nil); err != nil {
			t.Errorf("%v after a late refusal of an earlier generation, want the target", err)
		}
	})
	t.Run("returns an error without a target", func(t *testing.T) {
		if _, err := newSelector().Pick(start, "s", "c", nil); err == nil {
			t.Error("no error from Pick without a target")
		}
	})
}
