package hemlockrelay

import (
	"testing"
	"time"

	"hemlockhollow/hemlockselection"
)

// Guards against a healthy target that counts as slow because its hedge attempt was cancelled as soon as the first one had a response.
func TestCancelledHedgeSaysNothingAboutItsTarget(t *testing.T) {
	l := newLatencies()
	for range 2 * minHedgeSamples {
		l.add("c", 10*time.Millisecond)
	}
	delay, ok := l.hedgeDelay("c")
	if !ok {
		t.Fatal("calls of the class are not hedged")
	}
	for took, want := range map[time.Duration]hemlockselection.Outcome{
		0: hemlockselection.Cancelled, delay - 1: hemlockselection.Cancelled, delay: hemlockselection.TimedOut,
		3 * delay: hemlockselection.TimedOut,
	} {
		if got := l.outcomeOfLoser("c", took); got != want {
			t.Errorf("an attempt that took %v of %v counts as %v, want %v", took, delay, got, want)
		}
	}
}
