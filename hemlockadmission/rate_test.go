package hemlockadmission

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
)

const (
	// rateWindow is the time over which the admissions under a rate limit are counted.
	rateWindow = 4 * time.Second
	// pollInterval is how often RefuseLate is called while requests are queued.
	pollInterval = 20 * time.Millisecond
)

func limitOf(perSecond float64) hemlockcall.RateLimit {
	return hemlockcall.RateLimit{Stated: true, PerSecond: perSecond}
}

// maxAdmissions is how many requests a target with the limit may get in rateWindow.
func maxAdmissions(perSecond float64) float64 {
	return 1.5*rateWindow.Seconds()*perSecond + 5
}

// pacedLoad offers requests to a controller with many slots and records the times of admissions.
type pacedLoad struct {
	controller *Controller[time.Duration]
	now        time.Time
	admitted   []time.Time
}

func newPacedLoad() *pacedLoad {
	l := &pacedLoad{now: start}
	l.controller = New(1000, func(t *Ticket[time.Duration]) {
		if t.Admitted() {
			l.finish(t)
		}
	}, WithoutMechanisms(AdaptiveLimit, SlowStart, PriorityHold))
	return l
}

func (l *pacedLoad) finish(t *Ticket[time.Duration]) {
	l.admitted = append(l.admitted, l.now)
	l.controller.Finish(l.now, t, Outcome{Result: Completed, ServiceTime: time.Millisecond})
}

func (l *pacedLoad) offer(priority hemlockcall.Priority) *Ticket[time.Duration] {
	t := l.controller.Offer(l.now, Attributes{Priority: priority, Remaining: 2 * time.Second}, 0)
	if t.Admitted() && !t.Queued {
		l.finish(t)
	}
	return t
}

// pass lets time pass in steps of pollInterval.
func (l *pacedLoad) pass(d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(min(pollInterval, end.Sub(l.now)))
		l.controller.RefuseLate(l.now)
	}
}

// offerSteadily offers 50 requests a second for 10 s.
func (l *pacedLoad) offerSteadily() {
	for range 500 {
		l.offer(hemlockcall.Important)
		l.pass(20 * time.Millisecond)
	}
}

func wantAdmissions(t *testing.T, l *pacedLoad, least, most int) {
	t.Helper()
	if got := len(l.admitted); got < least || got > most {
		t.Errorf("%d admissions, want %d to %d", got, least, most)
	}
}

// maxInWindow returns the largest number of admissions in any rateWindow after since.
func (l *pacedLoad) maxInWindow(since time.Time) int {
	most, first := 0, 0
	for i, at := range l.admitted {
		if at.Before(since) {
			first = i + 1
			continue
		}
		for at.Sub(l.admitted[first]) >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more admissions than a target has stated, whatever its limit and the pattern of arrivals.
func TestAdmissionsKeepToRateLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newPacedLoad()
		perSecond := rapid.SampledFrom([]float64{0, 0.1, 0.7, 1, 4, 13.5, 70, 400}).Draw(t, "limit")
		for range rapid.IntRange(0, 50).Draw(t, "before") {
			l.offer(hemlockcall.Important)
		}
		l.controller.SetRateLimit(l.now, limitOf(perSecond))
		limitedSince := l.now
		for range rapid.IntRange(1, 60).Draw(t, "bursts") {
			for range rapid.IntRange(0, 200).Draw(t, "burst") {
				l.offer(hemlockcall.Priority(rapid.IntRange(0, hemlockcall.PriorityCount-1).Draw(t, "priority")))
			}
			l.pass(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
		}
		if got := l.maxInWindow(limitedSince.Add(time.Nanosecond)); float64(got) > maxAdmissions(perSecond) {
			t.Fatalf("%d admissions in %v under a limit of %v per second, want at most %v", got, rateWindow, perSecond,
				maxAdmissions(perSecond))
		}
	})
}

// Guards against admissions that are counted twice because a request read the clock before another one.
func TestRateLimitHoldsForClockReadingsOutOfOrder(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(10))
	for range 500 {
		l.now = l.now.Add(-30 * time.Millisecond)
		l.offer(hemlockcall.Important)
		l.pass(50 * time.Millisecond)
	}
	wantAdmissions(t, l, 0, 105)
}

