package hemlockbackpressure

import (
	"math"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// step is how often a share changes: the time until an admitted tree reaches the deep service.
	step = 100 * time.Millisecond
	// gain is the part by which the share falls in a step for a load that is one whole limit too high.
	gain = 0.2
	// largestCut bounds the fall in one step.
	largestCut = 0.25
	// growth is the part by which the share rises in a step at no load.
	growth = 0.4
	// leastShare keeps some trees going, so that room is noticed.
	leastShare = 0.02
)

// aims are the loads of the most loaded service that the shares are steered to, by priority. Less important trees make
// room before the service is full, more important ones are let in until its queue is nearly so.
var aims = [hemlockcall.PriorityCount]float64{
	hemlockcall.Sheddable: 0.97,
	hemlockcall.Important: 3,
	hemlockcall.Critical:  3,
}

// mostSteps bounds the steps that one tree makes up for. An entry of a large fleet begins few trees of a kind a second; with
// one step a tree it would follow a burst in tens of seconds.
const mostSteps = 3

// Throttle lets a share of the fresh trees of each kind in. It is safe for concurrent use.
type Throttle struct {
	mutex  sync.Mutex
	shares map[kind]*share
}

// kind is the trees that are let in together: those of a priority whose first call goes to the same service. They see the
// same loads.
type kind struct {
	priority hemlockcall.Priority
	first    string
}

// share is the part of the trees of one kind that is let in.
type share struct {
	value   float64
	credit  float64
	changed time.Time
}

// NewThrottle returns an open valve.
func NewThrottle() *Throttle {
	return &Throttle{shares: map[kind]*share{}}
}

// Admit reports whether a fresh tree is let in whose first call goes to a service, at a load as ForTree returns it.
func (v *Throttle) Admit(now time.Time, priority hemlockcall.Priority, first string, load float64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	s := v.share(priority, first)
	s.steer(now, load, aims[priority])
	if s.value >= 1 {
		return true
	}
	s.credit = min(s.credit+s.value, 1)
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// AdmittedFraction returns the part of the trees of a kind that is let in.
func (v *Throttle) AdmittedFraction(priority hemlockcall.Priority, first string) float64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.share(priority, first).value
}

// share is called with the lock held.
func (v *Throttle) share(priority hemlockcall.Priority, first string) *share {
	k := kind{priority: priority, first: first}
	s := v.shares[k]
	if s == nil {
		if len(v.shares) >= mostServices {
			clear(v.shares) // names of services that are gone
		}
		s = &share{value: 1}
		v.shares[k] = s
	}
	return s
}

func (s *share) steer(now time.Time, load, aim float64) {
	passed := now.Sub(s.changed)
	switch {
	case passed < step:
		return
	case passed > newsAge:
		load = min(load, aim) // nothing was let in for long; old news does not close the valve further
	}
	s.changed = now
	steps := min(float64(passed/step), mostSteps)
	excess := load - aim
	factor := 1 + growth*min(1, -excess/aim)
	if excess > 0 {
		factor = 1 - min(largestCut, gain*excess)
	}
	s.value = min(max(s.value*math.Pow(factor, steps), leastShare), 1)
}
