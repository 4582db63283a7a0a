package hemlockselection

import (
	"math"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// centreInterval is how often the slowness of the targets of a service is shifted to the mean 1.
	centreInterval = time.Second
	// usualDriftDelay is the time without a sample after which the long-term slowness of a target drifts to the mean of the service, and
	// usualDriftTime the time constant of the drift. The slowest target of a zone with free slots gets no calls, and without the drift it
	// would get none after it has recovered either. Both are long, so that a target that stays slow gets few calls.
	usualDriftDelay = 30 * time.Second
	usualDriftTime  = 30 * time.Second
	// meanLoadTimeConstant is the time constant of the mean load of the targets of a service, which is assumed where there is no recent
	// report, and that of its drift to neutralLoad. An entry of a large deployment calls a given target every few seconds.
	meanLoadTimeConstant = 3 * time.Second
	// neutralLoad is the load that is assumed of targets without any report. Where the own zone is full, it lets a call go to another
	// zone that nothing is known of; the report of that call says more.
	neutralLoad = 0.5
	// maxReportedLoad and maxReportedWork (for each slot) limit what counts of a report, so that a wrong one does not outweigh all later
	// ones. The queue of a gate holds a few calls for each slot.
	maxReportedLoad = 10
	maxReportedWork = time.Minute
	// minOverdue is how many times longer than expected a target may take to end any of its calls before that counts as slowness.
	minOverdue = 2
	// maxOverdueFactor limits the slowness that is concluded from calls in flight, so that the target gets a call again.
	maxOverdueFactor = 50
	// gradualStart is the time in which a target that has just started gets its full share, and minStartShare the share that it
	// starts with. Its caches are empty, and all nodes see an idle target at the same time.
	gradualStart  = 3 * time.Second
	minStartShare = 0.1
	// settleTime is the time from the first choice in a service in which its targets do not count as new: a node that has just started
	// learns of the members one by one, and would send its calls to the first ones.
	settleTime = 5 * time.Second
)

// estimates is what the node has learned about one service. It is kept while the service has targets.
type estimates struct {
	classes map[string]*classCost // by name; at most maxClasses+1
	list    []*classCost          // by index
	load    [2]meanLoad           // of the targets of the own zone and of all others
	// since is when a target was chosen first; zero for never.
	since time.Time
	// centredAt is when the slowness of the targets was last centred.
	centredAt time.Time
}

// meanLoad is a moving average of reports.
type meanLoad struct {
	load float64 // calls in use or queued, as a fraction of the limit
	work float64 // outstanding work in seconds for each slot, at slowness 1
	at   time.Time
}

// current returns the load and the work after the time since the last report, in which they drift to those of a neutral target.
func (u *meanLoad) current(now time.Time) (load, work float64) {
	if u.at.IsZero() {
		return neutralLoad, 0
	}
	kept := decay(now.Sub(u.at), meanLoadTimeConstant)
	return neutralLoad + (u.load-neutralLoad)*kept, u.work * kept
}

func (u *meanLoad) add(now time.Time, load, work float64) {
	weight := 1.0
	if !u.at.IsZero() {
		weight = 1 - decay(now.Sub(u.at), meanLoadTimeConstant)
	}
	u.load += (load - u.load) * weight
	u.work += (work - u.work) * weight
	u.at = now
}

// costState is what a Selector that chooses by cost knows of one target besides the fields of entry.
type costState struct {
	slowness slowness
	side     int // 0 for a target of the own zone, 1 for any other
	// inFlightOf holds the calls of this node that have not ended, by the index of their class.
	inFlightOf []classInFlight
	// progressAt is when a call last ended by a response or a refusal, or when the first of the calls in flight began if none was in flight before.
	progressAt time.Time
	// reportedWork is the reported outstanding work in seconds at slowness 1, and ownWorkAtReport that of the calls of this node when
	// the report arrived; the report includes them.
	reportedWork, ownWorkAtReport float64
	// isNew is set for a target that was added to a service with targets; its share grows from firstSeen on.
	isNew     bool
	firstSeen time.Time // zero until the target is considered for the first time
}

// classInFlight is the calls of one class that have not ended at one target.
type classInFlight struct {
	count int32
	// since is when the first of them began; valid if count is above 0.
	since time.Time
}

// classOf returns the cost of a class.
func (e *estimates) classOf(name string) *classCost {
	c := e.classes[name]
	if c == nil && len(e.classes) >= maxClasses {
		name = ""
		c = e.classes[name]
	}
	if c == nil {
		c = &classCost{index: len(e.list)}
		e.classes[name] = c
		e.list = append(e.list, c)
	}
	return c
}