// Guards against a limited target that is left idle although requests are there.
func TestRateLimitIsUsedInFull(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(10))
	l.offerSteadily()
	wantAdmissions(t, l, 95, 105)
}

// Guards against a limit of 0 that can never be revoked, because the target gets no request to respond to.
func TestRateLimitOfZeroAdmitsSingleRequests(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(0))
	l.offerSteadily()
	wantAdmissions(t, l, 4, 6)
}

// Guards against sheddable requests that take the few admissions of a limited target from critical ones.
func TestRateLimitAdmitsMostImportantFirst(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(4))
	waiting := l.offer(hemlockcall.Sheddable)
	urgent := l.offer(hemlockcall.Critical)
	if waiting.Refusal() == nil || waiting.Refusal().Verdict != hemlockcall.VerdictNotRun {
		t.Errorf("refusal %v of the displaced request, want one with the verdict not-run", waiting.Refusal())
	}
	l.pass(300 * time.Millisecond)
	if !urgent.Admitted() {
		t.Error("the critical request was not admitted within 300 ms under a limit of 4 per second")
	}
}

// Guards against a request that waits for a limited target, until it is late, although the target admits none in time.
func TestRateLimitRefusesWhatWouldWaitTooLong(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(0.5))
	refused := l.offer(hemlockcall.Critical)
	if refusal := refused.Refusal(); refusal == nil || refusal.Verdict != hemlockcall.VerdictNotRun {
		t.Errorf("refusal %v of a request that would wait 2 s, want one with the verdict not-run", refusal)
	}
}

// Guards against requests that wait for seconds in the queue of a limited target while other targets are free.
func TestRateLimitShortensQueue(t *testing.T) {
	l := newPacedLoad()
	for range 1100 {
		l.controller.Offer(l.now, Attributes{Remaining: 2 * time.Second}, 0)
	}
	l.controller.SetRateLimit(l.now, limitOf(20))
	if queued := l.controller.Snapshot(l.now).Queued; queued > 5 {
		t.Errorf("%d requests wait under a limit of 20 per second, want at most 5", queued)
	}
}

func TestRateLimitEndsWhenTargetStatesNone(t *testing.T) {
	l := newPacedLoad()
	l.controller.SetRateLimit(l.now, limitOf(1))
	l.pass(800 * time.Millisecond)
	if waiting := l.offer(hemlockcall.Important); !waiting.Queued || waiting.Admitted() {
		t.Error("the request does not wait, want it queued until the limit allows it")
	}
	l.controller.SetRateLimit(l.now, hemlockcall.RateLimit{})
	for range 50 {
		l.offer(hemlockcall.Important)
	}
	wantAdmissions(t, l, 51, 51)
}

// Guards against a limit beyond the range of int, which made the queue limit negative and a call panic with the lock held.
func TestRateLimitBeyondTheRangeOfInt(t *testing.T) {
	now := time.Unix(100, 0)
	for _, perSecond := range []float64{3.7e19, 1e300, math.MaxFloat64} {
		r := rateLimiter{}
		r.set(now, hemlockcall.RateLimit{Stated: true, PerSecond: perSecond})
		if queued, limited := r.maxQueued(now.Add(time.Second)); !limited || queued < 1 || queued > math.MaxInt32 {
			t.Errorf("queue limit %d under a rate limit of %v, want one within the range of int32", queued, perSecond)
		}
	}
}

// Guards against a call that panics and leaves the lock held, so that all later calls hang.
func TestPanicReleasesTheLock(t *testing.T) {
	c := New(1, func(*Ticket[int]) {})
	c.classes = nil // makes Offer panic
	if hemlockcall.RecoverPanic(func() { c.Offer(time.Now(), Attributes{Remaining: time.Second, Class: "c"}, 1) }) == nil {
		t.Fatal("the offer did not panic")
	}
	if !c.mutex.TryLock() {
		t.Error("the lock is held after a panic")
	}
}
