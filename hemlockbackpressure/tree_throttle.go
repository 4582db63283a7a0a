package hemlockbackpressure

import (
	"math"
	"sync"
	"time"

	"hemlockhollow/hemlockcall"
)

const (
	// minSuccess is the success probability below which call trees are admitted only as probes. With 0.25, trees that would have succeeded
	// were held back for seconds after the refusals of targets that had just started.
	minSuccess = 0.02
	// probeFraction is the admitted fraction of such trees. Their calls show when the service has recovered.
	probeFraction = 0.05
	// minShare is the lowest admitted fraction of a class, as a multiple of that of all trees at this entry.
	minShare = 0.3
	// shareTimeConstant is the time constant of the admitted fraction of all trees.
	shareTimeConstant = 3 * time.Second
	// maxTreeKinds limits the number of classes and ranks with an admitted fraction.
	maxTreeKinds = 1024
	// heaviestSlotTime and lightestSlotTime are the slot times at the scarce service between which the setpoint depends on the slot time.
	heaviestSlotTime = time.Second
	lightestSlotTime = 10 * time.Millisecond
)

// setpointRange are the setpoints of the heaviest and of the lightest trees of one organisation rank and priority.
type setpointRange struct{ heaviest, lightest float64 }

// treeSetpoints are the load of the scarce service at which trees are throttled, by organisation rank and priority. The ranges do not
// overlap, so that the rank precedes the priority, and the priority the slot time: while trees of one range are throttled, all trees of
// higher ranges are admitted. Rank 1 is the one without organisations; its sheddable trees are throttled just before all slots are in use.
// Load above 1 is a queue, in which the gate lets the more important calls pass. The ranges of a higher priority are wide apart, because a burst of 1.2 times the capacity at a service with runs
// of 55 ms raises the load to 2 before the throttle reacts. Those of rank 2 are below 1, where the other ranks have free slots left.
var treeSetpoints = [maxTreeRank + 1][hemlockcall.PriorityCount]setpointRange{
	0: {hemlockcall.Sheddable: {3.1, 3.3}, hemlockcall.Important: {3.5, 3.7}, hemlockcall.Critical: {4, 4.2}},
	1: {hemlockcall.Sheddable: {0.94, 1}, hemlockcall.Important: {1.7, 2}, hemlockcall.Critical: {2.6, 3}},
	2: {hemlockcall.Sheddable: {0.82, 0.84}, hemlockcall.Important: {0.86, 0.88}, hemlockcall.Critical: {0.9, 0.92}},
}

const (
	// maxTreeRank is the lowest organisation rank that is distinguished.
	maxTreeRank = 2
	// middleRank is the rank of calls without an organisation.
	middleRank = 1
)

// Tree identifies the call trees that share an admitted fraction.
type Tree struct {
	// Class is the class of the first call, and Service the service that it goes to.
	Class, Service string
	Priority       hemlockcall.Priority
	// Rank is the rank of the organisation, 0 is the most important; middleRank without an organisation, and at most maxTreeRank.
	Rank uint8
}

// TreeOf returns the tree that a call starts if it is not nested.
func TreeOf(call *hemlockcall.RelayRequest) Tree {
	rank := uint8(middleRank)
	if call.Organisation != "" {
		rank = min(call.OrganisationRank, maxTreeRank)
	}
	return Tree{Class: call.Class, Service: call.Service, Priority: call.Priority, Rank: rank}
}

// setpoint returns the load at which trees with the given slot time at the scarce service are throttled.
func (t Tree) setpoint(slotTime time.Duration) float64 {
	lightness := 1.0
	if slotTime > 0 {
		lightness = math.Log(heaviestSlotTime.Seconds()/slotTime.Seconds()) / math.Log(heaviestSlotTime.Seconds()/lightestSlotTime.Seconds())
	}
	r := treeSetpoints[t.Rank][t.Priority]
	return r.heaviest + (r.lightest-r.heaviest)*min(max(lightness, 0), 1)
}

// TreeThrottle admits a fraction of the new call trees of each class and organisation rank whose demands are known. It is safe for
// concurrent use.
type TreeThrottle struct {
	mutex sync.Mutex
	kinds map[Tree]*treeFraction
	// arrived and admitted are the decayed numbers of all trees.
	arrived, admitted float64
	lastTree          time.Time
	refused           map[string]uint64
}

// treeFraction is the admitted fraction of the trees of one kind.
type treeFraction struct {
	// fraction follows the load, within the limits by share and by success.
	fraction  float64
	credit    float64 // grows with each tree, up to 1; each admitted one takes 1
	updatedAt time.Time
	lastTree  time.Time
}

