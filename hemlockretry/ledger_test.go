package hemlockretry

import (
	"testing"

	"pgregory.net/rapid"
)

// tree runs a random call tree and counts its extra attempts.
type tree struct {
	*rapid.T
	extra int
	late  []func()
}

// serve is one node that runs a request and reports the unused rest of its allowance.
func (c *tree) serve(l *RequestBudget, depth int) int {
	if depth < 7 {
		for range rapid.IntRange(0, 3-min(depth/3, 2)).Draw(c.T, "calls") {
			c.call(l, depth)
		}
	}
	rest := l.Close()
	if l.Spend() {
		c.extra++ // the target goes on calling after its answer
	}
	return rest
}

// call is one outgoing call with its repeats.
func (c *tree) call(l *RequestBudget, depth int) {
	for {
		s := l.Allocate(rapid.IntRange(-1, 4).Draw(c.T, "want"))
		if rapid.Bool().Draw(c.T, "half") {
			s.Return(s.Attempts())
			s = l.AllocateHalf()
		}
		failed := true
		switch rapid.IntRange(0, 4).Draw(c.T, "outcome") {
		case 0: // refused as not run; the refusal arrives twice
			s.Return(s.Attempts())
			s.Return(s.Attempts())
		case 1: // the answer is lost, and arrives late after all
			rest := c.serve(NewRequestBudget(s.Attempts()), depth+1)
			s.Forfeit()
			c.late = append(c.late, func() { s.Return(rest) })
		case 2: // the called node failed and reports more than it got
			s.Return(c.serve(NewRequestBudget(s.Attempts()), depth+1) + s.Attempts() + 1)
		default:
			s.Return(c.serve(NewRequestBudget(s.Attempts()), depth+1))
			failed = false
		}
		if len(c.late) > 3 {
			c.late[0]()
			c.late = c.late[1:]
		}
		if !failed || !l.Spend() {
			return
		}
		c.extra++
	}
}

// Guards guarantee 1: retries that multiply with the depth of the call chain, and lost, late or repeated answers that
// create allowance.
func TestExtraAttemptsNeverExceedTheMintedAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &tree{T: t}
		minted := rapid.IntRange(0, 5).Draw(t, "minted")
		c.serve(NewRequestBudget(minted), 0)
		if c.extra > minted {
			t.Fatalf("%d extra attempts in the tree, %d minted", c.extra, minted)
		}
	})
}
