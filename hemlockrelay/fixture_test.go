package hemlockrelay

import (
	"context"
	"sync"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlockselection"
	"hemlockhollow/hemlocksuspect"
)

// fakeTarget stands for a target, or for a peer with its target.
type fakeTarget struct {
	mutex sync.Mutex
	calls int
	// respond is called for each call, and returns its result; number is that of the call and starts at 1. A target
	// without it returns okResponse.
	respond func(ctx context.Context, number int, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error)
}

func (f *fakeTarget) Relay(ctx context.Context, call *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
	f.mutex.Lock()
	f.calls++
	number := f.calls
	f.mutex.Unlock()
	if f.respond == nil {
		return okResponse(), nil
	}
	return f.respond(ctx, number, call)
}

func (f *fakeTarget) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.calls
}

func okResponse() *hemlockcall.RelayResponse {
	return &hemlockcall.RelayResponse{Status: 200, ServiceTime: 10 * time.Millisecond}
}

// fakeTransport relays calls to the fake targets at its addresses.
type fakeTransport map[string]*fakeTarget

func (t fakeTransport) Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest,
) (*hemlockcall.RelayResponse, error) {
	return t[address].Relay(ctx, call)
}

// noopObserver is an observer that does nothing.
type noopObserver struct{}

func (noopObserver) Answered(Side, *hemlockcall.RelayRequest, *hemlockcall.RelayResponse, time.Duration) {
}
func (noopObserver) Refused(Side, *hemlockcall.RelayRequest, *hemlockcall.Refusal, time.Duration) {}
func (noopObserver) Retried(*hemlockcall.RelayRequest, string, *hemlockcall.Refusal, int)         {}

func newCall() *hemlockcall.RelayRequest {
	return &hemlockcall.RelayRequest{ID: "r", Service: "s", CallingService: "o", Method: "GET", Path: "/", Class: "c",
		Remaining: time.Second, Priority: hemlockcall.Important, Idempotent: true, Fingerprint: 1}
}

func newTestGate(target hemlockcall.Relayer, slots int) *Gate {
	g := NewGate(target, hemlocksuspect.New("self"), noopObserver{})
	g.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: slots, Ready: true})
	return g
}

// newTestEntry returns an entry whose service has a target at each address of the transport.
func newTestEntry(transport fakeTransport) *Entry {
	selector := hemlockselection.New("a", func(int) int { return 0 })
	var targets []hemlockcall.Target
	for address := range transport {
		targets = append(targets, hemlockcall.Target{Address: address, Zone: "a", Service: "s", Slots: 10, Ready: true})
	}
	selector.Replace(targets)
	budget := hemlockretry.NewServiceRetryBudget(
		hemlockretry.ServiceRetryLimit{Ratio: 0.2, Slack: 100, Window: time.Second})
	for range 300 { // gives the service enough retry budget for all attempts of one call
		budget.RecordFirstAttempt(time.Now(), "s")
	}
	return NewEntry("self", newTestGate(&fakeTarget{}, 1), transport, selector, budget, noopObserver{})
}

// wantRefusal checks that the error is a refusal with the given verdict and reason.
func wantRefusal(t *testing.T, err error, verdict hemlockcall.Verdict, reason hemlockcall.Reason) {
	t.Helper()
	if err == nil {
		t.Fatal("the call was not refused")
	}
	if r := hemlockcall.AsRefusal(err); r.Verdict != verdict || r.Reason != reason {
		t.Errorf("refusal %v, want %v: %v", r, verdict, reason)
	}
}
