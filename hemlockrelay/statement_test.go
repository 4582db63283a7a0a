package hemlockrelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockretry"
	"hemlockhollow/hemlockselection"
	"hemlockhollow/hemlocksuspect"
)

var limitedToFive = hemlockcall.RateLimit{Stated: true, PerSecond: 5}

// reportOf returns a report about the instance of newTestGate.
func reportOf(limit hemlockcall.RateLimit, leaving bool) hemlockcall.TargetReport {
	return hemlockcall.TargetReport{Instance: "i", RateLimit: limit, Leaving: leaving}
}

func wantReport(t *testing.T, got, want hemlockcall.TargetReport) {
	t.Helper()
	if got != want {
		t.Errorf("report %+v, want %+v", got, want)
	}
}

// Guards against a restarted node that does not know the statements of its target, or that believes outdated ones.
func TestGateLearnsStatementsFromEntries(t *testing.T) {
	otherLimit := hemlockcall.RateLimit{Stated: true, PerSecond: 9}
	for _, c := range []struct {
		name   string
		before func(g *Gate)
		known  hemlockcall.TargetReport
		want   hemlockcall.TargetReport
	}{
		{"a rate limit", func(*Gate) {}, reportOf(limitedToFive, false), reportOf(limitedToFive, false)},
		{"that the target is leaving", func(*Gate) {}, reportOf(hemlockcall.RateLimit{}, true),
			reportOf(hemlockcall.RateLimit{}, true)},
		{"no rate limit after the target has responded", func(g *Gate) {
			g.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{RateLimit: otherLimit})
		}, reportOf(limitedToFive, false), reportOf(otherLimit, false)},
		{"no rate limit after the target has revoked it", func(g *Gate) {
			g.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{})
		}, reportOf(limitedToFive, false), reportOf(hemlockcall.RateLimit{}, false)},
		{"a rate limit after a response that says nothing about it", func(g *Gate) {
			g.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{KeepsRateLimit: true})
		}, reportOf(limitedToFive, false), reportOf(limitedToFive, false)},
		{"nothing about another instance", func(*Gate) {},
			hemlockcall.TargetReport{Instance: "previous", RateLimit: limitedToFive, Leaving: true},
			reportOf(hemlockcall.RateLimit{}, false)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGate(&fakeTarget{}, 5)
				c.before(g)
				call := newCall().WithTargetReport(c.known)
				_, err := g.Relay(t.Context(), call)
				if (err == nil) == c.want.Leaving {
					t.Errorf("error %v, want one only if the target is leaving", err)
				}
				wantReport(t, g.reportFor(call), c.want)
			})
		})
	}
	// Guards against a target that is unused because its previous process, with the same instance, was leaving.
	t.Run("nothing about a previous process with the same instance", func(t *testing.T) {
		g := newTestGate(&fakeTarget{}, 5)
		g.SetState(time.Now(), TargetState{Service: "s", Instance: "i", StartTime: 7, Slots: 5, Ready: true})
		known := reportOf(limitedToFive, true)
		known.StartTime = 6
		if _, err := g.Relay(t.Context(), newCall().WithTargetReport(known)); err != nil {
			t.Errorf("error %v, want a response", err)
		}
	})
}

// limitedTarget is a target behind a gate that can be replaced, as by a restart of its node. Its responses state a rate limit.
type limitedTarget struct {
	gate  atomic.Pointer[Gate]
	limit hemlockcall.RateLimit

	mutex    sync.Mutex
	arrivals []time.Time
}

func newLimitedTarget(limit hemlockcall.RateLimit) *limitedTarget {
	l := &limitedTarget{limit: limit}
	l.restartNode()
	return l
}

func (l *limitedTarget) restartNode() {
	target := &fakeTarget{}
	gate := NewGate(target, hemlocksuspect.New("self"), noopObserver{})
	target.respond = func(context.Context, int, *hemlockcall.RelayRequest) (*hemlockcall.RelayResponse, error) {
		l.mutex.Lock()
		l.arrivals = append(l.arrivals, time.Now())
		l.mutex.Unlock()
		time.Sleep(200 * time.Millisecond)
		gate.RecordStatement(time.Now(), "i", hemlockcall.TargetStatement{RateLimit: l.limit})
		return okResponse(), nil
	}
	gate.SetState(time.Now(), TargetState{Service: "s", Instance: "i", Slots: 24, Ready: true})
	l.gate.Store(gate)
}

// limitedFleet is a service with limited targets that is called by many entries.
type limitedFleet struct {
	targets map[string]*limitedTarget
	entries []*Entry
	// refused counts the attempts that gates refused.
	refused atomic.Int64
}

