package hemlockdrain

import (
	"cmp"
	"testing"
	"time"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against work that a stopping process begins too late to complete it.
func TestMayBegin(t *testing.T) {
	for name, c := range map[string]struct {
		now   float64
		grace time.Duration
		work  Work
		want  bool
	}{
		"at the start":                       {now: 0, want: true},
		"before the last begin":              {now: 2.9, work: Work{Expected: 2 * time.Second}, want: true},
		"at the last begin":                  {now: 3, want: false},
		"long after the last begin":          {now: 5, want: false},
		"too long for the remaining time":    {now: 2, work: Work{Expected: 4 * time.Second}, want: false},
		"a deadline behind the end, early":   {now: 2.9, grace: 10 * time.Second, work: Work{Remaining: 8 * time.Second}, want: true},
		"a deadline behind the end":          {now: 3.1, grace: 10 * time.Second, work: Work{Remaining: 6600 * time.Millisecond}},
		"no deadline":                        {now: 3.1, grace: 10 * time.Second},
		"a deadline at the end":              {now: 3.1, grace: 10 * time.Second, work: Work{Remaining: 6500 * time.Millisecond}},
		"a deadline before the end":          {now: 3.1, grace: 10 * time.Second, work: Work{Remaining: 6400 * time.Millisecond}, want: true},
		"after the last begin, with time":    {now: 5.1, grace: 10 * time.Second, work: Work{Remaining: time.Second}},
		"just short enough for what remains": {now: 2, work: Work{Expected: 3600 * time.Millisecond}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			schedule := NewSchedule(at(0), cmp.Or(c.grace, 6*time.Second), WithMargin(400*time.Millisecond))
			if got := schedule.MayBegin(at(c.now), c.work); got != c.want {
				t.Errorf("may begin: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a last begin that is after the end of the process, or before the time for which callers are told to go elsewhere.
func TestLastBegin(t *testing.T) {
	for name, c := range map[string]struct {
		options []Option
		want    float64
	}{
		"half of the grace time":        {want: 3},
		"a longer time for callers":     {options: []Option{WithEarliestLastBegin(4 * time.Second)}, want: 4},
		"never after the end":           {options: []Option{WithMargin(time.Second), WithEarliestLastBegin(time.Minute)}, want: 5},
		"a shorter time changes it not": {options: []Option{WithEarliestLastBegin(time.Second)}, want: 3},
	} {
		t.Run(name, func(t *testing.T) {
			if got := NewSchedule(at(0), 6*time.Second, c.options...).LastBegin(); !got.Equal(at(c.want)) {
				t.Errorf("last begin %v after the start, want %v s", got.Sub(at(0)), c.want)
			}
		})
	}
}

func TestDrain(t *testing.T) {
	d := New()
	if !d.MayBegin(at(100), Work{Expected: time.Hour}) {
		t.Error("a process that is not stopping must begin all work")
	}
	d.Start(NewSchedule(at(0), 6*time.Second))
	d.Start(NewSchedule(at(50), 6*time.Second))
	if d.MayBegin(at(51), Work{}) {
		t.Error("the first schedule must hold")
	}
	select {
	case <-d.Closed():
		t.Error("closed before Close")
	default:
	}
	called := make(chan struct{})
	d.OnClose(func() { close(called) })
	cancelled := d.OnClose(func() { t.Error("called although it was cancelled") })
	if !cancelled() {
		t.Error("could not be cancelled before Close")
	}
	d.Close()
	d.Close()
	<-d.Closed()
	<-called
}

// Guards against work whose deadline lies behind the end of the process, and against a process that is not stopping and shortens
// deadlines.
func TestLimit(t *testing.T) {
	d := New()
	if got := d.Limit(at(0), time.Hour); got != time.Hour {
		t.Errorf("%v remain in a process that is not stopping, want 1h", got)
	}
	d.Start(NewSchedule(at(0), 6*time.Second))
	for remaining, want := range map[time.Duration]time.Duration{time.Second: time.Second, time.Minute: 4 * time.Second} {
		if got := d.Limit(at(2), remaining); got != want {
			t.Errorf("%v of %v remain 4 s before the end, want %v", got, remaining, want)
		}
	}
}
