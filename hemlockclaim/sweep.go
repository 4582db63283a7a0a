package hemlockclaim

import (
	"context"
	"strings"
	"time"
)

// sweepPage is how many rows one listing returns; a row can hold an answer of 64 KiB.
const sweepPage = 32

// Sweep deletes the claims of a service whose keys are older than twice the retention, at most limit in one run, and
// returns how many it deleted. Keys of version 7 sort by time, so it ends at the first younger row.
//
// Claimers refuse keys older than the retention. The distance to twice the retention covers differing clocks and nodes
// that still use another retention; the retention therefore must not be changed by more than a factor of two at once.
func Sweep(ctx context.Context, table Table, service string, retention time.Duration, now time.Time, limit int,
) (int, error) {
	start, after, deleted := prefix(service), "", 0
	for examined := 0; examined < limit; {
		entries, err := table.List(ctx, start, after, min(sweepPage, limit-examined))
		if err != nil {
			return deleted, err
		}
		old := expired(entries, start, now.Add(-2*retention))
		if len(old) > 0 {
			// Rows that changed since the listing stay until the next run.
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

// expired returns the deletions of the leading entries whose keys were issued before the limit.
func expired(entries []Entry, start string, limit time.Time) []Change {
	var old []Change
	for _, e := range entries {
		id, ok := parseKey(strings.TrimPrefix(e.Key, start))
		if !ok || !issued(id).Before(limit) {
			break
		}
		old = append(old, Change{Key: e.Key, Version: e.Row.Version, Delete: true})
	}
	return old
}
