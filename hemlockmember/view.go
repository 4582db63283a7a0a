package hemlockmember

import (
	"encoding/binary"
	"slices"
	"strings"
	"sync"
	"time"
	"unique"

	"github.com/cespare/xxhash/v2"
)

const (
	// DigestBuckets is the number of buckets into which the digest of a view is divided. All nodes must use the same
	// number. Synchronising one differing record among 1,500 costs 2,242 bytes with 64 buckets, 4,964 with 16 and 2,364
	// with 128.
	DigestBuckets = 64
	// deadRetention is how long a dead record is kept. Links between regions may fail for minutes, and the records must
	// outlast that, because a node retries only its seeds and addresses of which it has a record.
	deadRetention     = time.Hour
	defaultMaxMembers = 4096
)

// View contains the records of all members that a node knows. It is safe for concurrent use. It is advisory: a stale
// view may cause a refused call but violates no guarantee.
type View struct {
	mutex      sync.Mutex
	maxMembers int
	entries    map[string]*entry
	// buckets contain the sum of the hashes of all records that are not dead. Dead records are excluded because nodes
	// remove them at different times, and such a difference, which synchronisation cannot resolve, would cause a
	// synchronisation every second.
	buckets [DigestBuckets]uint64
	// zones caches the members that are not dead by zone. It is nil after a change.
	zones map[string]*zone
	// version counts the changes.
	version uint64
	// dropped counts the records of unknown members that were ignored because the view was full.
	dropped uint64
}

type entry struct {
	member      Member
	addressHash uint64
	// diedAt is when this node received or made the dead record; it matters only in the dead state.
	diedAt time.Time
}

type zone struct {
	region string
	// active are the joining and ready members, which are ranked. live are all members that are not dead, including the
	// leaving ones.
	active, live []*entry
}

// NewView returns an empty view for at most maxMembers members; 0 means 4,096.
func NewView(maxMembers int) *View {
	if maxMembers <= 0 {
		maxMembers = defaultMaxMembers
	}
	return &View{maxMembers: maxMembers, entries: map[string]*entry{}}
}

// Merge merges records into the view and returns those that changed it, as the view then contains them. It ignores invalid
// records and, while the view is full, records of unknown members. Apart from the latter, it is idempotent and independent
// of the order of the records.
func (v *View) Merge(now time.Time, records []Member) []Member {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var changes []Member
	for _, m := range records {
		if !m.valid() {
			continue
		}
		e, known := v.entries[m.Address]
		switch {
		case !known && len(v.entries) >= v.maxMembers:
			v.dropped++
			continue
		case !known:
			// Cloned because the address may share memory with a received message.
			e = &entry{member: Member{Address: strings.Clone(m.Address)}, addressHash: xxhash.Sum64String(m.Address)}
			v.entries[e.member.Address] = e
		case !supersedes(m, e.member):
			continue
		default:
			v.buckets[e.addressHash%DigestBuckets] -= e.digest()
		}
		v.update(now, e, m)
		changes = append(changes, e.member)
	}
	if len(changes) > 0 {
		v.zones = nil
		v.version++
	}
	return changes
}

func (v *View) update(now time.Time, e *entry, m Member) {
	if m.State == Dead && m.Zone == "" {
		m.Zone, m.Region, m.Service, m.Slots = e.member.Zone, e.member.Region, e.member.Service, e.member.Slots
	}
	m.Address = e.member.Address
	// All members together have few distinct zones, regions and services, so the strings are interned.
	m.Zone, m.Region, m.Service = unique.Make(m.Zone).Value(), unique.Make(m.Region).Value(), unique.Make(m.Service).Value()
	e.member = m
	if m.State == Dead {
		e.diedAt = now
	}
	v.buckets[e.addressHash%DigestBuckets] += e.digest()
}

// digest returns the hash that the entry adds to its bucket.
func (e *entry) digest() uint64 {
	m := e.member
	if m.State == Dead {
		return 0
	}
	var buffer [320]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], e.addressHash)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = append(b, byte(m.State))
	b = binary.LittleEndian.AppendUint32(b, uint32(m.Slots))
	for _, s := range [...]string{m.Zone, m.Region, m.Service} {
		b = append(append(b, byte(len(s))), s...)
	}
	return xxhash.Sum64(b)
}

// Expire removes dead records after an hour. If a stale message of a peer adds a removed member again, probing finds it
// dead again.
func (v *View) Expire(now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for address, e := range v.entries {
		if e.member.State == Dead && now.Sub(e.diedAt) >= deadRetention {
			delete(v.entries, address)
			v.version++
		}
	}
}

// Get returns the record of a member, or false if there is none.
func (v *View) Get(address string) (Member, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e, ok := v.entries[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Members returns all records, including dead ones, ordered by address.
func (v *View) Members() []Member {
	v.mutex.Lock()
	members := make([]Member, 0, len(v.entries))
	for _, e := range v.entries {
		members = append(members, e.member)
	}
	v.mutex.Unlock()
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return members
}

// deadOrLeaving returns the dead and the leaving records in compact form, ordered by address. The engine keeps probing these
// members, as a process that stopped may start again.
func (v *View) deadOrLeaving() []Member {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var members []Member
	for _, e := range v.entries {
		if e.member.State == Dead || e.member.State == Leaving {
			members = append(members, e.member.compact())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return members
}

// Version returns a number that grows with every change, so that callers can cache what they derive from the view.
func (v *View) Version() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.version
}

// Digests returns one hash for each of the DigestBuckets buckets of members; dead members do not count.
func (v *View) Digests() []uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Clone(v.buckets[:])
}

// checksum returns a single hash of all buckets.
func (v *View) checksum() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var checksum uint64
	for i, b := range v.buckets {
		checksum ^= b + uint64(i)*0x9e3779b97f4a7c15
	}
	return checksum
}

// membersInBuckets returns the records of the buckets with the given indices. It omits dead records that are older than
// half their retention: a node that has removed such a record would add it again, and the nodes would keep sending it to
// each other.
func (v *View) membersInBuckets(now time.Time, indexes []uint32) []Member {
	var wanted [DigestBuckets]bool
	for _, i := range indexes {
		if i < DigestBuckets {
			wanted[i] = true
		}
	}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var members []Member
	for _, e := range v.entries {
		if wanted[e.addressHash%DigestBuckets] && (e.member.State != Dead || now.Sub(e.diedAt) < deadRetention/2) {
			members = append(members, e.member)
		}
	}
	return members
}
