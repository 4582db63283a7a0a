package hemlockrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
)

// reporting returns a target whose responses report a load and the demands of the called class.
func reporting(load int, demands ...hemlockcall.CallDemand) *fakeTarget {
	return &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		response := okResponse()
		response.Feedback = hemlockcall.Feedback{InFlight: load, Limit: 10, Demands: demands, DemandRuns: 1}
		return response, nil
	}}
}

// newEntryBesideAFullService returns an entry that knows two services: s with the target at address a, and full, which reports that four
// times as many calls are queued as run.
func newEntryBesideAFullService(target *fakeTarget) *Entry {
	e := newTestEntry(fakeTransport{"a": target, "b": reporting(50)})
	e.selector.Replace([]hemlockcall.Target{{Address: "a", Zone: "a", Service: "s", Slots: 10, Ready: true},
		{Address: "b", Zone: "a", Service: "full", Slots: 10, Ready: true}})
	return e
}

// servedFraction sends calls for 10 s, one in each interval, while other calls keep reporting the load of the full service, and returns the
// fraction of those of the last 5 s that are served.
func servedFraction(t *testing.T, e *Entry, call *hemlockcall.RelayRequest, interval time.Duration) float64 {
	t.Helper()
	served, sent := 0, 0
	started := time.Now()
	for number := 0; time.Since(started) < 10*time.Second; number++ {
		time.Sleep(10 * time.Millisecond)
		_, _ = e.Relay(t.Context(), &hemlockcall.RelayRequest{ID: "f", Service: "full", Class: "direct", Remaining: time.Second,
			Priority: hemlockcall.Important, Idempotent: true}, 1)
		e.ObserveLoads(time.Now())
		if number%int(interval/(10*time.Millisecond)) != 0 {
			continue
		}
		_, err := e.Relay(t.Context(), call, 1)
		if time.Since(started) < 5*time.Second {
			continue
		}
		if sent++; err == nil {
			served++
		}
	}
	return float64(served) / float64(sent)
}

// Guards against requests on an added route that are refused because a service is full that they do not call, before anything is known of
// the route and afterwards.
func TestRequestsOnAnAddedRouteAreServedBesideAFullService(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority hemlockcall.Priority
		interval time.Duration
		demands  []hemlockcall.CallDemand
	}{
		{"critical, rare", hemlockcall.Critical, 500 * time.Millisecond, nil},
		{"sheddable, rare", hemlockcall.Sheddable, 500 * time.Millisecond, nil},
		{"critical, frequent", hemlockcall.Critical, 20 * time.Millisecond, []hemlockcall.CallDemand{{Service: "s", Calls: 1}}},
		{"sheddable, frequent", hemlockcall.Sheddable, 20 * time.Millisecond, []hemlockcall.CallDemand{{Service: "s", Calls: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := newCall()
				call.Class, call.Priority, call.ClassAddedIn = "added", c.priority, 7
				if got := servedFraction(t, newEntryBesideAFullService(reporting(1, c.demands...)), call, c.interval); got < 0.95 {
					t.Errorf("fraction served %.2f, want nearly all", got)
				}
			})
		})
	}
}

// Guards against call trees that are started although a service that they call through others is full: their work is wasted, and that
// service has no slots for the calls of others.
func TestTreesThatNeedAFullServiceAreRefusedAtAnyPriority(t *testing.T) {
	demands := []hemlockcall.CallDemand{{Service: "s", Calls: 1}, {Service: "full", Calls: 4}}
	for p := range hemlockcall.Priority(hemlockcall.PriorityCount) {
		t.Run(p.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := newCall()
				call.Priority = p
				if got := servedFraction(t, newEntryBesideAFullService(reporting(1, demands...)), call, 20*time.Millisecond); got > 0.1 {
					t.Errorf("fraction started %.2f, want at most 0.1", got)
				}
			})
		})
	}
}
