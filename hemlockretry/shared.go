package hemlockretry

import (
	"sync"
	"time"
)

const (
	// shareOfRatio is the part of the allowed ratio that one level of a call graph uses. A repeated run repeats all calls
	// below it, so that the deepest service sees the repeats of every level; faults at two levels at once stay within.
	shareOfRatio = 0.45
	// shareOfSlack is the part of the slack that all nodes use in a window, for the same reason; a repeat of the first
	// level can become several at the deepest one.
	shareOfSlack = 0.2
)

// Allowance says how many repeats a service may get from all nodes together.
type Allowance struct {
	// Ratio is the number of repeats for each first request.
	Ratio float64
	// Slack is the number of repeats in each window beyond the ratio.
	Slack float64
	// Window is the time over which repeats are counted; above zero.
	Window time.Duration
}

// SharedBudget bounds the repeats that this node sends to each service, so that those of all nodes together stay within
// the allowance. Each node earns repeats with its own first requests and takes an equal part of the slack; the nodes do
// not talk to each other about it. It is safe for concurrent use.
type SharedBudget struct {
	allowance Allowance

	mutex    sync.Mutex
	nodes    int // at least 1
	services map[string]*earned
}

// earned holds the repeats that may be sent to one service.
type earned struct {
	tokens float64
	filled time.Time
}

// NewSharedBudget returns the budget of one node among a single one; see SetNodes.
func NewSharedBudget(allowance Allowance) *SharedBudget {
	return &SharedBudget{allowance: allowance, nodes: 1, services: map[string]*earned{}}
}

// SetNodes takes in how many nodes share the slack. A rough number will do, for only a part of the slack is used.
func (b *SharedBudget) SetNodes(nodes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.nodes = max(nodes, 1)
}

// Earn records a first request to a service.
func (b *SharedBudget) Earn(now time.Time, service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.refill(now, service)
	e.tokens = min(e.tokens+b.allowance.Ratio*shareOfRatio, b.most())
}

// Spend takes one repeat to a service and reports whether there was one.
func (b *SharedBudget) Spend(now time.Time, service string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	e := b.refill(now, service)
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// most bounds what can be saved up, so that a burst of repeats after a calm time stays within the slack.
func (b *SharedBudget) most() float64 {
	return max(1, b.allowance.Slack*shareOfSlack/float64(b.nodes))
}

func (b *SharedBudget) refill(now time.Time, service string) *earned {
	e := b.services[service]
	if e == nil {
		e = &earned{filled: now}
		b.services[service] = e
	}
	rate := b.allowance.Slack * shareOfSlack / float64(b.nodes) / b.allowance.Window.Seconds()
	e.tokens = min(e.tokens+rate*max(0, now.Sub(e.filled).Seconds()), b.most())
	e.filled = now
	return e
}
