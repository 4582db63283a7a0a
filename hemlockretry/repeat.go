package hemlockretry

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"
)

const (
	// defaultFailures bounds the remembered failed requests. At the target size a node gets about 390 calls/s, so 30 s
	// of failures alone are 11,700 entries.
	defaultFailures = 16384
	// defaultCustomers bounds the remembered customers. A forgotten customer starts with a full bucket.
	defaultCustomers = 1024
	defaultRate      = 1.0
	defaultBurst     = 10
	defaultExpiry    = 30 * time.Second
	// longestWait bounds the Retry-After of a refused repeat. A repeat beyond it gets no reservation.
	longestWait = 30 * time.Second
)

// CallerRetryBudget bounds how often the callers of each customer may send a failed request again at this entry node. The
// first sending of a request is always allowed; a repeat takes a token of its customer. It is safe for concurrent use.
type CallerRetryBudget struct {
	mutex     sync.Mutex
	rate      rate.Limit
	burst     int
	expiry    time.Duration
	failures  *simplelru.LRU[failureKey, failure]
	customers *simplelru.LRU[string, *rate.Limiter]
}

type failureKey struct {
	customer    string
	fingerprint uint64
}

// failure is a request that failed at this entry node.
type failure struct {
	expires time.Time
	// free is the time from which one repeat costs no token; zero when every repeat costs one.
	free time.Time
	// reserved marks that a token for the repeat at free has been taken already.
	reserved bool
}

// CallerRetryOption changes a RepeatBudget.
type CallerRetryOption func(*CallerRetryBudget)

// WithRetryRate sets the repeats per second and the burst of each customer.
func WithRetryRate(perSecond float64, burst int) CallerRetryOption {
	return func(b *CallerRetryBudget) { b.rate, b.burst = rate.Limit(perSecond), burst }
}

// WithRetryExpiry sets for how long a failed request is remembered.
func WithRetryExpiry(expiry time.Duration) CallerRetryOption {
	return func(b *CallerRetryBudget) { b.expiry = expiry }
}

// WithRetryCapacity sets how many customers and failed requests are remembered; both must be above zero. The least
// recently used are forgotten first, and a repeat of a forgotten request counts as its first sending.
func WithRetryCapacity(customers, failures int) CallerRetryOption {
	return func(b *CallerRetryBudget) {
		b.customers, b.failures = newLRU[string, *rate.Limiter](customers), newLRU[failureKey, failure](failures)
	}
}

// NewCallerRetryBudget returns a budget of 1 repeat/s with a burst of 10 for each customer unless options say otherwise.
func NewCallerRetryBudget(options ...CallerRetryOption) *CallerRetryBudget {
	b := &CallerRetryBudget{rate: defaultRate, burst: defaultBurst, expiry: defaultExpiry}
	WithRetryCapacity(defaultCustomers, defaultFailures)(b)
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

// Allow reports whether a request may run now. A refused one is refused as not run, with the wait of RetryAfter.
func (b *CallerRetryBudget) Allow(now time.Time, customer string, fingerprint uint64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	key := failureKey{customer, fingerprint}
	f, ok := b.failures.Get(key)
	if !ok || !now.Before(f.expires) {
		b.failures.Remove(key)
		return true
	}
	if !f.free.IsZero() && !now.Before(f.free) {
		// The entry stays, so that a second repeat without another failure still costs a token.
		f.free, f.reserved = time.Time{}, false
		b.failures.Add(key, f)
		return true
	}
	if f.reserved {
		return false
	}
	return b.reserve(now, key, f)
}

// reserve takes a token now, or reserves one for later and records from when the repeat may run.
func (b *CallerRetryBudget) reserve(now time.Time, key failureKey, f failure) bool {
	reservation := b.limiter(key.customer).ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	switch {
	case delay == 0 && reservation.OK():
		return true
	case !reservation.OK() || delay > longestWait:
		reservation.CancelAt(now)
		return false
	}
	f.free, f.reserved = now.Add(delay), true
	// The record must outlive the wait that the caller was told.
	f.expires = f.free.Add(b.expiry)
	b.failures.Add(key, f)
	return false
}

// RetryAfter returns how long the caller of a refused request should wait before it sends the request again.
func (b *CallerRetryBudget) RetryAfter(now time.Time, customer string, fingerprint uint64) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	f, ok := b.failures.Peek(failureKey{customer, fingerprint})
	switch {
	case !ok || !now.Before(f.expires):
		return 0
	case f.free.IsZero():
		return longestWait
	}
	return max(f.free.Sub(now), 0)
}

// Failed records that a request failed after Allow let it run, so that sending it again costs a token. A request that
// Allow refused must not be recorded here: that would void the wait that its caller was told.
func (b *CallerRetryBudget) Failed(now time.Time, customer string, fingerprint uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures.Add(failureKey{customer, fingerprint}, failure{expires: now.Add(b.expiry)})
}

// Refused records that a request was refused as not run with advice to wait. One repeat after the wait costs no token;
// a repeat before it does.
func (b *CallerRetryBudget) Refused(now time.Time, customer string, fingerprint uint64, retryAfter time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	free := now.Add(max(retryAfter, 0))
	b.failures.Add(failureKey{customer, fingerprint}, failure{expires: free.Add(b.expiry), free: free})
}

// Succeeded forgets the failures of a request, so that the same request later counts as new.
func (b *CallerRetryBudget) Succeeded(customer string, fingerprint uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.failures.Remove(failureKey{customer, fingerprint})
}

func (b *CallerRetryBudget) limiter(customer string) *rate.Limiter {
	limiter, ok := b.customers.Get(customer)
	if !ok {
		limiter = rate.NewLimiter(b.rate, b.burst)
		b.customers.Add(customer, limiter)
	}
	return limiter
}
