package hemlockclaim_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockclaim"
)

// Guards against keys that are accepted although they are invalid or outside of the retention, and against two
// spellings of one key that are treated as different keys.
func TestKeyValidation(t *testing.T) {
	// The clock of a synctest bubble starts at this time.
	now := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		key  string
		kind hemlockclaim.Kind
	}{
		"not a UUID":    {"order-7", hemlockclaim.KindBadKey},
		"version 4":     {"6fa459ea-ee8a-4ca4-894e-db77e160355e", hemlockclaim.KindBadKey},
		"braces":        {"{" + keyAt(now, 1) + "}", hemlockclaim.KindBadKey},
		"too old":       {keyAt(now.Add(-61*time.Minute), 1), hemlockclaim.KindExpired},
		"old":           {keyAt(now.Add(-59*time.Minute), 1), ""},
		"ahead":         {keyAt(now.Add(4*time.Minute), 1), ""},
		"too far ahead": {keyAt(now.Add(6*time.Minute), 1), hemlockclaim.KindBadKey},
		"upper case":    {strings.ToUpper(keyAt(now, 0xab)), ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newFakeTable()
				table.eraRecord.Lead = 5 * time.Minute // see TestKeysOfFastClocks for a smaller one
				claimer := table.claimer()
				_, _, err := claimer.Claim(context.Background(), c.key, "digest")
				wantKind(t, err, c.kind)
				if c.kind == "" {
					_, _, err = claimer.Claim(context.Background(), strings.ToLower(c.key), "digest")
					wantKind(t, err, hemlockclaim.KindInProgress)
				}
			})
		})
	}
}

// Guards against a lost claim that is claimed again because the time in its key is ahead of the nodes' clocks, and against callers with
// fast clocks that are refused for good.
func TestKeysOfFastClocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		nodes := []*hemlockclaim.Claimer{table.claimer(), table.claimer()}
		claim := func(node int, key string) error {
			_, _, err := nodes[node].Claim(context.Background(), key, "digest")
			return err
		}
		wantKind(t, claim(0, keyAt(time.Now().Add(4*time.Minute), 1)), hemlockclaim.KindUnavailable)
		time.Sleep(50 * time.Second)
		wantKind(t, claim(1, keyAt(time.Now().Add(4*time.Minute), 2)), hemlockclaim.KindUnavailable)
		time.Sleep(11 * time.Second)
		key := keyAt(time.Now().Add(4*time.Minute), 3)
		returnFromCopy := table.copy()
		wantKind(t, claim(1, key), "")
		wantKind(t, claim(0, keyAt(time.Now().Add(4*time.Minute), 4)), "")
		returnFromCopy()
		nodes[0] = table.claimer() // a process that knows nothing
		for range 8 {
			wantKind(t, claim(0, key), hemlockclaim.KindUncertain)
			time.Sleep(30 * time.Second)
		}
		time.Sleep(6 * time.Minute)
		wantKind(t, claim(0, keyAt(time.Now(), 5)), "")
	})
}

// Guards against a key that is accepted for a different request, and against a key that two services share.
func TestKeyScope(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claimer, key := newFakeTable().claimer(), keyAt(time.Now(), 1)
		_, _, err := claimer.Claim(context.Background(), key, "digest")
		wantKind(t, err, "")
		_, _, err = claimer.Claim(context.Background(), key, "other")
		wantKind(t, err, hemlockclaim.KindMismatch)
		_, _, err = claimer.ForService("weave", time.Hour).Claim(context.Background(), key, "other")
		wantKind(t, err, "")
	})
}

// Guards against a late claim write that takes effect after its tombstone and makes the key unusable.
func TestTombstoneInvalidatesLateClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, key := newFakeTable(), keyAt(time.Now(), 1)
		claimer := table.claimer()
		table.injectFaults(late)
		_, _, err := claimer.Claim(context.Background(), key, "digest")
		wantKind(t, err, hemlockclaim.KindUnavailable)
		table.applyLate(0)
		claim, _, err := claimer.Claim(context.Background(), key, "digest")
		wantKind(t, err, "")
		wantKind(t, claimer.Release(context.Background(), claim), "")
		_, _, err = claimer.Claim(context.Background(), key, "digest")
		wantKind(t, err, "")
	})
}

// Guards against a second run of a request by an attempt that is paused between its check of the key and its write until
// Sweep has deleted the row of the first attempt.
func TestPausedAttemptAfterSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key, readings := keyAt(time.Now(), 1), -1
		claimer := newFakeTable().claimer(hemlockclaim.WithClock(func() time.Time {
			readings++
			return time.Now().Add(time.Duration(readings) * 3 * time.Hour)
		}))
		_, _, err := claimer.Claim(context.Background(), key, "digest")
		wantKind(t, err, hemlockclaim.KindExpired)
	})
}

// Guards against a caller that waits longer than 500 ms for a store that does not reply.
func TestClaimTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		table.latency = time.Minute
		start := time.Now()
		_, _, err := table.claimer().Claim(context.Background(), keyAt(time.Now(), 1), "digest")
		wantKind(t, err, hemlockclaim.KindUnavailable)
		if waited := time.Since(start); waited > 500*time.Millisecond {
			t.Errorf("the refusal took %v, want at most 500 ms", waited)
		}
		time.Sleep(time.Second) // until the write of the tombstone has ended
	})
}

// Guards against a sweep that deletes usable claims, stops after its first page, or exceeds its limit.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newFakeTable()
		claimer := table.claimer()
		for i := range byte(100) {
			_, _, err := claimer.Claim(context.Background(), keyAt(time.Now(), i), "digest")
			wantKind(t, err, "")
		}
		time.Sleep(time.Hour)
		_, _, err := claimer.Claim(context.Background(), keyAt(time.Now(), 200), "digest")
		wantKind(t, err, "")
		for _, c := range []struct {
			wait    time.Duration
			deleted int
		}{{0, 0}, {61 * time.Minute, 70}, {0, 30}, {0, 0}, {time.Hour, 1}} {
			time.Sleep(c.wait)
			deleted, err := hemlockclaim.Sweep(context.Background(), table, "orders", time.Hour, time.Now(), 70)
			if err != nil || deleted != c.deleted {
				t.Errorf("deleted %d rows with error %v, want %d without an error", deleted, err, c.deleted)
			}
		}
	})
}