// NewTreeThrottle returns a throttle that admits all call trees at first.
func NewTreeThrottle() *TreeThrottle {
	return &TreeThrottle{kinds: map[Tree]*treeFraction{}, refused: map[string]uint64{}}
}

// TreeDecision is the decision on one call tree.
type TreeDecision struct {
	Admitted bool
	// Fraction is the fraction of the trees of this kind that is admitted.
	Fraction float64
	// Probes is set while the trees of this kind are admitted only as probes, because they are unlikely to succeed.
	Probes bool
}

// Admit decides on a new call tree. load is that of LoadMonitor.TreeLoad.
func (t *TreeThrottle) Admit(now time.Time, tree Tree, load TreeLoad) TreeDecision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	f := t.fractionOf(now, tree)
	f.update(now, load, tree.setpoint(load.Demand.SlotTime))
	f.lastTree = now
	t.decayCounts(now)
	t.limit(f, load)
	decision := TreeDecision{Fraction: f.fraction, Probes: load.Success < minSuccess}
	f.credit = min(f.credit+decision.Fraction, 1)
	// The tolerance is for sums of fractions such as 0.05, which do not add up to 1 exactly.
	const tolerance = 1e-9
	decision.Admitted = f.credit >= 1-tolerance
	t.arrived++
	if decision.Admitted {
		f.credit = max(0, f.credit-1)
		t.admitted++
	} else {
		t.countRefused(load)
	}
	return decision
}

// limit keeps the admitted fraction of a kind above a share of the fraction of all trees. Trees that are unlikely to succeed are only
// probes, whatever their share. After that, their fraction rises gradually: the refusals of a service rise again with its calls, once they
// exceed the retry budget. It is called with the lock held.
func (t *TreeThrottle) limit(f *treeFraction, load TreeLoad) {
	if load.Success < minSuccess {
		f.fraction = min(f.fraction, probeFraction)
		return
	}
	share := 1.0
	if t.arrived > 0 {
		share = t.admitted / t.arrived
	}
	f.fraction = max(f.fraction, minShare*share)
}

// decayCounts is called with the lock held.
func (t *TreeThrottle) decayCounts(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(t.lastTree).Seconds()) / shareTimeConstant.Seconds())
	t.arrived, t.admitted, t.lastTree = t.arrived*factor, t.admitted*factor, now
}

// DecidedBy returns the service that decides, or a description of the failures.
func (l TreeLoad) DecidedBy() string {
	if l.Success < minSuccess {
		return l.Refusing.Service
	}
	return l.Cause
}

// countRefused is called with the lock held.
func (t *TreeThrottle) countRefused(load TreeLoad) {
	service := load.DecidedBy()
	if _, ok := t.refused[service]; !ok && len(t.refused) >= maxServices {
		service = "other"
	}
	t.refused[service]++
}

// RefusedByService returns the number of refused call trees by the service that decided.
func (t *TreeThrottle) RefusedByService() map[string]uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counts := make(map[string]uint64, len(t.refused))
	for service, count := range t.refused {
		counts[service] = count
	}
	return counts
}

// Observe changes the admitted fractions of the kinds of which no tree has arrived for sparseInterval, as Throttle.Observe does. loadOf
// returns false while the demands of the kind are unknown. loadOf is called with the lock held.
func (t *TreeThrottle) Observe(now time.Time, loadOf func(tree Tree) (TreeLoad, bool)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for tree, f := range t.kinds {
		if now.Sub(f.lastTree) < sparseInterval {
			continue
		}
		if load, ok := loadOf(tree); ok {
			f.update(now, load, tree.setpoint(load.Demand.SlotTime))
			t.limit(f, load)
		}
	}
}

// fractionOf returns the record of a kind and creates it if necessary. It is called with the lock held.
func (t *TreeThrottle) fractionOf(now time.Time, tree Tree) *treeFraction {
	f := t.kinds[tree]
	if f == nil {
		if len(t.kinds) >= maxTreeKinds {
			clear(t.kinds) // mostly classes that no longer exist; the others begin with 1 again
		}
		f = &treeFraction{fraction: 1, updatedAt: now}
		t.kinds[tree] = f
	}
	return f
}

// update changes the fraction so that the load approaches the setpoint, at most once per updateInterval.
func (f *treeFraction) update(now time.Time, load TreeLoad, setpoint float64) {
	elapsed := now.Sub(f.updatedAt)
	if elapsed < updateInterval {
		return
	}
	value := load.Value
	if elapsed > maxReportAge {
		value = min(value, setpoint) // no tree of this kind arrived for a while: the first one does not lower the fraction
	}
	f.updatedAt = now
	steps := min(float64(elapsed/updateInterval), maxCatchUpSteps)
	f.fraction = adjusted(f.fraction, value, setpoint, steps*gainAt(load.Age))
}
