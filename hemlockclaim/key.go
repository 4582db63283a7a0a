package hemlockclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/url"
	"time"

	"github.com/google/uuid"
)

// maxClockSkew is how far the clock of the host that issued a key may be ahead of this node's clock.
const maxClockSkew = 5 * time.Minute

// canonicalKeyLength is the length of the canonical text form of a UUID. uuid.Parse accepts other forms too.
const canonicalKeyLength = 36

// rowKeyPrefix returns the prefix of all row keys of a service. The service name is escaped so that it cannot contain
// the separator.
func rowKeyPrefix(service string) string {
	return "claim/" + url.PathEscape(service) + "/"
}

// parseKey parses an idempotency key and returns false unless it is a UUID version 7 in the canonical text form. The
// case of the letters does not matter, so that two spellings of one key share a row.
func parseKey(key string) (uuid.UUID, bool) {
	id, err := uuid.Parse(key)
	if err != nil || len(key) != canonicalKeyLength || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.UUID{}, false
	}
	return id, true
}

// issuedAt returns the time in a UUID version 7, whose first 48 bits are milliseconds since the Unix epoch.
func issuedAt(id uuid.UUID) time.Time {
	return time.UnixMilli(int64(binary.BigEndian.Uint64(id[:8]) >> 16))
}

// checkKey validates the form and the age of an idempotency key and returns the row key of its claim. Its errors are of
// KindBadKey or KindExpired.
func checkKey(service, key string, retention time.Duration, now time.Time) (string, error) {
	const operation = "check key"
	id, ok := parseKey(key)
	if !ok {
		return "", newError(operation, KindBadKey, "the idempotency key is not a UUID version 7 in the canonical text form")
	}
	age := now.Sub(issuedAt(id))
	if age < -maxClockSkew {
		return "", newError(operation, KindBadKey, "the time in the idempotency key is more than 5 minutes in the future")
	}
	if age > retention {
		return "", newError(operation, KindExpired, "the idempotency key is older than "+retention.String())
	}
	return rowKeyPrefix(service) + id.String(), nil
}

// Digest returns the SHA-256 hash, in hex, of the method, the path with the query, and the body of a request. By this
// hash, Claim detects that a key was used with a different request.
func Digest(method, path string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		// The length prefix distinguishes parts whose concatenation is the same.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// mayBeLost reports whether the table may have lost a claim of a valid idempotency key.
func mayBeLost(key string, era EraRecord) bool {
	id, _ := parseKey(key)
	return !issuedAt(id).After(era.LostUntil)
}
