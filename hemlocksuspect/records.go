package hemlocksuspect

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// put stores a crash record and updates the index and the digest.
func (t *Table) put(key recordKey, state recordState) {
	previous, known := t.records[key]
	if known {
		t.digest ^= digestOf(key, previous)
	} else {
		t.byRequest[key.fingerprint] = append(t.byRequest[key.fingerprint], key)
	}
	t.records[key] = state
	t.digest ^= digestOf(key, state)
}

// remove deletes a crash record and updates the index and the digest.
func (t *Table) remove(key recordKey) {
	t.digest ^= digestOf(key, t.records[key])
	delete(t.records, key)
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

// removeExpired removes the records whose age is at least expiry plus expiryGrace. It does so at most once per second.
func (t *Table) removeExpired(now time.Time) {
	if now.Sub(t.lastRemoval) < time.Second && !t.lastRemoval.IsZero() {
		return
	}
	t.lastRemoval = now
	for key, state := range t.records {
		if now.Sub(state.crashedAt) >= t.expiry+expiryGrace {
			t.remove(key)
		}
	}
}

// evict removes records if there are more than maxRecords: cleared and expired ones first, then those of requests with
// one crash, and those of requests with two or more crashes last, because these are the most likely poison requests.
// Within each group, the oldest records are evicted first.
func (t *Table) evict(now time.Time) {
	excess := len(t.records) - t.maxRecords
	if excess <= 0 {
		return
	}
	type candidate struct {
		key       recordKey
		rank      int
		crashedAt time.Time
	}
	candidates := make([]candidate, 0, len(t.records))
	for key, state := range t.records {
		_, crashes := t.activeCrashes(now, key.fingerprint)
		rank := min(crashes, crashLimit)
		if state.cleared || now.Sub(state.crashedAt) >= t.expiry {
			rank = 0
		}
		candidates = append(candidates, candidate{key, rank, state.crashedAt})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return a.crashedAt.Compare(b.crashedAt)
	})
	// Evicts another eighth of maxRecords in addition, so that the table is not sorted again for each record of a flood.
	for _, c := range candidates[:min(excess+t.maxRecords/8, len(candidates))] {
		t.remove(c.key)
		t.evicted++
	}
}

// Digest returns a hash of the keys of the records and of whether each is cleared; the time of the crash is left out,
// as it differs between nodes. Tables that differ in these have different digests with overwhelming probability.
func (t *Table) Digest(now time.Time) uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeExpired(now)
	return t.digest
}

func digestOf(key recordKey, state recordState) uint64 {
	var buffer [64]byte
	b := binary.LittleEndian.AppendUint64(buffer[:0], key.fingerprint)
	b = binary.LittleEndian.AppendUint64(b, key.crashID)
	if state.cleared {
		b = append(b, 1)
	}
	return xxhash.Sum64(append(b, key.origin...))
}

// AssignedAddress chooses by rendezvous hashing the address to which a suspect is sent; it is empty if there are no
// addresses. As all nodes of the zone send a suspect to the same node, two targets do not run it at the same time.
func AssignedAddress(fingerprint uint64, addresses []string) string {
	var best string
	var highest uint64
	var buffer [96]byte
	for _, address := range addresses {
		b := binary.LittleEndian.AppendUint64(buffer[:0], fingerprint)
		score := xxhash.Sum64(append(b, address...))
		if best == "" || score > highest || (score == highest && address < best) {
			best, highest = address, score
		}
	}
	return best
}
