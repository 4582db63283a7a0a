package hemlockretry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against repeats of all nodes together above the allowance, in any window.
func TestSharedBudgetOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowance := Allowance{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
		nodes := rapid.IntRange(1, 85).Draw(t, "nodes")
		rate := rapid.IntRange(1, 40).Draw(t, "requests a step")
		start := time.Unix(1000, 0)
		budgets := make([]*SharedBudget, nodes)
		for i := range budgets {
			budgets[i] = NewSharedBudget(allowance)
			budgets[i].SetNodes(nodes)
		}
		const step, steps = 100 * time.Millisecond, 300
		window := int(allowance.Window / step)
		var requests, repeats [steps]int
		for s := range steps {
			now := start.Add(time.Duration(s) * step)
			for range rate {
				b := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
				b.Earn(now, "s")
				requests[s]++
				for b.Spend(now, "s") { // every request asks for all that there is
					repeats[s]++
				}
			}
			if s+1 < window {
				continue
			}
			asked, repeated := 0, 0
			for i := s + 1 - window; i <= s; i++ {
				asked, repeated = asked+requests[i], repeated+repeats[i]
			}
			if most := allowance.Ratio*float64(asked) + allowance.Slack; float64(repeated) > most {
				t.Fatalf("%d repeats for %d requests of %d nodes, allowed are %.0f", repeated, asked, nodes, most)
			}
		}
	})
}

func TestSharedBudgetStartsEmpty(t *testing.T) {
	b := NewSharedBudget(Allowance{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
	b.SetNodes(15)
	if b.Spend(time.Unix(1000, 0), "s") {
		t.Error("a repeat before any request")
	}
}
