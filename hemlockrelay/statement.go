package hemlockrelay

import (
	"math"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdrain"
	"hemlockhollow/hemlocksuspect"
)

// statements is what a gate knows of the statements of its target's current process.
type statements struct {
	// report has the instance and the start time of the process.
	report hemlockcall.TargetReport
	// limitHeard is set once a response of the process to this node has stated a rate limit or revoked it. What other nodes report
	// of it is then outdated.
	limitHeard bool
}

// GateOption configures a Gate.
type GateOption func(*Gate)

// WithOnReport sets a callback for changes of what is known of the target's statements. The source is the one of the change.
// The callback must not block.
func WithOnReport(callback func(report hemlockcall.TargetReport, source ReportSource)) GateOption {
	return func(g *Gate) { g.onReport = callback }
}

// WithDrain sets the state of the process, by which a Gate passes no call to its target that cannot end before the process does. By
// default, the process never stops.
func WithDrain(drain *hemlockdrain.Drain) GateOption {
	return func(g *Gate) { g.drain = drain }
}

// WithOnCleared sets a callback for the crash records that a completed call has cleared, for the other nodes of the zone. It must not
// block.
func WithOnCleared(onCleared func(records []hemlocksuspect.Record)) GateOption {
	return func(g *Gate) { g.onCleared = onCleared }
}

// ReportSource says from whom a gate knows a statement of its target.
type ReportSource string

// The sources of reports.
const (
	// SourceTarget is a response of the target to this node.
	SourceTarget ReportSource = "target"
	// SourceEntry is the entry of a call, which passed on a response of the target before this node was started.
	SourceEntry ReportSource = "entry"
)

// RecordStatement applies what the target has stated in a response. A statement of another instance than the current one is
// ignored.
func (g *Gate) RecordStatement(now time.Time, instance string, statement hemlockcall.TargetStatement) {
	g.changeReport(now, SourceTarget, func(s *statements) {
		if instance != s.report.Instance {
			return
		}
		if !statement.KeepsRateLimit {
			s.report.RateLimit, s.limitHeard = statement.RateLimit, true
		}
		s.report.Leaving = s.report.Leaving || statement.Leaving
	})
}

// mergeReport applies what the entry of a call knows of the target's statements. A rate limit applies only until the target has
// stated one or none to this node. A process that leaves does not become ready again, so that statement always applies.
func (g *Gate) mergeReport(now time.Time, known hemlockcall.TargetReport) {
	if !known.StatesAnything() {
		return
	}
	g.changeReport(now, SourceEntry, func(s *statements) {
		if !known.IsAbout(s.report.Instance, s.report.StartTime) {
			return
		}
		if !s.limitHeard && known.RateLimit.Stated {
			s.report.RateLimit = known.RateLimit
		}
		s.report.Leaving = s.report.Leaving || known.Leaving
	})
}

// changeReport applies a change of the statements. If it changes the report, changeReport passes that on without the lock.
func (g *Gate) changeReport(now time.Time, source ReportSource, change func(s *statements)) {
	report, changed := func() (hemlockcall.TargetReport, bool) {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		previous := g.statements.report
		change(&g.statements)
		report := g.statements.report
		if report != previous {
			g.controller.SetRateLimit(now, report.RateLimit)
		}
		return report, report != previous
	}()
	if changed {
		g.onReport(report, source)
	}
}

// resetStatements forgets the statements of a previous process. It is called with the lock held.
func (g *Gate) resetStatements(now time.Time, state TargetState) {
	report := &g.statements.report
	if report.IsAbout(state.Instance, state.StartTime) {
		report.StartTime = max(report.StartTime, state.StartTime)
		return
	}
	g.statements = statements{report: hemlockcall.TargetReport{Instance: state.Instance, StartTime: state.StartTime}}
	g.controller.SetRateLimit(now, hemlockcall.RateLimit{})
}

// reportFor returns what the entry of a call is told of the target's statements: nothing if there are none, unless the entry
// has to correct what it knows.
func (g *Gate) reportFor(call *hemlockcall.RelayRequest) hemlockcall.TargetReport {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if report := g.statements.report; report.StatesAnything() || call.TargetReport.Instance != "" {
		return report
	}
	return hemlockcall.TargetReport{}
}

// loadOf returns the load to report: the calls running or queued and the concurrency limit, or, where the rate limit leaves
// less room, the recent and queued calls per second and that limit.
func loadOf(s hemlockadmission.Snapshot) (inUse, limit int) {
	inUse, limit = s.InFlight+s.Queued, s.Limit
	if !s.RateLimit.Stated || s.RateLoad*float64(limit) < float64(inUse) {
		return inUse, limit
	}
	perSecond := min(max(1, math.Round(s.RateLimit.PerSecond)), math.MaxInt32)
	return int(math.Round(s.RateLoad * perSecond)), int(perSecond)
}
