package hemlockrelay

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlocksuspect"
)

func TestGate(t *testing.T) {
	t.Run("never runs more calls than the slots", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			running, maxRunning := 0, 0
			target := &fakeTarget{}
			target.respond = func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
				target.mutex.Lock()
				running++
				maxRunning = max(maxRunning, running)
				target.mutex.Unlock()
				time.Sleep(10 * time.Millisecond)
				target.mutex.Lock()
				running--
				target.mutex.Unlock()
				return okResponse(), nil
			}
			g := newTestGate(target, 4)
			for range 12 {
				go func() { _, _ = g.Relay(t.Context(), newCall()) }()
			}
			synctest.Wait()
			time.Sleep(time.Second)
			reached := target.count()
			target.mutex.Lock()
			defer target.mutex.Unlock()
			if maxRunning > 4 || reached != 12 {
				t.Errorf("%d calls ran at the same time and %d in all, want at most 4 and 12", maxRunning, reached)
			}
		})
	})
	// Guards against a queued call that reaches a target after the gate acknowledged that the target is leaving.
	t.Run("refuses queued calls when the target leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			target := &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest,
			) (*hemlockcall.RelayResponse, error) {
				time.Sleep(100 * time.Millisecond)
				return okResponse(), nil
			}}
			g := newTestGate(target, 1)
			go func() { _, _ = g.Relay(t.Context(), newCall()) }()
			synctest.Wait()
			ended := make(chan error, 1)
			go func() {
				_, err := g.Relay(t.Context(), newCall())
				ended <- err
			}()
			synctest.Wait()
			state := g.State()
			state.Ready = false
			g.SetState(time.Now(), state)
			wantRefusal(t, <-ended, hemlockcall.VerdictNotRun, hemlockcall.ReasonUnavailable)
			_, err := g.Relay(t.Context(), newCall())
			wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonLeaving)
			time.Sleep(time.Second)
			if target.count() != 1 {
				t.Errorf("%d calls reached the target, want 1", target.count())
			}
		})
	})
	t.Run("refuses the calls of another service", func(t *testing.T) {
		target := &fakeTarget{}
		call := newCall().WithService("other")
		_, err := newTestGate(target, 1).Relay(t.Context(), call)
		wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonUnavailable)
		if target.count() != 0 {
			t.Error("the call of another service reached the target, want it refused")
		}
	})
	t.Run("reports a call that is cancelled in the queue as not run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			target := &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest,
			) (*hemlockcall.RelayResponse, error) {
				time.Sleep(time.Second)
				return okResponse(), nil
			}}
			g := newTestGate(target, 1)
			go func() { _, _ = g.Relay(t.Context(), newCall()) }()
			synctest.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				_, err := g.Relay(ctx, newCall())
				ended <- err
			}()
			synctest.Wait()
			cancel()
			wantRefusal(t, <-ended, hemlockcall.VerdictNotRun, hemlockcall.ReasonCancelled)
			time.Sleep(2 * time.Second)
			if target.count() != 1 {
				t.Errorf("%d calls reached the target, want 1", target.count())
			}
		})
	})
	// Guards against a short lookup that waits behind calls with a longer latency objective at a service without free
	// slots, and against a call of a more important organisation that waits behind either.
	t.Run("runs the call whose latency objective expires first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			started := make(chan string, 4)
			target := &fakeTarget{respond: func(_ context.Context, _ int, call *hemlockcall.RelayRequest,
			) (*hemlockcall.RelayResponse, error) {
				started <- call.ID
				time.Sleep(10 * time.Millisecond)
				return okResponse(), nil
			}}
			g := newTestGate(target, 1)
			send := func(id string, objective time.Duration, organisation string) {
				call := newCall()
				call.ID, call.LatencyObjective, call.Organisation, call.OrganisationRank = id, objective, organisation, 0
				go func() { _, _ = g.Relay(t.Context(), call) }()
				synctest.Wait()
			}
			send("running", 300*time.Millisecond, "")
			send("nested", 300*time.Millisecond, "")
			send("lookup", 100*time.Millisecond, "")
			send("customer", 300*time.Millisecond, "o")
			time.Sleep(time.Second)
			for _, want := range []string{"running", "customer", "lookup", "nested"} {
				if got := <-started; got != want {
					t.Errorf("call %s ran when call %s was due", got, want)
				}
			}
		})
	})
	t.Run("refuses a request that was in flight at two crashes", func(t *testing.T) {
		target := &fakeTarget{respond: func(context.Context, int, *hemlockcall.RelayRequest,
		) (*hemlockcall.RelayResponse, error) {
			return nil, hemlockcall.RefuseUnknown(hemlockcall.ReasonTarget, "reset")
		}}
		g := newTestGate(target, 1)
		for range 2 {
			_, err := g.Relay(t.Context(), newCall())
			wantRefusal(t, err, hemlockcall.VerdictUnknown, hemlockcall.ReasonTarget)
			g.suspects.TargetCrashed(time.Now())
		}
		_, err := g.Relay(t.Context(), newCall())
		wantRefusal(t, err, hemlockcall.VerdictNotRun, hemlockcall.ReasonSuspect)
	})
}

