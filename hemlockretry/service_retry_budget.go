package hemlockretry

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// ratioFraction is the fraction of the allowed ratio that one level of the call graph uses. A retry repeats all downstream
	// calls, so that the deepest service receives the retries of every level. With this fraction, simultaneous faults at two
	// levels stay within the ratio.
	ratioFraction = 0.45
	// slackFraction is the fraction of the slack that all nodes use in a window, for the same reason: one retry at the first
	// level can cause several at the deepest one.
	slackFraction = 0.2
	// savedSlackFraction is the fraction of the slack that all nodes together may have saved. A node with little traffic may
	// save a whole token only while its part of that is one.
	savedSlackFraction = 0.5
	// accrualTime limits the saved tokens to those that first attempts earn in this time. They allow retries for some seconds
	// when all targets of a service fail together. The tokens that are saved and earned in one window stay within 0.6 of the
	// allowed ratio.
	accrualTime = 3 * time.Second
	// rateTimeConstant is the time constant of the current rate of first attempts; a window is several times as long.
	rateTimeConstant = 3 * time.Second
	// windowParts is the number of parts of a window whose first attempts are counted separately. The current part and the
	// previous one lie within one window, so that their first attempts count in any window that contains a retry sent now, or
	// in the window before it.
	windowParts = 2
)

// reservedFractions is, by priority of a call, the fraction of the maximum tokens that is reserved for more important calls.
var reservedFractions = [hemlockcall.PriorityCount]float64{hemlockcall.Sheddable: 0.5, hemlockcall.Important: 0.2}

// ServiceRetryLimit limits the retries that a service receives from all nodes together.
type ServiceRetryLimit struct {
	// Ratio is the number of retries that are allowed for each first attempt.
	Ratio float64
	// Slack is the number of retries that are allowed in each window in addition to the ratio.
	Slack float64
	// Window is the time over which retries are counted; above zero. The ratio applies to the first attempts of the same
	// window, of the previous one or of the one half a window earlier, whichever has the most. The earlier windows count
	// because a service that fails receives fewer first attempts.
	Window time.Duration
}

// ServiceRetryBudget limits the retries that this node sends to each service, so that those of all nodes together stay
// within a ServiceRetryLimit. A retry costs one token. Each node earns tokens with its own first attempts and from an equal
// part of the slack, without communication between the nodes. ServiceRetryBudget is safe for concurrent use.
type ServiceRetryBudget struct {
	limit ServiceRetryLimit
	// random returns a number in [0,1).
	random func() float64

	mutex    sync.Mutex
	nodes    int // at least 1
	services map[string]*serviceTokens
}

// serviceTokens is the token bucket of one service.
type serviceTokens struct {
	tokens     float64
	refilledAt time.Time
	// recentAttempts is the number of first attempts, decayed exponentially with rateTimeConstant.
	recentAttempts float64
	// currentHalf counts the first attempts of the half window that began at halfStart, previousHalf those of the one before.
	currentHalf, previousHalf float64
	halfStart                 time.Time
}

// rotate starts new half windows of the given length up to now.
func (t *serviceTokens) rotate(now time.Time, length time.Duration) {
	switch elapsed := now.Sub(t.halfStart); {
	case elapsed >= windowParts*length:
		t.previousHalf, t.currentHalf, t.halfStart = 0, 0, now
	case elapsed >= length:
		t.previousHalf, t.currentHalf, t.halfStart = t.currentHalf, 0, t.halfStart.Add(length)
	}
}

// rates returns the first attempts per second: the current rate, and the average over a window made up of the current and
// the previous half window.
func (t *serviceTokens) rates(window time.Duration) (current, average float64) {
	return t.recentAttempts / rateTimeConstant.Seconds(), (t.currentHalf + t.previousHalf) / window.Seconds()
}

// ServiceRetryOption configures a ServiceRetryBudget.
type ServiceRetryOption func(*ServiceRetryBudget)

// WithRandom sets the source of random numbers in [0,1).
func WithRandom(random func() float64) ServiceRetryOption {
	return func(b *ServiceRetryBudget) { b.random = random }
}

// NewServiceRetryBudget returns the budget of a single node; see SetNodes.
func NewServiceRetryBudget(limit ServiceRetryLimit, options ...ServiceRetryOption) *ServiceRetryBudget {
	b := &ServiceRetryBudget{limit: limit, nodes: 1, services: map[string]*serviceTokens{}, random: rand.Float64}
	for _, o := range options {
		o(b)
	}
	return b
}

// SetNodes sets the number of nodes that share the slack. It may be inexact because only a fraction of the slack is used.
func (b *ServiceRetryBudget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
}

// RecordFirstAttempt records a first attempt at a service.
func (b *ServiceRetryBudget) RecordFirstAttempt(now time.Time, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.refill(now, service)
	t.recentAttempts++
	t.currentHalf++
	t.tokens = min(t.tokens+b.limit.Ratio*ratioFraction, b.maxTokens(t))
}

// Spend takes a token for one retry at a service and reports whether there was one that is not reserved for calls of a
// higher priority. Where a node may save less than one token, it spends the unreserved part of what it has saved and allows
// the retry with that probability, so that many nodes with little traffic stay within the limit together.
func (b *ServiceRetryBudget) Spend(now time.Time, service string, priority hemlockcall.Priority) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	t := b.refill(now, service)
	most := b.maxTokens(t)
	if most < 1 {
		chance := t.tokens * (1 - reservedFractions[priority])
		t.tokens -= chance
		return b.random() < chance
	}
	if t.tokens < 1+reservedFractions[priority]*(most-1) {
		return false
	}
	t.tokens--
	return true
}

// maxTokens returns the limit on the saved tokens of a service. It is at least 1 unless the part of a node in the slack is too
// small.
func (b *ServiceRetryBudget) maxTokens(t *serviceTokens) float64 {
	saved := min(1, b.limit.Slack*savedSlackFraction/float64(b.nodes))
	slack := b.limit.Slack * slackFraction / float64(b.nodes)
	current, average := t.rates(b.limit.Window)
	return max(saved, slack, b.limit.Ratio*ratioFraction*max(current, average)*accrualTime.Seconds())
}

// refill adds the tokens that a service has earned since the last call and returns its bucket. It is called with the lock
// held.
func (b *ServiceRetryBudget) refill(now time.Time, service string) *serviceTokens {
	t := b.services[service]
	if t == nil {
		t = &serviceTokens{refilledAt: now, halfStart: now}
		b.services[service] = t
	}
	elapsed := max(0, now.Sub(t.refilledAt).Seconds())
	slack := b.limit.Slack * slackFraction / float64(b.nodes) / b.limit.Window.Seconds()
	t.rotate(now, b.limit.Window/windowParts)
	t.recentAttempts *= math.Exp(-elapsed / rateTimeConstant.Seconds())
	// While the current rate of first attempts is below the window average, the missing ones go on earning tokens, because the
	// first attempts of the earlier window still count.
	current, average := t.rates(b.limit.Window)
	missing := b.limit.Ratio * ratioFraction * max(0, average-current)
	t.tokens = min(t.tokens+(slack+missing)*elapsed, b.maxTokens(t))
	t.refilledAt = now
	return t
}
