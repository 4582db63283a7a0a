package hemlockclaim

import (
	"context"
	"strings"
	"time"
)

// sweepPageSize limits the rows of one List call, as each row can contain a response of 64 KiB by default.
const sweepPageSize = 32

// Sweep deletes the claims of a service whose keys are older than twice the retention and returns the number of deleted
// rows, also with an error. It examines at most limit rows. UUIDs of version 7 sort by time, so Sweep stops at the first
// row that is not old enough. It also stops at a row whose key cannot be parsed.
//
// Claimers refuse keys older than the retention. The margin up to twice the retention covers clock differences and
// nodes that still use a previous retention. A single change of the retention must therefore not exceed a factor of
// two.
func Sweep(ctx context.Context, table Table, service string, retention time.Duration, now time.Time, limit int,
) (int, error) {
	prefix, after, deleted := rowKeyPrefix(service), "", 0
	for examined := 0; examined < limit; {
		entries, err := table.List(ctx, prefix, after, min(sweepPageSize, limit-examined))
		if err != nil {
			return deleted, err
		}
		deletes := deletions(entries, prefix, now.Add(-2*retention))
		if len(deletes) > 0 {
			// Rows that changed since they were listed are left to the next call of Sweep.
			applied, err := NewTransactionWriter(table).Write(ctx, deletes)
			if err != nil {
				return deleted, err
			}
			for _, ok := range applied {
				if ok {
					deleted++
				}
			}
		}
		if len(deletes) < len(entries) || len(entries) == 0 {
			break
		}
		examined += len(entries)
		after = entries[len(entries)-1].Key
	}
	return deleted, nil
}

// deletions returns changes that delete the leading entries whose keys were issued before the cutoff.
func deletions(entries []Entry, prefix string, cutoff time.Time) []Change {
	var deletes []Change
	for _, e := range entries {
		id, ok := parseKey(strings.TrimPrefix(e.Key, prefix))
		if !ok || !issuedAt(id).Before(cutoff) {
			break
		}
		deletes = append(deletes, Change{Key: e.Key, Version: e.Row.Version, Delete: true})
	}
	return deletes
}
