// Package hemlocksuspect finds requests that crash their targets: it records which requests were in flight when a
// target died, and stops a request that was in flight at two crashes in the availability zone. It does no I/O.
package hemlocksuspect

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	defaultExpiry = 10 * time.Minute
	// grace is how long an expired record is still known. Ages do not count the time on the way, so another node may
	// expire its copy a little later; without the grace, that copy would be taken for a new crash.
	grace = time.Minute
	// doubt is how long a request whose connection broke counts as in flight. The broken connections are often seen
	// before the target is known to be dead.
	doubt = 3 * time.Second
	// defaultSize bounds the crash records. A crash makes at most one record for each slot, 190 at the largest target.
	defaultSize = 4096
	// limit is the number of crashes after which a request is refused.
	limit = 2
)

// Decision is what may be done with a request.
type Decision uint8

const (
	// Run allows the request.
	Run Decision = iota
	// RunAlone allows the request while no other suspect runs at the target.
	RunAlone
	// Refuse forbids the request: it is refused as not run.
	Refuse
)

// Record is one crash of one target with one request in flight. Records travel between the nodes of a zone.
type Record struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Origin is the address of the node that saw the crash.
	Origin string
	// CrashID distinguishes the crashes that one node saw, across restarts of the node.
	CrashID uint64
	// Cleared marks a record that a completed run has withdrawn. It never becomes valid again. On the wire, a cleared
	// record has 0 crashes and any other has 1.
	Cleared bool
	// Age is the time since the crash.
	Age time.Duration
}

// Execution is one request in flight at the local target, as Started returned it.
type Execution struct {
	fingerprint uint64
	target      uint64
}

type crashKey struct {
	fingerprint uint64
	origin      string
	crash       uint64
}

type crash struct {
	seen    time.Time
	cleared bool
}

// Table holds the requests in flight at the local target and the crash records of the zone. It is safe for concurrent
// use.
type Table struct {
	mutex  sync.Mutex
	origin string
	expiry time.Duration
	size   int
	// target counts the deaths of the local target, so that a late Finished does not touch its successor's requests.
	target   uint64
	inFlight map[uint64]int
	// doubtful holds when the connection of a request broke.
	doubtful map[uint64]time.Time
	lastID   uint64
	crashes  map[crashKey]crash
	// byRequest holds the keys of crashes for each fingerprint.
	byRequest map[uint64][]crashKey
	digest    uint64
	purged    time.Time
	dropped   uint64
	// proven holds when requests last completed; nil without WithProof.
	proven   *lru.Cache[uint64, time.Time]
	proofAge time.Duration
}

// Option changes a Table.
type Option func(*Table)

// WithExpiry sets how long a crash counts.
func WithExpiry(expiry time.Duration) Option {
	return func(t *Table) { t.expiry = expiry }
}

// WithMaxRecords sets the largest number of crash records.
func WithMaxRecords(size int) Option {
	return func(t *Table) { t.size = size }
}

// WithRecentCompletions makes a completed run speak for all requests with the same content for some time: a request that crashes its
// targets never completes, while one that many callers send is in flight at every crash.
func WithRecentCompletions(age time.Duration) Option {
	return func(t *Table) {
		cache, err := lru.New[uint64, time.Time](t.size)
		if err != nil {
			panic(err) // only for a size of 0 or less
		}
		t.proven, t.proofAge = cache, age
	}
}

// isProven reports whether a request with the same content has completed lately.
func (t *Table) isProven(now time.Time, fingerprint uint64) bool {
	if t.proven == nil {
		return false
	}
	at, ok := t.proven.Peek(fingerprint)
	return ok && now.Sub(at) < t.proofAge
}

