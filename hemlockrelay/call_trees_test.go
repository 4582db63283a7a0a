package hemlockrelay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockdemand"
	"hemlockhollow/hemlocksuspect"
)

// Guards against important trees that are started although a service that they call is full, against nested calls that are refused at
// the entry after the work upstream is done, and against a refusal that does not say why. The local target makes four calls to the
// service deep in each run.
func TestImportantTreesAreThrottledAndNestedCallsAreNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deep := &fakeTarget{respond: func(_ context.Context, _ int, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
			if call.OrganisationRank != 2 {
				t.Errorf("nested call with rank %d, want that of its parent, 2", call.OrganisationRank)
			}
			response := okResponse()
			response.Feedback = hemlockcall.Feedback{InFlight: 300, Limit: 100, DemandRuns: 1,
				Demands: []hemlockcall.CallDemand{{Service: "deep", Calls: 1, SlotTime: 55 * time.Millisecond}}}
			return response, nil
		}}
		estimator, e := hemlockdemand.New(), newTestEntry(fakeTransport{"peer": deep})
		e.selector.Replace([]hemlockcall.Target{{Address: "self", Zone: "a", Service: "s", Slots: 10, Ready: true},
			{Address: "peer", Zone: "a", Service: "deep", Slots: 10, Ready: true}})
		local := &fakeTarget{respond: func(ctx context.Context, _ int, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
			for range 4 {
				nested := &hemlockcall.RelayRequest{ID: "n", Service: "deep", Class: "lookup", Remaining: call.Remaining, Idempotent: true}
				if _, err := e.Relay(ctx, nested, 1); err != nil {
					t.Errorf("nested call refused: %v", err)
				}
			}
			return okResponse(), nil
		}}
		e.gate = NewGate(local, hemlocksuspect.New("self"), noopObserver{}, WithDemands(estimator))
		e.gate.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: 10, Ready: true})
		WithCallTrees(estimator)(e)
		var refusals []*hemlockcall.Refusal
		for range 320 {
			time.Sleep(20 * time.Millisecond)
			call := newCall().WithOrganisation("o", 2)
			if _, err := e.Relay(t.Context(), call, 1); err != nil {
				refusals = append(refusals, hemlockcall.AsRefusal(err))
			}
		}
		if len(refusals) < 150 || e.TreesRefused()["deep"] != uint64(len(refusals)) {
			t.Fatalf("%d of 320 trees refused while the service that they call is full, %v counted", len(refusals), e.TreesRefused())
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
	})
}

// Guards against customer requests that count as nested, and are not throttled, because requests of the same class from other entries run
// at the local target: the entries must shorten the remaining time of a call by more than the difference at which calls are attributed.
func TestCustomerRequestsAreNotNestedInRunsOfTheirClass(t *testing.T) {
	estimator, now, call := hemlockdemand.New(), time.Now(), newCall()
	gate := NewGate(nil, hemlocksuspect.New("self"), noopObserver{}, WithDemands(estimator))
	for i := range 100 {
		arrival := now.Add(time.Duration(i) * time.Millisecond)
		gate.startRun(call, arrival.Add(call.Remaining-peerDeadlineMargin))
		if _, nested := estimator.CallArrived(arrival, classOf(call), arrival.Add(call.Remaining)); nested {
			t.Fatalf("customer request %d counts as nested", i)
		}
	}
}
