package hemlocksuspect

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

func expectVerdict(t *testing.T, table *Table, now time.Time, fingerprint uint64, want Decision) {
	t.Helper()
	if got := table.Check(now, fingerprint); got != want {
		t.Fatalf("request %d: verdict %d, want %d", fingerprint, got, want)
	}
}

// kill runs a request that kills the target.
func kill(table *Table, now time.Time, fingerprint uint64) []Record {
	f := table.Started(fingerprint)
	table.Finished(now, f, false)
	return table.TargetDied(now.Add(time.Second))
}

func TestSuspicion(t *testing.T) {
	t.Run("guards against a crash that is forgotten because the connection broke first", func(t *testing.T) {
		table := New("n1")
		kill(table, start, 1)
		expectVerdict(t, table, start, 1, RunAlone)
		kill(table, start.Add(time.Minute), 1)
		expectVerdict(t, table, start.Add(2*time.Minute), 1, Refuse)
		expectVerdict(t, table, start.Add(10*time.Minute+2*time.Second), 1, RunAlone)
		expectVerdict(t, table, start.Add(11*time.Minute+2*time.Second), 1, Run)
	})
	t.Run("guards against blame for requests that had ended", func(t *testing.T) {
		table := New("n1")
		done, broken, old := table.Started(1), table.Started(2), table.Started(3)
		table.Finished(start, done, true)
		table.Finished(start, broken, false)
		table.TargetDied(start.Add(10 * time.Second))
		table.Started(3)
		table.Finished(start, old, false) // the late end of a request of the dead target
		expectVerdict(t, table, start.Add(10*time.Second), 1, Run)
		expectVerdict(t, table, start.Add(10*time.Second), 2, Run)
		if records := table.TargetDied(start.Add(20 * time.Second)); len(records) != 1 {
			t.Fatalf("second death: %v", records)
		}
		expectVerdict(t, table, start.Add(20*time.Second), 3, Refuse)
	})
	t.Run("guards against a harmless request that stays suspect, and against a cleared record that comes back", func(t *testing.T) {
		a, b := New("a"), New("b")
		records := kill(a, start, 1)
		b.Merge(start, records)
		expectVerdict(t, b, start, 1, RunAlone)
		cleared := b.Finished(start, b.Started(1), true)
		expectVerdict(t, b, start, 1, Run)
		b.Merge(start, records)
		a.Merge(start, cleared)
		expectVerdict(t, b, start, 1, Run)
		expectVerdict(t, a, start, 1, Run)
	})
	t.Run("guards against records that outlive their time by being passed on", func(t *testing.T) {
		a, b := New("a"), New("b")
		b.Merge(start.Add(2*time.Second), kill(a, start, 1)) // the message took a second
		late := start.Add(10*time.Minute + 1500*time.Millisecond)
		a.Check(late, 1)
		if sent := b.Records(late, 10); len(sent) != 1 {
			t.Fatalf("the other copy has expired as well: %v", sent)
		}
		if news := a.Merge(late, b.Records(late, 10)); len(news) != 0 {
			t.Fatalf("an expired record returned: %v", news)
		}
	})
	t.Run("guards against tables without bound, and against dropping the dangerous requests first", func(t *testing.T) {
		table := New("a", WithMaxRecords(100))
		kill(table, start, 1)
		kill(table, start.Add(time.Second), 1)
		for i := range uint64(1000) {
			kill(table, start.Add(time.Duration(i)*time.Millisecond+2*time.Second), 10+i)
		}
		if count, dropped := table.Counts(); count > 100 || dropped == 0 || len(table.byRequest) > 100 {
			t.Fatalf("%d records, %d dropped", count, dropped)
		}
		expectVerdict(t, table, start.Add(4*time.Second), 1, Refuse)
	})
}

// Guards against a crash that counts twice, against records that depend on the order of arrival, and against digests
// that differ for equal records.
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
				t.Fatalf("request %d: %d and %d", f, x.Check(start, f), y.Check(start, f))
			}
		}
		if x.Digest(start) != y.Digest(start) {
			t.Fatal("digests differ")
		}
	})
}

// repeatKiller sends a request that kills every target to random targets of a zone, and returns the targets that it
// killed. The gossip reaches all nodes between two repetitions, or none.
func repeatKiller(t *rapid.T, gossip bool) int {
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
		records := table.TargetDied(now)
		for _, n := range zone {
			if gossip {
				n.Merge(now, records)
			}
		}
	}
	return crashes
}

// Guards against a request that goes on killing targets. Without gossip the bound is two for each node.
func TestKillerIsStoppedAfterTwoCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if crashes := repeatKiller(t, true); crashes > limit {
			t.Fatalf("%d targets killed", crashes)
		}
		if crashes := repeatKiller(t, false); crashes > 6*limit {
			t.Fatalf("%d targets killed without gossip", crashes)
		}
	})
}

// Guards against a home that moves when an unrelated target comes or goes.
func TestHomeIsStable(t *testing.T) {
	addresses := []string{"a", "b", "c", "d", "e"}
	for f := range uint64(200) {
		home := AssignedAddress(f, addresses)
		for i := range addresses {
			fewer := append(append([]string{}, addresses[:i]...), addresses[i+1:]...)
			if got := AssignedAddress(f, fewer); addresses[i] != home && got != home {
				t.Fatalf("request %d moved from %s to %s", f, home, got)
			}
		}
	}
	if AssignedAddress(1, nil) != "" {
		t.Fatal("a home without targets")
	}
}
