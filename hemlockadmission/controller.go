package hemlockadmission

import (
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

// defaultHold is how long lower priorities are refused after a higher one was refused because of load.
const defaultHold = time.Second

// Controller admits requests to one target. It is safe for concurrent use.
type Controller[T any] struct {
	decide   func(*Ticket[T])
	settings settings

	mutex    sync.Mutex
	limit    limit
	inFlight int // admitted and not finished; at most the limit at the time of each admission
	suspects int // admitted suspects; at most 1
	plain    *queue[T]
	suspect  *queue[T] // suspects wait apart, so that one that must wait does not hold up the others
	held     [hemlockcall.PriorityCount]time.Time
	classes  map[string]*class // at most maxClasses
	sequence uint64
	counters Counters
}

// Counters count decisions since construction.
type Counters struct {
	Admitted  uint64 `json:"admitted"`
	Refused   uint64 `json:"refused"` // because of load
	Displaced uint64 `json:"displaced"`
	Late      uint64 `json:"late"`
	Cancelled uint64 `json:"cancelled"`
}

// Snapshot is the state of a controller at one moment.
type Snapshot struct {
	Slots    int                  `json:"slots"`
	Limit    int                  `json:"limit"`
	InFlight int                  `json:"in-flight"`
	Queued   int                  `json:"queued"`
	Level    hemlockcall.Priority `json:"level"`
	Counters Counters             `json:"counters"`
}

// New returns a controller for a target with the given slots. Decide is called, outside the lock, once for each
// ticket that was queued.
func New[T any](slots int, decide func(*Ticket[T]), options ...Option) *Controller[T] {
	c := &Controller[T]{decide: decide, settings: settings{hold: defaultHold, share: 1}, classes: map[string]*class{}}
	for _, apply := range options {
		apply(&c.settings)
	}
	o := order{priority: !c.settings.off[PriorityOrder], depth: !c.settings.off[DepthOrder]}
	c.plain, c.suspect = newQueue[T](o), newQueue[T](o)
	c.limit.fixed = c.settings.off[AdaptiveLimit]
	c.limit.value = float64(slots)
	c.limit.setSlots(slots, c.settings.cold && !c.settings.off[ColdStart])
	return c
}

// Offer asks to run a request. The ticket is decided at once or queued; see Ticket.Queued.
func (c *Controller[T]) Offer(now time.Time, d Attributes, value T) *Ticket[T] {
	t := &Ticket[T]{Value: value, Attributes: d, arrival: now, deadline: now.Add(d.Remaining)}
	var decided []*Ticket[T]
	c.mutex.Lock()
	c.sequence++
	t.sequence = c.sequence
	switch {
	case c.limit.slots == 0:
		c.refuse(t, hemlockcall.ReasonUnavailable, "no target is announced")
	case c.isLate(now, t):
		c.counters.Late++
		c.refuse(t, hemlockcall.ReasonDeadline, "the remaining time is too short to run the request")
	case d.Priority < c.level(now) || !c.settings.off[NestedPacing] && !c.classOf(d.Class).pass(now):
		c.refuseForLoad(now, t, &decided)
	case c.hasSlotFor(t) && c.next() == nil:
		c.admit(t)
	default:
		c.enqueue(now, t, &decided)
	}
	c.mutex.Unlock()
	c.announce(decided)
	return t
}

// Finish takes in the end of an admitted request's run. Calls for other tickets and second calls have no effect.
func (c *Controller[T]) Finish(now time.Time, t *Ticket[T], o Outcome) {
	var decided []*Ticket[T]
	c.mutex.Lock()
	if t.state == stateRunning {
		t.state = stateFinished
		c.limit.observe(now, o, c.inFlight)
		c.classOf(t.Attributes.Class).observe(now, o)
		c.inFlight--
		if t.Attributes.Suspect {
			c.suspects--
		}
		c.fill(now, &decided)
	}
	c.mutex.Unlock()
	c.announce(decided)
}

// Cancel takes a queued ticket out of the queue; decide is called for it. It has no effect on an admitted ticket,
// whose slot is taken until Finish.
func (c *Controller[T]) Cancel(now time.Time, t *Ticket[T]) {
	var decided []*Ticket[T]
	c.mutex.Lock()
	if t.state == stateQueued {
		c.queueOf(t).remove(t)
		c.counters.Cancelled++
		c.refuse(t, hemlockcall.ReasonCancelled, "the caller cancelled the request")
		decided = append(decided, t)
		c.fill(now, &decided)
	}
	c.mutex.Unlock()
	c.announce(decided)
}

// DropExpired drops queued requests whose time ran out. Call it every 10 ms.
func (c *Controller[T]) DropExpired(now time.Time) {
	var decided []*Ticket[T]
	c.mutex.Lock()
	c.expire(now, &decided)
	c.fill(now, &decided)
	c.mutex.Unlock()
	c.announce(decided)
}

// SetSlots takes in the slots that the target announced; 0 means that the target is gone. A target that comes back
// is cold.
func (c *Controller[T]) SetSlots(now time.Time, slots int) {
	var decided []*Ticket[T]
	c.mutex.Lock()
	cold := c.limit.slots == 0 && slots > 0 && !c.settings.off[ColdStart]
	if c.limit.slots == 0 {
		c.limit.value = float64(slots)
	}
	c.limit.setSlots(slots, cold)
	if slots == 0 {
		for t := c.last(); t != nil; t = c.last() {
			c.queueOf(t).remove(t)
			c.refuse(t, hemlockcall.ReasonUnavailable, "the target is gone")
			decided = append(decided, t)
		}
	}
	c.fill(now, &decided)
	c.mutex.Unlock()
	c.announce(decided)
}

// Level returns the lowest priority that is still admitted.
func (c *Controller[T]) Level(now time.Time) hemlockcall.Priority {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.level(now)
}

// Snapshot returns the state at one moment.
func (c *Controller[T]) Snapshot(now time.Time) Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return Snapshot{Slots: c.limit.slots, Limit: c.limit.current(), InFlight: c.inFlight, Queued: c.queued(),
		Level: c.level(now), Counters: c.counters}
}

func (c *Controller[T]) announce(decided []*Ticket[T]) {
	for _, t := range decided {
		c.decide(t)
	}
}
