package hemlockselection

import (
	"math/rand/v2"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

var start = time.Unix(1000, 0)

func newTable(targets ...hemlockcall.Target) *Table {
	random := rand.New(rand.NewPCG(1, 2))
	t := New("a", random.IntN)
	t.Replace(targets)
	return t
}

func target(address, zone string) hemlockcall.Target {
	return hemlockcall.Target{Address: address, Zone: zone, Service: "s", Slots: 10, Ready: true}
}

// pick picks and ends a call at once, with the service time that the target has.
func picks(t *testing.T, table *Table, count int, end func(address string) Result) map[string]int {
	t.Helper()
	seen := map[string]int{}
	for i := range count {
		now := start.Add(time.Duration(i) * time.Millisecond)
		chosen, err := table.Pick(now, "s", nil)
		if err != nil {
			t.Fatal(err)
		}
		seen[chosen.Address]++
		table.Done(now, chosen.Address, end(chosen.Address))
	}
	return seen
}

func completed(service time.Duration, inFlight int) Result {
	return Result{Outcome: Completed, ServiceTime: service, Feedback: hemlockcall.Feedback{InFlight: inFlight, Limit: 10}}
}

func TestPick(t *testing.T) {
	t.Run("stays in the own zone while it has room", func(t *testing.T) {
		seen := picks(t, newTable(target("own", "a"), target("other", "b")), 200,
			func(string) Result { return completed(20*time.Millisecond, 5) })
		if seen["other"] != 0 {
			t.Errorf("%d calls left the zone", seen["other"])
		}
	})
	t.Run("leaves the zone for much more room", func(t *testing.T) {
		seen := picks(t, newTable(target("own", "a"), target("other", "b")), 200, func(address string) Result {
			if address == "own" {
				return completed(20*time.Millisecond, 14)
			}
			return completed(20*time.Millisecond, 2)
		})
		if seen["other"] < 150 {
			t.Errorf("%d of 200 calls left the full zone", seen["other"])
		}
	})
	// Guards against a naturally slow target that counts as broken: its calls would cross zones for nothing.
	t.Run("keeps a target of a third of the speed", func(t *testing.T) {
		seen := picks(t, newTable(target("own", "a"), target("other", "b")), 200, func(address string) Result {
			if address == "own" {
				return completed(60*time.Millisecond, 4)
			}
			return completed(20*time.Millisecond, 4)
		})
		if seen["other"] != 0 {
			t.Errorf("%d calls left the zone", seen["other"])
		}
	})
	t.Run("avoids a target that fails quickly", func(t *testing.T) {
		seen := picks(t, newTable(target("good", "a"), target("grey", "a")), 400, func(address string) Result {
			if address == "grey" {
				return Result{Outcome: Failed}
			}
			return completed(20*time.Millisecond, 3)
		})
		if seen["grey"] > 100 {
			t.Errorf("%d of 400 calls went to the failing target", seen["grey"])
		}
	})
}

func TestPickWhatIsThere(t *testing.T) {
	t.Run("passes over what cannot be reached and finds it again", func(t *testing.T) {
		table := newTable(target("good", "a"), target("gone", "a"))
		for range 20 {
			chosen, err := table.Pick(start, "s", []string{"good"})
			if err != nil {
				t.Fatal(err)
			}
			table.Done(start, chosen.Address, Result{Outcome: Unreachable})
		}
		seen := picks(t, table, 100, func(string) Result { return completed(20*time.Millisecond, 1) })
		if seen["gone"] != 0 {
			t.Errorf("%d calls to a target that cannot be reached", seen["gone"])
		}
		later := start.Add(2 * unreachableLongest)
		for range 50 {
			if chosen, _ := table.Pick(later, "s", nil); chosen.Address == "gone" {
				return
			}
		}
		t.Error("the target was never tried again")
	})
	t.Run("a target that left is used again as another generation", func(t *testing.T) {
		table := newTable(target("one", "a"))
		if _, err := table.Pick(start, "s", nil); err != nil {
			t.Fatal(err)
		}
		table.Done(start, "one", Result{Outcome: Leaving})
		if chosen, err := table.Pick(start, "s", nil); err == nil {
			t.Errorf("%v was picked while it leaves", chosen)
		}
		again := target("one", "a")
		again.Generation = 2
		table.Replace([]hemlockcall.Target{again})
		if _, err := table.Pick(start, "s", nil); err != nil {
			t.Error(err)
		}
	})
	t.Run("tells that there is no target", func(t *testing.T) {
		if _, err := newTable().Pick(start, "s", nil); err == nil {
			t.Error("no error")
		}
	})
}
