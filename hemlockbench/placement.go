package hemlockbench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockselection"
)

const (
	placementEntries = 70
	placementZones   = 3
	// placementWarmUp is the time in which the entries learn; only calls that arrive later are measured.
	placementWarmUp = 15 * time.Second
	placementEnd    = 40 * time.Second
	// placementService is the only service of a placement run.
	placementService = "s"
	// episodeLength, episodeFraction and episodeFactor describe the episodes of slowness.
	episodeLength   = 600 * time.Millisecond
	episodeFraction = 0.15
	episodeFactor   = 2.5
	// fullFactor is how much slower a call becomes that takes the last slot of a target.
	fullFactor = 1.3
	// nestedFactor is how much longer calls wait for a nested service that has become slow.
	nestedFactor = 6
)

// placementClass is a class of calls: its cost at speed 1, its wait for nested calls, its rate a second, and the number of entries that
// call it.
type placementClass struct {
	name         string
	cost, nested time.Duration
	rate         float64
	entries      int
}

// placementScenario is a load on targets of speeds 0.5 to 1.6 in three zones.
type placementScenario struct {
	targets, slots int
	classes        []placementClass
	episodes       bool
	slowWhenFull   bool
	slowNestedFrom time.Duration // 0 for never
}

// placementScenarios returns the loads on which the rules of choice are compared, by name.
func placementScenarios() map[string]placementScenario {
	mixed := func(factor float64) []placementClass {
		return []placementClass{{"short", 15 * time.Millisecond, 0, 4000 * factor, placementEntries},
			{"long", 190 * time.Millisecond, 0, 1500 * factor, placementEntries}}
	}
	tree := func(rate float64) []placementClass {
		return []placementClass{{"tree", 160 * time.Millisecond, 380 * time.Millisecond, rate, placementEntries}}
	}
	return map[string]placementScenario{
		"episodes":       {targets: 29, slots: 20, classes: mixed(1), episodes: true},
		"episodes-full":  {targets: 29, slots: 20, classes: mixed(1.1), episodes: true, slowWhenFull: true},
		"few-calls":      {targets: 29, slots: 47, classes: tree(1452), episodes: true},
		"few-calls-busy": {targets: 29, slots: 47, classes: tree(2000), episodes: true},
		"full": {targets: 22, slots: 20, slowWhenFull: true, classes: []placementClass{
			{"short", 40 * time.Millisecond, 0, 5800, 10}, {"long", 640 * time.Millisecond, 0, 153, placementEntries}}},
	}
}

// placementRule chooses the target of a call.
type placementRule func(r *placementRun, e *placementEntry, class string) *placementTarget

// placementEntry is a node that chooses targets by its own knowledge.
type placementEntry struct {
	zone     int
	selector *hemlockselection.Selector
	// inFlight and reports are by the number of the target; only rules without a Selector use them.
	inFlight []int
	reports  []placementReport
}

type placementReport struct {
	inFlight, ownInFlight int
	at                    time.Duration
}

type placementTarget struct {
	number, zone   int
	slow           float64 // 1 / speed
	running, limit int
	queue          []*placementCall
	work           *hemlockselection.Work
	busy           time.Duration
	frozen         bool
}

type placementCall struct {
	class            placementClass
	entry            *placementEntry
	target           *placementTarget
	arrival, started time.Duration
	work             hemlockselection.WorkCall
}

// placementRun is one run of a scenario.
type placementRun struct {
	*loop
	placementScenario
	rule      placementRule
	random    *rand.Rand
	entries   []*placementEntry
	targets   []*placementTarget
	latencies []time.Duration
	crossed   int
}

func newPlacementRun(scenario placementScenario, placement hemlockselection.Placement, rule placementRule) *placementRun {
	r := &placementRun{loop: newLoop(), placementScenario: scenario, rule: rule, random: rand.New(rand.NewPCG(7, 8))}
	var listed []hemlockcall.Target
	for i, rank := range r.random.Perm(scenario.targets) {
		r.targets = append(r.targets, &placementTarget{number: i, zone: i % placementZones, limit: scenario.slots * 95 / 100,
			slow: 1 / (0.5 + 1.1*float64(rank)/float64(scenario.targets-1)), work: hemlockselection.NewWork()})
		listed = append(listed, hemlockcall.Target{Address: fmt.Sprint(i), Zone: fmt.Sprint(i % placementZones),
			Service: placementService, Slots: scenario.slots, Ready: true})
	}
	for i := range placementEntries {
		e := &placementEntry{zone: i % placementZones, inFlight: make([]int, scenario.targets),
			reports: make([]placementReport, scenario.targets)}
		e.selector = hemlockselection.New(fmt.Sprint(e.zone), r.random.IntN, hemlockselection.WithPlacement(placement))
		e.selector.Replace(listed)
		r.entries = append(r.entries, e)
	}
	for _, k := range scenario.classes {
		r.after(0, func() { r.arrive(k) })
	}
	return r
}