// New returns an empty table of the node with the given address.
func New(origin string, options ...Option) *Table {
	t := &Table{
		origin: origin, expiry: defaultExpiry, size: defaultSize, inFlight: map[uint64]int{},
		doubtful: map[uint64]time.Time{}, crashes: map[crashKey]crash{}, byRequest: map[uint64][]crashKey{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Check says what may be done with a request. Ask again right before a queued request starts: another node's crash
// may have become known meanwhile.
func (t *Table) Check(now time.Time, fingerprint uint64) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.isProven(now, fingerprint) {
		return Run
	}
	switch count := t.count(now, fingerprint); {
	case count >= limit:
		return Refuse
	case count > 0:
		return RunAlone
	}
	return Run
}

func (t *Table) count(now time.Time, fingerprint uint64) int {
	count := 0
	for _, key := range t.byRequest[fingerprint] {
		if c := t.crashes[key]; !c.cleared && now.Sub(c.seen) < t.expiry {
			count++
		}
	}
	return count
}

// Started records that a request is about to be sent to the local target.
func (t *Table) Started(fingerprint uint64) Execution {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight[fingerprint]++
	return Execution{fingerprint: fingerprint, target: t.target}
}

// Finished records that a request is no longer in flight; completed says that the target answered it completely. A
// request that ended otherwise still counts as in flight for 3 s. A completed run withdraws a first suspicion; the
// returned records tell the other nodes.
func (t *Table) Finished(now time.Time, f Execution, completed bool) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if f.target != t.target {
		return nil
	}
	if t.inFlight[f.fingerprint]--; t.inFlight[f.fingerprint] <= 0 {
		delete(t.inFlight, f.fingerprint)
	}
	if !completed {
		t.doubtful[f.fingerprint] = now
		t.forgetDoubts(now)
		return nil
	}
	if t.proven != nil {
		t.proven.Add(f.fingerprint, now)
	}
	if t.count(now, f.fingerprint) != 1 {
		return nil
	}
	var cleared []Record
	for _, key := range t.byRequest[f.fingerprint] {
		if c := t.crashes[key]; !c.cleared && now.Sub(c.seen) < t.expiry {
			c.cleared = true
			t.put(key, c)
			cleared = append(cleared, record(now, key, c))
		}
	}
	return cleared
}

// forgetDoubts keeps the doubtful requests bounded: at most the rate of broken requests times the window.
func (t *Table) forgetDoubts(now time.Time) {
	if len(t.doubtful) < t.size {
		return
	}
	for fingerprint, since := range t.doubtful {
		if now.Sub(since) > doubt || len(t.doubtful) >= t.size {
			delete(t.doubtful, fingerprint)
		}
	}
}

// TargetDied records one crash for every request that was in flight at the local target and returns the records for
// the other nodes of the zone.
func (t *Table) TargetDied(now time.Time) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge(now)
	// A wall-clock id differs from the ids that this node gave before a restart.
	t.lastID = max(t.lastID+1, uint64(max(now.UnixMilli(), 0)))
	t.target++
	for fingerprint, since := range t.doubtful {
		if now.Sub(since) <= doubt {
			t.inFlight[fingerprint]++
		}
	}
	records := make([]Record, 0, len(t.inFlight))
	for fingerprint := range t.inFlight {
		if t.isProven(now, fingerprint) {
			continue
		}
		key := crashKey{fingerprint, t.origin, t.lastID}
		c := crash{seen: now}
		t.put(key, c)
		records = append(records, record(now, key, c))
	}
	clear(t.inFlight)
	clear(t.doubtful)
	t.shrink(now)
	return records
}

// Merge takes records of other nodes and returns those that were new here, for passing on. Merging a record again
// changes nothing, and the order of records does not matter.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge(now)
	var news []Record
	for _, r := range records {
		if r.Age < 0 || r.Age >= t.expiry {
			continue
		}
		key := crashKey{r.Fingerprint, r.Origin, r.CrashID}
		known, ok := t.crashes[key]
		if ok && (known.cleared || !r.Cleared) {
			continue
		}
		if !ok {
			known.seen = now.Add(-r.Age)
		}
		known.cleared = r.Cleared
		t.put(key, known)
		news = append(news, r)
	}
	t.shrink(now)
	return news
}

// Records returns up to most records that are in force, for a node of the zone whose digest differs.
func (t *Table) Records(now time.Time, most int) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge(now)
	var records []Record
	for key, c := range t.crashes {
		if now.Sub(c.seen) < t.expiry && len(records) < most {
			records = append(records, record(now, key, c))
		}
	}
	return records
}

// Counts returns the number of known records and of records that were dropped for want of room.
func (t *Table) Counts() (records int, dropped uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.crashes), t.dropped
}

func record(now time.Time, key crashKey, c crash) Record {
	return Record{Fingerprint: key.fingerprint, Origin: key.origin, CrashID: key.crash, Cleared: c.cleared, Age: max(now.Sub(c.seen), 0)}
}
