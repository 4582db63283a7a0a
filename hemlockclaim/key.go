package hemlockclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/google/uuid"
)

// futureMargin is how far the clock of the host that issued a key may be ahead.
const futureMargin = 5 * time.Minute

// keyLength is the length of the canonical text form of a UUID; uuid.Parse accepts other forms too.
const keyLength = 36

// prefix is the start of the row keys of a service. The service is escaped so that no name contains the separator.
func prefix(service string) string {
	return "claim/" + url.PathEscape(service) + "/"
}

// parseKey returns the canonical form of an idempotency key, so that two spellings of one key share a row.
func parseKey(key string) (uuid.UUID, bool) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != keyLength || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, false
	}
	return id, true
}

// issued returns the time in a UUID version 7: milliseconds since the Unix epoch in its first 48 bits.
func issued(id uuid.UUID) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}

// rowKey checks the key and returns the key of its row.
func rowKey(service, key string, retention time.Duration, now time.Time) (string, error) {
	const operation = "check key"
	id, ok := parseKey(key)
	if !ok {
		return "", newError(operation, KindBadKey, "the idempotency key is no UUID version 7")
	}
	age := now.Sub(issued(id))
	if age < -futureMargin {
		return "", newError(operation, KindBadKey, "the idempotency key is from the future")
	}
	if age > retention {
		return "", newError(operation, KindExpired, "the idempotency key is older than "+retention.String())
	}
	return prefix(service) + id.String(), nil
}

// Digest identifies a request, so that a key cannot be used for two different ones.
func Digest(method, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		// The length keeps different splits of the same bytes apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
