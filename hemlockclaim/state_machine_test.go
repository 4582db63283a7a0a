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

// Guards against a second run of a request under lost, late and unsent writes, failed reads, crashes, pauses, releases, restarts of
// nodes and returns of the table from older copies. Runs the transitions of spec/claim.pml on the real Claimer and Batcher.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var failure any
		synctest.Test(t, func(*testing.T) {
			// Rapid ends a run by a panic, which must reach rapid's own goroutine.
			defer func() { failure = recover() }()
			runStateMachine(r)
		})
		// Rapid's shrinker distinguishes failures by the line of the panic, so a violation of the test's conditions gets
		// a line of its own.
		switch text := fmt.Sprint(failure); {
		case strings.Contains(text, "ran "), strings.Contains(text, "a response was returned"):
			r.Fatal(text)
		case failure != nil:
			panic(failure)
		}
	})
}

// pausedClaim is a successful claim whose attempt has not run its request, released the claim or crashed yet.
type pausedClaim struct {
	key   int
	claim hemlockclaim.Claim
}

func runStateMachine(t *rapid.T) {
	table := newFakeTable()
	nodes := []*hemlockclaim.Claimer{table.claimer(), table.claimer()}
	// The second key is from a caller whose clock is ahead.
	keys := []string{keyAt(time.Now(), 1), keyAt(time.Now().Add(3*time.Minute), 2)}
	runs := make([]int, len(keys))
	var paused []pausedClaim
	setFaults := func(t *rapid.T) {
		table.injectFaults(rapid.SliceOfN(rapid.SampledFrom([]fault{none, unsent, lost, late}), 0, 4).Draw(t, "faults")...)
	}
	takePaused := func(t *rapid.T) pausedClaim {
		if len(paused) == 0 {
			t.Skip("no claim is paused")
		}
		i := rapid.IntRange(0, len(paused)-1).Draw(t, "paused claim")
		p := paused[i]
		paused = append(paused[:i:i], paused[i+1:]...)
		return p
	}
	returnFromCopy, copiedAt := table.copy(), time.Now()
	t.Repeat(map[string]func(*rapid.T){
		"copy": func(*rapid.T) { returnFromCopy, copiedAt = table.copy(), time.Now() },
		"return": func(t *rapid.T) {
			if time.Since(copiedAt) > 50*time.Second {
				t.Skip("the copy is older than any from which the table returns")
			}
			returnFromCopy()
		},
		"wait":    func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second) },
		"restart": func(t *rapid.T) { nodes[rapid.IntRange(0, 1).Draw(t, "node")] = table.claimer() },
		"claim": func(t *rapid.T) {
			setFaults(t)
			table.failReads = rapid.IntRange(0, 4).Draw(t, "reads") == 0
			// Concurrent attempts are written in one batch and may use the same key.
			type result struct {
				pausedClaim
				response *hemlockclaim.StoredResponse
				err      error
			}
			attempts := rapid.IntRange(1, 3).Draw(t, "attempts")
			results := make(chan result, attempts)
			for i := range attempts {
				key := rapid.IntRange(0, len(keys)-1).Draw(t, "key")
				go func() {
					claim, response, err := nodes[i%2].Claim(context.Background(), keys[key], "digest")
					results <- result{pausedClaim{key, claim}, response, err}
				}()
			}
			for range attempts {
				got := <-results
				if got.err == nil && got.response == nil {
					paused = append(paused, got.pausedClaim)
				}
				if got.response != nil && runs[got.key] == 0 {
					t.Fatal("a response was returned for a key whose request has not run")
				}
			}
			table.failReads = false
		},
		"run": func(t *rapid.T) {
			p := takePaused(t)
			runs[p.key]++
			setFaults(t)
			_ = nodes[0].Finish(context.Background(), p.claim, hemlockclaim.StoredResponse{Status: 200})
		},
		"run and crash": func(t *rapid.T) { runs[takePaused(t).key]++ },
		"crash":         func(t *rapid.T) { takePaused(t) },
		"release": func(t *rapid.T) {
			setFaults(t)
			_ = nodes[0].Release(context.Background(), takePaused(t).claim)
		},
		"late write": func(t *rapid.T) {
			if len(table.lateWrites) == 0 {
				t.Skip("no write is late")
			}
			table.applyLate(rapid.IntRange(0, len(table.lateWrites)-1).Draw(t, "write"))
		},
		"": func(t *rapid.T) {
			for key, n := range runs {
				pausedCount := 0
				for _, p := range paused {
					if p.key == key {
						pausedCount++
					}
				}
				// The attempt of a paused claim may run its request at any time, so it counts as a run.
				if n+pausedCount > 1 {
					t.Fatalf("key %d ran %d times and has %d paused claims", key, n, pausedCount)
				}
			}
		},
	})
}