// Relay implements PeerTransport.
func (f *limitedFleet) Relay(ctx context.Context, address string, call *hemlockcall.RelayRequest,
) (*hemlockcall.RelayResponse, error) {
	time.Sleep(time.Millisecond)
	response, err := f.targets[address].gate.Load().Relay(ctx, call)
	if err != nil {
		f.refused.Add(1)
	}
	return response, err
}

// newLimitedFleet returns a fleet with one target for each of the limits.
func newLimitedFleet(entries int, limits []hemlockcall.RateLimit) *limitedFleet {
	f := &limitedFleet{targets: map[string]*limitedTarget{}}
	var listed []hemlockcall.Target
	for i, limit := range limits {
		address := fmt.Sprint("target-", i)
		f.targets[address] = newLimitedTarget(limit)
		listed = append(listed, hemlockcall.Target{Address: address, Zone: "a", Service: "s", Slots: 24, Ready: true})
	}
	for i := range entries {
		selector := hemlockselection.New("a", rand.New(rand.NewPCG(1, uint64(i))).IntN)
		selector.Replace(listed)
		budget := hemlockretry.NewServiceRetryBudget(hemlockretry.ServiceRetryLimit{Ratio: 0.2, Slack: 100, Window: time.Second})
		f.entries = append(f.entries, NewEntry("self", newTestGate(&fakeTarget{}, 1), f, selector, budget, noopObserver{}))
	}
	return f
}

// send offers calls to the entries in turn, and returns how many were answered.
func (f *limitedFleet) send(t *testing.T, perSecond int, length time.Duration) int {
	var answered atomic.Int64
	for i := range int(length.Seconds() * float64(perSecond)) {
		go func() {
			if _, err := f.entries[i%len(f.entries)].Relay(t.Context(), newCall(), 2); err == nil {
				answered.Add(1)
			}
		}()
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	time.Sleep(2 * time.Second)
	return int(answered.Load())
}

// maxArrivals returns the largest number of arrivals at one target in any 4 s after since.
func (f *limitedFleet) maxArrivals(since time.Time) int {
	most := 0
	for _, l := range f.targets {
		for i, first := range l.arrivals {
			count := 0
			for _, at := range l.arrivals[i:] {
				if at.Sub(first) < 4*time.Second {
					count++
				}
			}
			if !first.Before(since) {
				most = max(most, count)
			}
		}
	}
	return most
}

// Guards against a limit far below one call a second for each entry that is exceeded, or left unused, because the entries do
// not share it; also while the nodes beside the targets restart.
func TestRateLimitFarBelowTheNumberOfEntries(t *testing.T) {
	const entries, targets, perSecond = 195, 6, 4
	for _, c := range []struct {
		name    string
		restart bool
	}{{"steady", false}, {"with restarts", true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitedFleet(entries, slices.Repeat([]hemlockcall.RateLimit{{Stated: true, PerSecond: perSecond}}, targets))
				f.send(t, 100, 4*time.Second)
				since := time.Now()
				var answered int
				for range 3 {
					if c.restart {
						for _, l := range f.targets {
							l.restartNode()
						}
					}
					answered += f.send(t, 100, 4*time.Second)
				}
				if got, most := f.maxArrivals(since), perSecond*4*3/2+5; got > most {
					t.Errorf("%d calls in 4 s at a target with a limit of %d per second, want at most %d", got, perSecond, most)
				}
				// In 3 x 4 s, the targets accept 288 calls.
				if answered < 250 {
					t.Errorf("%d calls answered, want at least 250", answered)
				}
			})
		})
	}
}

// Guards against calls that are refused, or wait, at limited targets while others are idle, in a deployment in which each entry
// has a call for a given target every few seconds and so knows no recent load.
func TestCallsAvoidLimitedTargetsWhileOthersAreIdle(t *testing.T) {
	const entries, calls, perSecond = 195, 1200, 100
	limits := append(slices.Repeat([]hemlockcall.RateLimit{{Stated: true, PerSecond: 1}}, 12), make([]hemlockcall.RateLimit, 6)...)
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(entries, limits)
		f.send(t, perSecond, 20*time.Second) // entries learn the limits
		before := f.refused.Load()
		answered := f.send(t, perSecond, calls/perSecond*time.Second)
		if answered != calls {
			t.Errorf("%d of %d calls answered, want all", answered, calls)
		}
		if refused := f.refused.Load() - before; refused > calls/20 {
			t.Errorf("%d attempts of %d calls refused by limited targets, want at most one in 20 calls", refused, calls)
		}
	})
}
