package hemlockbench

import (
	"math"
	"time"

	"hemlockhollow/hemlockadmission"
)

const (
	// coldTime is how long a target that came back is cold.
	coldTime = 5 * time.Second
	// coldCapacity is the part of its slots that a cold target runs without loss; beyond that, work takes longer by
	// coldPenalty, and beyond twice that the target refuses requests as not run.
	coldCapacity = 0.25
	coldPenalty  = 1.5
	// restartTime is how long a crashed target is away.
	restartTime = 10 * time.Second
)

// target is a fake of one target: its work times, cold start, crash and gray failure.
type target struct {
	sim     *simulation
	service int
	index   int
	running map[uint64]*run // by id; visited in order of id
	lastRun uint64
	alive   bool
	cameUp  time.Duration // when it last came back; negative when it has always been up
}

// run is one request that runs at a target.
type run struct {
	id      uint64
	node    *node
	call    *call
	ticket  *hemlockadmission.Ticket[*call]
	started time.Duration
	work    time.Duration // time of own work, without nested calls
	ended   bool
}

// capacity returns the number of requests that the target runs without loss.
func (t *target) capacity() float64 {
	slots := float64(t.sim.house.Services[t.service].Slots)
	if t.cameUp < 0 {
		return slots
	}
	age := float64(t.sim.loop.now-t.cameUp) / float64(coldTime)
	return slots * min(1, coldCapacity+(1-coldCapacity)*age)
}

// sheds reports whether the target itself refuses a request as not run.
func (t *target) sheds() bool {
	return float64(len(t.running)) > 2*t.capacity()
}

// workFor returns how long the own work of a request takes.
func (t *target) workFor(units float64) time.Duration {
	s := t.sim
	work := float64(s.house.Services[t.service].UnitWork) * units * (0.75 + 0.5*s.random.Float64())
	if triggered(s.loop.now) {
		if t.service == orders {
			work *= s.scenario.SlowFactor
		}
		if s.scenario.GrayFailure && t.service == orders && t.index == 0 {
			work *= 10
		}
	}
	if excess := float64(len(t.running)) / t.capacity(); excess > 1 {
		work *= math.Pow(excess, coldPenalty)
	}
	return time.Duration(work)
}

// misleads reports whether the target's load report says that it is idle.
func (t *target) misleads() bool {
	return t.sim.scenario.GrayFailure && t.service == orders && t.index == 0 && triggered(t.sim.loop.now)
}