// begin counts a call of this node as in flight.
func (k *costState) begin(now time.Time, c *classCost, inFlight int) {
	for len(k.inFlightOf) <= c.index {
		k.inFlightOf = append(k.inFlightOf, classInFlight{})
	}
	calls := &k.inFlightOf[c.index]
	if calls.count == 0 {
		calls.since = now
	}
	calls.count++
	if inFlight == 0 || k.progressAt.IsZero() {
		k.progressAt = now
	}
}

// end counts a call of this node as ended.
func (k *costState) end(c *classCost) {
	if c.index < len(k.inFlightOf) && k.inFlightOf[c.index].count > 0 {
		k.inFlightOf[c.index].count--
	}
}

// ownWork returns the expected cost of the node's own calls in flight.
func (k *costState) ownWork(now time.Time, e *estimates) float64 {
	sum := 0.0
	for i, calls := range k.inFlightOf {
		if calls.count > 0 {
			sum += float64(calls.count) * e.list[i].cost(now)
		}
	}
	return sum
}

// learn records the result of a call of the class. It is called after recordResult.
func (e *entry) learn(now time.Time, class *classCost, r Result) {
	e.cost.end(class)
	if r.Outcome != TimedOut && r.Outcome != Cancelled { // neither is an act of the target
		e.cost.progressAt = now
	}
	if r.Outcome == Completed && r.ServiceTime > 0 && !r.ErrorStatus {
		deviation := class.add(now, e, math.Log(r.ServiceTime.Seconds()), e.cost.slowness.usual)
		e.cost.slowness.add(now, deviation)
	}
	if r.Feedback.Limit > 0 {
		e.learnReport(now, e.group.estimates, class, r.Feedback)
	}
	if now.Sub(e.group.estimates.centredAt) >= centreInterval {
		e.group.centre(now)
	}
}

// learnReport records the load that the target's node reported. A node that does not choose by cost reports no outstanding work; it is
// then that of calls of the same class.
func (e *entry) learnReport(now time.Time, estimates *estimates, class *classCost, f hemlockcall.Feedback) {
	k := &e.cost
	// The gate measures at the usual speed of its target, because it knows no other target.
	k.reportedWork = f.Outstanding.Seconds() * math.Exp(-k.slowness.usual)
	if f.Outstanding == 0 {
		k.reportedWork = float64(f.InFlight) * class.cost(now) * minRemainingFraction
	}
	k.reportedWork = min(k.reportedWork, maxReportedWork.Seconds()*float64(f.Limit))
	k.ownWorkAtReport = k.ownWork(now, estimates)
	load, work := min(maxReportedLoad, float64(f.InFlight)/float64(f.Limit)), k.reportedWork/float64(f.Limit)
	estimates.load[k.side].add(now, load, work)
}

// centre shifts the slowness of all targets with samples to the mean 0, as a logarithm, and the cost of the classes accordingly. That of
// targets without a sample for usualDriftDelay drifts to the mean.
func (g *group) centre(now time.Time) {
	kept := 1.0
	if !g.estimates.centredAt.IsZero() {
		kept = decay(now.Sub(g.estimates.centredAt), usualDriftTime)
	}
	g.estimates.centredAt = now
	sum, count := 0.0, 0
	for _, list := range [][]*entry{g.own, g.other} {
		for _, e := range list {
			if e.cost.slowness.samples > 0 {
				if now.Sub(e.cost.slowness.recentAt) > usualDriftDelay {
					e.cost.slowness.usual *= kept
				}
				sum += e.cost.slowness.usual
				count++
			}
		}
	}
	if count == 0 {
		return
	}
	mean := sum / float64(count)
	for _, list := range [][]*entry{g.own, g.other} {
		for _, e := range list {
			if e.cost.slowness.samples > 0 {
				e.cost.slowness.usual -= mean
			}
		}
	}
	for _, c := range g.estimates.list {
		c.logCost += mean
	}
}

// startShare is the share of its calls that a target gets that has just started; 1 after gradualStart.
func (e *entry) startShare(now time.Time) float64 {
	if !e.cost.isNew {
		return 1
	}
	if e.cost.firstSeen.IsZero() {
		e.cost.firstSeen = now
		e.cost.isNew = now.Sub(e.group.estimates.since) >= settleTime
	}
	if !e.cost.isNew {
		return 1
	}
	share := now.Sub(e.cost.firstSeen).Seconds() / gradualStart.Seconds()
	e.cost.isNew = share < 1
	return max(minStartShare, min(1, share))
}
