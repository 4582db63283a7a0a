package hemlockselection

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// replayClass is a class of calls in a replay.
type replayClass struct {
	name    string
	cost    time.Duration // at a target of speed 1
	nested  time.Duration // wait for nested calls, at any target
	rate    float64       // calls a second
	entries int           // how many entries make such calls
}

// replayLoad is the load of a replay: targets of speeds 0.5 to 1.6 in three zones, which 70 entries with own knowledge call.
type replayLoad struct {
	targets, slots int
	classes        []replayClass
	episodes       bool // in which 15% of the targets are 2.5 times slower for 600 ms
	slowWhenFull   bool // by a factor of 1.3
	// slowNested multiplies the wait for nested calls from nestedFrom on.
	slowNested float64
	nestedFrom time.Duration
}

const (
	replayEntries = 70
	replayWarmUp  = 15 * time.Second
	replayEnd     = 40 * time.Second
)

// replayCall is one call: at an entry, in the queue of a target, or running there.
type replayCall struct {
	class   int
	entry   int
	arrival time.Time
	target  *replayTarget
	work    WorkCall
	started time.Time
}

type replayTarget struct {
	address        string
	zone           int
	slow           float64 // 1 / speed
	running, limit int
	queue          []*replayCall
	work           *Work
	busy           time.Duration
	frozen         bool
}

// events are the ends of running calls and other events, the earliest first.
type events []event

type event struct {
	at  time.Time
	run func()
}

func (q events) Len() int           { return len(q) }
func (q events) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q events) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)        { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type replay struct {
	replayLoad
	pick      func(s *Selector, now time.Time, class string) hemlockcall.Target
	random    *rand.Rand
	now       time.Time
	queue     events
	selectors []*Selector
	at        map[string]*replayTarget
	order     []*replayTarget
	latencies []time.Duration
	crossed   int
}

// newReplay returns a replay with the placement and, unless pick is nil, another rule of choice.
func newReplay(load replayLoad, placement Placement, pick func(*Selector, time.Time, string) hemlockcall.Target) *replay {
	r := &replay{replayLoad: load, random: rand.New(rand.NewPCG(7, 8)), now: start, at: map[string]*replayTarget{}, pick: pick}
	if pick == nil {
		r.pick = func(s *Selector, now time.Time, class string) hemlockcall.Target {
			chosen, _ := s.Pick(now, "s", class, nil)
			return chosen
		}
	}
	var targets []hemlockcall.Target
	for i, rank := range r.random.Perm(load.targets) {
		t := &replayTarget{address: fmt.Sprint(i), zone: i % 3, limit: load.slots * 95 / 100, work: NewWork(),
			slow: 1 / (0.5 + 1.1*float64(rank)/float64(load.targets-1))}
		r.order, r.at[t.address] = append(r.order, t), t
		targets = append(targets, hemlockcall.Target{Address: t.address, Zone: fmt.Sprint(t.zone), Service: "s", Slots: load.slots, Ready: true})
	}
	for i := range replayEntries {
		s := New(fmt.Sprint(i%3), r.random.IntN, WithPlacement(placement))
		s.Replace(targets)
		r.selectors = append(r.selectors, s)
	}
	for i := range load.classes {
		r.after(0, func() { r.arrive(i) })
	}
	return r
}

func (r *replay) after(d time.Duration, run func()) {
	heap.Push(&r.queue, event{at: r.now.Add(d), run: run})
}

func (r *replay) runUntil(end time.Duration) {
	for r.queue[0].at.Before(start.Add(end)) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.run()
	}
}

func (r *replay) arrive(class int) {
	k := r.classes[class]
	r.after(time.Duration(r.random.ExpFloat64()/k.rate*float64(time.Second)), func() { r.arrive(class) })
	c := &replayCall{class: class, entry: r.random.IntN(k.entries), arrival: r.now}
	t := r.at[r.pick(r.selectors[c.entry], r.now, k.name).Address]
	c.target, c.work = t, t.work.Queued(r.now, k.name)
	t.queue = append(t.queue, c)
	r.startQueued(t)
}

func (r *replay) startQueued(t *replayTarget) {
	for len(t.queue) > 0 && t.running < t.limit && !t.frozen {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		c.started, c.work = r.now, c.work.Started(r.now)
		slow := t.slow
		period := int64(r.now.Sub(start) / (600 * time.Millisecond))
		// The targets of an episode: another 15% in each period.
		if r.episodes && rand.New(rand.NewPCG(uint64(period), uint64(len(t.address))<<8+uint64(t.address[len(t.address)-1]))).Float64() < 0.15 {
			slow *= 2.5
		}
		if r.slowWhenFull && t.running == t.limit {
			slow *= 1.3
		}
		k := r.classes[c.class]
		nested := float64(k.nested)
		if r.slowNested > 0 && r.now.After(start.Add(r.nestedFrom)) {
			nested *= r.slowNested
		}
		variation := math.Exp(0.3*r.random.NormFloat64() - 0.045)
		r.after(time.Duration((float64(k.cost)*slow+nested)*variation), func() { r.end(c) })
	}
}

