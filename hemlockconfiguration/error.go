package hemlockconfiguration

import (
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindInvalid is an invalid service file or change. Nothing was published; the cause may be hemlockservice.Problems.
	KindInvalid Kind = "invalid"
	// KindConflict is a change of a service that another publish has changed after the base version. Nothing was
	// published.
	KindConflict Kind = "conflict"
	// KindContended is a publish that was overtaken by publishes of other services at every attempt. Nothing was
	// published.
	KindContended Kind = "contended"
	// KindUnavailable is a store that does not respond or whose calls fail at every attempt. Nothing was published.
	KindUnavailable Kind = "unavailable"
	// KindOutcomeUnknown is a publish whose outcome could not be determined: the store stopped responding after the
	// write was sent, or the nonce of its version is no longer kept. The publish may or may not take effect.
	KindOutcomeUnknown Kind = "outcome-unknown"
	// KindCorrupt is an encoded configuration that is damaged, too large, of an unknown format or of another version than
	// the head row names, or a malformed head row.
	KindCorrupt Kind = "corrupt"
	// KindStale is returned by Store.SwapHead when the head row no longer has the given row version.
	KindStale Kind = "stale"
	// KindNotFound is returned by Store.GetObject for an object that does not exist.
	KindNotFound Kind = "missing"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]
