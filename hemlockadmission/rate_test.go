package hemlockadmission

import (
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

func TestRateLimit(t *testing.T) {
	// Guards against admissions that are counted twice because a request read the clock before another one.
	t.Run("holds for clock readings out of order", func(t *testing.T) {
		l := newPacedLoad()
		l.controller.SetRateLimit(l.now, limitOf(10))
		for range 500 {
			l.now = l.now.Add(-30 * time.Millisecond)
			l.offer(hemlockcall.Important)
			l.pass(50 * time.Millisecond)
		}
		if len(l.admitted) > 105 {
			t.Errorf("%d admissions in 10 s under a limit of 10 per second, want at most 105", len(l.admitted))
		}
	})
	// Guards against a limited target that is left idle although requests are there.
	t.Run("is used in full", func(t *testing.T) {
		l := newPacedLoad()
		l.controller.SetRateLimit(l.now, limitOf(10))
		for range 500 {
			l.offer(hemlockcall.Important)
			l.pass(20 * time.Millisecond)
		}
		if len(l.admitted) < 95 || len(l.admitted) > 105 {
			t.Errorf("%d admissions in 10 s under a limit of 10 per second, want 95 to 105", len(l.admitted))
		}
	})
	// Guards against a limit of 0 that can never be revoked, because the target gets no request to respond to.
	t.Run("of 0 lets single requests through", func(t *testing.T) {
		l := newPacedLoad()
		l.controller.SetRateLimit(l.now, limitOf(0))
		for range 500 {
			l.offer(hemlockcall.Important)
			l.pass(20 * time.Millisecond)
		}
		if len(l.admitted) < 4 || len(l.admitted) > 6 {
			t.Errorf("%d admissions in 10 s under a limit of 0, want 4 to 6", len(l.admitted))
		}
	})
	// Guards against sheddable requests that take the few admissions of a limited target from critical ones.
	t.Run("admits the most important of the queued requests", func(t *testing.T) {
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
	})
	// Guards against requests that wait for seconds in the queue of a limited target while other targets are free.
	t.Run("shortens the queue", func(t *testing.T) {
		l := newPacedLoad()
		var queued []*Ticket[time.Duration]
		l.controller.SetRateLimit(l.now, limitOf(20))
		for range 100 {
			queued = append(queued, l.offer(hemlockcall.Important))
		}
		waiting := 0
		for _, q := range queued {
			if q.Refusal() == nil {
				waiting++
			}
		}
		if waiting > 5 {
			t.Errorf("%d requests wait under a limit of 20 per second, want at most 5", waiting)
		}
	})
	t.Run("ends when the target states none", func(t *testing.T) {
		l := newPacedLoad()
		l.controller.SetRateLimit(l.now, limitOf(1))
		l.offer(hemlockcall.Important)
		l.controller.SetRateLimit(l.now, hemlockcall.RateLimit{})
		for range 50 {
			l.offer(hemlockcall.Important)
		}
		if len(l.admitted) != 51 {
			t.Errorf("%d admissions after the limit has ended, want 51", len(l.admitted))
		}
	})
}
