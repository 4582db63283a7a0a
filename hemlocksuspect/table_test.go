package hemlocksuspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func expectDecision(t *testing.T, table *Table, now time.Time, fingerprint uint64, want Decision) {
	t.Helper()
	if got := table.Check(now, fingerprint); got != want {
		t.Fatalf("request %d: decision %d, want %d", fingerprint, got, want)
	}
}

// crashTarget runs a request that crashes the target and returns the records of the crash. The request ends without a
// response a second before the crash is detected.
func crashTarget(table *Table, now time.Time, fingerprint uint64) []Record {
	execution := table.Started(fingerprint)
	table.Finished(now, execution, false)
	return table.TargetCrashed(now.Add(time.Second))
}

func TestDecisions(t *testing.T) {
	t.Run("guards against a request that is not recorded because its connection broke before the crash was detected", func(t *testing.T) {
		table := New("n1")
		crashTarget(table, start, 1)
		expectDecision(t, table, start, 1, RunAlone)
		crashTarget(table, start.Add(time.Minute), 1)
		expectDecision(t, table, start.Add(2*time.Minute), 1, Refuse)
		expectDecision(t, table, start.Add(10*time.Minute+2*time.Second), 1, RunAlone)
		expectDecision(t, table, start.Add(11*time.Minute+2*time.Second), 1, Run)
	})
	t.Run("guards against suspecting requests that ended before the crash", func(t *testing.T) {
		table := New("n1")
		done, broken, delayed := table.Started(1), table.Started(2), table.Started(3)
		table.Finished(start, done, true)
		table.Finished(start, broken, false)
		table.TargetCrashed(start.Add(10 * time.Second))
		table.Started(3)
		table.Finished(start, delayed, false) // a request to the crashed target ends late
		expectDecision(t, table, start.Add(10*time.Second), 1, Run)
		expectDecision(t, table, start.Add(10*time.Second), 2, Run)
		if records := table.TargetCrashed(start.Add(20 * time.Second)); len(records) != 1 {
			t.Fatalf("records of the second crash: %v, want one record", records)
		}
		expectDecision(t, table, start.Add(20*time.Second), 3, Refuse)
	})
	t.Run("guards against a harmless request that remains a suspect, and against a cleared record that is valid again", func(t *testing.T) {
		a, b := New("a"), New("b")
		records := crashTarget(a, start, 1)
		b.Merge(start, records)
		expectDecision(t, b, start, 1, RunAlone)
		cleared := b.Finished(start, b.Started(1), true)
		expectDecision(t, b, start, 1, Run)
		b.Merge(start, records)
		a.Merge(start, cleared)
		expectDecision(t, b, start, 1, Run)
		expectDecision(t, a, start, 1, Run)
	})
	t.Run("guards against expired records that other nodes return as new", func(t *testing.T) {
		a, b := New("a"), New("b")
		b.Merge(start.Add(2*time.Second), crashTarget(a, start, 1)) // the message took a second to arrive
		late := start.Add(10*time.Minute + 1500*time.Millisecond)
		a.Check(late, 1)
		if sent := b.Records(late, 10); len(sent) != 1 {
			t.Fatalf("the other node sent %v, want the one record that has not expired there", sent)
		}
		if added := a.Merge(late, b.Records(late, 10)); len(added) != 0 {
			t.Fatalf("added %v, want none, as the record has expired", added)
		}
	})
	t.Run("guards against unlimited tables, and against evicting the records of refused requests first", func(t *testing.T) {
		table := New("a", WithMaxRecords(100))
		crashTarget(table, start, 1)
		crashTarget(table, start.Add(time.Second), 1)
		for i := range uint64(1000) {
			crashTarget(table, start.Add(time.Duration(i)*time.Millisecond+2*time.Second), 10+i)
		}
		if count, evicted := table.Counts(); count > 100 || evicted == 0 || len(table.byRequest) > 100 {
			t.Fatalf("%d records, %d evicted; want at most 100 records and fingerprints, and evictions", count, evicted)
		}
		expectDecision(t, table, start.Add(4*time.Second), 1, Refuse)
	})
}

// Guards against a crash that counts twice, against results that depend on the order of arrival, and against different
// digests for equal records.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record {
			return Record{
				Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"), Origin: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "origin"),
				CrashID: rapid.Uint64Range(1, 2).Draw(t, "crash"), Cleared: rapid.Bool().Draw(t, "cleared"),
			}
		}), 1, 12).Draw(t, "records")
		x, y := New("x"), New("y")
		x.Merge(start, all)
		x.Merge(start, all)
		for _, r := range rapid.Permutation(all).Draw(t, "order") {
			y.Merge(start, []Record{r})
		}
		for f := uint64(1); f <= 3; f++ {
			if x.Check(start, f) != y.Check(start, f) {
				t.Fatalf("request %d: decisions %d and %d of tables with the same records, want equal ones", f, x.Check(start, f), y.Check(start, f))
			}
		}
		if x.Digest(start) != y.Digest(start) {
			t.Fatal("tables with the same records have different digests")
		}
	})
}

// sendPoisonRequests repeatedly sends a request that crashes its target to random nodes of a zone and returns the number
// of crashes. With gossip, the records of a crash reach all nodes before the next request; without, they reach none.
func sendPoisonRequests(t *rapid.T, gossip bool) int {
	zone := make([]*Table, rapid.IntRange(1, 6).Draw(t, "nodes"))
	for i := range zone {
		zone[i] = New(fmt.Sprint("n", i))
	}
	crashes := 0
	for i := range 20 {
		now := start.Add(time.Duration(i) * 20 * time.Second)
		table := zone[rapid.IntRange(0, len(zone)-1).Draw(t, "node")]
		if table.Check(now, 7) == Refuse {
			continue
		}
		crashes++
		other := table.Started(uint64(100 + i))
		table.Started(7)
		if rapid.Bool().Draw(t, "harmless ends first") {
			table.Finished(now, other, true)
		}
		records := table.TargetCrashed(now)
		for _, n := range zone {
			if gossip {
				n.Merge(now, records)
			}
		}
	}
	return crashes
}

// Guards against a poison request that keeps crashing targets. Without gossip, each node allows two crashes.
func TestPoisonRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if crashes := sendPoisonRequests(t, true); crashes > crashLimit {
			t.Fatalf("%d targets crashed with gossip, want at most 2", crashes)
		}
		if crashes := sendPoisonRequests(t, false); crashes > 6*crashLimit {
			t.Fatalf("%d targets crashed without gossip, want at most 2 for each of up to 6 nodes", crashes)
		}
	})
}

// Guards against an assigned address that changes when another address is added or removed.
func TestAssignedAddressIsStable(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	for f := range uint64(200) {
		assigned := AssignedAddress(f, addresses)
		for i := range addresses {
			fewer := append(append([]string{}, addresses[:i]...), addresses[i+1:]...)
			if got := AssignedAddress(f, fewer); addresses[i] != assigned && got != assigned {
				t.Fatalf("the assigned address of request %d changed from %s to %s after another address was removed", f, assigned, got)
			}
		}
	}
	if AssignedAddress(1, nil) != "" {
		t.Fatal("an address was chosen although there is none")
	}
}
