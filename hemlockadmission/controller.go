package hemlockadmission

import (
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

// defaultHoldTime is how long lower priorities are refused after a higher one was refused because of load.
const defaultHoldTime = time.Second

// Controller admits requests to one target. It is safe for concurrent use.
type Controller[T any] struct {
	onDecided func(*Ticket[T])
	settings  settings

	mutex           sync.Mutex
	limit           limit
	rate            rateLimiter
	inFlight        int // admitted and not finished; above the limit only after the limit has decreased
	runningSuspects int // admitted suspects; at most 1
	regularQueue    *fairQueue[T]
	suspectQueue    *fairQueue[T] // separate, so that a suspect that has to wait does not block other requests
	accounts        accounts[T]
	holdUntil       [hemlockcall.PriorityCount]time.Time // by priority: lower priorities are refused until then
	classes         map[string]*class                    // at most maxClasses
	sequence        uint64
	counters        Counters
}

// Counters count the decisions of a controller since its construction.
type Counters struct {
	Admitted uint64 `json:"admitted"`
	// Refused counts refusals because of load. It includes the displaced tickets and, except for suspects, those that became
	// late in the queue.
	Refused   uint64 `json:"refused"`
	Displaced uint64 `json:"displaced"`
	Late      uint64 `json:"late"`      // on arrival or in the queue
	Cancelled uint64 `json:"cancelled"` // while queued
}

// Snapshot is the state of a controller at a point in time.
type Snapshot struct {
	Slots       int                  `json:"slots"`
	Limit       int                  `json:"limit"`
	InFlight    int                  `json:"in-flight"`
	Queued      int                  `json:"queued"`
	MinPriority hemlockcall.Priority `json:"level"`
	// RateLimit is the limit on the requests per second that the target accepts. RateLoad is the recent admissions and the
	// queued requests as a fraction of it; 0 without a limit.
	RateLimit hemlockcall.RateLimit `json:"rate-limit"`
	RateLoad  float64               `json:"rate-load"`
	Counters  Counters              `json:"counters"`
}

// New returns a controller for a target with the given slots. The controller calls onDecided, outside the lock, once for
// each queued ticket when it is admitted or refused.
func New[T any](slots int, onDecided func(*Ticket[T]), options ...Option) *Controller[T] {
	c := &Controller[T]{onDecided: onDecided, settings: settings{holdTime: defaultHoldTime, queueFactor: 1}, classes: map[string]*class{}}
	for _, apply := range options {
		apply(&c.settings)
	}
	o := serviceOrder{priority: !c.settings.disabled[PriorityOrder], depth: !c.settings.disabled[DepthOrder]}
	c.regularQueue, c.suspectQueue = newFairQueue[T](o, regularFlow), newFairQueue[T](o, suspectFlow)
	c.accounts = newAccounts[T](o, !c.settings.disabled[OrganisationOrder])
	c.limit.fixed = c.settings.disabled[AdaptiveLimit]
	c.limit.value = float64(slots)
	c.limit.setSlots(slots, c.settings.slowStart && !c.settings.disabled[SlowStart])
	return c
}

// Offer asks to run a request. The request is admitted or refused immediately, or queued; see Ticket.Queued.
func (c *Controller[T]) Offer(now time.Time, attributes Attributes, value T) *Ticket[T] {
	t := &Ticket[T]{Value: value, Attributes: attributes, arrival: now, deadline: now.Add(attributes.Remaining)}
	c.locked(func(decided *[]*Ticket[T]) {
		c.sequence++
		t.sequence = c.sequence
		c.accounts.open(now, t)
		switch {
		case c.limit.slots == 0:
			c.refuse(t, hemlockcall.ReasonUnavailable, "the target is not available")
		case c.isLate(now, t):
			c.counters.Late++
			c.refuse(t, hemlockcall.ReasonDeadline, "the remaining time is too short for the request to complete")
		case attributes.Priority < c.minPriority(now) || !c.settings.disabled[NestedPacing] && !c.classOf(attributes.Class).allow(now):
			c.refuseForLoad(now, t, decided)
		default:
			c.accounts.recordOffer(t)
			c.place(now, t, decided)
		}
	})
	return t
}

// locked runs a function with the lock held, and then calls onDecided for the queued tickets that it has decided. The lock is
// released also if the function panics.
func (c *Controller[T]) locked(run func(decided *[]*Ticket[T])) {
	var decided []*Ticket[T]
	func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		run(&decided)
	}()
	c.notify(decided)
}

