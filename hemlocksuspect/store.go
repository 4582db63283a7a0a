package hemlocksuspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// put stores a crash record and keeps the index and the digest in step.
func (t *Table) put(key crashKey, c crash) {
	old, known := t.crashes[key]
	if known {
		t.digest ^= digestOf(key, old)
	} else {
		t.byRequest[key.fingerprint] = append(t.byRequest[key.fingerprint], key)
	}
	t.crashes[key] = c
	t.digest ^= digestOf(key, c)
}

func (t *Table) drop(key crashKey) {
	t.digest ^= digestOf(key, t.crashes[key])
	delete(t.crashes, key)
	keys := t.byRequest[key.fingerprint]
	if i := slices.Index(keys, key); i >= 0 {
		keys = slices.Delete(keys, i, i+1)
	}
	if len(keys) == 0 {
		delete(t.byRequest, key.fingerprint)
		return
	}
	t.byRequest[key.fingerprint] = keys
}

// purge drops expired records, at most once a second.
func (t *Table) purge(now time.Time) {
	if now.Sub(t.purged) < time.Second && !t.purged.IsZero() {
		return
	}
	t.purged = now
	for key, c := range t.crashes {
		if now.Sub(c.seen) >= t.expiry+grace {
			t.drop(key)
		}
	}
}

// shrink drops records when there are too many: withdrawn and expired ones first, then single suspicions, and requests
// with two crashes last, because those are known to be dangerous. Within each group the oldest go first.
func (t *Table) shrink(now time.Time) {
	excess := len(t.crashes) - t.size
	if excess <= 0 {
		return
	}
	type candidate struct {
		key  crashKey
		rank int
		seen time.Time
	}
	candidates := make([]candidate, 0, len(t.crashes))
	for key, c := range t.crashes {
		rank := min(t.count(now, key.fingerprint), limit)
		if c.cleared || now.Sub(c.seen) >= t.expiry {
			rank = 0
		}
		candidates = append(candidates, candidate{key, rank, c.seen})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.seen.Compare(b.seen)
	})
	// An eighth of the room is freed at once, so that a flood of records does not sort the table for each of them.
	for _, c := range candidates[:min(excess+t.size/8, len(candidates))] {
		t.drop(c.key)
		t.dropped++
	}
}

// Digest returns a value that differs, with overwhelming probability, between tables that hold different records.
func (t *Table) Digest(now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.purge(now)
	return t.digest
}

func digestOf(key crashKey, c crash) uint64 {
	var text [64]byte
	b := binary.LittleEndian.AppendUint64(text[:0], key.fingerprint)
	b = binary.LittleEndian.AppendUint64(b, key.crash)
	if c.cleared {
		b = append(b, 1)
	}
	return xxhash.Sum64(append(b, key.origin...))
}

// AssignedAddress returns the address, of the given ones, to which a suspect is sent, by rendezvous hashing; it is empty only for
// no addresses. When every node of the zone sends a suspect there, two targets do not run it at the same time.
func AssignedAddress(fingerprint uint64, addresses []string) string {
	var best string
	var highest uint64
	var text [96]byte
	for _, address := range addresses {
		b := binary.LittleEndian.AppendUint64(text[:0], fingerprint)
		score := xxhash.Sum64(append(b, address...))
		if best == "" || score > highest || (score == highest && address < best) {
			best, highest = address, score
		}
	}
	return best
}
