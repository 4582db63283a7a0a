// Package hemlockclaim runs requests that are not idempotent at most once. An attempt first claims the idempotency key
// of its request by a conditional write of a row in the platform's table, and runs the request only if the write
// succeeded. As long as the row exists, safety depends only on the conditions of the writes, not on clocks or on agreement
// between nodes. Sweep deletes old rows; for these, safety depends on clocks that differ by less than the retention, as
// Claim refuses keys older than the retention and Sweep deletes only rows of keys older than twice the retention.
//
// A table that returns from an older copy loses rows. It then states another era, and Claim refuses all keys without a row that may have
// been claimed before; see EraTracker.
package hemlockclaim

import (
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of claim errors.
const (
	// KindUnavailable means that the claim could not be made: this attempt was not and will not be run. As the error of
	// a Writer it means that the write did not and will not take effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that a write may have taken effect or may do so later, or that a response could not be stored
	// or read.
	KindUnknown Kind = "outcome-unknown"
	// KindInProgress means that another attempt claimed the key and that its response is not stored or could
	// not be determined: the request may have run.
	KindInProgress Kind = "in-progress"
	// KindMismatch means that the key was used with a different request.
	KindMismatch Kind = "digest-mismatch"
	// KindExpired means that the key is older than the retention of claims.
	KindExpired Kind = "expired-key"
	// KindBadKey means that the key is not a UUID version 7 in the canonical text form, or that its time is more than 5
	// minutes in the future.
	KindBadKey Kind = "bad-key"
	// KindLost means that the row of the claim no longer belongs to the attempt that made it.
	KindLost Kind = "claim-lost"
)

// KindUncertain means that the table returned from an older copy and may have lost a claim of the key: the request may have run.
const KindUncertain Kind = "claim-uncertain"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

func newError(operation string, kind Kind, text string) *Error {
	return hemlockerror.New(operation, kind, text)
}

func wrapError(operation string, kind Kind, cause error) *Error {
	return hemlockerror.Wrap(operation, kind, cause)
}

// NewError returns an Error. Implementations of Store, Writer and Table use it.
func NewError(operation string, kind Kind, text string) *Error {
	return newError(operation, kind, text)
}

// WrapError returns an Error that wraps a cause. Implementations of Store, Writer and Table use it.
func WrapError(operation string, kind Kind, cause error) *Error {
	return wrapError(operation, kind, cause)
}

// KindOf returns the kind of a claim error, or the empty kind for any other error.
func KindOf(err error) Kind {
	return hemlockerror.KindOf[Kind](err)
}

// Refusal returns the refusal that a caller receives after an error of Claim.
func Refusal(err error) *hemlockcall.Refusal {
	switch KindOf(err) {
	case KindUnavailable:
		return hemlockcall.Refuse(hemlockcall.ReasonPlatform, err.Error())
	case KindMismatch, KindBadKey:
		return hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	case KindExpired:
		// An earlier attempt may have run within the retention, and its row may have been deleted since.
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonInvalid, err.Error())
	default:
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonClaimed, err.Error())
	}
}
