package hemlockmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the joining and ready members of a zone, or of all zones for an empty zone, in the rendezvous order of
// a duty. Views that differ in one member rank the others equally.
func (v *View) Rank(duty, zone string) []Member {
	return v.FirstRanked(duty, zone, -1)
}

// FirstRanked returns the first most members of Rank; a negative number means all.
func (v *View) FirstRanked(duty, zone string, most int) []Member {
	zones := []string{zone}
	if zone == "" {
		zones = nil
	}
	return v.pick(duty, zones, most)
}

type scored struct {
	entry *entry
	score uint64
}

// pick ranks the active members of the zones; nil means all zones.
func (v *View) pick(duty string, zones []string, most int) []Member {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.index()
	if zones == nil {
		for name := range v.zones {
			zones = append(zones, name)
		}
	}
	seed := xxhash.Sum64String(duty)
	var best []scored
	for _, name := range zones {
		z := v.zones[name]
		if z == nil {
			continue
		}
		for _, e := range z.active {
			best = insert(best, scored{e, score(seed, e.hash)}, most)
		}
	}
	if most < 0 {
		slices.SortFunc(best, compareScores)
	}
	members := make([]Member, len(best))
	for i, s := range best {
		members[i] = s.entry.member
	}
	return members
}

// insert keeps the best most entries in order; for a negative most it only appends.
func insert(best []scored, s scored, most int) []scored {
	if most < 0 {
		return append(best, s)
	}
	i := len(best)
	for i > 0 && compareScores(s, best[i-1]) < 0 {
		i--
	}
	if i >= most {
		return best
	}
	best = slices.Insert(best, i, s)
	return best[:min(len(best), most)]
}

func compareScores(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.entry.member.Address, b.entry.member.Address))
}

func score(seed, hash uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:], seed)
	binary.LittleEndian.PutUint64(text[8:], hash)
	return xxhash.Sum64(text[:])
}

// index builds the cache by zone. The caller holds the mutex.
func (v *View) index() {
	if v.zones != nil {
		return
	}
	v.zones = map[string]*zone{}
	entries := make([]*entry, 0, len(v.entries))
	for _, e := range v.entries {
		if e.member.State != Dead {
			entries = append(entries, e)
		}
	}
	// The order makes random choices repeatable under a fixed seed.
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	for _, e := range entries {
		z := v.zones[e.member.Zone]
		if z == nil {
			z = &zone{region: e.member.Region}
			v.zones[e.member.Zone] = z
		}
		z.live = append(z.live, e)
		if e.member.State != Leaving {
			z.active = append(z.active, e)
		}
	}
}

// Zones returns the names of the zones with active members, sorted.
func (v *View) Zones() []string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.index()
	names := make([]string, 0, len(v.zones))
	for name, z := range v.zones {
		if len(z.active) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// otherZones returns the zones with active members besides the given one, apart by region.
func (v *View) otherZones(own, region string) (near, far []string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.index()
	for name, z := range v.zones {
		switch {
		case name == own || len(z.active) == 0:
		case z.region == region:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	return near, far
}

// sample returns the address of a member of the zone that is not dead, chosen by random, or an empty string.
func (v *View) sample(zone string, random func(n int) int) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.index()
	z := v.zones[zone]
	if z == nil || len(z.live) == 0 {
		return ""
	}
	return z.live[random(len(z.live))].member.Address
}

// live returns the number of members that are not dead.
func (v *View) live() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.index()
	total := 0
	for _, z := range v.zones {
		total += len(z.live)
	}
	return total
}
