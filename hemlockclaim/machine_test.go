package hemlockclaim_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockclaim"
)

// Guards against a second run of a key under lost, late and unsent writes, failed reads, crashes, pauses and releases:
// the transitions of spec/claim.pml on the real Claimer and Batcher.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			// A panic with which rapid ends a run must pass through rapid's own goroutine.
			defer func() { failure = recover() }()
			driveMachine(r)
		})
		// The shrinker tells failures apart by the line of the panic, so that a violation has its own.
		switch text := fmt.Sprint(failure); {
		case strings.Contains(text, "ran "), strings.Contains(text, "an answer came back"):
			r.Fatal(text)
		case failure != nil:
			panic(failure)
		}
	})
}

// held is a claim whose attempt has neither run nor ended.
type held struct {
	key   int
	claim hemlockclaim.Claim
}

func driveMachine(t *rapid.T) {
	table := newFakeTable()
	nodes := []*hemlockclaim.Claimer{table.claimer(), table.claimer()}
	keys := []string{keyAt(time.Now(), 1), keyAt(time.Now(), 2)}
	runs := make([]int, len(keys))
	var paused []held
	setFaults := func(t *rapid.T) {
		table.fail(rapid.SliceOfN(rapid.SampledFrom([]fault{none, unsent, lost, late}), 0, 4).Draw(t, "faults")...)
	}
	takeHeld := func(t *rapid.T) held {
		if len(paused) == 0 {
			t.Skip("no claim is held")
		}
		i := rapid.IntRange(0, len(paused)-1).Draw(t, "held")
		h := paused[i]
		paused = append(paused[:i:i], paused[i+1:]...)
		return h
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim": func(t *rapid.T) {
			setFaults(t)
			table.noReads = rapid.IntRange(0, 4).Draw(t, "reads") == 0
			// Concurrent attempts share a batch and may share a key.
			type result struct {
				held
				answer *hemlockclaim.Answer
				err    error
			}
			attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
			results := make(chan result, attempts)
			for i := range attempts {
				key := rapid.IntRange(0, len(keys)-1).Draw(t, "key")
				go func() {
					claim, answer, err := nodes[i%2].Claim(context.Background(), keys[key], "digest")
					results <- result{held{key, claim}, answer, err}
				}()
			}
			for range attempts {
				got := <-results
				if got.err == nil && got.answer == nil {
					paused = append(paused, got.held)
				}
				if got.answer != nil && runs[got.key] == 0 {
					t.Fatal("an answer came back for a key that was not run")
				}
			}
			table.noReads = false
		},
		"run": func(t *rapid.T) {
			h := takeHeld(t)
			runs[h.key]++
			setFaults(t)
			_ = nodes[0].Finish(context.Background(), h.claim, hemlockclaim.Answer{Status: 200})
		},
		"run and crash": func(t *rapid.T) { runs[takeHeld(t).key]++ },
		"crash":         func(t *rapid.T) { takeHeld(t) },
		"release": func(t *rapid.T) {
			setFaults(t)
			_ = nodes[0].Release(context.Background(), takeHeld(t).claim)
		},
		"late write": func(t *rapid.T) {
			if len(table.waiting) == 0 {
				t.Skip("no write is under way")
			}
			table.applyLate(rapid.IntRange(0, len(table.waiting)-1).Draw(t, "write"))
		},
		"": func(t *rapid.T) {
			for key, n := range runs {
				holders := 0
				for _, h := range paused {
					if h.key == key {
						holders++
					}
				}
				// A held claim may run at any time, so that it counts as a run.
				if n+holders > 1 {
					t.Fatalf("key %d ran %d times and is held %d times", key, n, holders)
				}
			}
		},
	})
}
