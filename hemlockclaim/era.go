package hemlockclaim

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// EraRecord is the row of the table from which all nodes know which claims the table may have lost.
type EraRecord struct {
	// Era is the era of the table in which the record was written.
	Era string `json:"era"`
	// LostUntil is the latest time in the idempotency key of a claim that the table may have lost when it returned from an older
	// copy; zero if it has never returned.
	LostUntil time.Time `json:"lost-until,omitzero"`
	// Lead is how far the time in a key may be ahead of a node's clock; at most maxClockSkew. The smaller it is, the sooner keys can
	// be claimed again after a return of the table.
	Lead time.Duration `json:"lead-ns"`
	// NextLead replaces Lead from NextFrom on, when all copies from which the table may return have it. 0 means that none does.
	NextLead time.Duration `json:"next-lead-ns,omitempty"`
	// NextFrom is zero if NextLead is 0.
	NextFrom time.Time `json:"next-from,omitzero"`
}

const (
	// initialLead covers callers whose clocks are synchronised.
	initialLead = 2 * time.Second
	// leadFactor is the factor between two leads, so that a few writes suffice for callers of all kinds.
	leadFactor = 5
	// maxCopyAge is the age of the oldest copy from which the table may return.
	maxCopyAge = time.Minute
)

// allowedLead returns how far the time in a key may be ahead at the time now.
func (r EraRecord) allowedLead(now time.Time) time.Duration {
	if r.NextLead > r.Lead && !now.Before(r.NextFrom) {
		return r.NextLead
	}
	return r.Lead
}

// WithLead returns the record with a larger lead, of which the given one is a part, from maxCopyAge after now on.
func (r EraRecord) WithLead(lead time.Duration, now time.Time) EraRecord {
	r.Lead = r.allowedLead(now)
	next := max(r.Lead, initialLead)
	for next < lead {
		next *= leadFactor
	}
	r.NextLead, r.NextFrom = min(next, maxClockSkew), now.Add(maxCopyAge)
	return r
}

// EraStore stores the EraRecord.
type EraStore interface {
	// StatedEra returns the era that the table stated last, without a call to it; empty if it has not stated one.
	StatedEra() string
	// ReadEra returns the record, the version of its row, and the era that the response states; the version is 0 if there is no
	// record.
	ReadEra(ctx context.Context) (record EraRecord, version uint64, stated string, err error)
	// WriteEra writes the record if its row has the version, and reports whether it did.
	WriteEra(ctx context.Context, version uint64, record EraRecord) (bool, error)
}

// EraTracker knows which claims the table may have lost: each time the table returns from an older copy, the first node that notices
// records the time, and all nodes refuse to claim keys that may have been claimed before. It is safe for concurrent use.
type EraTracker struct {
	store EraStore
	// current is nil until the first record was read or written.
	current atomic.Pointer[EraRecord]
	// refreshing is held by the caller that reads or writes the record in the table.
	refreshing *semaphore.Weighted
}

// NewEraTracker returns an EraTracker that uses the store.
func NewEraTracker(store EraStore) *EraTracker {
	return &EraTracker{store: store, refreshing: semaphore.NewWeighted(1)}
}

// InitialiseEra writes the record of a table that has never lost a claim, unless there is a record. It is called with a publish, as
// there are no claims before the first one. A node never calls it: to a node, a missing record is a lost one.
func InitialiseEra(ctx context.Context, store EraStore) error {
	_, version, stated, err := store.ReadEra(ctx)
	if err != nil || version > 0 || stated == "" {
		return err
	}
	// If others write it first, the condition fails, which is as good.
	_, err = store.WriteEra(ctx, 0, EraRecord{Era: stated, Lead: initialLead})
	return err
}

// maxNodeClockError is how far the clock of a node may be from that of another one.
const maxNodeClockError = 30 * time.Second

// maxEraAttempts limits the attempts to write the record, as other nodes write it at the same time.
const maxEraAttempts = 3

// Current returns the record of the era that the table stated last. It calls the table only if that era is not known yet. The time now
// is by the clock that determines the age of keys.
func (e *EraTracker) Current(ctx context.Context, now time.Time) (EraRecord, error) {
	if record, ok := e.known(); ok {
		return record, nil
	}
	if err := e.refreshing.Acquire(ctx, 1); err != nil {
		return EraRecord{}, err
	}
	defer e.refreshing.Release(1)
	if record, ok := e.known(); ok {
		return record, nil
	}
	lastErr := error(newError("read era", KindUnavailable, "other nodes write the record of the table's era"))
	for range maxEraAttempts {
		record, version, stated, err := e.store.ReadEra(ctx)
		if err != nil {
			return EraRecord{}, err
		}
		if stated == "" && record.Era != "" {
			// Nothing would tell a return of the table from now on.
			return EraRecord{}, newError("read era", KindUnavailable, "the table no longer states its era")
		}
		next, write := e.next(now, record, version > 0, stated)
		if write {
			// After a lost response or a conflict, the record is read again.
			if written, err := e.store.WriteEra(ctx, version, next); err != nil || !written {
				if err != nil {
					lastErr = err
				}
				continue
			}
		}
		e.current.Store(&next)
		return next, nil
	}
	return EraRecord{}, lastErr
}

// AllowLead reports whether a key whose time is ahead by the lead may be claimed at the time now in the era of the record. If not, it
// makes the lead a part of the record, so that the key may be claimed later.
func (e *EraTracker) AllowLead(ctx context.Context, record EraRecord, lead time.Duration, now time.Time) (bool, error) {
	if record.Era == "" || lead <= record.allowedLead(now) {
		return true, nil
	}
	if err := e.refreshing.Acquire(ctx, 1); err != nil {
		return false, err
	}
	defer e.refreshing.Release(1)
	newest, version, stated, err := e.store.ReadEra(ctx)
	if err != nil || version == 0 || stated != record.Era || newest.Era != record.Era {
		return false, err // Current takes care of another era
	}
	if lead > newest.allowedLead(now) && lead > newest.NextLead {
		newest = newest.WithLead(lead, now)
		if written, err := e.store.WriteEra(ctx, version, newest); err != nil || !written {
			return false, err
		}
	}
	e.current.Store(&newest)
	return lead <= newest.allowedLead(now), nil
}

// known returns the record of the era that the table stated last, and false if it is not known.
func (e *EraTracker) known() (EraRecord, bool) {
	record := e.current.Load()
	if record == nil || record.Era != e.store.StatedEra() {
		return EraRecord{}, false
	}
	return *record, true
}

// next returns the record for the stated era, and whether it must be written.
func (e *EraTracker) next(now time.Time, record EraRecord, found bool, stated string) (EraRecord, bool) {
	known := e.current.Load()
	switch {
	case found && record.Era == stated:
		return record, false
	case !found && known == nil && stated == "":
		return EraRecord{}, false
	}
	next := record
	if !found {
		next.Lead = maxClockSkew // whatever the lost record said
	}
	if known != nil {
		next.Lead = max(next.Lead, known.Lead, known.NextLead)
	}
	next.Era = stated
	next.LostUntil = now.Add(max(next.Lead, next.NextLead) + maxNodeClockError)
	if record.LostUntil.After(next.LostUntil) {
		next.LostUntil = record.LostUntil
	}
	if known != nil && known.LostUntil.After(next.LostUntil) {
		next.LostUntil = known.LostUntil
	}
	return next, true
}
