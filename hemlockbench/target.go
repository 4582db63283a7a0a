package hemlockbench

import (
	"math"
	"time"

	"hemlockhollow/hemlockadmission"
)

const (
	// slowStartTime is how long the capacity of a restarted target takes to grow to its slots.
	slowStartTime = 5 * time.Second
	// slowStartCapacity is the capacity of a target right after its restart, as a fraction of its slots.
	slowStartCapacity = 0.25
	// overloadExponent says how work slows down when the load, running requests divided by capacity, is above 1: it takes
	// load^overloadExponent times as long. Above a load of 2, the target refuses requests before execution.
	overloadExponent = 1.5
	// restartTime is how long a crashed target is down.
	restartTime = 10 * time.Second
)

// target simulates one target: its work times, slow start, crash and gray failure.
type target struct {
	sim         *simulation
	service     int
	index       int
	running     map[uint64]*run // by id
	lastRunID   uint64
	alive       bool
	restartedAt time.Duration // when it last restarted; negative if never
}

// run is the execution of one attempt at a target.
type run struct {
	id      uint64
	node    *node
	attempt *attempt
	ticket  *hemlockadmission.Ticket[*attempt]
	started time.Duration
	work    time.Duration // time of the target's own work, without nested calls
	ended   bool
}

// capacity returns the number of requests that the target runs concurrently without slowing down.
func (t *target) capacity() float64 {
	slots := float64(t.sim.deployment.Services[t.service].Slots)
	if t.restartedAt < 0 {
		return slots
	}
	age := float64(t.sim.loop.now-t.restartedAt) / float64(slowStartTime)
	return slots * min(1, slowStartCapacity+(1-slowStartCapacity)*age)
}

// sheds reports whether the target itself refuses a request before execution.
func (t *target) sheds() bool {
	return float64(len(t.running)) > 2*t.capacity()
}

// workFor returns how long a target's own work for a request takes.
func (t *target) workFor(units float64) time.Duration {
	s := t.sim
	work := float64(s.deployment.Services[t.service].UnitWork) * units * (0.75 + 0.5*s.random.Float64())
	if inTrigger(s.loop.now) {
		if t.service == orders {
			work *= s.scenario.SlowFactor
		}
		if s.scenario.GrayFailure && t.service == orders && t.index == 0 {
			work *= 10
		}
	}
	if load := float64(len(t.running)) / t.capacity(); load > 1 {
		work *= math.Pow(load, overloadExponent)
	}
	return time.Duration(work)
}

// reportsIdle reports whether the load that the target reports is 0 although it is slow, as in a gray failure.
func (t *target) reportsIdle() bool {
	return t.sim.scenario.GrayFailure && t.service == orders && t.index == 0 && inTrigger(t.sim.loop.now)
}
