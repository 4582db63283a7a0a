package hemlockquota

import (
	"math"
	"time"
)

// minBucketTime is the time for which the tokens of a bucket are kept at least: demand reaches a pool in batches, and a bucket without
// burst would lose the tokens that arrive between two of them.
const minBucketTime = 50 * time.Millisecond

// bucket is the token bucket of a share of one quota. Its level never exceeds its capacity, and it starts empty.
type bucket struct {
	level float64
	share Fraction
	limit Limit
	// at is the time up to which tokens were added.
	at time.Time
}

// set adds the tokens since the last call, and then changes the share and the limit. The share may have changed at any time since
// the last call, so the lower one counts for that time. A share that joins brings no tokens, and one that leaves takes those above the
// new capacity: the levels of all buckets of a quota never add up to more than the capacities of all shares.
func (b *bucket) set(now time.Time, share Fraction, limit Limit) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.level += elapsed * min(b.share, share).Value() * min(b.limit.PerSecond, limit.PerSecond)
		b.at = now
	}
	b.share, b.limit = share, limit
	b.level = min(b.level, b.capacity())
}

func (b *bucket) capacity() float64 {
	return max(1, b.share.Value()*max(b.limit.Burst, b.limit.PerSecond*minBucketTime.Seconds()))
}

// take takes up to count tokens and returns how many.
func (b *bucket) take(count int) int {
	// Rounding errors must not delay a token that is due.
	taken := max(0, min(count, int(b.level+1e-9)))
	b.level = max(0, b.level-float64(taken))
	return taken
}

func (b *bucket) put(count int) {
	b.level = min(b.level+float64(count), b.capacity())
}

// maxWait limits the time that is stated until the next token.
const maxWait = 2 * time.Second

// wait returns the time until the next token.
func (b *bucket) wait() time.Duration {
	perSecond := b.share.Value() * b.limit.PerSecond
	if perSecond <= 0 {
		return maxWait
	}
	return time.Duration(min(maxWait.Seconds(), max(0, 1-b.level)/perSecond) * float64(time.Second))
}

// interval returns the time between two tokens.
func (b *bucket) interval() time.Duration {
	return time.Duration(min(maxWait.Seconds(), 1/math.Max(1e-9, b.share.Value()*b.limit.PerSecond)) * float64(time.Second))
}
