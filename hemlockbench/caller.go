package hemlockbench

import (
	"strconv"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
)

const (
	// platformTime is the latency of a claim, and platformTimeout that of a claim while the platform is out.
	platformTime    = 10 * time.Millisecond
	platformTimeout = 400 * time.Millisecond
	// repeatPause is how long a caller waits before it sends a failed request again.
	repeatPause = 100 * time.Millisecond
	customers   = 50
)

// request is one sending of a customer request.
type request struct {
	class       *Class
	entry       *node
	customer    string
	fingerprint uint64
	sent        time.Duration // first sending, also for repeats
	begun       time.Duration // this sending
	started     time.Duration // when this sending began to run at its first target
	repeats     int
	killer      bool
	ended       bool
	failed      bool
	work        time.Duration // work done for this sending while it was open
}

// arrivals schedules the arrivals of a class as a Poisson process.
func (s *simulation) arrivals(c *Class) {
	rate := c.Rate
	if triggered(s.loop.now) {
		rate *= s.scenario.SurgeFactor
	}
	s.loop.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.fingerprint++
		s.meter.arrived(s.loop.now)
		s.send(&request{class: c, entry: s.entry(), customer: "customer-" + strconv.Itoa(s.random.IntN(customers)),
			fingerprint: s.fingerprint, sent: s.loop.now})
		s.arrivals(c)
	})
}

// entry returns the node that a caller connects to: a random one of a random zone.
func (s *simulation) entry() *node {
	zone := s.zones[s.random.IntN(len(s.zones))]
	return zone[s.random.IntN(len(zone))]
}

// send sends a request to its entry node and watches the caller's time-out.
func (s *simulation) send(r *request) {
	r.begun = s.loop.now
	s.loop.after(s.house.CallerLatency, func() { s.enter(r) })
	s.loop.after(r.class.Timeout, func() { s.ended(r, hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, "")) })
}

// enter takes in a request at its entry node.
func (s *simulation) enter(r *request) {
	now := s.loop.clock()
	reply := func(refusal *hemlockcall.Refusal) {
		s.loop.after(s.house.CallerLatency, func() { s.ended(r, refusal) })
	}
	if !s.variant.noBudget && !r.entry.budget.Allow(now, r.customer, r.fingerprint) {
		reply(hemlockcall.Refuse(hemlockcall.ReasonCallerRetries, ""))
		return
	}
	i := &invocation{node: r.entry, root: r, deadline: r.begun + r.class.Timeout,
		ledger: hemlockretry.NewRequestBudget(r.class.RetryBudget)}
	i.done = func(refusal *hemlockcall.Refusal) {
		switch {
		case refusal == nil:
			r.entry.budget.Succeeded(r.customer, r.fingerprint)
		case refusal.Verdict == hemlockcall.VerdictNotRun:
			r.entry.budget.Refused(s.loop.clock(), r.customer, r.fingerprint, time.Second)
		default:
			r.entry.budget.Failed(s.loop.clock(), r.customer, r.fingerprint)
		}
		reply(refusal)
	}
	if !r.class.AtMostOnce {
		i.attempt()
		return
	}
	if s.scenario.PlatformOutage && triggered(s.loop.now) {
		s.loop.after(platformTimeout, func() { i.end(hemlockcall.Refuse(hemlockcall.ReasonPlatform, "")) })
		return
	}
	s.loop.after(platformTime, i.attempt)
}

// ended takes in the first answer or the time-out at the caller, which may send the request again.
func (s *simulation) ended(r *request, refusal *hemlockcall.Refusal) {
	if r.ended {
		return
	}
	r.ended, r.failed = true, refusal != nil
	s.meter.ended(r, s.loop.now)
	// A booking of unknown outcome is not sent again: its claim would refuse it.
	unsafe := refusal != nil && r.class.AtMostOnce && refusal.Verdict == hemlockcall.VerdictUnknown
	if !r.failed || r.killer || unsafe || !triggered(s.loop.now) || r.repeats >= s.scenario.CallerRetries {
		return
	}
	again := *r
	again.ended, again.failed, again.work, again.repeats = false, false, 0, r.repeats+1
	s.loop.after(repeatPause, func() { s.send(&again) })
}

// sendKiller sends the request that crashes targets, to another entry node each time.
func (s *simulation) sendKiller() {
	if triggered(s.loop.now) {
		s.send(&request{class: &s.killer, entry: s.entry(), customer: "killer", fingerprint: 1, killer: true})
	}
}
