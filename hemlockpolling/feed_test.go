package hemlockpolling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockhollow/hemlockmember"
)

var start = time.Unix(1_000_000, 0)

// fleet returns a view of a number of zones with a number of ready members each.
func fleet(zones, each int) (*hemlockmember.View, []hemlockmember.Member) {
	view := hemlockmember.NewView(0)
	var members []hemlockmember.Member
	for z := range zones {
		for i := range each {
			members = append(members, hemlockmember.Member{Address: fmt.Sprintf("10.%d.0.%d:1", z, i),
				Zone: fmt.Sprint("zone-", z), Region: "r", Incarnation: 1, State: hemlockmember.Ready})
		}
	}
	view.Merge(start, members)
	return view, members
}

func first(int) int { return 0 }

func wantAsk(t *testing.T, k *Freshness, now time.Time, want bool, when string) {
	t.Helper()
	if got := k.AllowStoreQuery(now); got != want {
		t.Errorf("asks the store %s: %v, want %v", when, got, want)
	}
}

// Guards against calls to the store that grow with hosts, and against nodes that ask somebody who does not follow it.
func TestRoles(t *testing.T) {
	for _, size := range []struct{ zones, each int }{{1, 1}, {1, 2}, {3, 5}, {5, 39}, {5, 300}} {
		t.Run(fmt.Sprint(size.zones, " zones of ", size.each), func(t *testing.T) {
			view, members := fleet(size.zones, size.each)
			leaders := map[string]string{}
			for _, m := range members {
				if RoleOf(view, m).Leader {
					leaders[m.Address] = m.Zone
				}
			}
			if want := size.zones * min(size.each, leadersPerZone); len(leaders) != want {
				t.Errorf("%d leaders, want %d", len(leaders), want)
			}
			for _, m := range members {
				role := RoleOf(view, m)
				if len(role.Peers) == 0 && len(members) > 1 {
					t.Errorf("%s has nobody to ask", m.Address)
				}
				for _, peer := range role.Peers {
					if leaders[peer] == "" || peer == m.Address {
						t.Errorf("%s asks %s", m.Address, peer)
					}
					// A leader looks into other zones: its own may be cut off from the store.
					if role.Leader && size.zones > 1 && leaders[peer] == m.Zone {
						t.Errorf("the leader %s asks %s of its own zone", m.Address, peer)
					}
				}
			}
		})
	}
	t.Run("another leads when one leaves", func(t *testing.T) {
		view, members := fleet(1, 10)
		role := RoleOf(view, members[0])
		gone := slices.IndexFunc(members, func(m hemlockmember.Member) bool { return m.Address == role.Peers[0] })
		leaving := members[gone]
		leaving.State = hemlockmember.Leaving
		view.Merge(start, []hemlockmember.Member{leaving})
		if slices.Contains(RoleOf(view, members[0]).Peers, leaving.Address) {
			t.Error("a leaving member still leads")
		}
	})
}

func TestKnowledge(t *testing.T) {
	t.Run("a node that starts alone asks at once, and again after a pause", func(t *testing.T) {
		k := NewFreshness(start, false, first)
		wantAsk(t, k, start, true, "at the start")
		wantAsk(t, k, start.Add(askPause-1), false, "within the pause")
		wantAsk(t, k, start.Add(askPause), true, "after the pause")
	})
	t.Run("nodes that start together wait for their leaders", func(t *testing.T) {
		k := NewFreshness(start, true, first)
		wantAsk(t, k, start.Add(startPatience), false, "before the leaders answer")
		if k.MayLead(start) || !k.MayLead(start.Add(startPatience)) {
			t.Error("takes itself for a leader before it knows the others")
		}
		k.MarkCurrent(start.Add(startPatience))
		wantAsk(t, k, start.Add(startPatience+2*PeerPollTimeout), false, "with fresh word")
	})
	t.Run("old word of the store", func(t *testing.T) {
		k := NewFreshness(start, false, first)
		k.MarkCurrent(start)
		k.MarkCurrent(start.Add(-time.Second)) // an older word of another leader changes nothing
		wantAsk(t, k, start.Add(patience-1), false, "while the word is fresh")
		wantAsk(t, k, start.Add(patience), true, "when it is old")
	})
	t.Run("leaders that cannot be reached", func(t *testing.T) {
		k := NewFreshness(start, false, first)
		k.MarkCurrent(start)
		k.PeerFailed()
		wantAsk(t, k, start.Add(time.Second), false, "after one failure")
		k.PeerFailed()
		wantAsk(t, k, start.Add(time.Second), true, "after two")
		k.PeerAnswered()
		wantAsk(t, k, start.Add(time.Second+askPause), false, "after an answer")
	})
	t.Run("a newer version that no peer delivers", func(t *testing.T) {
		k := NewFreshness(start, false, first)
		k.MarkCurrent(start)
		k.MarkOutdated()
		wantAsk(t, k, start, true, "at once")
	})
}

// Guards against a fleet that asks a store together while it is away: replays 8 s of it at 195 hosts, of which nobody gets an
// answer. Each node that follows by itself, as all did before, asks 20 times in that time.
func TestReplayOfAnAbsentStore(t *testing.T) {
	const hosts, away = 195, 8 * time.Second
	calls := 0
	for i := range hosts {
		k := NewFreshness(start.Add(-time.Minute), false, func(n int) int { return i * n / hosts })
		k.MarkCurrent(start.Add(-time.Duration(i) * StorePollTimeout / hosts))
		for now := start; now.Before(start.Add(away)); now = now.Add(100 * time.Millisecond) {
			if k.AllowStoreQuery(now) {
				calls++
				k.StoreQueryFailed(now)
			}
		}
	}
	if calls > 2*hosts {
		t.Errorf("%d calls of %d hosts in %v", calls, hosts, away)
	}
}
