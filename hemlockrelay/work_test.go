package hemlockrelay

import (
	"context"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlocksuspect"
)

// Guards against entries that see no work at a target whose slots are in use, and against a gate that reports its ended or refused calls.
func TestGateReportsOutstandingWork(t *testing.T) {
	var g *Gate
	var during time.Duration
	g = NewGate(&fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		during = g.feedback(newCall()).Outstanding
		return okResponse(), nil
	}}, hemlocksuspect.New("self"), noopObserver{}, WithOutstandingWork())
	g.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: 10, Ready: true})
	response, err := g.Relay(t.Context(), newCall())
	if err != nil || during <= 0 || response.Feedback.Outstanding != 0 {
		t.Fatalf("error %v, %v of outstanding work while a call runs, %+v after it; want more than 0, then 0", err, during, response)
	}
	_, err = g.Relay(t.Context(), newCall().WithService("other"))
	if work := hemlockcall.AsRefusal(err).Feedback.Outstanding; work != 0 {
		t.Errorf("%v of outstanding work after a refused call, want 0", work)
	}
}
