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
				t.Errorf("setpoints %.2f, %.2f and %.2f of rank %d and priority %v, want them above %.2f and in this order",
					heavy, middle, light, rank, p, last)
			}
			last = light
		}
	}
}

// Guards against requests that are refused long after the overload is over.
func TestTreeThrottleRecovers(t *testing.T) {
	throttle, now, tree := NewTreeThrottle(), time.Unix(1000, 0), Tree{Class: "c", Service: "s", Rank: middleRank}
	fraction := func(load float64, period time.Duration) (fraction float64) {
		for end := now.Add(period); now.Before(end); now = now.Add(20 * time.Millisecond) {
			fraction = throttle.Admit(now, tree, TreeLoad{Load: Load{Value: load, Cause: "s"}, Success: 1}).Fraction
		}
		return fraction
	}
	if got := fraction(4, 3*time.Second); got > 0.2 {
		t.Errorf("admitted fraction %.2f after 3 s of overload, want at most 0.2", got)
	}
	if got := fraction(0.4, 2*time.Second); got < 1 {
		t.Errorf("admitted fraction %.2f 2 s after the overload, want 1", got)
	}
}

// Guards against refused fractions that nodes report to each other for ever, each as if it had measured them.
func TestRefusalsExpire(t *testing.T) {
	start := time.Unix(1000, 0)
	a, b := NewLoadMonitor(), NewLoadMonitor()
	demands := []hemlockcall.CallDemand{{Service: "s", Calls: 8}}
	for i := range 20 {
		a.RecordNestedCall(start, "s", i%2 == 0)
	}
	for age := time.Duration(0); age <= 2*maxRefusedAge; age += 100 * time.Millisecond {
		now := start.Add(age)
		b.MergeLoads(now, a.HighLoads(now))
		a.MergeLoads(now, b.HighLoads(now))
		success := b.TreeLoad(now, "c", demands).Success
		if held := success < minSuccess; held != (age <= maxRefusedAge) {
			t.Errorf("success probability %.3f, %v after the last measurement", success, age)
		}
	}
}
