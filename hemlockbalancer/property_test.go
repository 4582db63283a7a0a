package hemlockbalancer

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// without disables a mechanism, to show which properties depend on it.
var without = flag.Int("without", -1, "number of the Mechanism to disable; none if negative")

func disabledMechanism() Option {
	if *without < 0 {
		return WithoutMechanisms()
	}
	return WithoutMechanisms(Mechanism(*without))
}

// targets returns ready targets of service s: in each zone the given number with the given slots.
func targets(zones []string, each, slots int) []hemlockcall.Target {
	var all []hemlockcall.Target
	for _, zone := range zones {
		for i := range each {
			all = append(all, hemlockcall.Target{Address: fmt.Sprintf("%s-%d", zone, i), Zone: zone, Service: "s", Slots: slots,
				Ready: true})
		}
	}
	return all
}

func drawBalancer(t *rapid.T) *Balancer {
	random := rapid.IntRange(0, 1<<20)
	return New("a", func(n int) int { return random.Draw(t, "random") % n }, disabledMechanism())
}

// Guards against a target that wrongly counts as unhealthy and gets no call for more than 5 seconds, at any mix of
// priorities.
func TestMisjudgedTargetGetsLoadWithinFiveSeconds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		balancer := drawBalancer(t)
		balancer.Replace(now, targets([]string{"a"}, rapid.IntRange(2, 5).Draw(t, "targets"), 10))
		for range unhealthyFailures {
			balancer.Acquire(now, "a-0")
			balancer.Done(now, "a-0", Result{Outcome: Failed, Latency: time.Millisecond})
		}
		lowest := rapid.IntRange(0, 2).Draw(t, "lowest priority")
		lastLoad := now
		for now.Sub(start) < 20*time.Second {
			now = now.Add(time.Duration(rapid.IntRange(10, 400).Draw(t, "step")) * time.Millisecond)
			if now.Sub(lastLoad) > 5*time.Second {
				t.Fatalf("the misjudged target got no call for %v, want one within 5 s", now.Sub(lastLoad))
			}
			p := hemlockcall.Priority(rapid.IntRange(lowest, 2).Draw(t, "priority"))
			target, err := balancer.Pick(now, "s", p, nil)
			if err != nil {
				t.Fatal(err)
			}
			r := Result{Latency: time.Millisecond}
			if target.Address == "a-0" {
				lastLoad = now
				r.Outcome = rapid.SampledFrom([]Outcome{Completed, Completed, Failed, TimedOut, Cancelled, Refused}).
					Draw(t, "outcome")
			}
			balancer.Done(now, target.Address, r)
			if target.Address == "a-0" && r.Outcome == Completed {
				if balancer.entries["a-0"].unhealthy {
					t.Fatal("the target is still unhealthy after a completed probe")
				}
				return
			}
		}
	})
}

// Guards against a slow target that still gets its part of the calls because its feedback reports no load.
func TestSlowTargetIsPickedRarely(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		balancer := drawBalancer(t)
		balancer.Replace(now, targets([]string{"a"}, rapid.IntRange(3, 6).Draw(t, "targets"), 10))
		slowCalls := 0
		const calls = 400
		for range calls {
			now = now.Add(10 * time.Millisecond)
			target, err := balancer.Pick(now, "s", hemlockcall.Sheddable, nil)
			if err != nil {
				t.Fatal(err)
			}
			r := Result{Latency: 50 * time.Millisecond, Feedback: hemlockcall.Feedback{Limit: 10}}
			if target.Address == "a-0" {
				slowCalls++
				r.Latency = 10 * r.Latency
			}
			balancer.Done(now, target.Address, r)
		}
		if slowCalls > calls/10 {
			t.Errorf("%d of %d calls went to the slow target, want at most a tenth", slowCalls, calls)
		}
	})
}

// Guards against calls that are sent although recent minimum priorities exclude them, against minimum priorities that
// are used for longer than a second, and against a lower priority that is admitted within a second after a higher one
// was shed.
func TestEarlySheddingFollowsRecentMinPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		balancer := drawBalancer(t)
		balancer.Replace(now, targets([]string{"a"}, 2, 10))
		var reportedAt [2]time.Time
		var minPriorities [2]hemlockcall.Priority
		var shedAt [hemlockcall.PriorityCount]time.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "step")) * time.Millisecond)
			if i := rapid.IntRange(0, 3).Draw(t, "report"); i < 2 {
				minPriorities[i], reportedAt[i] = hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "minimum priority")), now
				address := fmt.Sprintf("a-%d", i)
				balancer.Acquire(now, address)
				balancer.Done(now, address, Result{Feedback: hemlockcall.Feedback{MinPriority: minPriorities[i], Limit: 10}})
				continue
			}
			p := hemlockcall.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
			admitted := false
			for i := range minPriorities {
				admitted = admitted || minPriorities[i] <= p || now.Sub(reportedAt[i]) >= time.Second
			}
			for higher := p + 1; int(higher) < hemlockcall.PriorityCount; higher++ {
				admitted = admitted && (shedAt[higher].IsZero() || now.Sub(shedAt[higher]) >= time.Second)
			}
			target, err := balancer.Pick(now, "s", p, nil)
			if isShed := hemlockerror.KindOf[Kind](err) == KindShed; isShed == admitted {
				t.Fatalf("%v: shed is %v, want the opposite with minimum priorities %v", p, isShed, minPriorities)
			}
			if err != nil {
				shedAt[p] = now
				continue
			}
			balancer.Done(now, target.Address, Result{Outcome: Cancelled})
		}
	})
}

// Guards against overload that spreads to other zones: of the sheddable calls that the targets of a zone refuse, only a
// small fraction may leave the zone.
func TestSheddableOverflowIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		balancer := drawBalancer(t)
		balancer.Replace(now, targets([]string{"a", "b"}, 2, 10))
		left := 0
		for range 200 {
			for _, address := range []string{"a-0", "a-1"} {
				balancer.Acquire(now, address)
				balancer.Done(now, address, Result{Feedback: hemlockcall.Feedback{MinPriority: hemlockcall.Important, Limit: 10}})
			}
			if target, err := balancer.Pick(now, "s", hemlockcall.Sheddable, nil); err == nil {
				left++
				balancer.Done(now, target.Address, Result{})
			}
		}
		if left > 200/10+1 {
			t.Errorf("%d of 200 sheddable calls left the zone, want at most 21", left)
		}
	})
}

func BenchmarkPickDone(b *testing.B) {
	for _, count := range []int{10, 50, 300} {
		b.Run(fmt.Sprintf("targets=%d", count), func(b *testing.B) {
			state := uint32(1)
			balancer := New("a", func(n int) int {
				state = state*1664525 + 1013904223
				return int(state>>8) % n
			})
			balancer.Replace(start, targets([]string{"a", "b", "c"}, (count+2)/3, 100))
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Microsecond)
				target, err := balancer.Pick(now, "s", hemlockcall.Important, nil)
				if err != nil {
					b.Fatal(err)
				}
				balancer.Done(now, target.Address, Result{Latency: time.Millisecond,
					Feedback: hemlockcall.Feedback{InFlight: int(state % 80), Limit: 100}})
			}
		})
	}
}
