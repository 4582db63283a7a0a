package hemlockretry

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

const (
	// defaultMaxFailures limits the records of failed requests. At the intended size of a deployment a node receives about
	// 390 calls/s, so that 30 s in which all fail make 11,700 records.
	defaultMaxFailures = 16384
	// defaultMaxSources limits the sources with a token bucket. An evicted source starts with a full bucket again.
	defaultMaxSources = 1024
	defaultRate       = 1.0
	defaultBurst      = 10
	defaultExpiry     = 30 * time.Second
	// maxRetryAfter is the longest wait for which a token is reserved. A retry that would have to wait longer gets no token
	// and is advised to wait this long.
	maxRetryAfter = 30 * time.Second
)

// CallerRetryBudget limits how often the callers of each source may retry failed requests at this entry node. A source is a
// customer, or a host for its callers without a valid customer. The first attempt of a request is always allowed. A retry
// takes a token from the bucket of its source, unless the caller has waited as an earlier refusal advised. CallerRetryBudget
// is safe for concurrent use.
type CallerRetryBudget struct {
	mutex    sync.Mutex
	rate     rate.Limit
	burst    int
	expiry   time.Duration
	failures *simplelru.LRU[failureKey, failure]
	limiters *simplelru.LRU[string, *rate.Limiter]
}

type failureKey struct {
	source      string
	fingerprint uint64
}

// failure is the record of a request that failed at this entry node.
type failure struct {
	expires time.Time
	// freeFrom is the time from which one retry costs no token; zero if every retry costs one.
	freeFrom time.Time
	// reserved is set if the token for the retry at freeFrom has been taken already.
	reserved bool
}

// CallerRetryOption changes a CallerRetryBudget at construction.
type CallerRetryOption func(*CallerRetryBudget)

// WithRetryRate sets the retries per second and the burst of each source.
func WithRetryRate(perSecond float64, burst int) CallerRetryOption {
	return func(b *CallerRetryBudget) { b.rate, b.burst = rate.Limit(perSecond), burst }
}

// WithRetryExpiry sets how long the record of a failed request is kept after the failure or, if the caller was advised to
// wait, after that wait.
func WithRetryExpiry(expiry time.Duration) CallerRetryOption {
	return func(b *CallerRetryBudget) { b.expiry = expiry }
}

// WithRetryCapacity sets the maximum numbers of sources and of failed requests with a record; a number below one counts as
// one. The least recently used records are evicted first, and a retry of an evicted request counts as its first attempt.
func WithRetryCapacity(sources, failures int) CallerRetryOption {
	return func(b *CallerRetryBudget) {
		b.limiters, b.failures = newLRU[string, *rate.Limiter](sources), newLRU[failureKey, failure](failures)
	}
}

// NewCallerRetryBudget returns a budget of 1 retry/s with a burst of 10 for each source unless options say otherwise.
func NewCallerRetryBudget(options ...CallerRetryOption) *CallerRetryBudget {
	b := &CallerRetryBudget{rate: defaultRate, burst: defaultBurst, expiry: defaultExpiry}
	WithRetryCapacity(defaultMaxSources, defaultMaxFailures)(b)
	for _, option := range options {
		option(b)
	}
	return b
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](max(size, 1), nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one
	}
	return lru
}

// Allow reports whether a request may run now. If not, it has to be refused before execution, with the Retry-After that
// RetryAfter returns.
func (b *CallerRetryBudget) Allow(now time.Time, source string, fingerprint uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := failureKey{source, fingerprint}
	f, ok := b.failures.Get(key)
	if !ok || !now.Before(f.expires) {
		b.failures.Remove(key)
		return true
	}
	if !f.freeFrom.IsZero() && !now.Before(f.freeFrom) {
		// The record stays, so that a second retry costs a token even without another failure.
		f.freeFrom, f.reserved = time.Time{}, false
		b.failures.Add(key, f)
		return true
	}
	if f.reserved {
		return false
	}
	return b.reserve(now, key, f)
}

// reserve takes a token and returns true. If there is none, it returns false: it then reserves a token for later and records
// from when the retry may run, or reserves none if the wait would exceed maxRetryAfter.
func (b *CallerRetryBudget) reserve(now time.Time, key failureKey, f failure) bool {
	reservation := b.limiter(key.source).ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	switch {
	case delay == 0 && reservation.OK():
		return true
	case !reservation.OK() || delay > maxRetryAfter:
		reservation.CancelAt(now)
		return false
	}
	f.freeFrom, f.reserved = now.Add(delay), true
	// The record must last longer than the wait that is advised to the caller.
	f.expires = f.freeFrom.Add(b.expiry)
	b.failures.Add(key, f)
	return false
}

// RetryAfter returns how long a caller whose request Allow refused should wait before it retries. It is maxRetryAfter if no
// token is reserved for the retry, and 0 if the record of the request is gone.
func (b *CallerRetryBudget) RetryAfter(now time.Time, source string, fingerprint uint64) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f, ok := b.failures.Peek(failureKey{source, fingerprint})
	switch {
	case !ok || !now.Before(f.expires):
		return 0
	case f.freeFrom.IsZero():
		return maxRetryAfter
	}
	return max(f.freeFrom.Sub(now), 0)
}

// Failed records that a request failed after Allow had returned true, so that a retry costs a token. It must not be called
// for a request that Allow refused, because that would delete the reservation for the retry after the advised wait.
func (b *CallerRetryBudget) Failed(now time.Time, source string, fingerprint uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures.Add(failureKey{source, fingerprint}, failure{expires: now.Add(b.expiry)})
}

// Refused records that a request was refused before execution with advice to wait. One retry after the wait costs no token;
// a retry before it costs one.
func (b *CallerRetryBudget) Refused(now time.Time, source string, fingerprint uint64, retryAfter time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	freeFrom := now.Add(max(retryAfter, 0))
	b.failures.Add(failureKey{source, fingerprint}, failure{expires: freeFrom.Add(b.expiry), freeFrom: freeFrom})
}

// Succeeded deletes the record of a failed request, so that the same request counts as a first attempt later.
func (b *CallerRetryBudget) Succeeded(source string, fingerprint uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures.Remove(failureKey{source, fingerprint})
}

func (b *CallerRetryBudget) limiter(source string) *rate.Limiter {
	limiter, ok := b.limiters.Get(source)
	if !ok {
		limiter = rate.NewLimiter(b.rate, b.burst)
		b.limiters.Add(source, limiter)
	}
	return limiter
}
