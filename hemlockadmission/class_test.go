package hemlockadmission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
)

// pacing offers requests of one class at a fixed rate for some time and returns how many were admitted. Every run ends
// after the delay with the result.
func pacing(c *Controller[int], now time.Time, length, gap, delay time.Duration, result Result) (int, time.Time) {
	type end struct {
		at time.Time
		k  *Ticket[int]
	}
	var ends []end
	admitted := 0
	for stop := now.Add(length); now.Before(stop); now = now.Add(gap) {
		for len(ends) > 0 && !ends[0].at.After(now) {
			c.Finish(ends[0].at, ends[0].k, Outcome{Result: result, ServiceTime: delay})
			ends = ends[1:]
		}
		d := Attributes{Priority: hemlockcall.Important, Remaining: time.Hour, Class: "upload"}
		if k := c.Offer(now, d, 0); k.Admitted() {
			admitted++
			ends = append(ends, end{now.Add(delay), k})
		}
	}
	for _, e := range ends {
		c.Finish(e.at, e.k, Outcome{Result: result, ServiceTime: delay})
	}
	return admitted, now.Add(delay)
}

// Guards against work that is spent on a class whose nested calls are all refused, and against a class that stays shed
// more than 5 s after they are accepted again.
func TestClassFollowsItsNestedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(1000, func(*Ticket[int]) {}, switchedOff())
		gap := time.Duration(rapid.IntRange(2, 20).Draw(t, "gap")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(1, 800).Draw(t, "delay")) * time.Millisecond
		_, now := pacing(c, start, 10*time.Second, gap, delay, NestedRefused)
		admitted, now := pacing(c, now, 10*time.Second, gap, delay, NestedRefused)
		if limit := int(10*time.Second/paceProbe) + int(0.05*float64(10*time.Second/gap)); admitted > limit {
			t.Fatalf("%d of %d requests ran although their nested calls are refused", admitted, 10*time.Second/gap)
		}
		_, now = pacing(c, now, 5*time.Second, gap, delay, Completed)
		if admitted, _ = pacing(c, now, time.Second, gap, delay, Completed); admitted < int(time.Second/gap) {
			t.Errorf("%d of %d requests ran 5 s after nested calls were accepted again", admitted, time.Second/gap)
		}
	})
}

// Guards against a short request that is dropped for the service time of requests of another class, or of none.
func TestServiceTimesOfClassesAreKeptApart(t *testing.T) {
	c := New(10, func(*Ticket[int]) {})
	for _, name := range []string{"upload", ""} {
		for range 20 {
			k := c.Offer(start, Attributes{Priority: hemlockcall.Important, Remaining: time.Minute, Class: name}, 0)
			c.Finish(start, k, Outcome{Result: Completed, ServiceTime: 10 * time.Second})
		}
	}
	late := c.Offer(start, Attributes{Priority: hemlockcall.Important, Remaining: time.Second, Class: "upload"}, 0)
	if late.Admitted() {
		t.Error("an upload began without the time to finish")
	}
	for _, name := range []string{"status", ""} {
		d := Attributes{Priority: hemlockcall.Important, Remaining: time.Second, Class: name}
		if k := c.Offer(start, d, 0); !k.Admitted() {
			t.Errorf("a request of class %q was dropped: %v", name, k.Refusal())
		}
	}
}
