package hemlockmember

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_800_000_000_000)

var anyMember = rapid.Custom(func(t *rapid.T) Member {
	m := Member{
		Address: rapid.SampledFrom([]string{"n1", "n2", "n3"}).Draw(t, "address"), Zone: rapid.SampledFrom([]string{"a1", "b1"}).Draw(t, "zone"),
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), State: State(rapid.IntRange(0, 3).Draw(t, "state")),
		Slots: rapid.IntRange(0, 1).Draw(t, "slots"),
	}
	m.Region = m.Zone[:1]
	return m.compact()
})

// Guards against stale records that replace newer ones, and against views that depend on the order of arrival.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(anyMember, 1, 12).Draw(t, "records")
		x, y := NewView(0), NewView(0)
		for _, m := range records {
			before, known := x.Get(m.Address)
			x.Merge(start, []Member{m})
			if after, _ := x.Get(m.Address); known && after != before && !supersedes(after, before) {
				t.Fatalf("%+v was replaced by %+v, which does not supersede it", before, after)
			}
		}
		y.Merge(start, rapid.Permutation(records).Draw(t, "order"))
		y.Merge(start, records)
		for _, m := range x.Members() {
			other, _ := y.Get(m.Address)
			if m.compact() != other.compact() {
				t.Fatalf("records %+v and %+v in views that merged the same records, want equal ones", m, other)
			}
		}
		if !slices.Equal(x.Digests(), y.Digests()) || x.checksum() != y.checksum() {
			t.Fatal("equal views have different digests")
		}
	})
}

func TestView(t *testing.T) {
	ready := func(i int) Member {
		return Member{Address: fmt.Sprint("n", i), Zone: "a1", Region: "a", Incarnation: 1, State: Ready}
	}
	t.Run("guards against background duties that are reassigned when an unrelated member leaves", func(t *testing.T) {
		v := NewView(0)
		for i := range 50 {
			v.Merge(start, []Member{ready(i)})
		}
		leaving := v.Rank("sweep", "a1")[7]
		before := v.Rank("sweep", "a1")
		leaving.State = Leaving
		v.Merge(start, []Member{leaving})
		after := v.Rank("sweep", "a1")
		if !slices.Equal(after, slices.Delete(before, 7, 8)) || !slices.Equal(v.FirstRanked("sweep", "a1", 3), after[:3]) || len(v.Rank("sweep", "")) != 49 {
			t.Fatalf("ranks %v, want the previous ones without the leaving member", after)
		}
	})
	t.Run("guards against dead records that nodes send each other again after their removal", func(t *testing.T) {
		v := NewView(0)
		v.Merge(start, []Member{{Address: "n1", Incarnation: 1, State: Dead}})
		allBuckets := make([]uint32, DigestBuckets)
		for i := range allBuckets {
			allBuckets[i] = uint32(i)
		}
		if sent := v.membersInBuckets(start.Add(deadRetention/2), allBuckets); len(sent) != 0 {
			t.Fatalf("records %v are sent, want none, as the only one is an old dead record", sent)
		}
		v.Expire(start.Add(deadRetention))
		if len(v.Members()) != 0 {
			t.Fatal("a dead record was not removed at the end of its retention")
		}
	})
	t.Run("guards against invalid records of peers and against an unlimited view", func(t *testing.T) {
		v := NewView(10)
		invalid := []Member{{}, {Address: "x", State: 7}, {Address: "x", Zone: "a", Region: "a", Incarnation: maxIncarnation + 1}, {Address: "x"}}
		if changes := v.Merge(start, invalid); len(changes) != 0 {
			t.Fatalf("the view accepted %v, want no invalid record", changes)
		}
		for i := range 20 {
			v.Merge(start, []Member{ready(i)})
		}
		if len(v.Members()) != 10 {
			t.Fatalf("the view has %d members, want its maximum of 10", len(v.Members()))
		}
	})
}
