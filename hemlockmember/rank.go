package hemlockmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the joining and ready members of a zone, or of all zones for an empty zone, ranked for a background duty
// by rendezvous hashing. A background duty is named work, such as polling the store, that is done by the first members
// of its ranking. Views that differ in one member rank the other members in the same order.
func (v *View) Rank(duty, zone string) []Member {
	return v.FirstRanked(duty, zone, -1)
}

// FirstRanked returns the first limit members of Rank; a negative limit means all.
func (v *View) FirstRanked(duty, zone string, limit int) []Member {
	zones := []string{zone}
	if zone == "" {
		zones = nil
	}
	return v.firstInZones(duty, zones, limit)
}

type scoredEntry struct {
	entry *entry
	score uint64
}

// firstInZones returns the first limit active members of the zones, ranked for a background duty. A negative limit means all
// members, and nil zones mean all zones.
func (v *View) firstInZones(duty string, zones []string, limit int) []Member {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.cacheZones()
	if zones == nil {
		for name := range v.zones {
			zones = append(zones, name)
		}
	}
	dutyHash := xxhash.Sum64String(duty)
	var best []scoredEntry
	for _, name := range zones {
		z := v.zones[name]
		if z == nil {
			continue
		}
		for _, e := range z.active {
			best = insertRanked(best, scoredEntry{e, score(dutyHash, e.addressHash)}, limit)
		}
	}
	if limit < 0 {
		slices.SortFunc(best, compareScores)
	}
	members := make([]Member, len(best))
	for i, s := range best {
		members[i] = s.entry.member
	}
	return members
}

// insertRanked inserts an entry into the ordered list of the best entries and keeps at most limit of them. If the limit is
// negative, it appends the entry, and the caller sorts the list.
func insertRanked(best []scoredEntry, s scoredEntry, limit int) []scoredEntry {
	if limit < 0 {
		return append(best, s)
	}
	i := len(best)
	for i > 0 && compareScores(s, best[i-1]) < 0 {
		i--
	}
	if i >= limit {
		return best
	}
	best = slices.Insert(best, i, s)
	return best[:min(len(best), limit)]
}

func compareScores(a, b scoredEntry) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.entry.member.Address, b.entry.member.Address))
}

func score(dutyHash, addressHash uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], dutyHash)
	binary.LittleEndian.PutUint64(buffer[8:], addressHash)
	return xxhash.Sum64(buffer[:])
}

// cacheZones builds the cache of members by zone unless it exists. The caller holds the mutex.
func (v *View) cacheZones() {
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
	// Sorted so that random choices are reproducible with a fixed seed.
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.addressHash, b.addressHash) })
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
	v.cacheZones()
	names := make([]string, 0, len(v.zones))
	for name, z := range v.zones {
		if len(z.active) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// otherZones returns the zones with active members except the given one, separated into those in the given region and those
// in other regions.
func (v *View) otherZones(own, region string) (sameRegion, otherRegions []string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.cacheZones()
	for name, z := range v.zones {
		switch {
		case name == own || len(z.active) == 0:
		case z.region == region:
			sameRegion = append(sameRegion, name)
		default:
			otherRegions = append(otherRegions, name)
		}
	}
	return sameRegion, otherRegions
}

// randomMember returns the address of a random member of the zone that is not dead, or an empty string if there is none.
func (v *View) randomMember(zone string, random func(n int) int) string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.cacheZones()
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
	v.cacheZones()
	total := 0
	for _, z := range v.zones {
		total += len(z.live)
	}
	return total
}
