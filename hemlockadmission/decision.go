package hemlockadmission

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// The methods of this file are called with the lock held. Those that decide queued tickets add them to decided, and
// the caller calls decide for these after it released the lock.

func (c *Controller[T]) queued() int {
	return c.plain.size() + c.suspect.size()
}

func (c *Controller[T]) bound() int {
	if c.settings.queue > 0 {
		return c.settings.queue
	}
	return int(float64(c.limit.slots) * c.settings.share)
}

func (c *Controller[T]) queueOf(t *Ticket[T]) *queue[T] {
	if t.Attributes.Suspect {
		return c.suspect
	}
	return c.plain
}

func (c *Controller[T]) order() order {
	return c.plain.best.order
}

// next returns the queued ticket that may run next, or nil.
func (c *Controller[T]) next() *Ticket[T] {
	first := c.plain.first()
	if suspect := c.suspect.first(); suspect != nil && c.suspects == 0 {
		if first == nil || suspect.ranksBefore(first, c.order()) {
			return suspect
		}
	}
	return first
}

// last returns the queued ticket that ranks lowest, or nil.
func (c *Controller[T]) last() *Ticket[T] {
	last, suspect := c.plain.last(), c.suspect.last()
	if last == nil || suspect != nil && last.ranksBefore(suspect, c.order()) {
		return suspect
	}
	return last
}

func (c *Controller[T]) hasSlotFor(t *Ticket[T]) bool {
	return c.inFlight < c.limit.current() && (!t.Attributes.Suspect || c.suspects == 0)
}

func (c *Controller[T]) isLate(now time.Time, t *Ticket[T]) bool {
	if c.settings.off[DeadlineDrop] {
		return false
	}
	left := t.deadline.Sub(now)
	return left <= 0 || left < c.classOf(t.Attributes.Class).shortest()
}

// level returns the highest priority that was refused because of load within the hold.
func (c *Controller[T]) level(now time.Time) hemlockcall.Priority {
	if c.settings.off[PriorityHold] {
		return hemlockcall.Sheddable
	}
	for p := hemlockcall.Critical; p > hemlockcall.Sheddable; p-- {
		if now.Before(c.held[p]) {
			return p
		}
	}
	return hemlockcall.Sheddable
}

func (c *Controller[T]) admit(t *Ticket[T]) {
	t.state, t.admitted = stateRunning, true
	c.inFlight++
	c.counters.Admitted++
	if t.Attributes.Suspect {
		c.suspects++
	}
}

func (c *Controller[T]) refuse(t *Ticket[T], reason hemlockcall.Reason, detail string) {
	t.state = stateRefused
	t.refusal = hemlockcall.Refuse(reason, detail)
}

// refuseForLoad refuses a ticket that is not in the queue and starts the hold. Every refusal for load counts, also
// one that a hold of a still higher priority causes: else a lower priority would be admitted after the higher hold
// ended. Waiting requests of lower priorities are refused too, because they would run within the hold.
func (c *Controller[T]) refuseForLoad(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	c.counters.Refused++
	c.refuse(t, hemlockcall.ReasonOverload, "the target is overloaded")
	t.refusal = t.refusal.WithRetryAfter(c.settings.hold)
	if t.Queued {
		*decided = append(*decided, t)
	}
	p := t.Attributes.Priority
	c.held[p] = now.Add(c.settings.hold)
	if c.settings.off[PriorityHold] || !c.order().priority {
		return
	}
	for low := c.last(); low != nil && low.Attributes.Priority < p; low = c.last() {
		c.queueOf(low).remove(low)
		c.refuseForLoad(now, low, decided)
	}
}

// enqueue queues a ticket, displaces one that ranks below it, or refuses it.
func (c *Controller[T]) enqueue(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	if c.queued() >= c.bound() {
		last := c.last()
		if last == nil || c.settings.off[Displacement] || !t.ranksBefore(last, c.order()) {
			c.refuseForLoad(now, t, decided)
			return
		}
		c.queueOf(last).remove(last)
		c.counters.Displaced++
		c.refuseForLoad(now, last, decided)
	}
	t.state, t.Queued = stateQueued, true
	c.queueOf(t).push(t)
}

// fill admits queued tickets while there are free slots.
func (c *Controller[T]) fill(now time.Time, decided *[]*Ticket[T]) {
	for c.inFlight < c.limit.current() {
		t := c.next()
		if t == nil {
			return
		}
		c.queueOf(t).remove(t)
		if c.isLate(now, t) {
			c.drop(now, t, decided)
			continue
		}
		c.admit(t)
		*decided = append(*decided, t)
	}
}

// drop refuses a ticket that waited too long. It waited because of load, unless it waited as a suspect.
func (c *Controller[T]) drop(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	c.counters.Late++
	if t.Attributes.Suspect {
		c.refuse(t, hemlockcall.ReasonSuspect, "another suspect request is running")
		*decided = append(*decided, t)
		return
	}
	c.refuseForLoad(now, t, decided)
}

func (c *Controller[T]) expire(now time.Time, decided *[]*Ticket[T]) {
	var late []*Ticket[T]
	collect := func(t *Ticket[T]) {
		if c.isLate(now, t) {
			late = append(late, t)
		}
	}
	c.plain.each(collect)
	c.suspect.each(collect)
	for _, t := range late {
		if t.state != stateQueued {
			continue // refused with a ticket of a higher priority
		}
		c.queueOf(t).remove(t)
		c.drop(now, t, decided)
	}
}
