package hemlockretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func expect(t *testing.T, got, want bool, what string) {
	t.Helper()
	if got != want {
		t.Fatalf("%s: got %v, want %v", what, got, want)
	}
}

func TestRepeatBudget(t *testing.T) {
	t.Run("guards against a caller that repeats a failed request without end", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(1, 2))
		expect(t, b.Allow(start, "hotel", 1), true, "first sending")
		b.Failed(start, "hotel", 1)
		expect(t, b.Allow(start, "hotel", 1), true, "first repeat")
		expect(t, b.Allow(start, "hotel", 1), true, "second repeat")
		expect(t, b.Allow(start, "hotel", 1), false, "repeat beyond the burst")
		expect(t, b.RetryAfter(start, "hotel", 1) == time.Second, true, "advice of one second")
		expect(t, b.Allow(start.Add(500*time.Millisecond), "hotel", 1), false, "repeat before the advised time")
		expect(t, b.Allow(start.Add(time.Second), "hotel", 1), true, "repeat at the advised time")
		expect(t, b.Allow(start.Add(time.Second), "tailor", 1), true, "the same request of another customer")
		expect(t, b.Allow(start.Add(time.Second), "hotel", 2), true, "another request of the customer")
	})
	t.Run("guards against punishing a caller that waits as it was told", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(0.001, 0))
		now := start
		for range 50 {
			b.Refused(now, "hotel", 1, 2*time.Second)
			expect(t, b.Allow(now.Add(time.Second), "hotel", 1), false, "repeat too early")
			now = now.Add(2 * time.Second)
			expect(t, b.Allow(now, "hotel", 1), true, "repeat after the wait")
		}
	})
	t.Run("guards against records that never end", func(t *testing.T) {
		b := NewCallerRetryBudget(WithRetryRate(0.001, 0), WithRetryCapacity(2, 3))
		b.Failed(start, "hotel", 1)
		expect(t, b.Allow(start.Add(29*time.Second), "hotel", 1), false, "remembered failure")
		expect(t, b.Allow(start.Add(61*time.Second), "hotel", 1), true, "expired failure")
		for i := range uint64(1000) {
			b.Failed(start, "hotel", i)
			b.Allow(start, string(rune('a'+i%26)), i)
		}
		expect(t, b.failures.Len() <= 3 && b.customers.Len() <= 2, true, "bounded records")
	})
}

// Guards against repeats above the token bucket, however failures, advice and arrivals interleave.
func TestRepeatsStayWithinTheBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewCallerRetryBudget(WithRetryRate(2, 3))
		now, repeats, advised := start, 0, map[uint64]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * time.Millisecond)
			fingerprint := rapid.Uint64Range(0, 5).Draw(t, "fingerprint")
			if !advised[fingerprint] {
				b.Failed(now, "hotel", fingerprint)
				advised[fingerprint] = true
			}
			if b.Allow(now, "hotel", fingerprint) {
				repeats++
				b.Failed(now, "hotel", fingerprint)
			}
			if most := 3 + 2*now.Sub(start).Seconds(); float64(repeats) > most {
				t.Fatalf("%d repeats, the bucket gives %.1f", repeats, most)
			}
		}
	})
}
