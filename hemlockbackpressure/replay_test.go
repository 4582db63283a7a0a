package hemlockbackpressure

import (
	"container/heap"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// The load of a day on which 1.8 times the usual traffic comes: each browse makes 10 calls of the deepest service, each
// order 5, one after the other; the service runs 97 calls at a time, 30 ms each, and holds four times as many waiting.
const (
	leafSlots    = 97
	leafTime     = 30 * time.Millisecond
	leafQueue    = 4 * leafSlots
	browseCalls  = 10
	orderCalls   = 5
	browseRate   = 480 // a second
	orderRate    = 210
	replayTime   = 20 * time.Second
	reportDelay  = 5 * time.Millisecond
	treeDeadline = 1500 * time.Millisecond
)

// tree is a request that needs its calls one after the other.
type tree struct {
	priority hemlockcall.Priority
	left     int
	born     time.Duration
	// resume goes on with a tree that waits; used by fleet only.
	resume func()
}

// event is something that happens at a time of the replay.
type event struct {
	at time.Duration
	do func()
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

// replay plays the load through a valve and the deepest service.
type replay struct {
	now     time.Duration
	agenda  events
	running int
	waiting []*tree
	valve   *Throttle
	monitor *LoadMonitor
	asked   [hemlockcall.PriorityCount]int
	served  [hemlockcall.PriorityCount]int
}

func (r *replay) after(wait time.Duration, do func()) {
	heap.Push(&r.agenda, event{at: r.now + wait, do: do})
}

func (r *replay) clock() time.Time { return time.Unix(1000, 0).Add(r.now) }

func (r *replay) arrive(priority hemlockcall.Priority, calls int, every time.Duration) {
	if r.now > replayTime {
		return
	}
	r.after(every, func() { r.arrive(priority, calls, every) })
	r.asked[priority]++
	if r.valve != nil && !r.valve.Admit(r.clock(), priority, "first", r.monitor.MaxLoad(r.clock())) {
		return
	}
	t := &tree{priority: priority, left: calls, born: r.now}
	r.after(60*time.Millisecond, func() { r.call(t) }) // the work above the deepest service
}

// call begins the next call of a tree. A refused call ends the tree.
func (r *replay) call(t *tree) {
	switch {
	case r.running < leafSlots:
		r.run(t)
	case len(r.waiting) < leafQueue:
		r.waiting = append(r.waiting, t)
	}
	load := float64(r.running+len(r.waiting)) / leafSlots
	r.after(reportDelay, func() { r.monitor.RecordLoad(r.clock(), "deepest", load) })
}

func (r *replay) run(t *tree) {
	r.running++
	r.after(leafTime, func() {
		r.running--
		if len(r.waiting) > 0 {
			next := r.waiting[0]
			r.waiting = r.waiting[1:]
			r.run(next)
		}
		if t.left--; t.left > 0 {
			r.call(t)
		} else if r.now-t.born <= treeDeadline {
			r.served[t.priority]++
		}
	})
}

func play(valve *Throttle) *replay {
	r := &replay{valve: valve, monitor: NewLoadMonitor()}
	r.arrive(hemlockcall.Sheddable, browseCalls, time.Second/browseRate)
	r.arrive(hemlockcall.Critical, orderCalls, time.Second/orderRate)
	r.drain()
	return r
}

// drain does what is on the agenda, in the order of time, until nothing is left.
func (r *replay) drain() {
	for len(r.agenda) > 0 {
		next := heap.Pop(&r.agenda).(event)
		r.now = next.at
		next.do()
	}
}

func (r *replay) share(p hemlockcall.Priority) float64 {
	return float64(r.served[p]) / float64(r.asked[p])
}

// Guards against trees that are begun although the deepest service has no room for them, which fails orders too.
func TestReplayOfABurstAtTheDeepestService(t *testing.T) {
	with, without := play(NewThrottle()), play(nil)
	t.Logf("served with the valve: orders %.2f, browse %.2f; without: %.2f, %.2f",
		with.share(hemlockcall.Critical), with.share(hemlockcall.Sheddable),
		without.share(hemlockcall.Critical), without.share(hemlockcall.Sheddable))
	if got := with.share(hemlockcall.Critical); got < 0.95 {
		t.Errorf("orders served: %.2f, want 0.95 or more", got)
	}
	// What the slots leave to browse when all orders are served.
	room := (leafSlots/leafTime.Seconds() - orderRate*orderCalls) / (browseRate * browseCalls)
	if got := with.share(hemlockcall.Sheddable); got < 0.8*room {
		t.Errorf("browse served: %.2f, want 0.8 of %.2f or more", got, room)
	}
	if with.share(hemlockcall.Critical) <= without.share(hemlockcall.Critical) {
		t.Error("the valve serves no more orders than no valve")
	}
}
