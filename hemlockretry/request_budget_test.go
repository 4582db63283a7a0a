package hemlockretry

import (
	"testing"

	"pgregory.net/rapid"
)

// callTree runs a random call tree and counts its retries.
type callTree struct {
	*rapid.T
	retries int
	// lateResponses return the unused retries of calls whose response counted as lost.
	lateResponses []func()
}

// serve runs a request at one node and returns the unused retries that the node reports.
func (c *callTree) serve(b *RequestBudget, depth int) int {
	if depth < 7 {
		for range rapid.IntRange(0, 3-min(depth/3, 2)).Draw(c.T, "calls") {
			c.call(b, depth)
		}
	}
	unused := b.Close()
	if b.Spend() {
		c.retries++ // the target goes on retrying after its response; a closed budget must not allow it
	}
	return unused
}

// call makes one outgoing call and its retries.
func (c *callTree) call(b *RequestBudget, depth int) {
	for {
		a := b.Allocate(rapid.IntRange(-1, 4).Draw(c.T, "retries"))
		if rapid.Bool().Draw(c.T, "half") {
			a.Return(a.Retries())
			a = b.AllocateHalf()
		}
		failed := true
		switch rapid.IntRange(0, 4).Draw(c.T, "outcome") {
		case 0: // refused before execution; the refusal arrives twice
			a.Return(a.Retries())
			a.Return(a.Retries())
		case 1: // the response counts as lost but arrives later
			unused := c.serve(NewRequestBudget(a.Retries()), depth+1)
			a.Forfeit()
			c.lateResponses = append(c.lateResponses, func() { a.Return(unused) })
		case 2: // the called node is faulty and reports more than it received
			a.Return(c.serve(NewRequestBudget(a.Retries()), depth+1) + a.Retries() + 1)
		default:
			a.Return(c.serve(NewRequestBudget(a.Retries()), depth+1))
			failed = false
		}
		if len(c.lateResponses) > 3 {
			c.lateResponses[0]()
			c.lateResponses = c.lateResponses[1:]
		}
		if !failed || !b.Spend() {
			return
		}
		c.retries++
	}
}

// Guards against retries that multiply with the depth of the call chain, and against lost, late or duplicate responses that
// add retries to the budget (guarantee 1 of the design).
func TestRetriesNeverExceedTheRequestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &callTree{T: t}
		budget := rapid.IntRange(0, 5).Draw(t, "budget")
		c.serve(NewRequestBudget(budget), 0)
		if c.retries > budget {
			t.Fatalf("%d retries in the call tree, want at most the budget of %d", c.retries, budget)
		}
	})
}
