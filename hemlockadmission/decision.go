package hemlockadmission

import (
	"time"

	"hemlockhollow/hemlockcall"
)

// The methods of this file are called with the lock held. Those with the parameter decided append to it the queued tickets
// that they admit or refuse; the exported methods pass these to notify after they have released the lock.

func (c *Controller[T]) queued() int {
	return c.regularQueue.size() + c.suspectQueue.size()
}

// maxQueued returns the maximum number of queued tickets.
func (c *Controller[T]) maxQueued(now time.Time) int {
	size := int(float64(c.limit.slots) * c.settings.queueFactor)
	if c.settings.queueSize > 0 {
		size = c.settings.queueSize
	}
	if paced, limited := c.rate.maxQueued(now); limited {
		return min(size, paced)
	}
	return size
}

// trimQueue refuses the last queued tickets until no more than maxQueued are left.
func (c *Controller[T]) trimQueue(now time.Time, decided *[]*Ticket[T]) {
	for c.queued() > c.maxQueued(now) {
		last := c.last()
		c.dequeue(now, last)
		c.refuseForLoad(now, last, decided)
	}
}

func (c *Controller[T]) queueOf(t *Ticket[T]) *fairQueue[T] {
	if t.Attributes.Suspect {
		return c.suspectQueue
	}
	return c.regularQueue
}

func (c *Controller[T]) order() serviceOrder {
	return c.regularQueue.serviceOrder
}

// dequeue removes a ticket from its queue.
func (c *Controller[T]) dequeue(now time.Time, t *Ticket[T]) {
	c.queueOf(t).remove(t)
	t.account.dequeue(now, t)
	c.fix(t.account)
}

// fix restores the order of the queues after the levels of an account have changed.
func (c *Controller[T]) fix(a *account[T]) {
	if a != nil && a.queued > 0 {
		c.regularQueue.fix(a)
		c.suspectQueue.fix(a)
	}
}

// next returns the queued ticket that runs next, or nil. Suspects are left out while another suspect is running.
func (c *Controller[T]) next() *Ticket[T] {
	first := c.regularQueue.first()
	if suspect := c.suspectQueue.first(); suspect != nil && c.runningSuspects == 0 {
		if first == nil || suspect.ranksBefore(first, c.order()) {
			return suspect
		}
	}
	return first
}

// last returns the queued ticket that would run last, or nil.
func (c *Controller[T]) last() *Ticket[T] {
	last, suspect := c.regularQueue.last(), c.suspectQueue.last()
	if last == nil || suspect != nil && last.ranksBefore(suspect, c.order().forLast()) {
		return suspect
	}
	return last
}

func (c *Controller[T]) hasSlotFor(t *Ticket[T]) bool {
	return c.inFlight < c.limit.current() && (!t.Attributes.Suspect || c.runningSuspects == 0)
}

// isLate reports whether the remaining time is too short for the request to complete; always false if LateRefusal is
// disabled.
func (c *Controller[T]) isLate(now time.Time, t *Ticket[T]) bool {
	if c.settings.disabled[LateRefusal] {
		return false
	}
	remaining := t.deadline.Sub(now)
	return remaining <= 0 || remaining < c.classOf(t.Attributes.Class).lowServiceTimeEstimate()
}

// minPriority returns the lowest priority that is admitted: the highest one that was refused because of load within the hold
// time. It returns Sheddable if there is none or PriorityHold is disabled.
func (c *Controller[T]) minPriority(now time.Time) hemlockcall.Priority {
	if c.settings.disabled[PriorityHold] {
		return hemlockcall.Sheddable
	}
	for p := hemlockcall.Critical; p > hemlockcall.Sheddable; p-- {
		if now.Before(c.holdUntil[p]) {
			return p
		}
	}
	return hemlockcall.Sheddable
}

func (c *Controller[T]) admit(now time.Time, t *Ticket[T]) {
	t.state, t.admitted = stateRunning, true
	c.inFlight++
	c.rate.record()
	c.counters.Admitted++
	if t.Attributes.Suspect {
		c.runningSuspects++
	}
	c.accounts.admit(now, t)
	c.fix(t.account)
}

func (c *Controller[T]) refuse(t *Ticket[T], reason hemlockcall.Reason, detail string) {
	t.state = stateRefused
	c.accounts.refuse(t)
	t.refusal = hemlockcall.Refuse(reason, detail)
}

