package hemlockbench

import (
	"slices"
	"time"
)

// meter collects the figures of one run.
type meter struct {
	classes map[*Class]int
	done    []int // requests that started to run during the trigger and completed
	repeats int   // repeated attempts of calls
	resent  int   // repeated sendings of which a call was sent to a target
	total   int   // customer requests
	crashes int
	work    time.Duration   // from the start of the trigger
	wasted  []time.Duration // by class
	began   bool
	windows []window
}

// window holds the completions of half a second.
type window struct {
	goodput   float64 // in slot seconds
	latencies []time.Duration
}

const windowLength = 500 * time.Millisecond

func newMeter(h Deployment) *meter {
	m := &meter{classes: map[*Class]int{}, done: make([]int, len(h.Classes)),
		wasted:  make([]time.Duration, len(h.Classes)),
		windows: make([]window, runEnd/windowLength+1)}
	for i := range h.Classes {
		m.classes[&h.Classes[i]] = i
	}
	return m
}

func (m *meter) arrived(now time.Duration) {
	m.total++
	m.began = m.began || now >= triggerStart
}

func (m *meter) ended(r *request, now time.Duration) {
	if r.killer {
		return
	}
	if r.failed {
		m.waste(r, r.work)
		return
	}
	if triggered(r.started) {
		m.done[m.classes[r.class]]++
	}
	w := &m.windows[now/windowLength]
	w.goodput += r.class.weight()
	w.latencies = append(w.latencies, now-r.sent)
}

// worked takes in time that a target spent on a sending.
func (m *meter) worked(r *request, work time.Duration) {
	if !m.began || r.killer {
		return
	}
	m.work += work
	if r.ended {
		m.waste(r, work)
		return
	}
	r.work += work
}

func (m *meter) waste(r *request, work time.Duration) {
	if m.began {
		m.wasted[m.classes[r.class]] += work
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

// recovered returns the recovery time. The rule: a window of 2 s that moves by half a second is good when the goodput
// of whole requests, weighted by their work, is at least 90% of its mean over the quiet time before the trigger, and
// the 99th percentile of the latency of completed requests is at most 110% of its mean over that time. The recovery
// time runs from the end of the trigger to the start of the first window that is good and is followed by only good
// windows that start within 5 s. It is negative when there is none before the end of the run.
func (m *meter) recovered() time.Duration {
	const span, hold = 4, 10 // in windows
	goodput, tail := 0.0, time.Duration(0)
	count := 0
	for i := int(warm / windowLength); i+span <= int(triggerStart/windowLength); i++ {
		g, p := m.window(i, span)
		goodput, tail = goodput+g, tail+p
		count++
	}
	goodput, tail = goodput/float64(count), tail/time.Duration(count)
	good := func(i int) bool {
		g, p := m.window(i, span)
		return g >= 0.9*goodput && float64(p) <= 1.1*float64(tail)
	}
	run := 0
	first := int(triggerEnd / windowLength)
	for i := first; i+span <= int(runEnd/windowLength); i++ {
		if !good(i) {
			run = 0
			continue
		}
		if run++; run > hold {
			return time.Duration(i-hold-first) * windowLength
		}
	}
	return -1
}

// window returns the goodput and the 99th percentile of the latency over some windows.
func (m *meter) window(start, span int) (float64, time.Duration) {
	goodput := 0.0
	var latencies []time.Duration
	for _, w := range m.windows[start : start+span] {
		goodput += w.goodput
		latencies = append(latencies, w.latencies...)
	}
	if len(latencies) == 0 {
		return 0, 0
	}
	slices.Sort(latencies)
	return goodput, latencies[len(latencies)*99/100]
}
