package hemlockbench

import (
	"strconv"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
)

const (
	// claimLatency is how long the claim of an at-most-once request takes, and claimTimeout how long it takes to fail
	// during a platform outage.
	claimLatency = 10 * time.Millisecond
	claimTimeout = 400 * time.Millisecond
	// retryPause is how long a caller waits before it retries a failed request.
	retryPause    = 100 * time.Millisecond
	customerCount = 50
)

// request is one attempt of a caller at a customer request.
type request struct {
	class       *Class
	entry       *node
	customer    string
	fingerprint uint64
	firstSent   time.Duration // when the first attempt was sent
	sent        time.Duration // when this attempt was sent
	started     time.Duration // when this attempt last began to run at a target of the first service
	retries     int           // the number of earlier attempts
	poison      bool          // crashes each target that runs it
	ended       bool
	failed      bool
	work        time.Duration // work done for this attempt until it ended
}

// scheduleArrivals schedules the arrivals of a class as a Poisson process.
func (s *simulation) scheduleArrivals(c *Class) {
	rate := c.Rate
	if inTrigger(s.loop.now) {
		rate *= s.scenario.SurgeFactor
	}
	s.loop.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.lastFingerprint++
		s.meter.recordArrival(s.loop.now)
		s.send(&request{class: c, entry: s.randomEntry(), customer: "customer-" + strconv.Itoa(s.random.IntN(customerCount)),
			fingerprint: s.lastFingerprint, firstSent: s.loop.now})
		s.scheduleArrivals(c)
	})
}

// randomEntry returns the node that a caller connects to: a random one of a random zone.
func (s *simulation) randomEntry() *node {
	zone := s.zones[s.random.IntN(len(s.zones))]
	return zone[s.random.IntN(len(zone))]
}

// send sends a request to its entry node and starts the caller's timeout.
func (s *simulation) send(r *request) {
	r.sent = s.loop.now
	s.loop.after(s.deployment.CallerLatency, func() { s.handle(r) })
	s.loop.after(r.class.Timeout, func() { s.endRequest(r, hemlockcall.RefuseUnknown(hemlockcall.ReasonDeadline, "")) })
}

// handle handles a request at its entry node.
func (s *simulation) handle(r *request) {
	now := s.loop.clock()
	reply := func(refusal *hemlockcall.Refusal) {
		s.loop.after(s.deployment.CallerLatency, func() { s.endRequest(r, refusal) })
	}
	if !s.variant.noCallerBudget && !r.entry.callerBudget.Allow(now, r.customer, r.fingerprint) {
		reply(hemlockcall.Refuse(hemlockcall.ReasonCallerRetries, ""))
		return
	}
	c := &call{node: r.entry, request: r, deadline: r.sent + r.class.Timeout,
		retryBudget: hemlockretry.NewRequestBudget(r.class.RetryBudget)}
	c.onEnd = func(refusal *hemlockcall.Refusal) {
		switch {
		case refusal == nil:
			r.entry.callerBudget.Succeeded(r.customer, r.fingerprint)
		case refusal.Verdict == hemlockcall.VerdictNotRun:
			r.entry.callerBudget.Refused(s.loop.clock(), r.customer, r.fingerprint, time.Second)
		default:
			r.entry.callerBudget.Failed(s.loop.clock(), r.customer, r.fingerprint)
		}
		reply(refusal)
	}
	if !r.class.AtMostOnce {
		c.send()
		return
	}
	if s.scenario.PlatformOutage && inTrigger(s.loop.now) {
		s.loop.after(claimTimeout, func() { c.end(hemlockcall.Refuse(hemlockcall.ReasonPlatform, "")) })
		return
	}
	s.loop.after(claimLatency, c.send)
}

// endRequest handles the first response or the timeout at the caller, which may retry the request.
func (s *simulation) endRequest(r *request, refusal *hemlockcall.Refusal) {
	if r.ended {
		return
	}
	r.ended, r.failed = true, refusal != nil
	s.meter.recordEnd(r, s.loop.now)
	// A request of unknown outcome that may run at most once is not retried: its claim would refuse the retry.
	claimed := refusal != nil && r.class.AtMostOnce && refusal.Verdict == hemlockcall.VerdictUnknown
	if !r.failed || r.poison || claimed || !inTrigger(s.loop.now) || r.retries >= s.scenario.CallerRetries {
		return
	}
	retry := *r
	retry.ended, retry.failed, retry.work, retry.retries = false, false, 0, r.retries+1
	s.loop.after(retryPause, func() { s.send(&retry) })
}

// sendPoison sends the poison request, to a random entry node each time.
func (s *simulation) sendPoison() {
	if inTrigger(s.loop.now) {
		s.send(&request{class: &s.poisonClass, entry: s.randomEntry(), customer: "killer", fingerprint: 1, poison: true})
	}
}
