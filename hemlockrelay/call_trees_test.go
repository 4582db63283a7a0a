package hemlockrelay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdemand"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlockselection"
	"hemlockhollow/hemlocksuspect"
)

// treeNode is a node whose local target makes four nested calls to the service deep in each run.
type treeNode struct {
	entry *Entry
	deep  *fakeTarget
	// refusedNested counts the nested calls that failed, and ranks the organisation ranks of the others.
	refusedNested int
	ranks         map[uint8]int
}

func newTreeNode(options ...EntryOption) *treeNode {
	n := &treeNode{deep: &fakeTarget{}, ranks: map[uint8]int{}}
	estimator := hemlockdemand.New()
	local := &fakeTarget{respond: func(ctx context.Context, _ int, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		for range 4 {
			nested := &hemlockcall.RelayRequest{ID: "n", Service: "deep", Class: "lookup", Remaining: call.Remaining, Idempotent: true}
			if _, err := n.entry.Relay(ctx, nested, 1); err != nil {
				n.refusedNested++
			}
		}
		return okResponse(), nil
	}}
	n.deep.respond = func(_ context.Context, _ int, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		n.ranks[call.OrganisationRank]++
		response := okResponse()
		response.Feedback = hemlockcall.Feedback{InFlight: 300, Limit: 100, DemandRuns: 1,
			Demands: []hemlockcall.CallDemand{{Service: "deep", Calls: 1, SlotTime: 55 * time.Millisecond}}}
		return response, nil
	}
	gate := NewGate(local, hemlocksuspect.New("self"), noopObserver{}, WithDemands(estimator))
	gate.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: 10, Ready: true})
	selector := hemlockselection.New("a", func(int) int { return 0 })
	selector.Replace([]hemlockcall.Target{{Address: "self", Zone: "a", Service: "s", Slots: 10, Ready: true},
		{Address: "peer", Zone: "a", Service: "deep", Slots: 10, Ready: true}})
	budget := hemlockretry.NewServiceRetryBudget(hemlockretry.ServiceRetryLimit{Ratio: 0.2, Slack: 100, Window: time.Second})
	n.entry = NewEntry("self", gate, fakeTransport{"peer": n.deep}, selector, budget, noopObserver{},
		append(options, WithCallTrees(estimator))...)
	return n
}

// request sends a customer request every 20 ms, and returns the refusals of its class.
func (n *treeNode) request(t *testing.T, class string, count int) (refusals []*hemlockcall.Refusal) {
	t.Helper()
	for range count {
		time.Sleep(20 * time.Millisecond)
		call := newCall()
		call.Class, call.Priority, call.Organisation, call.OrganisationRank = class, hemlockcall.Important, "o", 2
		if _, err := n.entry.Relay(t.Context(), call, 1); err != nil {
			refusals = append(refusals, hemlockcall.AsRefusal(err))
		}
	}
	return refusals
}

// Guards against important trees that are started although a service that they call is full, against nested calls that are refused at
// the entry after the work upstream is done, and against a refusal that does not say why.
func TestImportantTreesAreThrottledAndNestedCallsAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTreeNode()
		if refusals := n.request(t, "browse", 20); len(refusals) > 0 {
			t.Errorf("refused before the demands were known: %v", refusals[0])
		}
		refusals := n.request(t, "browse", 300)
		if len(refusals) < 150 {
			t.Fatalf("%d of 300 trees refused while the service that they call is full, want at least 150", len(refusals))
		}
		last := refusals[len(refusals)-1]
		for _, text := range []string{"load 3.00 (deep)", "4.0 calls", "220 ms"} {
			if !strings.Contains(last.Detail, text) {
				t.Errorf("refusal %q does not contain %q", last.Detail, text)
			}
		}
		if last.Verdict != hemlockcall.VerdictNotRun || last.RetryAfter <= 0 || last.RetryAfter > time.Second/3 {
			t.Errorf("refusal %v with Retry-After %v, want not-run and up to a third of the remaining time", last, last.RetryAfter)
		}
		if n.refusedNested > 0 || n.ranks[2] < n.deep.count() {
			t.Errorf("%d nested calls refused, %v of %d with the rank of their parent", n.refusedNested, n.ranks, n.deep.count())
		}
		if got := n.entry.TreesRefused()["deep"]; got != uint64(len(refusals)) {
			t.Errorf("%d trees counted as refused for deep, want %d", got, len(refusals))
		}
	})
}

// Guards against trees that go on starting while the targets of a nested service refuse calls.
func TestTreesOfARefusingServiceAreProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTreeNode()
		n.request(t, "browse", 40)
		n.deep.respond = func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
			refusal := hemlockcall.Refuse(hemlockcall.ReasonTarget, "busy")
			refusal.ReachedTarget = true
			return nil, refusal
		}
		n.request(t, "browse", 50)
		refusals := n.request(t, "browse", 100)
		if len(refusals) < 90 || len(refusals) == 100 {
			t.Errorf("%d of 100 trees refused, want 90 to 99", len(refusals))
		}
		if last := refusals[len(refusals)-1].Detail; !strings.Contains(last, "targets of deep refuse calls") {
			t.Errorf("refusal %q does not name the service", last)
		}
	})
}
