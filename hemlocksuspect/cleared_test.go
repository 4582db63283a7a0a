package hemlocksuspect

import (
	"testing"
	"time"
)

// Guards against a harmless request that many callers send, and that is refused everywhere for ten minutes because it was in flight at
// two crashes beside a node that had just been restarted: that node does not remember that the request completes.
func TestCompletionClearsTheCrashesOfARestartedNode(t *testing.T) {
	const fingerprint = 7
	now := time.Unix(1_000_000, 0)
	other, restarted, third := New("other", WithRecentCompletions(time.Minute)), New("restarted", WithRecentCompletions(time.Minute)),
		New("third", WithRecentCompletions(time.Minute))
	other.Finished(now, other.Started(fingerprint), true)
	for range 2 {
		now = now.Add(time.Second)
		restarted.Started(fingerprint)
		records := restarted.TargetCrashed(now)
		other.Merge(now, records)
		third.Merge(now, records)
	}
	if decision := third.Check(now, fingerprint); decision != Refuse {
		t.Fatalf("decision %v after two crashes, want Refuse", decision)
	}
	now = now.Add(time.Second)
	if decision := other.Check(now, fingerprint); decision != Run {
		t.Fatalf("decision %v where the request has completed, want Run", decision)
	}
	cleared := other.Finished(now, other.Started(fingerprint), true)
	for name, table := range map[string]*Table{"the restarted node": restarted, "a third node": third} {
		table.Merge(now, cleared)
		if decision := table.Check(now, fingerprint); decision != Run {
			t.Errorf("decision %v at %s after the request has completed elsewhere, want Run", decision, name)
		}
	}
}
