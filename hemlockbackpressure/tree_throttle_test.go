package hemlockbackpressure

import (
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
		success := b.TreeLoad(now, "c", []hemlockcall.CallDemand{{Service: "s", Calls: 8}}).Success
		if (success < minSuccess) != (age <= maxRefusedAge) {
			t.Errorf("success probability %.3f, %v after the last measurement", success, age)
		}
	}
}
