package hemlockclaim

import (
	"context"
	"strings"
	"time"
)

// sweepPageSize limits the rows of one List call, as each row can contain an answer of 64 KiB.
const sweepPageSize = 32

// Sweep deletes the claims of a service whose keys are older than twice the retention and returns the number of deleted
// rows. It examines at most limit rows. UUIDs of version 7 sort by time, so it stops at the first row that is not old
// enough.
//
// Claimers refuse keys older than the retention. The margin up to twice the retention covers clock differences and nodes
// that still use a previous retention. The retention must therefore not change by more than a factor of two at once.
func Sweep(ctx context.Context, table Table, service string, retention time.Duration, now time.Time, limit int,
) (int, error) {
	prefix, after, deleted := rowKeyPrefix(service), "", 0
	for examined := 0; examined < limit; {
		entries, err := table.List(ctx, prefix, after, min(sweepPageSize, limit-examined))
		if err != nil {
			return deleted, err
		}
		old := deletions(entries, prefix, now.Add(-2*retention))
		if len(old) > 0 {
			// Rows that changed since they were listed are left to the next run.
			applied, err := NewTransactionWriter(table).Write(ctx, old)
			if err != nil {
				return deleted, err
			}
			for _, done := range applied {
				if done {
					deleted++
				}
			}
		}
		if len(old) < len(entries) || len(entries) == 0 {
			break
		}
		examined += len(entries)
		after = entries[len(entries)-1].Key
	}
	return deleted, nil
}

// deletions returns changes that delete the leading entries whose keys were issued before the limit.
func deletions(entries []Entry, prefix string, limit time.Time) []Change {
	var old []Change
	for _, e := range entries {
		id, ok := parseKey(strings.TrimPrefix(e.Key, prefix))
		if !ok || !issuedAt(id).Before(limit) {
			break
		}
		old = append(old, Change{Key: e.Key, Version: e.Row.Version, Delete: true})
	}
	return old
}