// refuseForLoad refuses a ticket because of load, with the hold time as RetryAfter, and starts the hold of its priority,
// during which lower priorities are refused. If the ticket was queued, the caller has removed it from the queue. A refusal
// that is due to the hold of a higher priority starts a hold for its own priority too. Otherwise, when the higher hold ends,
// all lower priorities would be admitted at the same moment. Unless PriorityHold or PriorityOrder is disabled, queued
// tickets of lower priorities are refused as well, because they would run within the hold.
func (c *Controller[T]) refuseForLoad(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	c.counters.Refused++
	c.accounts.refused[groupOf(t)]++
	c.refuse(t, hemlockcall.ReasonOverload, "the target or a downstream service is overloaded")
	t.refusal = t.refusal.WithRetryAfter(c.settings.holdTime)
	if t.Queued {
		*decided = append(*decided, t)
	}
	p := t.Attributes.Priority
	c.holdUntil[p] = now.Add(c.settings.holdTime)
	if c.settings.disabled[PriorityHold] || !c.order().priority {
		return
	}
	for lower := c.last(); lower != nil && lower.Attributes.Priority < p; lower = c.last() {
		c.dequeue(now, lower)
		c.refuseForLoad(now, lower, decided)
	}
}

// place admits a ticket if no other one goes first and a slot is free, or queues it.
func (c *Controller[T]) place(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	if t.account != nil {
		t.cost = c.costOf(t)
	}
	if c.hasSlotFor(t) && c.next() == nil && c.rate.allows(now) {
		c.admit(now, t)
		return
	}
	c.accounts.guarantee(t)
	c.enqueue(now, t, decided)
}

// enqueue queues a ticket. If the queue is full, the ticket displaces the last one in the service order; if it would be the
// last one itself or Displacement is disabled, it is refused. Its cost is counted before the last one is searched for,
// because that may move the other requests of its organisation to the end.
func (c *Controller[T]) enqueue(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	t.account.enqueue(now, t)
	c.fix(t.account)
	if c.queued() >= c.maxQueued(now) {
		last := c.last()
		if last == nil || c.settings.disabled[Displacement] || !t.ranksBefore(last, c.order().forLast()) {
			t.account.dequeue(now, t)
			c.fix(t.account)
			c.refuseForLoad(now, t, decided)
			return
		}
		c.dequeue(now, last)
		c.counters.Displaced++
		c.refuseForLoad(now, last, decided)
	}
	t.state, t.Queued = stateQueued, true
	c.queueOf(t).push(t)
}

// costOf returns the expected slot time of a request.
func (c *Controller[T]) costOf(t *Ticket[T]) time.Duration {
	if k := c.classOf(t.Attributes.Class); k != nil && k.samples > 0 {
		return max(k.meanServiceTime, minServiceTime)
	}
	return unknownServiceTime
}

// admitQueued takes tickets from the queue in the service order until the number of running requests reaches the limit, or
// the rate limit allows no more. It refuses those that have become late and admits the others.
func (c *Controller[T]) admitQueued(now time.Time, decided *[]*Ticket[T]) {
	for c.inFlight < c.limit.current() && c.rate.allows(now) {
		t := c.next()
		if t == nil {
			return
		}
		c.dequeue(now, t)
		if c.isLate(now, t) {
			c.refuseLate(now, t, decided)
			continue
		}
		c.admit(now, t)
		*decided = append(*decided, t)
	}
}

// refuseLate refuses a ticket that has become late in the queue and was removed from it. The refusal counts as caused by
// load; that of a suspect counts as caused by another suspect that is running.
func (c *Controller[T]) refuseLate(now time.Time, t *Ticket[T], decided *[]*Ticket[T]) {
	c.counters.Late++
	if t.Attributes.Suspect {
		c.refuse(t, hemlockcall.ReasonSuspect, "another suspected poison request is running")
		*decided = append(*decided, t)
		return
	}
	c.refuseForLoad(now, t, decided)
}

// refuseAllLate refuses the queued tickets that have become late.
func (c *Controller[T]) refuseAllLate(now time.Time, decided *[]*Ticket[T]) {
	var late []*Ticket[T]
	collect := func(t *Ticket[T]) {
		if c.isLate(now, t) {
			late = append(late, t)
		}
	}
	c.regularQueue.each(collect)
	c.suspectQueue.each(collect)
	for _, t := range late {
		if t.state != stateQueued {
			continue // refused already, because of a late ticket of a higher priority
		}
		c.dequeue(now, t)
		c.refuseLate(now, t, decided)
	}
}
