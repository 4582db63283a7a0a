package hemlockadmission

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// rateBurstTime is the time whose admissions may be saved up while fewer requests arrive than the rate limit allows.
	rateBurstTime = 500 * time.Millisecond
	// rateQueueTime limits the queue under a rate limit to the requests that are admitted within it. A request that would
	// wait longer is better sent to another target.
	rateQueueTime = 250 * time.Millisecond
	// maxRateQueue is the largest queue under a rate limit, which keeps the conversion of a huge limit within the range of int.
	maxRateQueue = 1 << 30
	// minAdmissionRate is the rate per second at which requests are admitted even under a lower limit, because the target can
	// only revoke the limit in a response.
	minAdmissionRate = 0.5
	// admissionRateTime is the time constant of the measured rate of admissions.
	admissionRateTime = time.Second
)

// rateLimiter paces admissions to the rate limit that the target has stated. The zero value admits without a limit.
type rateLimiter struct {
	limit hemlockcall.RateLimit
	// tokens are the admissions that are allowed now; at most burst.
	tokens     float64
	refilledAt time.Time
	// recent is the number of admissions, decayed exponentially with admissionRateTime; at the time refilledAt.
	recent float64
}

// set applies a limit. Admissions begin one interval after a target has become limited, because it has just received requests
// without a limit.
func (r *rateLimiter) set(now time.Time, limit hemlockcall.RateLimit) {
	if limit == r.limit {
		return
	}
	r.refill(now)
	if !r.limit.Stated {
		r.tokens, r.recent = 0, 0
	}
	r.limit = limit
	r.tokens = min(r.tokens, r.burst())
}

// perSecond returns the rate of admissions while there is a limit.
func (r *rateLimiter) perSecond() float64 {
	return max(r.limit.PerSecond, minAdmissionRate)
}

func (r *rateLimiter) burst() float64 {
	return max(1, r.perSecond()*rateBurstTime.Seconds())
}

// refill adds the tokens of the time since the last call. A time that is not later than the last one adds none: callers read
// the clock before they get the lock of the controller.
func (r *rateLimiter) refill(now time.Time) {
	elapsed := now.Sub(r.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	r.refilledAt = now
	if r.limit.Stated {
		r.tokens = min(r.tokens+elapsed*r.perSecond(), r.burst())
		r.recent *= math.Exp(-elapsed / admissionRateTime.Seconds())
	}
}

// allows reports whether a request may be admitted now.
func (r *rateLimiter) allows(now time.Time) bool {
	if !r.limit.Stated {
		return true
	}
	r.refill(now)
	return r.tokens >= 1
}

// record counts an admission that allows has permitted.
func (r *rateLimiter) record() {
	if r.limit.Stated {
		r.tokens--
		r.recent++
	}
}

// maxQueued returns how many requests will be admitted within rateQueueTime, or false if there is no limit.
func (r *rateLimiter) maxQueued(now time.Time) (int, bool) {
	if !r.limit.Stated {
		return 0, false
	}
	r.refill(now)
	return int(min(r.tokens+r.perSecond()*rateQueueTime.Seconds(), maxRateQueue)), true
}

// load returns the admitted and queued requests as a fraction of what the limit allows; 0 without a limit.
func (r *rateLimiter) load(now time.Time, queued int) float64 {
	if !r.limit.Stated {
		return 0
	}
	r.refill(now)
	return (r.recent/admissionRateTime.Seconds() + float64(queued)) / r.perSecond()
}
