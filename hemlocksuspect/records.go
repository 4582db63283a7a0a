package hemlocksuspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// put stores a crash record and updates the index and the digest.
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

// remove deletes a crash record and updates the index and the digest.
func (t *Table) remove(key crashKey) {
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

// removeExpired deletes the records whose expiry and grace time have passed. It does so at most once per second.
func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.lastPurge) < time.Second && !t.lastPurge.IsZero() {
		return
	}
	t.lastPurge = now
	for key, c := range t.crashes {
		if now.Sub(c.crashedAt) >= t.expiry+expiryGrace {
			t.remove(key)
		}
	}
}

// evict drops records if there are more than maxRecords: cleared and expired ones first, then those of requests with one
// crash, and those of requests with two or more crashes last, because these are the most likely poison requests. Within
// each group, the oldest records are dropped first.
func (t *Table) evict(now time.Time) {
	excess := len(t.crashes) - t.maxRecords
	if excess <= 0 {
		return
	}
	type candidate struct {
		key       crashKey
		rank      int
		crashedAt time.Time
	}
	candidates := make([]candidate, 0, len(t.crashes))
	for key, c := range t.crashes {
		rank := min(t.activeCrashes(now, key.fingerprint), crashLimit)
		if c.cleared || now.Sub(c.crashedAt) >= t.expiry {
			rank = 0
		}
		candidates = append(candidates, candidate{key, rank, c.crashedAt})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.crashedAt.Compare(b.crashedAt)
	})
	// Also drops an eighth of maxRecords, so that a flood of records does not sort the table for each record.
	for _, c := range candidates[:min(excess+t.maxRecords/8, len(candidates))] {
		t.remove(c.key)
		t.dropped++
	}
}

// Digest returns a hash of the records. Tables with different records have different digests with overwhelming
// probability.
func (t *Table) Digest(now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
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

// AssignedAddress returns the one of the given addresses to which a suspect is sent, by rendezvous hashing. It is empty
// only without addresses. As all nodes of the zone send a suspect to the same node, two targets do not run it at the same
// time.
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
