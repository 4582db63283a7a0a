package hemlockrelay

import (
	"math"
	"time"

	"hemlockhollow/hemlockadmission"
	"hemlockhollow/hemlockcall"
)

// RecordStatement applies what the target has stated in a response. A statement of another instance than the current one is
// ignored. It returns what the target states now, and whether that has changed.
func (g *Gate) RecordStatement(now time.Time, instance string, statement hemlockcall.TargetStatement,
) (hemlockcall.TargetStatement, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if instance != g.state.Instance {
		return g.statement, false
	}
	if statement.KeepsRateLimit {
		statement.RateLimit, statement.KeepsRateLimit = g.statement.RateLimit, false
	}
	return statement, g.applyStatement(now, statement)
}

// applyStatement reports whether the statement has changed. It is called with the lock held, which is locked before that of the
// controller.
func (g *Gate) applyStatement(now time.Time, statement hemlockcall.TargetStatement) bool {
	if statement == g.statement {
		return false
	}
	g.statement = statement
	g.controller.SetRateLimit(now, statement.RateLimit)
	return true
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
