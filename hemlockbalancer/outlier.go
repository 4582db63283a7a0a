package hemlockbalancer

import (
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// failuresForBad is how many failed calls in a row make a target bad. One is common in a planned restart.
	failuresForBad = 3
	// samplesForSlow is how many latencies are needed before a target can be called slow.
	samplesForSlow = 8
	// latencyWeight is the weight of one new latency in the moving mean.
	latencyWeight = 0.1
	// judgePause is how long the median of the latencies is used before it is computed again.
	judgePause = 100 * time.Millisecond
	// probeFirst and probeLongest bound the pause between probes. A target wrongly taken for bad must get load again
	// within 5 s, also when the only traffic is Critical and waits for criticalWait longer.
	probeFirst   = time.Second
	probeLongest = 3 * time.Second
	criticalWait = time.Second
	// probeLost is when a probe without an end counts as lost.
	probeLost = 4 * time.Second
)

// judge updates the health of a target after a call.
func (t *Table) judge(now time.Time, g *group, e *entry, r Result) {
	switch r.Outcome {
	case Completed:
		e.failures = 0
	case Failed:
		e.failures++
	}
	if r.Outcome == Completed || r.Outcome == TimedOut {
		e.sample(r.Latency)
	}
	t.refreshMedian(now, g)
	if e.bad {
		t.judgeProbe(now, g, e, r)
		return
	}
	if e.failures >= failuresForBad || t.isSlow(g, e) {
		e.bad, e.wait, e.probeAt = true, probeFirst, now.Add(probeFirst)
		g.bad++
	}
}

// judgeProbe ends the probe of a bad target. A good one clears the verdict, with a fresh latency estimate; a poor one
// doubles the pause.
func (t *Table) judgeProbe(now time.Time, g *group, e *entry, r Result) {
	if !e.probing {
		return
	}
	e.probing = false
	if r.Outcome == Cancelled {
		e.probeAt = now.Add(probeFirst) // says nothing about the target's health
		return
	}
	if r.Outcome == Completed && !t.slow(g, r.Latency) {
		e.bad, e.failures, e.samples, e.latency = false, 0, 0, 0
		g.bad--
		return
	}
	e.wait = min(2*e.wait, probeLongest)
	e.probeAt = now.Add(e.wait)
}

func (e *entry) sample(latency time.Duration) {
	e.samples++
	if e.samples == 1 {
		e.latency = latency
		return
	}
	e.latency += time.Duration(float64(latency-e.latency) * latencyWeight)
}

func (t *Table) slow(g *group, latency time.Duration) bool {
	return g.median > 0 && latency > g.median+t.settings.slowMargin &&
		float64(latency) > t.settings.slowFactor*float64(g.median)
}

func (t *Table) isSlow(g *group, e *entry) bool {
	return e.samples >= samplesForSlow && t.slow(g, e.latency)
}

// refreshMedian computes the median latency of the targets. With fewer than three known ones there are no peers to
// compare with, except that of two the faster one counts.
func (t *Table) refreshMedian(now time.Time, g *group) {
	if !g.judged.IsZero() && now.Sub(g.judged) < judgePause {
		return
	}
	g.judged = now
	var known []time.Duration
	for _, entries := range [][]*entry{g.own, g.other} {
		for _, e := range entries {
			if e.samples >= samplesForSlow && e.target.Ready {
				known = append(known, e.latency)
			}
		}
	}
	g.median = 0
	if len(known) > 1 {
		slices.Sort(known)
		g.median = known[(len(known)-1)/2]
	}
}

// dueProbe returns a bad target that is due for a real request. Requests that must not run twice are mostly Critical,
// so these are used only when no other came along in time.
func (t *Table) dueProbe(now time.Time, g *group, p hemlockcall.Priority, tried []string) *entry {
	if g.bad == 0 || t.settings.off[Probes] {
		return nil
	}
	due := now
	if p == hemlockcall.Critical {
		due = now.Add(-criticalWait)
	}
	for _, entries := range [][]*entry{g.own, g.other} {
		for _, e := range entries {
			if e.bad && !due.Before(e.probeAt) && t.usable(now, e, p, tried, false) {
				e.probing = true
				e.probeAt = now.Add(probeLost)
				return e
			}
		}
	}
	return nil
}
