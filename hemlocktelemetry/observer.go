package hemlocktelemetry

import (
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockrelay"
)

const (
	// refusedLines and answeredLines bound the log lines a second; what failed goes before what went well. At 300 bytes a
	// line and 4 us of processor time, both together take under 1 ms a second on each host.
	refusedLines  = 50
	answeredLines = 5
	// lineBurst is how many lines may come at once.
	lineBurst = 100
)

// Observer counts each end of a call and logs as many as the rates allow. It implements hemlockrelay.Observer.
type Observer struct {
	metrics  *Metrics
	log      logr.Logger
	version  func() uint64
	refused  *rate.Limiter
	answered *rate.Limiter
}

// NewObserver returns an observer. Version returns the version of the configuration in force.
func NewObserver(metrics *Metrics, log logr.Logger, version func() uint64) *Observer {
	return &Observer{metrics: metrics, log: log, version: version,
		refused:  rate.NewLimiter(refusedLines, lineBurst),
		answered: rate.NewLimiter(answeredLines, answeredLines)}
}

// Answered implements hemlockrelay.Observer.
func (o *Observer) Answered(side hemlockrelay.Side, call *hemlockcall.RelayRequest, answer *hemlockcall.RelayResponse,
	took time.Duration) {
	const serverError = 500
	reason, limiter := "ok", o.answered
	if answer.Status >= serverError {
		reason, limiter = "target-error", o.refused
	}
	o.metrics.count(outcomeKey{side: side, priority: call.Priority, verdict: "answered", reason: reason})
	o.metrics.latency[side][call.Priority].RecordDuration(took)
	if side == hemlockrelay.SideGate {
		o.metrics.target[call.Priority].RecordDuration(answer.ServiceTime)
	}
	if !limiter.Allow() {
		return
	}
	o.log.Info("call answered", append(describe(side, call, took, o.version()),
		"peer", answer.Peer, "status", answer.Status, "service-ms", milliseconds(answer.ServiceTime), "in-flight", answer.Feedback.InFlight,
		"limit", answer.Feedback.Limit)...)
}

// Refused implements hemlockrelay.Observer.
func (o *Observer) Refused(side hemlockrelay.Side, call *hemlockcall.RelayRequest, refusal *hemlockcall.Refusal,
	took time.Duration) {
	o.metrics.count(outcomeKey{side: side, priority: call.Priority, verdict: refusal.Verdict.String(),
		reason: string(refusal.Reason)})
	o.metrics.latency[side][call.Priority].RecordDuration(took)
	if !o.refused.Allow() {
		return
	}
	o.log.Info("call refused", append(describe(side, call, took, o.version()),
		"peer", refusal.Peer, "verdict", refusal.Verdict.String(), "reason", string(refusal.Reason),
		"detail", refusal.Detail, "reached", refusal.ReachedTarget, "in-flight", refusal.Feedback.InFlight, "limit", refusal.Feedback.Limit,
		"level", refusal.Feedback.MinPriority.String(), "retry-after-ms", milliseconds(refusal.RetryAfter))...)
}

// Retried implements hemlockrelay.Observer.
func (o *Observer) Retried(call *hemlockcall.RelayRequest, address string, refusal *hemlockcall.Refusal, attempt int) {
	o.metrics.count(outcomeKey{side: hemlockrelay.SideEntry, priority: call.Priority, verdict: "repeated",
		reason: string(refusal.Reason)})
	if !o.refused.Allow() {
		return
	}
	o.log.Info("attempt ended, another follows", append(describe(hemlockrelay.SideEntry, call, 0, o.version()),
		"peer", address, "attempt", attempt, "verdict", refusal.Verdict.String(), "reason", string(refusal.Reason),
		"detail", refusal.Detail)...)
}

func describe(side hemlockrelay.Side, call *hemlockcall.RelayRequest, took time.Duration, version uint64) []any {
	return []any{"request", call.ID, "side", side.String(), "class", call.Class, "service", call.Service,
		"origin", call.CallingService, "priority", call.Priority.String(), "depth", call.Depth, "took-ms", milliseconds(took),
		"remaining-ms", milliseconds(call.Remaining), "configuration", version}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
