package hemlocksuspect

import (
	"testing"
	"time"
)

// Guards against a refusal of harmless requests that many callers send and that are therefore in flight at every crash.
func TestRecentCompletions(t *testing.T) {
	start := time.Unix(1000, 0)
	crashed := func(table *Table, fingerprint uint64, now time.Time) {
		flight := table.Started(fingerprint)
		table.Finished(now, flight, false)
		table.TargetCrashed(now)
	}
	t.Run("a request that completed recently is not a suspect", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		for i := range 3 {
			crashed(table, 1, start.Add(time.Duration(i)*time.Second))
		}
		if v := table.Check(start.Add(3*time.Second), 1); v != Run {
			t.Errorf("verdict %v", v)
		}
	})
	t.Run("a request that never completed is refused", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		crashed(table, 2, start)
		crashed(table, 2, start)
		if v := table.Check(start, 2); v != Refuse {
			t.Errorf("verdict %v", v)
		}
	})
	t.Run("a completion is too old", func(t *testing.T) {
		table := New("a", WithRecentCompletions(time.Minute))
		table.Finished(start, table.Started(1), true)
		later := start.Add(2 * time.Minute)
		crashed(table, 1, later)
		crashed(table, 1, later)
		if v := table.Check(later, 1); v != Refuse {
			t.Errorf("verdict %v", v)
		}
	})
}