// Guards against a panic during one call that ends the process or leaves the slot in use.
func TestPanicReleasesSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{respond: func(_ context.Context, number int, _ *hemlockcall.RelayRequest,
		) (*hemlockcall.RelayResponse, error) {
			if number <= 3 {
				panic("invalid response")
			}
			return okResponse(), nil
		}}
		g := newTestGate(target, 1)
		for range 3 {
			_, err := g.Relay(t.Context(), newCall())
			if refusal := hemlockcall.AsRefusal(err); refusal.Verdict != hemlockcall.VerdictUnknown ||
				refusal.Reason != hemlockcall.ReasonPanic {
				t.Errorf("refusal %+v, want one after a panic, with an unknown outcome", refusal)
			}
		}
		if _, err := g.Relay(t.Context(), newCall()); err != nil {
			t.Error(err)
		}
	})
}

// Guards against a target that receives calls faster than it stated, and against a limit of a previous instance that slows
// down the next one.
func TestGateKeepsToStatedRateLimit(t *testing.T) {
	const callInterval, calls = 10 * time.Millisecond, 400
	limited := hemlockcall.TargetStatement{RateLimit: hemlockcall.RateLimit{Stated: true, PerSecond: 5}}
	// send offers calls for 4 s and returns how many reached the target.
	send := func(t *testing.T, g *Gate, target *fakeTarget) int {
		t.Helper()
		before := target.count()
		for range calls {
			go func() { _, _ = g.Relay(t.Context(), newCall()) }()
			time.Sleep(callInterval)
		}
		return target.count() - before
	}
	for _, c := range []struct {
		name     string
		change   func(g *Gate)
		min, max int
	}{
		{"while it is stated", func(*Gate) {}, 18, 1.5*4*5 + 5},
		{"after a response that says nothing about it", func(g *Gate) {
			g.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{KeepsRateLimit: true})
		}, 18, 1.5*4*5 + 5},
		{"after a late response of a previous instance", func(g *Gate) {
			g.RecordStatement(time.Now(), "previous", hemlockcall.TargetStatement{})
		}, 18, 1.5*4*5 + 5},
		{"not after it was revoked", func(g *Gate) {
			g.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{})
		}, calls, calls},
		{"not for the next instance", func(g *Gate) {
			g.SetState(time.Now(), TargetState{Service: "s", Instance: "next", Slots: 50, Ready: true})
		}, calls, calls},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &fakeTarget{}
				g := newTestGate(target, 50)
				g.RecordStatement(time.Now(), "i", limited)
				c.change(g)
				if got := send(t, g, target); got < c.min || got > c.max {
					t.Errorf("%d of %d calls reached the target in 4 s, want %d to %d", got, calls, c.min, c.max)
				}
			})
		})
	}
	// Guards against entries that take a target at its rate limit for idle, because few of its slots are in use.
	t.Run("reports its use as load", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			target := &fakeTarget{}
			g := newTestGate(target, 50)
			g.RecordStatement(time.Now(), "i", limited)
			send(t, g, target)
			if f := g.feedback(newCall()); f.Limit != 5 || f.InFlight < 4 {
				t.Errorf("%d of %d in use, want at least 4 of 5", f.InFlight, f.Limit)
			}
		})
	})
}

// Guards against a completed request that other nodes of the zone go on refusing as a suspect.
func TestGateReportsClearedCrashes(t *testing.T) {
	suspects := hemlocksuspect.New("self", hemlocksuspect.WithRecentCompletions(time.Minute))
	suspects.Started(newCall().Fingerprint)
	suspects.TargetCrashed(time.Now())
	var cleared []hemlocksuspect.Record
	g := NewGate(&fakeTarget{}, suspects, noopObserver{}, WithOnCleared(func(records []hemlocksuspect.Record) { cleared = records }))
	g.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: 1, Ready: true})
	if _, err := g.Relay(t.Context(), newCall()); err != nil {
		t.Fatal(err)
	}
	if len(cleared) != 1 || cleared[0].Fingerprint != newCall().Fingerprint || !cleared[0].Cleared {
		t.Errorf("cleared records %+v, want the one of the completed request", cleared)
	}
}
