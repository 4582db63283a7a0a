package hemlockadmission

import (
	"math"
	"time"
)

const (
	// shareTime is the time constant with which the slot time that an organisation has received decays. It covers several service
	// times (up to 0.64 s) and is below the length of the bursts of one organisation (5 to 8 s).
	shareTime = 2 * time.Second
	// accountRetention is how long the account of an organisation without requests is kept. By then, less than 1% of its slot time counts.
	accountRetention = 5 * shareTime
	// unknownServiceTime is the expected slot time of a request whose class has not completed a run yet.
	unknownServiceTime = 100 * time.Millisecond
	// minServiceTime is the least expected slot time, so that every request counts.
	minServiceTime = time.Millisecond
)

// account records what an organisation has recently received at the target. The organisation with the lowest level is served
// first among equals. All amounts decay at the same rate, so the order of levels changes only with the amounts themselves,
// and a heap by level stays valid as time passes.
type account[T any] struct {
	name  string
	index int // in accounts.all
	// epoch is the time that the levels of all accounts of one controller refer to.
	epoch time.Time
	// received is the slot time that running and finished requests have received, and backlog the expected slot time of the queued ones;
	// both in seconds, decayed with shareTime until the time at. Neither is negative.
	received, backlog float64
	at                time.Time
	// receivedLevel and totalLevel are the logarithms of received and of received+backlog, as amounts of the time epoch.
	receivedLevel, totalLevel float64
	// tickets is the number of queued or running requests and of the one that is being offered; queued is the part in the queues.
	tickets, queued int
	// credit is the number of requests that the organisation may place before all others, between 0 and maxCredit; see minServedRatio.
	credit float64
	flows  [flowCount]flow[T]
}

// level returns the position in the service order; without an account, the first one.
func (a *account[T]) level(order serviceOrder) float64 {
	switch {
	case a == nil:
		return math.Inf(-1)
	case order.last:
		return a.totalLevel
	}
	return a.receivedLevel
}

// change adds to the amounts. The additions are in the value that they have at the given time.
func (a *account[T]) change(now time.Time, received, backlog float64) {
	if elapsed := now.Sub(a.at); elapsed > 0 { // callers read the clock before they get the lock of the controller
		decay := decayOf(elapsed)
		a.received, a.backlog, a.at = a.received*decay, a.backlog*decay, now
	}
	a.received = max(0, a.received+received)
	a.backlog = max(0, a.backlog+backlog)
	if a.queued == 0 {
		a.backlog = 0 // removes the rounding errors
	}
	offset := a.at.Sub(a.epoch).Seconds() / shareTime.Seconds()
	a.receivedLevel = math.Log(a.received) + offset
	a.totalLevel = math.Log(a.received+a.backlog) + offset
}

// enqueue counts a request that is being queued. It does nothing without an account.
func (a *account[T]) enqueue(now time.Time, t *Ticket[T]) {
	if a == nil {
		return
	}
	a.queued++
	t.chargedAt = now
	a.change(now, 0, t.cost.Seconds())
}

// dequeue removes a request that is no longer queued. It does nothing without an account.
func (a *account[T]) dequeue(now time.Time, t *Ticket[T]) {
	if a == nil {
		return
	}
	a.queued--
	a.change(now, 0, -t.cost.Seconds()*decayOf(now.Sub(t.chargedAt)))
}

// admit counts the expected slot time of a request that starts to run.
func (a *account[T]) admit(now time.Time, t *Ticket[T]) {
	t.chargedAt = now
	a.change(now, t.cost.Seconds(), 0)
}

// finish replaces the expected slot time by the actual one. What was expected too much is taken back at the value that it has left.
// What was expected too little is added at its full value, as it was received last.
func (a *account[T]) finish(now time.Time, t *Ticket[T], serviceTime time.Duration) {
	difference := (serviceTime - t.cost).Seconds()
	if difference < 0 {
		difference *= decayOf(now.Sub(t.chargedAt))
	}
	a.change(now, difference, 0)
}

// expired reports whether the account can be dropped.
func (a *account[T]) expired(now time.Time) bool {
	return a.tickets == 0 && now.Sub(a.at) > accountRetention
}

// decayOf returns what is left of an amount after the given time.
func decayOf(elapsed time.Duration) float64 {
	return math.Exp(-max(0, elapsed).Seconds() / shareTime.Seconds())
}
