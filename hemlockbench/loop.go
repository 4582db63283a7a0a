// Package hemlockbench runs the decision packages, which do no I/O (admission, load balancing, retry budgets, suspects),
// against simulated targets and callers in virtual time. A run is a single event loop without goroutines, so that two
// runs with the same seed give the same results.
package hemlockbench

import (
	"container/heap"
	"time"
)

// loop is an event loop in virtual time. Events at the same time run in the order in which they were scheduled.
type loop struct {
	start    time.Time
	now      time.Duration
	sequence uint64
	events   events
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func newLoop() *loop {
	return &loop{start: time.Unix(1_700_000_000, 0)}
}

// clock returns the virtual time as a time.Time, for the decision packages.
func (l *loop) clock() time.Time {
	return l.start.Add(l.now)
}

func (l *loop) after(delay time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now + max(delay, 0), sequence: l.sequence, run: run})
}

// every calls run at a fixed interval until the loop ends.
func (l *loop) every(interval time.Duration, run func()) {
	l.after(interval, func() {
		run()
		l.every(interval, run)
	})
}

// runUntil runs all events before the end time.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at < end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	n := len(*e) - 1
	last := (*e)[n]
	(*e)[n] = event{}
	*e = (*e)[:n]
	return last
}
