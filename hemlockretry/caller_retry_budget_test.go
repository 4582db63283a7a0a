package hemlockretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func check(t *testing.T, got, want bool, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestCallerRetryBudget(t *testing.T) {
	t.Run("guards against a caller that retries a failed request without limit", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(1, 2))
		check(t, b.Allow(start, "hotel", 1), true, "first attempt")
		b.Failed(start, "hotel", 1)
		check(t, b.Allow(start, "hotel", 1), true, "first retry")
		check(t, b.Allow(start, "hotel", 1), true, "second retry")
		check(t, b.Allow(start, "hotel", 1), false, "retry beyond the burst")
		check(t, b.RetryAfter(start, "hotel", 1) == time.Second, true, "advice of one second")
		check(t, b.Allow(start.Add(500*time.Millisecond), "hotel", 1), false, "retry before the advised time")
		check(t, b.Allow(start.Add(time.Second), "hotel", 1), true, "retry at the advised time")
		check(t, b.Allow(start.Add(time.Second), "tailor", 1), true, "the same request of another customer")
		check(t, b.Allow(start.Add(time.Second), "hotel", 2), true, "another request of the customer")
	})
	t.Run("guards against refusing the retry of a caller that waits as advised", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(0.001, 0))
		now := start
		for range 50 {
			b.Refused(now, "hotel", 1, 2*time.Second)
			check(t, b.Allow(now.Add(time.Second), "hotel", 1), false, "retry too early")
			now = now.Add(2 * time.Second)
			check(t, b.Allow(now, "hotel", 1), true, "retry after the wait")
		}
	})
	t.Run("guards against records that are kept without limit", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(0.001, 0), WithRetryCapacity(2, 3))
		b.Failed(start, "hotel", 1)
		check(t, b.Allow(start.Add(29*time.Second), "hotel", 1), false, "recorded failure")
		check(t, b.Allow(start.Add(61*time.Second), "hotel", 1), true, "expired failure")
		for i := range uint64(1000) {
			b.Failed(start, "hotel", i)
			b.Allow(start, string(rune('a'+i%26)), i)
		}
		check(t, b.failures.Len() <= 3 && b.limiters.Len() <= 2, true, "limited records")
	})
}

// Guards against more retries than the token bucket allows, in whichever order requests arrive and fail.
func TestRetriesStayWithinTheTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewCallerRetryBudget(WithRetryRate(2, 3))
		now, retries, recorded := start, 0, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			fingerprint := rapid.Uint64Range(0, 5).Draw(t, "fingerprint")
			if !recorded[fingerprint] {
				b.Failed(now, "hotel", fingerprint)
				recorded[fingerprint] = true
			}
			if b.Allow(now, "hotel", fingerprint) {
				retries++
				b.Failed(now, "hotel", fingerprint)
			}
			if maxRetries := 3 + 2*now.Sub(start).Seconds(); float64(retries) > maxRetries {
				t.Fatalf("%d retries, want at most the %.1f that the bucket allows", retries, maxRetries)
			}
		}
	})
}
