package hemlocknode

import (
	"fmt"
	"testing"
	"time"

	"hemlockhollow/hemlockmember"
)

func newView(zones, perZone int) *hemlockmember.View {
	view := hemlockmember.NewView(0)
	for z := range zones {
		for n := range perZone {
			view.Merge(time.Unix(0, 0), []hemlockmember.Member{{
				Address:     fmt.Sprintf("10.0.%d.%d:1", z, n),
				Zone:        fmt.Sprintf("zone-%d", z),
				Region:      "region-1",
				Incarnation: 1,
				State:       hemlockmember.Ready,
			}})
		}
	}
	return view
}

// Guards against batching nodes that together write more often than the platform's table can handle.
func TestClaimIntervalScalesWithZones(t *testing.T) {
	for zones, want := range map[int]time.Duration{1: time.Second * 2 / 300, 3: 20 * time.Millisecond, 5: time.Second * 10 / 300} {
		duties := newDuties("10.0.0.0:1", "zone-0", newView(zones, 4))
		if got := duties.claimInterval(); got != want {
			t.Errorf("%d zones: interval %s, want %s", zones, got, want)
		}
	}
}

// Guards against claims that are still forwarded to a batching node that has just failed.
func TestFailedBatchingNodeIsAvoided(t *testing.T) {
	view := newView(1, 6)
	duties := newDuties("10.0.9.9:1", "zone-0", view)
	chosen := duties.batchingNode("key")
	if chosen == "" {
		t.Fatal("no batching node among six nodes")
	}
	now := time.Now()
	duties.avoid(chosen, now.Add(time.Minute))
	if got := duties.batchingNode("key"); got != "" {
		t.Errorf("claims are still forwarded to the failed batching node %s", got)
	}
	if duties.isAvoided(chosen, now.Add(2*time.Minute)) {
		t.Error("the failed batching node is still avoided after its time")
	}
}
