package hemlockbalancer

import (
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// unhealthyFailures is how many consecutive failed calls make a target unhealthy. One is common in a planned restart.
	unhealthyFailures = 3
	// minLatencySamples is how many latencies are needed before a target can count as slow.
	minLatencySamples = 8
	// latencyWeight is the weight of one new latency in the moving average.
	latencyWeight = 0.1
	// medianInterval is how long the median latency is used before it is computed again.
	medianInterval = 100 * time.Millisecond
	// initialProbeInterval and maxProbeInterval limit the interval between probes. A target that wrongly counts as
	// unhealthy must get load again within 5 s, even if all traffic is Critical and the probe waits for
	// criticalProbeDelay longer, to leave the probe to a request of a lower priority.
	initialProbeInterval = time.Second
	maxProbeInterval     = 3 * time.Second
	criticalProbeDelay   = time.Second
	// probeTimeout is the time after which a probe without a result counts as lost.
	probeTimeout = 4 * time.Second
)

// updateHealth updates the health of a target and the median latency of its service after a call.
func (b *Balancer) updateHealth(now time.Time, g *group, e *entry, r Result) {
	switch r.Outcome {
	case Completed:
		e.failures = 0
	case Failed:
		e.failures++
	}
	if r.Outcome == Completed || r.Outcome == TimedOut {
		e.recordLatency(r.Latency)
	}
	b.updateMedian(now, g)
	if e.unhealthy {
		b.recordProbe(now, g, e, r)
		return
	}
	if e.failures >= unhealthyFailures || b.isSlow(g, e) {
		e.unhealthy, e.probeInterval, e.probeAt = true, initialProbeInterval, now.Add(initialProbeInterval)
		g.unhealthy++
	}
}

// recordProbe records the result of the probe of an unhealthy target: of the first call that ends there while a probe
// is in flight. A completed call that is not slow makes the target healthy and resets its latency estimate. After a
// cancelled probe, the next one is due after initialProbeInterval. Any other result doubles the interval between
// probes, up to maxProbeInterval.
func (b *Balancer) recordProbe(now time.Time, g *group, e *entry, r Result) {
	if !e.probing {
		return
	}
	e.probing = false
	if r.Outcome == Cancelled {
		e.probeAt = now.Add(initialProbeInterval) // the result says nothing about the target's health
		return
	}
	if r.Outcome == Completed && !b.isSlowLatency(g, r.Latency) {
		e.unhealthy, e.failures, e.samples, e.latency = false, 0, 0, 0
		g.unhealthy--
		return
	}
	e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
	e.probeAt = now.Add(e.probeInterval)
}

func (e *entry) recordLatency(latency time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(float64(latency-e.latency) * latencyWeight)
}

func (b *Balancer) isSlowLatency(g *group, latency time.Duration) bool {
	return g.medianLatency > 0 && latency > g.medianLatency+b.settings.slowMargin &&
		float64(latency) > b.settings.slowFactor*float64(g.medianLatency)
}

func (b *Balancer) isSlow(g *group, e *entry) bool {
	return e.samples >= minLatencySamples && b.isSlowLatency(g, e.latency)
}

// updateMedian computes the median latency of the ready targets, at most once every medianInterval. Of an even number
// of latencies, the lower of the two middle ones is the median. With fewer than two there is nothing to compare a
// target with.
func (b *Balancer) updateMedian(now time.Time, g *group) {
	if !g.medianAt.IsZero() && now.Sub(g.medianAt) < medianInterval {
		return
	}
	g.medianAt = now
	var known []time.Duration
	for _, entries := range [][]*entry{g.own, g.other} {
		for _, e := range entries {
			if e.samples >= minLatencySamples && e.target.Ready {
				known = append(known, e.latency)
			}
		}
	}
	g.medianLatency = 0
	if len(known) > 1 {
		slices.Sort(known)
		g.medianLatency = known[(len(known)-1)/2]
	}
}

// dueProbe returns an unhealthy target whose probe is due, or nil, and marks the probe as in flight. At-most-once
// requests are mostly Critical, so Critical requests become probes only when no other request has come in time.
func (b *Balancer) dueProbe(now time.Time, g *group, p hemlockcall.Priority, tried []string) *entry {
	if g.unhealthy == 0 || b.settings.disabled[Probing] {
		return nil
	}
	dueBy := now
	if p == hemlockcall.Critical {
		dueBy = now.Add(-criticalProbeDelay)
	}
	for _, entries := range [][]*entry{g.own, g.other} {
		for _, e := range entries {
			if e.unhealthy && !dueBy.Before(e.probeAt) && b.usable(now, e, p, tried, false) {
				e.probing = true
				e.probeAt = now.Add(probeTimeout)
				return e
			}
		}
	}
	return nil
}