func (r *placementRun) arrive(k placementClass) {
	r.after(time.Duration(r.random.ExpFloat64()/k.rate*float64(time.Second)), func() { r.arrive(k) })
	c := &placementCall{class: k, entry: r.entries[r.random.IntN(k.entries)], arrival: r.now}
	c.target = r.rule(r, c.entry, k.name)
	c.entry.inFlight[c.target.number]++
	c.work = c.target.work.Queued(r.clock(), k.name)
	c.target.queue = append(c.target.queue, c)
	r.startQueued(c.target)
}

func (r *placementRun) startQueued(t *placementTarget) {
	for len(t.queue) > 0 && t.running < t.limit && !t.frozen {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		c.started, c.work = r.now, c.work.Started(r.clock())
		r.after(r.serviceTime(t, c.class), func() { r.end(c) })
	}
}

func (r *placementRun) serviceTime(t *placementTarget, k placementClass) time.Duration {
	slow, nested := t.slow, float64(k.nested)
	// Other targets are slow in each episode, and the same ones in all runs.
	if r.episodes && rand.New(rand.NewPCG(uint64(r.now/episodeLength), uint64(t.number))).Float64() < episodeFraction {
		slow *= episodeFactor
	}
	if r.slowWhenFull && t.running == t.limit {
		slow *= fullFactor
	}
	if r.slowNestedFrom > 0 && r.now > r.slowNestedFrom {
		nested *= nestedFactor
	}
	const deviation = 0.3
	variation := math.Exp(deviation*r.random.NormFloat64() - deviation*deviation/2) // its mean is 1
	return time.Duration((float64(k.cost)*slow + nested) * variation)
}

func (r *placementRun) end(c *placementCall) {
	t := c.target
	if t.frozen {
		return
	}
	t.running--
	c.work.Ended(r.clock(), true)
	r.startQueued(t)
	inUse := t.running + len(t.queue)
	c.entry.inFlight[t.number]--
	c.entry.reports[t.number] = placementReport{inFlight: inUse, ownInFlight: c.entry.inFlight[t.number], at: r.now}
	c.entry.selector.Done(r.clock(), fmt.Sprint(t.number), c.class.name, hemlockselection.Result{
		Outcome: hemlockselection.Completed, ServiceTime: r.now - c.started,
		Feedback: hemlockcall.Feedback{InFlight: inUse, Limit: t.limit, Outstanding: t.work.Outstanding(r.clock())}})
	if c.arrival < placementWarmUp {
		return
	}
	t.busy += r.now - c.started
	r.latencies = append(r.latencies, r.now-c.arrival)
	if c.entry.zone != t.zone {
		r.crossed++
	}
}

// placementResult holds the mean and the 99th percentile of the latency in ms, the use of the slots of the busiest target as a multiple
// of the mean, and the percentage of calls to other zones.
type placementResult struct {
	mean, p99, busiest, crossed float64
}

func (r *placementRun) result() placementResult {
	slices.Sort(r.latencies)
	n := len(r.latencies)
	var sum, busy, most time.Duration
	for _, l := range r.latencies {
		sum += l
	}
	for _, t := range r.targets {
		busy += t.busy
		most = max(most, t.busy)
	}
	return placementResult{mean: sum.Seconds() * 1000 / float64(n), p99: r.latencies[n*99/100].Seconds() * 1000,
		busiest: most.Seconds() / busy.Seconds() * float64(len(r.targets)), crossed: 100 * float64(r.crossed) / float64(n)}
}

// bySelector is the rule of the Selector.
func bySelector(r *placementRun, e *placementEntry, class string) *placementTarget {
	chosen, _ := e.selector.Pick(r.clock(), placementService, class, nil) // all targets are always ready
	for _, t := range r.targets {
		if fmt.Sprint(t.number) == chosen.Address {
			return t
		}
	}
	return nil
}

// byLeastOutstanding chooses the target of the own zone with the fewest calls of the entry in flight, and a random one of several.
func byLeastOutstanding(r *placementRun, e *placementEntry, _ string) *placementTarget {
	var best *placementTarget
	for _, i := range r.random.Perm(len(r.targets)) {
		if t := r.targets[i]; t.zone == e.zone && (best == nil || e.inFlight[i] < e.inFlight[best.number]) {
			best = t
		}
	}
	return best
}

// byLoadOfTwo chooses the less loaded of two random targets of the own zone, by reports that are at most one second old.
func byLoadOfTwo(r *placementRun, e *placementEntry, _ string) *placementTarget {
	load := func(t *placementTarget) float64 {
		own, report := e.inFlight[t.number], e.reports[t.number]
		if report.at > 0 && r.now-report.at < time.Second {
			return float64(max(own, report.inFlight+own-report.ownInFlight)) / float64(t.limit)
		}
		return float64(own) / float64(r.slots)
	}
	var first *placementTarget
	for _, i := range r.random.Perm(len(r.targets)) {
		switch t := r.targets[i]; {
		case t.zone != e.zone:
		case first == nil:
			first = t
		case load(t) < load(first):
			return t
		default:
			return first
		}
	}
	return first
}
