package hemlockretry

import (
	"math"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// shareOfRatio is the part of the allowed ratio that one level of a call graph uses. A repeated run repeats all calls
	// below it, so that the deepest service sees the repeats of every level; faults at two levels at once stay within.
	shareOfRatio = 0.45
	// shareOfSlack is the part of the slack that all nodes use in a window, for the same reason; a repeat of the first
	// level can become several at the deepest one.
	shareOfSlack = 0.2
	// savedTime is how long the earnings of a calm time are kept: with them a fault that strikes all targets of a service at
	// once is bridged for seconds. All that is saved and earned in one window stays within 0.6 of the allowed ratio.
	savedTime = 3 * time.Second
	// rateTime is the time constant of the present rate of first requests; several of them fit into a window.
	rateTime = 3 * time.Second
	// halves is how many parts of a window are counted apart. The present part and the one before lie within one window, so
	// that their requests count in each window that holds a repeat of now, or in the one before it.
	halves = 2
)

// kept is the part of the savings that calls of a priority leave to more important ones.
var kept = [hemlockcall.PriorityCount]float64{hemlockcall.Sheddable: 0.5, hemlockcall.Important: 0.2}

// ServiceRetryLimit says how many repeats a service may get from all nodes together.
type ServiceRetryLimit struct {
	// Ratio is the number of repeats for each first request.
	Ratio float64
	// Slack is the number of repeats in each window beyond the ratio.
	Slack float64
	// Window is the time over which repeats are counted; above zero. The first requests are those of the same window, of the
	// one before or of the one half a window before, whichever has most: when a service fails, fewer are sent to it.
	Window time.Duration
}

// ServiceRetryBudget bounds the repeats that this node sends to each service, so that those of all nodes together stay within
// the allowance. Each node earns repeats with its own first requests and takes an equal part of the slack; the nodes do
// not talk to each other about it. It is safe for concurrent use.
type ServiceRetryBudget struct {
	allowance ServiceRetryLimit

	mutex    sync.Mutex
	nodes    int // at least 1
	services map[string]*earned
}

// earned holds the repeats that may be sent to one service.
type earned struct {
	tokens float64
	filled time.Time
	// recent is the number of first requests, faded with rateTime.
	recent float64
	// half counts the first requests of the half window that began last, former those of the one before.
	half, former float64
	began        time.Time
}

// follow brings the half windows up to now.
func (e *earned) follow(now time.Time, length time.Duration) {
	switch passed := now.Sub(e.began); {
	case passed >= halves*length:
		e.former, e.half, e.began = 0, 0, now
	case passed >= length:
		e.former, e.half, e.began = e.half, 0, e.began.Add(length)
	}
}

// rates are the numbers of first requests a second, now and over the window.
func (e *earned) rates(window time.Duration) (now, former float64) {
	return e.recent / rateTime.Seconds(), (e.half + e.former) / window.Seconds()
}

// NewServiceRetryBudget returns the budget of one node among a single one; see SetNodes.
func NewServiceRetryBudget(allowance ServiceRetryLimit) *ServiceRetryBudget {
	return &ServiceRetryBudget{allowance: allowance, nodes: 1, services: map[string]*earned{}}
}

// SetNodes takes in how many nodes share the slack. A rough number will do, for only a part of the slack is used.
func (b *ServiceRetryBudget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
}

// RecordRequest records a first request to a service.
func (b *ServiceRetryBudget) RecordRequest(now time.Time, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.refill(now, service)
	e.recent++
	e.half++
	e.tokens = min(e.tokens+b.allowance.Ratio*shareOfRatio, b.most(e))
}

// Spend takes one repeat to a service and reports whether there was one for a call of the priority.
func (b *ServiceRetryBudget) Spend(now time.Time, service string, priority hemlockcall.Priority) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.refill(now, service)
	if e.tokens < 1+kept[priority]*(b.most(e)-1) {
		return false
	}
	e.tokens--
	return true
}

// most bounds what can be saved up.
func (b *ServiceRetryBudget) most(e *earned) float64 {
	slack := b.allowance.Slack * shareOfSlack / float64(b.nodes)
	rate, former := e.rates(b.allowance.Window)
	return max(1, slack, b.allowance.Ratio*shareOfRatio*max(rate, former)*savedTime.Seconds())
}

func (b *ServiceRetryBudget) refill(now time.Time, service string) *earned {
	e := b.services[service]
	if e == nil {
		e = &earned{filled: now, began: now}
		b.services[service] = e
	}
	passed := max(0, now.Sub(e.filled).Seconds())
	slack := b.allowance.Slack * shareOfSlack / float64(b.nodes) / b.allowance.Window.Seconds()
	e.follow(now, b.allowance.Window/halves)
	e.recent *= math.Exp(-passed / rateTime.Seconds())
	// Requests that do not come any more, but counted in a window before, earn what they did.
	rate, former := e.rates(b.allowance.Window)
	missing := b.allowance.Ratio * shareOfRatio * max(0, former-rate)
	e.tokens = min(e.tokens+(slack+missing)*passed, b.most(e))
	e.filled = now
	return e
}
