package hemlockbackpressure

import (
	"math/rand/v2"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// Guards against a heavy tree that is throttled before a light one of a lower priority or organisation rank.
func TestTreeSetpointsKeepTheOrder(t *testing.T) {
	last := 0.0
	for rank := maxTreeRank; rank >= 0; rank-- {
		for p := hemlockcall.Sheddable; int(p) < hemlockcall.PriorityCount; p++ {
			tree := Tree{Priority: p, Rank: uint8(rank)}
			heavy, middle, light := tree.setpoint(time.Minute), tree.setpoint(100*time.Millisecond), tree.setpoint(time.Millisecond)
			if heavy <= last || middle <= heavy || light <= middle {
				t.Errorf("setpoints %.2f, %.2f, %.2f of rank %d, priority %v; the last was %.2f", heavy, middle, light, rank, p, last)
			}
			last = light
		}
	}
}

// Guards against refused fractions that nodes report to each other for ever, each as if it had measured them.
func TestRefusalsExpire(t *testing.T) {
	start, a, b := time.Unix(1000, 0), NewLoadMonitor(), NewLoadMonitor()
	for i := range 20 {
		a.RecordNestedCall(start, "s", i%2 == 0)
	}
	for age := time.Duration(0); age <= 2*maxRefusedAge; age += 100 * time.Millisecond {
		now := start.Add(age)
		b.MergeLoads(now, a.HighLoads(now))
		a.MergeLoads(now, b.HighLoads(now))
		success := b.TreeLoad(now, "c", "first", []hemlockcall.CallDemand{{Service: "s", Calls: 8}}).Success
		if (success < minSuccess) != (age <= maxRefusedAge) {
			t.Errorf("success probability %.3f, %v after the last measurement", success, age)
		}
	}
}

// Guards against refused fractions that become valid again with each hop between nodes, because the age of a report lacks its transit.
// No node measures anything after the start, and each report counts at once, as if it had waited nowhere.
func TestRefusalsExpireDespiteTransit(t *testing.T) {
	const transit, interval = 5 * time.Millisecond, 2 * time.Millisecond
	start, nodes, random := time.Unix(1000, 0), [10]*LoadMonitor{}, rand.New(rand.NewPCG(1, 2))
	for i := range nodes {
		nodes[i] = NewLoadMonitor()
	}
	for i := range 20 {
		nodes[0].RecordNestedCall(start, "s", i%2 == 0)
	}
	for age := time.Duration(0); age < 2*maxRefusedAge; age += interval {
		now := start.Add(age)
		for _, node := range nodes {
			loads := node.HighLoads(now)
			if len(loads) > 0 && age > maxRefusedAge+100*time.Millisecond {
				t.Fatalf("refused fraction %.2f is reported %v after its measurement", loads[0].Refused, age)
			}
			nodes[random.IntN(len(nodes))].MergeLoads(now.Add(transit), loads)
		}
	}
}

// Guards against an entry that still refuses trees 2 s after an overload, or after a service that refused calls, whatever its rate.
func TestTreeThrottleRecovers(t *testing.T) {
	demand := hemlockcall.CallDemand{Service: "s", Calls: 8, SlotTime: 300 * time.Millisecond}
	causes := map[string]TreeLoad{"overload": {Load: Load{Value: 5, Cause: "s"}, Demand: demand, Success: 1},
		"refusals": {Load: Load{Value: 0.1, Cause: "s"}, Demand: demand, Success: 0.01, Refusing: demand}}
	after := TreeLoad{Load: Load{Value: 0.1, Cause: "s"}, Demand: demand, Success: 1}
	for name, cause := range causes {
		for _, interval := range []time.Duration{10 * time.Millisecond, 500 * time.Millisecond, 5 * time.Second} {
			for i := range (maxTreeRank + 1) * hemlockcall.PriorityCount {
				tree := Tree{Priority: hemlockcall.Priority(i % hemlockcall.PriorityCount), Rank: uint8(i / hemlockcall.PriorityCount)}
				throttle, start, last := NewTreeThrottle(), time.Unix(1000, 0), TreeDecision{}
				for elapsed := time.Duration(0); elapsed <= 22*time.Second; elapsed += 10 * time.Millisecond {
					now, load := start.Add(elapsed), cause
					if elapsed > 20*time.Second {
						load = after
					}
					if elapsed%interval == 0 {
						last = throttle.Admit(now, tree, load)
					}
					if elapsed%updateInterval == 0 {
						throttle.Observe(now, func(Tree) (TreeLoad, bool) { return load, true })
					}
					if elapsed == 20*time.Second && last.Fraction > 0.3 {
						t.Errorf("%s, %v: admitted fraction %.2f of trees every %v, want a low one", name, tree, last.Fraction, interval)
					}
				}
				if last = throttle.Admit(start.Add(22*time.Second), tree, after); last.Fraction < 1 {
					t.Errorf("%s, %v: admitted fraction %.2f of trees every %v after 2 s, want 1", name, tree, last.Fraction, interval)
				}
			}
		}
	}
}

// Guards against trees that all start at once at the end of the refusals, at the entries where they are rare.
func TestRareTreesReturnGraduallyAfterRefusals(t *testing.T) {
	throttle, now, tree, refusing := NewTreeThrottle(), time.Unix(1000, 0), Tree{Rank: middleRank}, TreeLoad{Success: 0.01}
	throttle.Admit(now, tree, refusing)
	for range 50 {
		now = now.Add(updateInterval)
		throttle.Observe(now, func(Tree) (TreeLoad, bool) { return refusing, true })
	}
	if d := throttle.Admit(now.Add(updateInterval), tree, TreeLoad{Success: 1}); d.Fraction > 2*probeFraction {
		t.Errorf("admitted fraction %.2f right after the refusals, want at most %.2f", d.Fraction, 2*probeFraction)
	}
}
