package hemlockbench

import (
	"slices"
	"time"
)

// meter collects the measurements of one run.
type meter struct {
	classIndexes   map[*Class]int
	completed      []int // by class: requests that started to run during the trigger and completed
	retries        int   // retries of calls by nodes
	callerRetries  int   // retries by callers of which a call was sent to a target
	requests       int   // customer requests, without retries
	crashes        int
	work           time.Duration   // from the start of the trigger
	wasted         []time.Duration // by class: the part of work for requests that failed or had already ended
	triggerReached bool
	intervals      []interval
}

// interval holds the completions in one interval of intervalLength.
type interval struct {
	goodput   float64 // in units of work
	latencies []time.Duration
}

const intervalLength = 500 * time.Millisecond

func newMeter(d Deployment) *meter {
	m := &meter{classIndexes: map[*Class]int{}, completed: make([]int, len(d.Classes)),
		wasted:    make([]time.Duration, len(d.Classes)),
		intervals: make([]interval, runEnd/intervalLength+1)}
	for i := range d.Classes {
		m.classIndexes[&d.Classes[i]] = i
	}
	return m
}

func (m *meter) recordArrival(now time.Duration) {
	m.requests++
	m.triggerReached = m.triggerReached || now >= triggerStart
}

func (m *meter) recordEnd(r *request, now time.Duration) {
	if r.poison {
		return
	}
	if r.failed {
		m.recordWaste(r, r.work)
		return
	}
	if inTrigger(r.started) {
		m.completed[m.classIndexes[r.class]]++
	}
	w := &m.intervals[now/intervalLength]
	w.goodput += r.class.weight()
	w.latencies = append(w.latencies, now-r.firstSent)
}

// recordWork records the time that a target spent on a request.
func (m *meter) recordWork(r *request, work time.Duration) {
	if !m.triggerReached || r.poison {
		return
	}
	m.work += work
	if r.ended {
		m.recordWaste(r, work)
		return
	}
	r.work += work
}

func (m *meter) recordWaste(r *request, work time.Duration) {
	if m.triggerReached {
		m.wasted[m.classIndexes[r.class]] += work
	}
}

// weight is the work of one request of the class, in units.
func (c *Class) weight() float64 {
	total := 0.0
	for _, units := range c.Units {
		total += units
	}
	return total
}

// recoveryTime returns the time from the end of the trigger to the start of the first good window from which on all
// windows that start within 5 s are good too. A window lasts 2 s, and one starts with each interval of 500 ms. It is
// good when the goodput of complete requests, weighted by their work, is at least 90% of its mean over the phase of
// normal load before the trigger, and the 99th percentile of the latency of complete requests is at most 110% of its
// mean over that phase. The result is negative when there is no such window before the end of the run.
func (m *meter) recoveryTime() time.Duration {
	const span, following = 4, 10 // in multiples of intervalLength
	goodput, p99 := 0.0, time.Duration(0)
	count := 0
	for i := int(warmUp / intervalLength); i+span <= int(triggerStart/intervalLength); i++ {
		g, p := m.window(i, span)
		goodput, p99 = goodput+g, p99+p
		count++
	}
	goodput, p99 = goodput/float64(count), p99/time.Duration(count)
	good := func(i int) bool {
		g, p := m.window(i, span)
		return g >= 0.9*goodput && float64(p) <= 1.1*float64(p99)
	}
	consecutive := 0
	first := int(triggerEnd / intervalLength)
	for i := first; i+span <= int(runEnd/intervalLength); i++ {
		if !good(i) {
			consecutive = 0
			continue
		}
		if consecutive++; consecutive > following {
			return time.Duration(i-following-first) * intervalLength
		}
	}
	return -1
}

// window returns the goodput and the 99th percentile of the latency over span intervals from start on.
func (m *meter) window(start, span int) (float64, time.Duration) {
	goodput := 0.0
	var latencies []time.Duration
	for _, w := range m.intervals[start : start+span] {
		goodput += w.goodput
		latencies = append(latencies, w.latencies...)
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return goodput, latencies[len(latencies)*99/100]
}
