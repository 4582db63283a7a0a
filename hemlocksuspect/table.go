// Package hemlocksuspect detects poison requests, which crash the targets that run them. It records the fingerprints of
// the requests that were in flight when a target crashed. A request with such a fingerprint is a suspected poison request,
// in short a suspect; after two crashes in the availability zone, or three anywhere, it is refused. The package does no I/O.
package hemlocksuspect

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	defaultExpiry = 10 * time.Minute
	// expiryGrace is how long a record is kept after it has expired. The age in a message does not include the transit
	// time, so the copy of another node may expire slightly later; without the grace, that copy would count as a new
	// crash.
	expiryGrace = time.Minute
	// incompleteWindow is how long a request still counts as in flight after it ended without a complete response. A
	// broken connection is often detected before the crash of the target is.
	incompleteWindow = 3 * time.Second
	// defaultMaxRecords limits the crash records. A crash adds one record for each slot in use, of which the largest
	// target has 190, and one for each request that ended without a complete response shortly before.
	defaultMaxRecords = 4096
	// crashLimit is the number of crashes in the zone after which a request is refused.
	crashLimit = 2
	// fleetCrashLimit is the number of crashes in all zones after which a request is refused. It is higher than crashLimit, because
	// more requests are in flight by chance at crashes in all zones.
	fleetCrashLimit = 3
)

// Decision says whether a request may run.
type Decision uint8

const (
	// Run allows the request.
	Run Decision = iota
	// RunAlone allows the request only while no other suspect runs at the target.
	RunAlone
	// Refuse means that the request is refused before execution.
	Refuse
)

// Record is a crash record: one request was in flight at one crash of a target. The nodes of a zone send each other
// their records.
type Record struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Origin is the address of the node whose target crashed.
	Origin string
	// CrashID distinguishes the crashes with the same origin, including those before a restart of the node.
	CrashID uint64
	// Cleared marks a record as invalid because the request has completed after the crash. It never becomes valid
	// again.
	Cleared bool
	// Age is the time since the crash.
	Age time.Duration
}

// Execution identifies one request in flight at the local target. Started returns it and Finished ends it.
type Execution struct {
	fingerprint uint64
	generation  uint64
}

type recordKey struct {
	fingerprint uint64
	origin      string
	crashID     uint64
}

type recordState struct {
	crashedAt time.Time
	cleared   bool
}

// Table contains the requests in flight at the local target and the crash records of all zones. It is safe for concurrent
// use.
type Table struct {
	mutex  sync.Mutex
	origin string
	// isLocal reports whether a node is in the zone of this one.
	isLocal    func(origin string) bool
	expiry     time.Duration
	maxRecords int
	// generation counts the crashes of the local target, so that a late call of Finished for a request to the crashed
	// target does not affect requests to the restarted one.
	generation uint64
	inFlight   map[uint64]int
	// incompleteAt contains the times at which requests last ended without a complete response.
	incompleteAt map[uint64]time.Time
	lastCrashID  uint64
	records      map[recordKey]recordState
	// byRequest contains the keys of the records of each fingerprint.
	byRequest   map[uint64][]recordKey
	digest      uint64
	lastRemoval time.Time
	evicted     uint64
	// completedAt contains the times at which requests last completed; nil without WithRecentCompletions.
	completedAt   *lru.Cache[uint64, time.Time]
	completionAge time.Duration
}

// Option changes a Table.
type Option func(*Table)

// WithExpiry sets how long a crash makes its requests suspects; the default is 10 minutes.
func WithExpiry(expiry time.Duration) Option {
	return func(t *Table) { t.expiry = expiry }
}

// WithMaxRecords sets the maximum number of crash records; the default is 4,096.
func WithMaxRecords(limit int) Option {
	return func(t *Table) { t.maxRecords = limit }
}

// WithRecentCompletions makes the table treat a request as harmless for the given time after a request with the same
// content has completed. A poison request never completes, while a harmless request that many callers send is in flight
// at every crash. The table keeps as many completions as crash records, so WithMaxRecords must come before this option.
// The option panics if that maximum is not positive.
func WithRecentCompletions(age time.Duration) Option {
	return func(t *Table) {
		cache, err := lru.New[uint64, time.Time](t.maxRecords)
		if err != nil {
			panic(err) // only if maxRecords is 0 or less
		}
		t.completedAt, t.completionAge = cache, age
	}
}

// recentlyCompleted reports whether a request with the same content has completed within completionAge.
func (t *Table) recentlyCompleted(now time.Time, fingerprint uint64) bool {
	if t.completedAt == nil {
		return false
	}
	completedAt, ok := t.completedAt.Peek(fingerprint)
	return ok && now.Sub(completedAt) < t.completionAge
}

