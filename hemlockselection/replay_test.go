package hemlockselection

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// replayClass is a class of calls: its cost at speed 1, its wait for nested calls, its rate, and the number of entries that call it.
type replayClass struct {
	name         string
	cost, nested time.Duration
	rate         float64
	entries      int
}

// replayLoad is a load on targets of speeds 0.5 to 1.6 in three zones.
type replayLoad struct {
	targets, slots int
	classes        []replayClass
	episodes       bool          // 15% of the targets, others every 600 ms, are 2.5 times slower
	slowWhenFull   bool          // by a factor of 1.3
	slowNestedFrom time.Duration // from when on the wait for nested calls is 6 times longer; 0 for never
	// margin is the largest ratio of the mean and the 99th percentile to those of each other rule.
	margin float64
}

const (
	replayEntries = 70
	replayWarmUp  = 15 * time.Second
	replayEnd     = 40 * time.Second
	replayStep    = 100 * time.Microsecond
)

type replayCall struct {
	class, entry     int
	arrival, started time.Time
	target           *replayTarget
	work             WorkCall
}

type replayTarget struct {
	address        string
	number, zone   int
	slow           float64 // 1 / speed
	running, limit int
	queue          []*replayCall
	work           *Work
	busy           time.Duration
	frozen         bool
}

// pickRule chooses a target; the calls in flight are counted by the Selector.
type pickRule func(s *Selector, now time.Time, class string) hemlockcall.Target

type replay struct {
	replayLoad
	pick      pickRule
	random    *rand.Rand
	now       time.Time
	due       []time.Time // the next arrival of each class
	steps     [][]func()  // the events of each replayStep from the start
	selectors []*Selector
	targets   map[string]*replayTarget
	latencies []time.Duration
	crossed   int
}

func newReplay(load replayLoad, placement Placement, pick pickRule) *replay {
	r := &replay{replayLoad: load, random: rand.New(rand.NewPCG(7, 8)), now: start, pick: pick, targets: map[string]*replayTarget{},
		steps: make([][]func(), 2*replayEnd/replayStep)}
	var listed []hemlockcall.Target
	for i, rank := range r.random.Perm(load.targets) {
		t := &replayTarget{address: fmt.Sprint(i), number: i, zone: i % 3, limit: load.slots * 95 / 100, work: NewWork(),
			slow: 1 / (0.5 + 1.1*float64(rank)/float64(load.targets-1))}
		r.targets[t.address] = t
		listed = append(listed, hemlockcall.Target{Address: t.address, Zone: fmt.Sprint(t.zone), Service: "s", Slots: load.slots, Ready: true})
	}
	for i := range replayEntries {
		r.selectors = append(r.selectors, New(fmt.Sprint(i%3), r.random.IntN, WithPlacement(placement)))
		r.selectors[i].Replace(listed)
	}
	for i := range load.classes {
		r.due = append(r.due, start)
		r.after(0, func() { r.arrive(i) })
	}
	return r
}

func (r *replay) after(d time.Duration, run func()) {
	if i := int((r.now.Sub(start) + d) / replayStep); i < len(r.steps) {
		r.steps[i] = append(r.steps[i], run)
	}
}

func (r *replay) runUntil(end time.Duration) {
	for ; r.now.Before(start.Add(end)); r.now = r.now.Add(replayStep) {
		i := int(r.now.Sub(start) / replayStep)
		for n := 0; n < len(r.steps[i]); n++ {
			r.steps[i][n]()
		}
		r.steps[i] = nil
	}
}

func (r *replay) arrive(class int) {
	k := r.classes[class]
	// The interval is added to the exact time, not to that of the step: it is shorter than a few steps.
	r.due[class] = r.due[class].Add(time.Duration(r.random.ExpFloat64() / k.rate * float64(time.Second)))
	r.after(r.due[class].Sub(r.now), func() { r.arrive(class) })
	c := &replayCall{class: class, entry: r.random.IntN(k.entries), arrival: r.now}
	c.target = r.targets[r.pick(r.selectors[c.entry], r.now, k.name).Address]
	c.work = c.target.work.Queued(r.now, k.name)
	c.target.queue = append(c.target.queue, c)
	r.startQueued(c.target)
}

func (r *replay) startQueued(t *replayTarget) {
	for len(t.queue) > 0 && t.running < t.limit && !t.frozen {
		c, k := t.queue[0], r.classes[t.queue[0].class]
		t.queue = t.queue[1:]
		t.running++
		c.started, c.work = r.now, c.work.Started(r.now)
		slow, nested := t.slow, float64(k.nested)
		period := uint64(r.now.Sub(start) / (600 * time.Millisecond))
		if r.episodes && rand.New(rand.NewPCG(period, uint64(t.number))).Float64() < 0.15 {
			slow *= 2.5
		}
		if r.slowWhenFull && t.running == t.limit {
			slow *= 1.3
		}
		if r.slowNestedFrom > 0 && r.now.Sub(start) > r.slowNestedFrom {
			nested *= 6
		}
		variation := math.Exp(0.3*r.random.NormFloat64() - 0.045)
		r.after(time.Duration((float64(k.cost)*slow+nested)*variation), func() { r.end(c) })
	}
}

