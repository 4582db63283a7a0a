package hemlockpressure

import (
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
var aims = [hemlockcall.Priorities]float64{
	hemlockcall.Sheddable: 0.97,
	hemlockcall.Important: 3,
	hemlockcall.Critical:  3,
}

// Valve lets a share of the fresh trees of each priority in. It is safe for concurrent use.
type Valve struct {
	mutex  sync.Mutex
	shares [hemlockcall.Priorities]share
}

// share is the part of the trees of one priority that is let in.
type share struct {
	value   float64
	credit  float64
	changed time.Time
}

// NewValve returns an open valve.
func NewValve() *Valve {
	v := &Valve{}
	for i := range v.shares {
		v.shares[i].value = 1
	}
	return v
}

// Admit reports whether a fresh tree is let in, at the load of the most loaded service.
func (v *Valve) Admit(now time.Time, priority hemlockcall.Priority, load float64) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	s := &v.shares[priority]
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

// Share returns the part of the trees of a priority that is let in.
func (v *Valve) Share(priority hemlockcall.Priority) float64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.shares[priority].value
}

func (s *share) steer(now time.Time, load, aim float64) {
	if passed := now.Sub(s.changed); passed < step {
		return
	} else if passed > newsAge {
		load = min(load, aim) // nothing was let in for long; old news does not close the valve further
	}
	s.changed = now
	excess := load - aim
	if excess > 0 {
		s.value *= 1 - min(largestCut, gain*excess)
	} else {
		s.value *= 1 + growth*min(1, -excess/aim)
	}
	s.value = min(max(s.value, leastShare), 1)
}