// New returns an empty table for the node with the given address.
func New(origin string, options ...Option) *Table {
	t := &Table{
		origin: origin, isLocal: func(string) bool { return true }, expiry: defaultExpiry, maxRecords: defaultMaxRecords, inFlight: map[uint64]int{},
		incompleteAt: map[uint64]time.Time{}, records: map[recordKey]recordState{}, byRequest: map[uint64][]recordKey{},
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Check returns whether a request may run. For a request that was queued, call it again immediately before the request
// starts, as a crash at another node may have become known in the meantime.
func (t *Table) Check(now time.Time, fingerprint uint64) Decision {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.recentlyCompleted(now, fingerprint) {
		return Run
	}
	switch local, all := t.activeCrashes(now, fingerprint); {
	case local >= crashLimit || all >= fleetCrashLimit:
		return Refuse
	case local > 0:
		return RunAlone
	}
	return Run
}

// activeCrashes returns the numbers of crashes of a request, in the zone and in all zones, that are neither cleared nor expired.
func (t *Table) activeCrashes(now time.Time, fingerprint uint64) (local, all int) {
	for _, key := range t.byRequest[fingerprint] {
		if state := t.records[key]; state.cleared || now.Sub(state.crashedAt) >= t.expiry {
			continue
		}
		all++
		if t.isLocal(key.origin) {
			local++
		}
	}
	return local, all
}

// SetLocalOrigins sets how to tell nodes of this zone from others; by default, all nodes count as being in this zone. The function is called
// with the lock of the table held. SetLocalOrigins must be called before the table is used.
func (t *Table) SetLocalOrigins(isLocal func(origin string) bool) {
	t.isLocal = isLocal
}

// Started records that a request is about to be sent to the local target and counts as in flight from now on. The caller
// passes the result to Finished.
func (t *Table) Started(fingerprint uint64) Execution {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.inFlight[fingerprint]++
	return Execution{fingerprint: fingerprint, generation: t.generation}
}

// Finished records that a request is no longer in flight; completed means that the target returned a complete response. A
// request that ended otherwise still counts as in flight for 3 s. If a suspect with a single crash completes, its record
// is cleared, and Finished returns it for the other nodes; with WithRecentCompletions, so are the records of several
// crashes. Finished has no effect if the target has crashed since Started.
func (t *Table) Finished(now time.Time, e Execution, completed bool) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if e.generation != t.generation {
		return nil
	}
	if t.inFlight[e.fingerprint]--; t.inFlight[e.fingerprint] <= 0 {
		delete(t.inFlight, e.fingerprint)
	}
	if !completed {
		t.incompleteAt[e.fingerprint] = now
		t.limitIncomplete(now)
		return nil
	}
	if t.completedAt != nil {
		t.completedAt.Add(e.fingerprint, now)
	}
	// Without WithRecentCompletions, a request that completes is only a proof against a single crash.
	if _, crashes := t.activeCrashes(now, e.fingerprint); crashes == 0 || crashes > 1 && t.completedAt == nil {
		return nil
	}
	var cleared []Record
	for _, key := range t.byRequest[e.fingerprint] {
		if state := t.records[key]; !state.cleared && now.Sub(state.crashedAt) < t.expiry {
			state.cleared = true
			t.put(key, state)
			cleared = append(cleared, newRecord(now, key, state))
		}
	}
	return cleared
}

// limitIncomplete limits the size of incompleteAt. When it reaches maxRecords entries, limitIncomplete removes an
// arbitrary one and all that are older than incompleteWindow. The number of the remaining entries is at most the rate of
// such requests times incompleteWindow.
func (t *Table) limitIncomplete(now time.Time) {
	if len(t.incompleteAt) < t.maxRecords {
		return
	}
	for fingerprint, endedAt := range t.incompleteAt {
		if now.Sub(endedAt) > incompleteWindow || len(t.incompleteAt) >= t.maxRecords {
			delete(t.incompleteAt, fingerprint)
		}
	}
}

// TargetCrashed adds a crash record for every request that was in flight at the local target or ended without a complete
// response within the last 3 s. Requests that completed recently are excluded; see WithRecentCompletions. It returns the
// new records for the other nodes of the zone.
func (t *Table) TargetCrashed(now time.Time) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
	// The wall-clock time makes the ID differ from those before a restart of this node.
	t.lastCrashID = max(t.lastCrashID+1, uint64(max(now.UnixMilli(), 0)))
	t.generation++
	for fingerprint, endedAt := range t.incompleteAt {
		if now.Sub(endedAt) <= incompleteWindow {
			t.inFlight[fingerprint]++
		}
	}
	records := make([]Record, 0, len(t.inFlight))
	for fingerprint := range t.inFlight {
		if t.recentlyCompleted(now, fingerprint) {
			continue
		}
		key := recordKey{fingerprint, t.origin, t.lastCrashID}
		state := recordState{crashedAt: now}
		t.put(key, state)
		records = append(records, newRecord(now, key, state))
	}
	clear(t.inFlight)
	clear(t.incompleteAt)
	t.evict(now)
	return records
}

// Merge adds records of other nodes and returns those that changed the table, which the caller passes on. It ignores
// expired records and those with a negative age. It is idempotent. As long as no record is evicted, the order of the
// records affects at most the times of the crashes, which are computed from the first record received about each.
func (t *Table) Merge(now time.Time, records []Record) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
	var changed []Record
	for _, r := range records {
		if r.Age < 0 || r.Age >= t.expiry {
			continue
		}
		key := recordKey{r.Fingerprint, r.Origin, r.CrashID}
		state, ok := t.records[key]
		if ok && (state.cleared || !r.Cleared) {
			continue
		}
		if !ok {
			state.crashedAt = now.Add(-r.Age)
		}
		state.cleared = r.Cleared
		t.put(key, state)
		changed = append(changed, r)
	}
	t.evict(now)
	return changed
}

// Records returns up to limit records that have not expired, for a node of the zone whose digest differs.
func (t *Table) Records(now time.Time, limit int) []Record {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
	var records []Record
	for key, state := range t.records {
		if now.Sub(state.crashedAt) < t.expiry && len(records) < limit {
			records = append(records, newRecord(now, key, state))
		}
	}
	return records
}

// Counts returns the number of records and the number of records that were evicted because the table was full.
func (t *Table) Counts() (records int, evicted uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return len(t.records), t.evicted
}

func newRecord(now time.Time, key recordKey, state recordState) Record {
	return Record{Fingerprint: key.fingerprint, Origin: key.origin, CrashID: key.crashID, Cleared: state.cleared, Age: max(now.Sub(state.crashedAt), 0)}
}
