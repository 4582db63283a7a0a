package hemlockrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
)

// besideAFullService returns a target that reports the load of another service, of which four times as many calls are queued as run. It
// responds with the status.
func besideAFullService(status int) *fakeTarget {
	return &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		response := okResponse()
		response.Status = status
		response.Feedback = hemlockcall.Feedback{InFlight: 1, Limit: 10, Loads: []hemlockcall.ServiceLoad{{Service: "full", Load: 5}}}
		return response, nil
	}}
}

// startedFraction sends calls for 10 s, one in each interval, beside a hundred sheddable calls per second, and returns the fraction of
// those of the last 5 s that reach the target.
func startedFraction(t *testing.T, status int, call *hemlockcall.RelayRequest, interval time.Duration) float64 {
	t.Helper()
	const backgroundInterval = 10 * time.Millisecond
	e := newTestEntry(fakeTransport{"a": besideAFullService(status)})
	background := newCall()
	background.Class, background.Priority = "browse", hemlockcall.Sheddable
	started, sent := 0, 0
	begin := time.Now()
	for number := 0; time.Since(begin) < 10*time.Second; number++ {
		time.Sleep(backgroundInterval)
		_, _ = e.Relay(t.Context(), background, 1)
		e.ObserveLoads(time.Now())
		if number%int(interval/backgroundInterval) != 0 {
			continue
		}
		_, err := e.Relay(t.Context(), call, 1)
		if time.Since(begin) < 5*time.Second {
			continue
		}
		if sent++; err == nil {
			started++
		}
	}
	return float64(started) / float64(sent)
}

// Guards against requests on an added route that are refused because a service is full that they do not call.
func TestRequestsOnAnAddedRouteAreServedBesideAFullService(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority hemlockcall.Priority
		interval time.Duration
	}{
		{"critical and rare", hemlockcall.Critical, 500 * time.Millisecond},
		{"sheddable and rare", hemlockcall.Sheddable, 500 * time.Millisecond},
		{"critical and frequent", hemlockcall.Critical, 20 * time.Millisecond},
		{"sheddable and frequent", hemlockcall.Sheddable, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := newCall()
				call.Class, call.Priority, call.ClassAddedIn = "added", c.priority, 7
				if got := startedFraction(t, 200, call, c.interval); got < 0.95 {
					t.Errorf("fraction served %.2f, want nearly all", got)
				}
			})
		})
	}
}

// Guards against call trees that are started although a service that they call through others is full: they fail, and that service has no
// slots for the calls of others.
func TestTreesThatNeedAFullServiceAreRefusedAtAnyPriority(t *testing.T) {
	for p := range hemlockcall.Priority(hemlockcall.PriorityCount) {
		t.Run(p.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				call := newCall().WithOrganisation("o", 1)
				call.Priority = p
				if got := startedFraction(t, 500, call, 20*time.Millisecond); got > 0.1 {
					t.Errorf("fraction started %.2f, want at most 0.1", got)
				}
			})
		})
	}
}

// Guards against requests that are refused at a service that works, because those of their route to another one fail: the other part of a
// weighted split, or the service that the route led to before a change of the configuration.
func TestFailuresAtAnotherServiceOfTheRouteDoNotCount(t *testing.T) {
	const rounds = 100
	failing := &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		response := okResponse()
		response.Status = 500
		return response, nil
	}}
	for _, c := range []struct {
		name string
		// failingCalls are sent before each sound one, and moved is set if all of them are sent before.
		failingCalls int
		moved        bool
	}{{"two thirds of a split", 2, false}, {"moved", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(fakeTransport{"a": failing, "b": {}})
				e.selector.Replace([]hemlockcall.Target{{Address: "a", Zone: "a", Service: "failing", Slots: 10, Ready: true},
					{Address: "b", Zone: "a", Service: "sound", Slots: 10, Ready: true}})
				send := func(service string) error {
					time.Sleep(10 * time.Millisecond)
					call := newCall()
					call.Priority, call.Service = hemlockcall.Critical, service
					_, err := e.Relay(t.Context(), call, 1)
					return err
				}
				for range rounds {
					for range c.failingCalls {
						_ = send("failing")
					}
					if !c.moved && send("sound") != nil {
						t.Fatal("a request to the sound service was refused")
					}
				}
				for range rounds {
					if err := send("sound"); err != nil {
						t.Fatalf("a request to the sound service was refused: %v", err)
					}
				}
			})
		})
	}
}
