package hemlockbackpressure

import (
	"container/heap"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// A load of 1.8 times the capacity of the deepest service: each browse request makes 10 calls to it, each order 5, one after
// the other. The service runs 97 calls concurrently, 30 ms each, and its queue holds four times as many.
const (
	deepestSlots       = 97
	deepestServiceTime = 30 * time.Millisecond
	deepestQueueSize   = 4 * deepestSlots
	browseCalls        = 10
	orderCalls         = 5
	browseRate         = 480 // per second
	orderRate          = 210 // per second
	arrivalPeriod      = 20 * time.Second
	reportDelay        = 5 * time.Millisecond
	treeDeadline       = 1500 * time.Millisecond
)

// callTree is a customer request with its calls to the deepest service, which it makes one after the other.
type callTree struct {
	priority  hemlockcall.Priority
	callsLeft int
	started   time.Duration
	// resume runs the queued call of the call tree; only fleet uses it.
	resume func()
}

// event is an action at a time of the replay.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay runs the load against a throttle and the deepest service in virtual time.
type replay struct {
	now      time.Duration
	pending  events
	running  int
	waiting  []*callTree
	throttle *Throttle
	monitor  *LoadMonitor
	offered  [hemlockcall.PriorityCount]int
	served   [hemlockcall.PriorityCount]int
}

func (r *replay) after(wait time.Duration, run func()) {
	heap.Push(&r.pending, event{at: r.now + wait, run: run})
}

func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

func (r *replay) arrive(priority hemlockcall.Priority, calls int, interval time.Duration) {
	if r.now > arrivalPeriod {
		return
	}
	r.after(interval, func() { r.arrive(priority, calls, interval) })
	r.offered[priority]++
	if r.throttle != nil && !admitReplayed(r.throttle, r.monitor, r.clock(), priority) {
		return
	}
	t := &callTree{priority: priority, callsLeft: calls, started: r.now}
	r.after(60*time.Millisecond, func() { r.call(t) }) // the work upstream of the deepest service
}

// admitReplayed decides on a call tree of the replayed load, of which each priority has one class.
func admitReplayed(throttle *Throttle, monitor *LoadMonitor, now time.Time, priority hemlockcall.Priority) bool {
	arrival := Arrival{Class: priority.String(), Service: "first", Priority: priority}
	return throttle.Admit(now, arrival, monitor.MaxLoad(now, priority, "first"), monitor.FailedFraction(now, arrival.Class, arrival.Service)).Admitted
}

// call makes the next call of a call tree: the call is started, queued or refused. A refused call ends the call tree.
func (r *replay) call(t *callTree) {
	switch {
	case r.running < deepestSlots:
		r.run(t)
	case len(r.waiting) < deepestQueueSize:
		r.waiting = append(r.waiting, t)
	default:
		r.monitor.RecordCallTreeResult(r.clock(), t.priority.String(), "first", true)
	}
	load := float64(r.running+len(r.waiting)) / deepestSlots
	r.after(reportDelay, func() { r.monitor.RecordLoad(r.clock(), "deepest", load) })
}

func (r *replay) run(t *callTree) {
	r.running++
	r.after(deepestServiceTime, func() {
		r.running--
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			r.run(next)
		}
		if t.callsLeft--; t.callsLeft > 0 {
			r.call(t)
			return
		}
		r.monitor.RecordCallTreeResult(r.clock(), t.priority.String(), "first", r.now-t.started > treeDeadline)
		if r.now-t.started <= treeDeadline {
			r.served[t.priority]++
		}
	})
}

func runReplay(throttle *Throttle) *replay {
	r := &replay{throttle: throttle, monitor: NewLoadMonitor()}
	r.arrive(hemlockcall.Sheddable, browseCalls, time.Second/browseRate)
	r.arrive(hemlockcall.Critical, orderCalls, time.Second/orderRate)
	r.runEvents()
	return r
}

// runEvents runs the pending events in order of time until none is left.
func (r *replay) runEvents() {
	for len(r.pending) > 0 {
		next := heap.Pop(&r.pending).(event)
		r.now = next.at
		next.run()
	}
}

func (r *replay) servedFraction(p hemlockcall.Priority) float64 {
	return float64(r.served[p]) / float64(r.offered[p])
}

// Guards against call trees that start although the deepest service has no spare capacity: its refusals would make orders
// fail too.
func TestReplayOfABurstAtTheDeepestService(t *testing.T) {
	with, without := runReplay(NewThrottle()), runReplay(nil)
	t.Logf("served with the throttle: orders %.2f, browse requests %.2f; without: %.2f, %.2f",
		with.servedFraction(hemlockcall.Critical), with.servedFraction(hemlockcall.Sheddable),
		without.servedFraction(hemlockcall.Critical), without.servedFraction(hemlockcall.Sheddable))
	if got := with.servedFraction(hemlockcall.Critical); got < 0.95 {
		t.Errorf("orders served: %.2f, want 0.95 or more", got)
	}
	// The fraction of browse requests for which the slots have spare capacity when all orders are served.
	spareFraction := (deepestSlots/deepestServiceTime.Seconds() - orderRate*orderCalls) / (browseRate * browseCalls)
	if got := with.servedFraction(hemlockcall.Sheddable); got < 0.8*spareFraction {
		t.Errorf("browse requests served: %.2f, want 0.8 of %.2f or more", got, spareFraction)
	}
	if with.servedFraction(hemlockcall.Critical) <= without.servedFraction(hemlockcall.Critical) {
		t.Error("no more orders are served with the throttle than without")
	}
}