func (r *replay) end(c *replayCall) {
	t := c.target
	if t.frozen {
		return
	}
	t.running--
	c.work.Ended(r.now, true)
	r.startQueued(t)
	r.selectors[c.entry].Done(r.now, t.address, r.classes[c.class].name, Result{Outcome: Completed, ServiceTime: r.now.Sub(c.started),
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

// replayRules are the rules of the comparison, that by cost first. The last two choose in the own zone: the target with the fewest calls
// of this node in flight, and the less loaded of two random ones.
var replayRules = []struct {
	name      string
	placement Placement
	pick      pickRule
}{{"cost", PlacementCost, pickOwn}, {"load", PlacementLoad, pickOwn},
	{"least outstanding", PlacementLoad, func(s *Selector, now time.Time, class string) hemlockcall.Target {
		entries := s.groups["s"].own
		first := s.random(len(entries))
		best := entries[first]
		for i := range entries {
			if e := entries[(first+i)%len(entries)]; e.inFlight < best.inFlight {
				best = e
			}
		}
		best.begin(now, class)
		return best.target
	}},
	{"two by load", PlacementLoad, func(s *Selector, now time.Time, class string) hemlockcall.Target {
		first, second := s.drawTwo(now, s.groups["s"].own, nil, true)
		if second.load(now) < first.load(now) {
			first = second
		}
		first.begin(now, class)
		return first.target
	}}}

func pickOwn(s *Selector, now time.Time, class string) hemlockcall.Target {
	chosen, _ := s.Pick(now, "s", class, nil)
	return chosen
}

// replayLoads are the loads of the comparison, by name.
func replayLoads() map[string]replayLoad {
	mixed := func(factor float64) []replayClass {
		return []replayClass{{name: "short", cost: 15 * time.Millisecond, rate: 4000 * factor, entries: replayEntries},
			{name: "long", cost: 190 * time.Millisecond, rate: 1500 * factor, entries: replayEntries}}
	}
	tree := func(rate float64) []replayClass {
		return []replayClass{{name: "tree", cost: 160 * time.Millisecond, nested: 380 * time.Millisecond, rate: rate, entries: replayEntries}}
	}
	return map[string]replayLoad{
		"episodes":       {targets: 29, slots: 20, classes: mixed(1), episodes: true, margin: 0.95},
		"episodes-full":  {targets: 29, slots: 20, classes: mixed(1.1), episodes: true, slowWhenFull: true, margin: 0.9},
		"few-calls":      {targets: 29, slots: 47, classes: tree(1452), episodes: true, margin: 0.98},
		"few-calls-busy": {targets: 29, slots: 47, classes: tree(2000), episodes: true, margin: 1.02},
		"full": {targets: 22, slots: 20, slowWhenFull: true, margin: 1, classes: []replayClass{
			{name: "short", cost: 40 * time.Millisecond, rate: 5800, entries: 10},
			{name: "long", cost: 640 * time.Millisecond, rate: 153, entries: replayEntries}}},
	}
}

// Guards against a choice by cost under which calls take longer than under simpler rules, or that leaves a target idle or overloaded.
// With -v, it prints the rows of the table in docs/design/placement.md.
func TestPlacementComparison(t *testing.T) {
	for name, load := range replayLoads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var means, p99s [4]float64
			for i, rule := range replayRules {
				r := newReplay(load, rule.placement, rule.pick)
				r.runUntil(replayEnd)
				slices.Sort(r.latencies)
				var sum, busy, most float64
				for _, l := range r.latencies {
					sum += l.Seconds() * 1000
				}
				for _, target := range r.targets {
					busy += target.busy.Seconds() / float64(load.targets)
					most = max(most, target.busy.Seconds())
				}
				n := len(r.latencies)
				means[i], p99s[i] = sum/float64(n), r.latencies[n*99/100].Seconds()*1000
				t.Logf("| `%s` | %s | %.1f | %.0f | %.2f | %.1f |", name, rule.name, means[i], p99s[i], most/busy, 100*float64(r.crossed)/float64(n))
				if means[0] > load.margin*means[i] && i > 0 || p99s[0] > load.margin*p99s[i] && i > 0 || i == 0 && most > 1.4*busy {
					t.Errorf("cost is above %.2f times %s, or a target has more than 1.4 times the mean use", load.margin, rule.name)
				}
			}
		})
	}
}
