package hemlocktelemetry

import (
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockrelay"
)

const (
	// failureLinesPerSecond and successLinesPerSecond limit the rate of log lines. Failures are refusals, retries and
	// responses with a status of 500 or above; they get more lines than successes. At 300 bytes and 4 us of processor
	// time a line, both together take under 1 ms a second on each host.
	failureLinesPerSecond = 50
	successLinesPerSecond = 5
	// maxFailureBurst is how many failures can be logged in a burst, above the rate.
	maxFailureBurst = 100
	// reservedLinesPerSecond is the rate of log lines for the failures of one class that other classes cannot use up, so that a
	// class with few calls is visible while others fail often.
	reservedLinesPerSecond = 1
	// maxReservations limits the number of classes with reserved lines.
	maxReservations = 256
)

// Observer counts the outcome of every call and every retry, and logs them up to a maximum rate. It implements
// hemlockrelay.Observer.
type Observer struct {
	metrics   *Metrics
	log       logr.Logger
	version   func() uint64
	failures  *rate.Limiter
	successes *rate.Limiter

	mutex sync.Mutex
	// reserved are the limiters of reservedLinesPerSecond by class.
	reserved map[string]*rate.Limiter
}

// NewObserver returns an observer. The function version returns the version of the active configuration.
func NewObserver(metrics *Metrics, log logr.Logger, version func() uint64) *Observer {
	return &Observer{metrics: metrics, log: log, version: version,
		failures:  rate.NewLimiter(failureLinesPerSecond, maxFailureBurst),
		successes: rate.NewLimiter(successLinesPerSecond, successLinesPerSecond), reserved: map[string]*rate.Limiter{}}
}

// allowFailure reports whether a failure of a call of the class may be logged.
func (o *Observer) allowFailure(class string) bool {
	return o.failures.Allow() || o.reservedFor(class).Allow()
}

func (o *Observer) reservedFor(class string) *rate.Limiter {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	limiter := o.reserved[class]
	if limiter == nil {
		if len(o.reserved) >= maxReservations {
			clear(o.reserved)
		}
		limiter = rate.NewLimiter(reservedLinesPerSecond, reservedLinesPerSecond)
		o.reserved[class] = limiter
	}
	return limiter
}

// Answered implements hemlockrelay.Observer.
func (o *Observer) Answered(side hemlockrelay.Side, call *hemlockcall.RelayRequest, response *hemlockcall.RelayResponse,
	took time.Duration) {
	const minServerError = 500
	reason, failed := "ok", response.Status >= minServerError
	if failed {
		reason = "target-error"
	}
	o.metrics.count(outcomeKey{side: side, priority: call.Priority, verdict: "answered", reason: reason})
	o.metrics.countByRouteAge(side, call, reason)
	o.metrics.latency[side][call.Priority].RecordDuration(took)
	if side == hemlockrelay.SideGate {
		o.metrics.serviceTime[call.Priority].RecordDuration(response.ServiceTime)
	}
	if failed && !o.allowFailure(call.Class) || !failed && !o.successes.Allow() {
		return
	}
	o.log.Info("call answered", append(callFields(side, call, took, o.version()),
		"peer", response.Peer, "status", response.Status, "service-ms", milliseconds(response.ServiceTime),
		"in-flight", response.Feedback.InFlight, "limit", response.Feedback.Limit,
		"outstanding-ms", milliseconds(response.Feedback.Outstanding))...)
}

// Refused implements hemlockrelay.Observer.
func (o *Observer) Refused(side hemlockrelay.Side, call *hemlockcall.RelayRequest, refusal *hemlockcall.Refusal,
	took time.Duration) {
	o.metrics.count(outcomeKey{side: side, priority: call.Priority, verdict: refusal.Verdict.String(),
		reason: string(refusal.Reason)})
	o.metrics.countByRouteAge(side, call, string(refusal.Reason))
	o.metrics.latency[side][call.Priority].RecordDuration(took)
	if !o.allowFailure(call.Class) {
		return
	}
	o.log.Info("call refused", append(callFields(side, call, took, o.version()),
		"peer", refusal.Peer, "verdict", refusal.Verdict.String(), "reason", string(refusal.Reason),
		"detail", refusal.Detail, "reached", refusal.ReachedTarget,
		"in-flight", refusal.Feedback.InFlight, "limit", refusal.Feedback.Limit,
		"outstanding-ms", milliseconds(refusal.Feedback.Outstanding),
		"level", refusal.Feedback.MinPriority.String(), "retry-after-ms", milliseconds(refusal.RetryAfter))...)
}

// Retried implements hemlockrelay.Observer.
func (o *Observer) Retried(call *hemlockcall.RelayRequest, address string, refusal *hemlockcall.Refusal, attempt int) {
	o.metrics.count(outcomeKey{side: hemlockrelay.SideEntry, priority: call.Priority, verdict: "repeated",
		reason: string(refusal.Reason)})
	if !o.allowFailure(call.Class) {
		return
	}
	o.log.Info("attempt refused or late, another follows", append(callFields(hemlockrelay.SideEntry, call, 0, o.version()),
		"peer", address, "attempt", attempt, "verdict", refusal.Verdict.String(), "reason", string(refusal.Reason),
		"detail", refusal.Detail)...)
}

// callFields returns the log keys and values that all lines about a call have. Those of its organisation are omitted if it has none.
func callFields(side hemlockrelay.Side, call *hemlockcall.RelayRequest, took time.Duration, version uint64) []any {
	fields := []any{"request", call.ID, "side", side.String(), "class", call.Class, "service", call.Service,
		"origin", call.CallingService, "priority", call.Priority.String(),
		"took-ms", milliseconds(took), "remaining-ms", milliseconds(call.Remaining), "configuration", version}
	if call.ClassAddedIn != 0 {
		fields = append(fields, "route-added-in", call.ClassAddedIn)
	}
	if call.Organisation != "" {
		fields = append(fields, "organisation", call.Organisation, "organisation-rank", call.OrganisationRank)
	}
	return fields
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
