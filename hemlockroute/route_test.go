package hemlockroute

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func table(version uint64, routes ...Route) *Table {
	return NewTable(version, routes, nil, ClientLimits{})
}

func TestMatch(t *testing.T) {
	routes := table(1, Route{Name: "short", Host: "h", Prefix: "/a/"}, Route{Name: "long", Host: "h", Prefix: "/a/b/"},
		Route{Name: "other", Host: "g", Prefix: "/"})
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"}, {"h", "/a/b/x", "long"}, {"H:8080", "/a/b/", "long"}, {"h", "/a/b?x=/a/", "short"},
		{"h", "/b/", ""}, {"h", "/a", ""}, {"g", "/anything", "other"}, {"nowhere", "/a/", ""},
	} {
		got := ""
		if r, ok := routes.Match(c.host, c.path); ok {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against logs and metrics that cannot tell requests on an added route from those on routes that were there before.
func TestHistoryOfRoutes(t *testing.T) {
	first := table(1, Route{Name: "old", Host: "h", Prefix: "/old/"}, Route{Name: "dropped", Host: "h", Prefix: "/dropped/"})
	second := table(4, Route{Name: "old", Host: "h", Prefix: "/moved/"}, Route{Name: "new", Host: "h", Prefix: "/new/"}).WithHistory(first)
	third := table(6, Route{Name: "new", Host: "h", Prefix: "/new/"}, Route{Name: "old", Host: "h", Prefix: "/old/"},
		Route{Name: "dropped", Host: "h", Prefix: "/dropped/"}).WithHistory(second)
	for path, want := range map[string]uint64{"/old/": 0, "/new/": 4, "/dropped/": 6} {
		if r, _ := third.Match("h", path); r == nil || r.AddedIn != want {
			t.Errorf("route of %s: %+v, want one that was added in version %d", path, r, want)
		}
	}
	if added, dropped := second.ChangesFrom(first); !slices.Equal(added, []string{"new"}) || !slices.Equal(dropped, []string{"dropped"}) {
		t.Errorf("added %v and dropped %v, want new and dropped", added, dropped)
	}
	if first.WithHistory(nil) != first {
		t.Error("a first table has a history")
	}
}

// Guards against a node that replaces its active routes by an older version, or reports an update by the same version.
func TestHolderRejectsOlderVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		highest := uint64(0)
		for _, v := range rapid.SliceOf(rapid.Uint64Range(1, 50)).Draw(t, "versions") {
			updated := h.Update(table(v))
			if updated != (v > highest) {
				t.Fatalf("version %d after %d: updated is %v, want the opposite", v, highest, updated)
			}
			highest = max(highest, v)
			if h.Version() != highest {
				t.Fatalf("active version %d, want %d", h.Version(), highest)
			}
		}
	})
}

// Guards against a replacement of the active configuration by one of another version, which only Update may make active.
func TestHolderReplacesOnlyTheActiveVersion(t *testing.T) {
	var holder Holder
	if holder.Replace(table(1)) {
		t.Error("a table was replaced before there was one")
	}
	holder.Update(table(2))
	for version, want := range map[uint64]bool{1: false, 2: true, 3: false} {
		if got := holder.Replace(table(version)); got != want || holder.Version() != 2 {
			t.Errorf("version %d replaced the active version 2: %t, want %t; now active: %d", version, got, want, holder.Version())
		}
	}
}

// Guards against services of a route that get a fraction of the requests that does not match their weights.
func TestSplitterFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 100), 1, 4).Draw(t, "weights")
		start := rapid.Float64Range(0, 0.999).Draw(t, "phase")
		r := Route{Name: "r"}
		total := 0
		for i, w := range weights {
			r.Splits = append(r.Splits, WeightedService{Service: string(rune('a' + i)), Weight: float64(w)})
			total += w
		}
		s := NewSplitter(func() float64 { return start })
		const requests = 200
		counts := map[string]int{}
		for range requests {
			counts[s.Choose(1, &r)]++
		}
		for i, w := range weights {
			want := float64(w) / float64(total)
			got := float64(counts[string(rune('a'+i))]) / requests
			if math.Abs(got-want) > 0.02 {
				t.Fatalf("service %d of weights %v got the fraction %.3f of the requests, want %.3f", i, weights, got, want)
			}
		}
	})
}
