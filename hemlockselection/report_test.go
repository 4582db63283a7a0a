package hemlockselection

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockcall"
)

// reporting returns a completed result with a report of the target's process.
func reporting(report hemlockcall.TargetReport) Result {
	r := completed(20*time.Millisecond, 0)
	r.Feedback.Target = report
	return r
}

// Guards against calls that go to limited targets as often as to others, and against limited targets that never get a call, so
// that nobody learns that a limit was revoked.
func TestPickByRateLimitWithoutRecentFeedback(t *testing.T) {
	selector := newSelector(target("free", "a"), target("limited", "a"))
	// A target with 10 slots and a service time of 20 ms could run 500 calls a second.
	limited := hemlockcall.TargetReport{Instance: "i", RateLimit: hemlockcall.RateLimit{Stated: true, PerSecond: 50}}
	counts := map[string]int{}
	now := start
	for range 2000 {
		now = now.Add(2 * maxFeedbackAge)
		chosen, err := selector.Pick(now, "s", "c", nil)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.Address]++
		result := completed(20*time.Millisecond, 0)
		if chosen.Address == "limited" {
			result = reporting(limited)
		}
		selector.Done(now, chosen.Address, "c", result)
	}
	if counts["limited"] < 50 || counts["limited"] > 250 {
		t.Errorf("%d of 2000 calls to the target with a tenth of its capacity left, want 50 to 250", counts["limited"])
	}
}

// Guards against reports that are forgotten while the node beside the target is restarted, or that fill the memory.
func TestReportsOfUnlistedTargets(t *testing.T) {
	leaving := hemlockcall.TargetReport{Instance: "i", Leaving: true}
	selector := newSelector(target("1", "a"))
	selector.Done(start, "1", "c", reporting(leaving))
	if _, err := selector.Pick(start, "s", "c", nil); err == nil {
		t.Error("a leaving target was picked, want none")
	}
	selector.Replace(nil)
	if got := selector.Report("1"); got != leaving {
		t.Errorf("report %+v of an unlisted target, want %+v", got, leaving)
	}
	restarted := target("1", "a")
	restarted.Generation = 2
	selector.Replace([]hemlockcall.Target{restarted})
	if got := selector.Report("1"); got != leaving {
		t.Errorf("report %+v after the restart of its node, want %+v", got, leaving)
	}
	selector.Done(start, "1", "c", reporting(hemlockcall.TargetReport{Instance: "next"}))
	if got := selector.Report("1"); got.Instance != "" {
		t.Errorf("report %+v after the next process has stated nothing, want one without content", got)
	}
	for i := range 3 * maxReports {
		selector.Done(start, fmt.Sprint("gone-", i), "c", reporting(leaving))
	}
	selector.Replace([]hemlockcall.Target{restarted})
	if n := len(selector.reports); n > maxReports {
		t.Errorf("%d reports of unlisted targets, want at most %d", n, maxReports)
	}
}
