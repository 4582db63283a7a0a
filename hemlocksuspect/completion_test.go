package hemlocksuspect

import (
	"testing"
	"time"
)

// Guards against a refusal of harmless requests that many callers send and that are therefore in flight at every crash.
func TestRecentCompletions(t *testing.T) {
	start := time.Unix(1000, 0)
	crashTarget := func(table *Table, fingerprint uint64, now time.Time) {
		execution := table.Started(fingerprint)
		table.Finished(now, execution, false)
		table.TargetCrashed(now)
	}
	t.Run("a request that completed recently is not a suspect", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		for i := range 3 {
			crashTarget(table, 1, start.Add(time.Duration(i)*time.Second))
		}
		if decision := table.Check(start.Add(3*time.Second), 1); decision != Run {
			t.Errorf("decision %v, want Run", decision)
		}
	})
	t.Run("a request that never completed is refused", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		crashTarget(table, 2, start)
		crashTarget(table, 2, start)
		if decision := table.Check(start, 2); decision != Refuse {
			t.Errorf("decision %v, want Refuse", decision)
		}
	})
	t.Run("a request that completed too long ago is refused", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		later := start.Add(2 * time.Minute)
		crashTarget(table, 1, later)
		crashTarget(table, 1, later)
		if decision := table.Check(later, 1); decision != Refuse {
			t.Errorf("decision %v, want Refuse", decision)
		}
	})
}
