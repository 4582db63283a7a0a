package hemlockretry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
)

// findViolation records first attempts at changing rates, in steps of 100 ms over 30 s, at the nodes that pick returns.
// After each of them the node spends all retries that it can. The result describes the first window with more retries than
// the limit allows; it is empty if there is none.
func findViolation(nodes int, rates []int, pick func(nodes int) int) string {
	limit := ServiceRetryLimit{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	start := time.Unix(1000, 0)
	budgets := make([]*ServiceRetryBudget, nodes)
	for i := range budgets {
		budgets[i] = NewServiceRetryBudget(limit)
		budgets[i].SetNodes(nodes)
	}
	const step, steps = 100 * time.Millisecond, 300
	window := int(limit.Window / step)
	var requests, retries [steps]int
	for s := range steps {
		now := start.Add(time.Duration(s) * step)
		for range rates[s*len(rates)/steps] {
			b := budgets[pick(nodes)]
			b.RecordFirstAttempt(now, "s")
			requests[s]++
			for b.Spend(now, "s", hemlockcall.Critical) {
				retries[s]++
			}
		}
		end := s + 1
		if end < window {
			continue
		}
		counted := max(sum(requests[:], end-window, end), sum(requests[:], end-2*window, end-window),
			sum(requests[:], end-window*3/2, end-window/2))
		sent := sum(retries[:], end-window, end)
		if maxRetries := limit.Ratio*float64(counted) + limit.Slack; float64(sent) > maxRetries {
			return fmt.Sprintf("%d retries for %d first attempts of %d nodes, want at most %.0f", sent, counted, nodes, maxRetries)
		}
	}
	return ""
}

// Guards against more retries of all nodes together than the limit allows, in any window.
func TestServiceRetryBudgetOfAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 85).Draw(t, "nodes")
		// The rate changes because a failing service receives fewer requests.
		rates := rapid.SliceOfN(rapid.IntRange(0, 40), 6, 6).Draw(t, "requests a step")
		pick := func(nodes int) int { return rapid.IntRange(0, nodes-1).Draw(t, "node") }
		if violation := findViolation(nodes, rates, pick); violation != "" {
			t.Fatal(violation)
		}
	})
}

// Guards against two ways to exceed the limit. In the first, the half window with the most first attempts earns tokens as if
// it were a whole window (first rates). In the second, first attempts earn tokens for longer than they count (second rates).
func TestServiceRetryBudgetRegressions(t *testing.T) {
	for _, rates := range [][]int{{0, 34, 0, 30, 1, 0}, {15, 0, 0, 1, 0, 0}} {
		if violation := findViolation(1, rates, func(int) int { return 0 }); violation != "" {
			t.Errorf("rates %v: %s", rates, violation)
		}
	}
}

// sum returns the sum of the counts from one step up to another, exclusive; steps before the start count as zero.
func sum(counts []int, from, to int) int {
	total := 0
	for i := max(from, 0); i < to; i++ {
		total += counts[i]
	}
	return total
}

// Guards against retries that decrease with the requests, just when they are needed.
//
// The load is that of a deepest service that fails: its requests fall to a fifth, because call trees end at their first
// failed call.
func TestRetriesContinueWhenRequestsFail(t *testing.T) {
	b := NewServiceRetryBudget(ServiceRetryLimit{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
	b.SetNodes(15)
	now := time.Unix(1000, 0)
	const rate, steps = 200, 10
	for range rate * steps {
		now = now.Add(time.Second / rate)
		b.RecordFirstAttempt(now, "s")
	}
	granted := 0
	for range rate / 5 * steps / 2 {
		now = now.Add(5 * time.Second / rate)
		b.RecordFirstAttempt(now, "s")
		for b.Spend(now, "s", hemlockcall.Critical) {
			granted++
		}
	}
	// Half of the window in which these retries count lies before the failure.
	if minRetries := 0.2 * ratioFraction * rate * steps / 2 / 2; float64(granted) < minRetries {
		t.Errorf("%d retries in half a window, want at least %.0f", granted, minRetries)
	}
}

func TestServiceRetryBudgetStartsEmpty(t *testing.T) {
	b := NewServiceRetryBudget(ServiceRetryLimit{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
	b.SetNodes(15)
	if b.Spend(time.Unix(1000, 0), "s", hemlockcall.Critical) {
		t.Error("a retry was allowed before any first attempt")
	}
}

// Guards against saved retries that are used up at the start of a fault, and against less important calls that take the
// retries of more important ones.
//
// The load is that of a service whose targets all begin to refuse half of their calls: 200 calls per second at one of 15
// nodes, which asks for a retry of each refused call.
func TestSavedRetriesCoverAFaultOfAllTargets(t *testing.T) {
	const rate, healthyTime, faultTime = 200, 10 * time.Second, 3 * time.Second
	b := NewServiceRetryBudget(ServiceRetryLimit{Ratio: 0.2, Slack: 48, Window: 10 * time.Second})
	b.SetNodes(15)
	now := time.Unix(1000, 0)
	for range int(healthyTime.Seconds() * rate) {
		now = now.Add(time.Second / rate)
		b.RecordFirstAttempt(now, "s")
	}
	refused, granted := 0, [hemlockcall.PriorityCount]int{}
	for i := range int(faultTime.Seconds() * rate) {
		now = now.Add(time.Second / rate)
		b.RecordFirstAttempt(now, "s")
		if i%2 == 0 {
			continue // not refused
		}
		refused++
		// Four in five are browse requests, the rest are orders.
		priority := hemlockcall.Sheddable
		if i%10 == 1 {
			priority = hemlockcall.Critical
		}
		if b.Spend(now, "s", priority) {
			granted[priority]++
		}
	}
	if orders := refused / 5; granted[hemlockcall.Critical] < orders {
		t.Errorf("%d of %d orders were retried, want all", granted[hemlockcall.Critical], orders)
	}
	earned := 0.2 * ratioFraction * rate * faultTime.Seconds()
	if total := granted[0] + granted[1] + granted[2]; float64(total) < 1.3*earned {
		t.Errorf("%d retries, want at least 1.3 times the %.0f that were earned during the fault", total, earned)
	}
}

// Guards against retries that many nodes have saved while all was well and spend together when a service with little traffic
// fails.
func TestSavedRetriesOfManyNodesStayWithinLimit(t *testing.T) {
	limit := ServiceRetryLimit{Ratio: 0.2, Slack: 48, Window: 10 * time.Second}
	for _, nodes := range []int{15, 195, 1500} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1000, 0)
			budgets := make([]*ServiceRetryBudget, nodes)
			for i := range budgets {
				budgets[i] = NewServiceRetryBudget(limit, WithRandom(random.Float64))
				budgets[i].SetNodes(nodes)
				for range 100 {
					budgets[i].RecordFirstAttempt(now, "s")
				}
			}
			now = now.Add(time.Hour)
			const failedRequests = 200 // in one window
			retries := 0
			for i := range failedRequests {
				now = now.Add(limit.Window / failedRequests)
				b := budgets[i%nodes]
				b.RecordFirstAttempt(now, "s")
				if b.Spend(now, "s", hemlockcall.Critical) {
					retries++
				}
			}
			if most := limit.Ratio*failedRequests + limit.Slack; float64(retries) > most || retries == 0 {
				t.Errorf("%d retries for %d first attempts of %d nodes, want 1 to %.0f", retries, failedRequests, nodes, most)
			}
		})
	}
}