func (r *replay) end(c *replayCall) {
	t, name := c.target, r.classes[c.class].name
	if t.frozen {
		r.after(100*time.Millisecond, func() { r.end(c) })
		return
	}
	t.running--
	c.work.Ended(r.now, true)
	r.startQueued(t)
	r.selectors[c.entry].Done(r.now, t.address, name, Result{Outcome: Completed, ServiceTime: r.now.Sub(c.started),
		Feedback: hemlockcall.Feedback{InFlight: t.running + len(t.queue), Limit: t.limit, Outstanding: t.work.Outstanding(r.now)}})
	if c.arrival.Sub(start) < replayWarmUp {
		return
	}
	t.busy += r.now.Sub(c.started)
	r.latencies = append(r.latencies, r.now.Sub(c.arrival))
	if c.entry%3 != t.zone {
		r.crossed++
	}
}

// summary returns the mean and the 99th percentile of the latency in ms, the ratio of the busiest target to the mean, and the
// percentage of calls to other zones.
func (r *replay) summary() (mean, p99, busiest, crossed float64) {
	slices.Sort(r.latencies)
	var sum, busy, most time.Duration
	for _, l := range r.latencies {
		sum += l
	}
	for _, t := range r.order {
		busy += t.busy
		most = max(most, t.busy)
	}
	n := len(r.latencies)
	return float64(sum.Microseconds()) / float64(n) / 1000, float64(r.latencies[n*99/100].Microseconds()) / 1000,
		float64(most) / float64(busy) * float64(len(r.order)), 100 * float64(r.crossed) / float64(n)
}

// leastOutstanding chooses the target of the own zone with the fewest calls of this node in flight, and a random one of several.
func leastOutstanding(s *Selector, now time.Time, class string) hemlockcall.Target {
	entries := s.groups["s"].own
	best := entries[s.random(len(entries))]
	for i, first := 0, s.random(len(entries)); i < len(entries); i++ {
		if e := entries[(first+i)%len(entries)]; e.inFlight < best.inFlight {
			best = e
		}
	}
	s.begin(now, best, class)
	return best.target
}

// lessLoadedOfTwo chooses the less loaded of two random targets of the own zone.
func lessLoadedOfTwo(s *Selector, now time.Time, class string) hemlockcall.Target {
	first, second := s.drawTwo(now, s.groups["s"].own, nil, true)
	if second.load(now) < first.load(now) {
		first = second
	}
	s.begin(now, first, class)
	return first.target
}

// replayLoads are the loads of the comparison.
func replayLoads() map[string]replayLoad {
	return map[string]replayLoad{
		"mixed":    {targets: 29, slots: 20, classes: mixedClasses(1), episodes: true},
		"mixed-hi": {targets: 29, slots: 20, classes: mixedClasses(1.1), episodes: true, slowWhenFull: true},
		"few": {targets: 29, slots: 47, episodes: true, classes: []replayClass{
			{name: "tree", cost: 160 * time.Millisecond, nested: 380 * time.Millisecond, rate: 1452, entries: replayEntries}}},
		"deep": {targets: 22, slots: 20, slowWhenFull: true, classes: []replayClass{
			{name: "short", cost: 40 * time.Millisecond, rate: 5800, entries: 10},
			{name: "long", cost: 640 * time.Millisecond, rate: 153, entries: replayEntries}}},
	}
}

func mixedClasses(factor float64) []replayClass {
	return []replayClass{{name: "short", cost: 15 * time.Millisecond, rate: 4000 * factor, entries: replayEntries},
		{name: "long", cost: 190 * time.Millisecond, rate: 1500 * factor, entries: replayEntries}}
}

func TestReplayComparison(t *testing.T) {
	loads := replayLoads()
	for _, name := range []string{"mixed", "mixed-hi", "few", "deep"} {
		load := loads[name]
		for _, rule := range []struct {
			name      string
			placement Placement
			pick      func(*Selector, time.Time, string) hemlockcall.Target
		}{{"cost", PlacementCost, nil}, {"load", PlacementLoad, nil}, {"least", PlacementLoad, leastOutstanding},
			{"two", PlacementLoad, lessLoadedOfTwo}} {
			t.Run(name+"/"+rule.name, func(t *testing.T) {
				r := newReplay(load, rule.placement, rule.pick)
				r.runUntil(replayEnd)
				mean, p99, busiest, crossed := r.summary()
				t.Logf("| %s | %s | %.1f | %.0f | %.2f | %.1f%% |", name, rule.name, mean, p99, busiest, crossed)
			})
		}
	}
}
