package hemlockadmission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhollow/hemlockcall"
)

// offerAtFixedRate offers requests of one class at a fixed rate for the given duration. Every run finishes with the given
// result after delay. It returns how many requests were admitted, and a time at which all runs have finished.
func offerAtFixedRate(c *Controller[int], now time.Time, duration, interval, delay time.Duration, result Result) (int, time.Time) {
	type run struct {
		end time.Time
		k   *Ticket[int]
	}
	var runs []run
	admitted := 0
	for stop := now.Add(duration); now.Before(stop); now = now.Add(interval) {
		for len(runs) > 0 && !runs[0].end.After(now) {
			c.Finish(runs[0].end, runs[0].k, Outcome{Result: result, ServiceTime: delay})
			runs = runs[1:]
		}
		attributes := Attributes{Priority: hemlockcall.Important, Remaining: time.Hour, Class: "upload"}
		if k := c.Offer(now, attributes, 0); k.Admitted() {
			admitted++
			runs = append(runs, run{now.Add(delay), k})
		}
	}
	for _, r := range runs {
		c.Finish(r.end, r.k, Outcome{Result: result, ServiceTime: delay})
	}
	return admitted, now.Add(delay)
}

// Guards against work that is wasted on a class whose nested calls are all refused, and against a class that is still
// throttled 5 s after they are accepted again.
func TestPacingFollowsNestedCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(1000, func(*Ticket[int]) {}, disabledByFlag())
		interval := time.Duration(rapid.IntRange(2, 20).Draw(t, "interval")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(1, 800).Draw(t, "delay")) * time.Millisecond
		_, now := offerAtFixedRate(c, start, 10*time.Second, interval, delay, NestedRefused)
		admitted, now := offerAtFixedRate(c, now, 10*time.Second, interval, delay, NestedRefused)
		if limit := int(10*time.Second/probeInterval) + int(0.05*float64(10*time.Second/interval)); admitted > limit {
			t.Fatalf("%d of %d requests ran although their nested calls are refused, want at most 5%% and the probes", admitted, 10*time.Second/interval)
		}
		_, now = offerAtFixedRate(c, now, 5*time.Second, interval, delay, Completed)
		if admitted, _ = offerAtFixedRate(c, now, time.Second, interval, delay, Completed); admitted < int(time.Second/interval) {
			t.Errorf("%d of %d requests ran 5 s after nested calls were accepted again, want all", admitted, time.Second/interval)
		}
	})
}

// Guards against a short request that is refused because of the service time of requests of another class or without a
// class.
func TestServiceTimesAreTrackedPerClass(t *testing.T) {
	c := New(10, func(*Ticket[int]) {})
	for _, name := range []string{"upload", ""} {
		for range 20 {
			k := c.Offer(start, Attributes{Priority: hemlockcall.Important, Remaining: time.Minute, Class: name}, 0)
			c.Finish(start, k, Outcome{Result: Completed, ServiceTime: 10 * time.Second})
		}
	}
	late := c.Offer(start, Attributes{Priority: hemlockcall.Important, Remaining: time.Second, Class: "upload"}, 0)
	if late.Admitted() {
		t.Error("an upload was admitted without enough time to complete, want a refusal")
	}
	for _, name := range []string{"status", ""} {
		attributes := Attributes{Priority: hemlockcall.Important, Remaining: time.Second, Class: name}
		if k := c.Offer(start, attributes, 0); !k.Admitted() {
			t.Errorf("a request of class %q was refused: %v", name, k.Refusal())
		}
	}
}
