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
	// DigestBuckets is the number of digest buckets. All nodes must use the same number. Settling one differing record among
	// 1,500 costs 2,242 bytes with 64 buckets, 4,964 with 16 and 2,364 with 128.
	DigestBuckets = 64
	// deadRetention is how long a dead record is kept. Region links may be cut for minutes; the records must outlast
	// that, because only kept addresses are probed again.
	deadRetention = time.Hour
	defaultSize   = 4096
)

// View is one node's knowledge of all members. It is safe for concurrent use. It is advisory: a stale view may cost a
// refused call but violates no guarantee.
type View struct {
	mutex   sync.Mutex
	size    int
	entries map[string]*entry
	// buckets hold the sum of the hashes of the records that are not dead. Dead records are left out because nodes
	// forget them at different times, and a difference that no exchange can settle would cost an exchange each second.
	buckets [DigestBuckets]uint64
	// zones caches the members that are not dead by zone; nil after a change.
	zones map[string]*zone
	// version counts the changes.
	version uint64
	dropped uint64
}

type entry struct {
	member Member
	hash   uint64
	// died is when this node learned of the death.
	died time.Time
}

type zone struct {
	region string
	// active are the joining and ready members, which can be ranked; leaving ones are in live only.
	active, live []*entry
}

// NewView returns an empty view that keeps at most size members; 0 means 4,096.
func NewView(size int) *View {
	if size <= 0 {
		size = defaultSize
	}
	return &View{size: size, entries: map[string]*entry{}}
}

// Merge takes records and returns those that changed the view. Merging is idempotent and independent of the order.
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
		case !known && len(v.entries) >= v.size:
			v.dropped++
			continue
		case !known:
			// The address may share memory with a received message.
			e = &entry{member: Member{Address: strings.Clone(m.Address)}, hash: xxhash.Sum64String(m.Address)}
			v.entries[e.member.Address] = e
		case !newer(m, e.member):
			continue
		default:
			v.buckets[e.hash%DigestBuckets] -= e.digest()
		}
		v.replace(now, e, m)
		changes = append(changes, e.member)
	}
	if len(changes) > 0 {
		v.zones = nil
		v.version++
	}
	return changes
}

func (v *View) replace(now time.Time, e *entry, m Member) {
	if m.State == Dead && m.Zone == "" {
		m.Zone, m.Region, m.Service, m.Slots = e.member.Zone, e.member.Region, e.member.Service, e.member.Slots
	}
	m.Address = e.member.Address
	// Few zones, regions and services are shared by all members.
	m.Zone, m.Region, m.Service = unique.Make(m.Zone).Value(), unique.Make(m.Region).Value(), unique.Make(m.Service).Value()
	e.member = m
	if m.State == Dead {
		e.died = now
	}
	v.buckets[e.hash%DigestBuckets] += e.digest()
}

// digest is the entry's contribution to its bucket.
func (e *entry) digest() uint64 {
	m := e.member
	if m.State == Dead {
		return 0
	}
	var text [320]byte
	b := binary.LittleEndian.AppendUint64(text[:0], e.hash)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	b = append(b, byte(m.State))
	b = binary.LittleEndian.AppendUint32(b, uint32(m.Slots))
	for _, s := range [...]string{m.Zone, m.Region, m.Service} {
		b = append(append(b, byte(len(s))), s...)
	}
	return xxhash.Sum64(b)
}

// Expire forgets dead records after an hour. A record that stale news brings back after that is found dead again by
// probing.
func (v *View) Expire(now time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for address, e := range v.entries {
		if e.member.State == Dead && now.Sub(e.died) >= deadRetention {
			delete(v.entries, address)
			v.version++
		}
	}
}

// Get returns the record of a member.
func (v *View) Get(address string) (Member, bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	e, ok := v.entries[address]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Members returns all records, dead ones included, ordered by address.
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

// lost returns the dead and the leaving records in brief, ordered by address: a process that stopped may start again.
func (v *View) lost() []Member {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var members []Member
	for _, e := range v.entries {
		if e.member.State == Dead || e.member.State == Leaving {
			members = append(members, e.member.brief())
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return members
}

// Version rises with every change, so that callers can keep what they derived from the view.
func (v *View) Version() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.version
}

// Digest returns one value for each bucket of the members that are not dead.
func (v *View) Digest() []uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return slices.Clone(v.buckets[:])
}

// sum is the digest of the whole view.
func (v *View) sum() uint64 {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var sum uint64
	for i, b := range v.buckets {
		sum ^= b + uint64(i)*0x9e3779b97f4a7c15
	}
	return sum
}

// inBuckets returns the records of some buckets, without dead records that are past half their retention: a node that
// forgot such a record would learn it anew, and nodes would keep it alive between them.
func (v *View) inBuckets(now time.Time, indexes []uint32) []Member {
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
		if wanted[e.hash%DigestBuckets] && (e.member.State != Dead || now.Sub(e.died) < deadRetention/2) {
			members = append(members, e.member)
		}
	}
	return members
}