// Finish records the outcome of an admitted request, frees its slot and admits queued requests. It has no effect on a ticket
// that is not admitted or has finished already.
func (c *Controller[T]) Finish(now time.Time, t *Ticket[T], o Outcome) {
	c.locked(func(decided *[]*Ticket[T]) {
		if t.state == stateRunning {
			t.state = stateFinished
			c.limit.recordOutcome(now, o, c.inFlight)
			c.classOf(t.Attributes.Class).recordOutcome(now, o)
			c.inFlight--
			if t.Attributes.Suspect {
				c.runningSuspects--
			}
			c.accounts.finish(now, t, o.ServiceTime)
			c.fix(t.account)
			c.admitQueued(now, decided)
		}
	})
}

// Cancel refuses a queued ticket and calls onDecided for it. It has no effect on an admitted ticket, whose slot stays in
// use until Finish.
func (c *Controller[T]) Cancel(now time.Time, t *Ticket[T]) {
	c.locked(func(decided *[]*Ticket[T]) {
		if t.state == stateQueued {
			c.dequeue(now, t)
			c.counters.Cancelled++
			c.refuse(t, hemlockcall.ReasonCancelled, "the caller cancelled the request")
			*decided = append(*decided, t)
			c.admitQueued(now, decided)
		}
	})
}

// RefuseLate refuses the queued requests whose remaining time has become too short for them to complete, and admits others
// if slots are free and the rate limit allows it. Call it every 10 to 20 ms while requests are queued.
func (c *Controller[T]) RefuseLate(now time.Time) {
	c.locked(func(decided *[]*Ticket[T]) {
		c.refuseAllLate(now, decided)
		c.admitQueued(now, decided)
	})
}

// SetSlots applies the number of slots of the target. 0 means that the target is not available; all queued requests are then
// refused. A target that becomes available again goes through slow start, unless SlowStart is disabled.
func (c *Controller[T]) SetSlots(now time.Time, slots int) {
	c.locked(func(decided *[]*Ticket[T]) {
		slowStart := c.limit.slots == 0 && slots > 0 && !c.settings.disabled[SlowStart]
		if c.limit.slots == 0 {
			c.limit.value = float64(slots)
		}
		c.limit.setSlots(slots, slowStart)
		if slots == 0 {
			for t := c.last(); t != nil; t = c.last() {
				c.dequeue(now, t)
				c.refuse(t, hemlockcall.ReasonUnavailable, "the target is no longer available")
				*decided = append(*decided, t)
			}
		}
		c.admitQueued(now, decided)
	})
}

// SetRateLimit applies the limit on the requests per second that the target accepts, or removes it.
func (c *Controller[T]) SetRateLimit(now time.Time, limit hemlockcall.RateLimit) {
	c.locked(func(decided *[]*Ticket[T]) {
		c.rate.set(now, limit)
		c.trimQueue(now, decided)
		c.admitQueued(now, decided)
	})
}

// MinPriority returns the lowest priority that is admitted: the highest one that was refused because of load within the hold
// time. It returns Sheddable if there is none or PriorityHold is disabled.
func (c *Controller[T]) MinPriority(now time.Time) hemlockcall.Priority {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.minPriority(now)
}

// Snapshot returns the state at the given time.
func (c *Controller[T]) Snapshot(now time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Snapshot{Slots: c.limit.slots, Limit: c.limit.current(), InFlight: c.inFlight, Queued: c.queued(),
		MinPriority: c.minPriority(now), RateLimit: c.rate.limit, RateLoad: c.rate.load(now, c.queued()),
		Counters: c.counters}
}

// notify calls onDecided for each ticket. It is called without the lock.
func (c *Controller[T]) notify(decided []*Ticket[T]) {
	for _, t := range decided {
		c.onDecided(t)
	}
}
