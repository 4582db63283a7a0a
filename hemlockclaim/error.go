// Package hemlockclaim makes requests that may not be repeated run at most once. A claim is a row in the platform's
// table; safety depends on the conditions of its writes alone.
package hemlockclaim

import (
	"hemlockhollow/hemlockcall"
	"hemlockhollow/hemlockerror"
)

// Kind says what kind of error a claim ended in.
type Kind string

// The kinds of claim errors.
const (
	// KindUnavailable is a claim that could not be made; this attempt was not and will not be run. As the error of a
	// Writer it means that the write certainly has no effect, now or later.
	KindUnavailable Kind = "unavailable"
	// KindUnknown is a write that may have taken effect or may do so later, or a stored answer that cannot be read.
	KindUnknown Kind = "outcome-unknown"
	// KindInProgress is a key that another attempt claimed and that has no answer: it may have run.
	KindInProgress Kind = "in-progress"
	// KindMismatch is a key that was used with another request.
	KindMismatch Kind = "digest-mismatch"
	// KindExpired is a key older than the retention of claims.
	KindExpired Kind = "expired-key"
	// KindBadKey is a key that is no UUID version 7 or lies too far in the future.
	KindBadKey Kind = "bad-key"
	// KindLost is a claim whose row no longer belongs to the claimer.
	KindLost Kind = "claim-lost"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

func newError(operation string, kind Kind, text string) *Error {
	return hemlockerror.New(operation, kind, text)
}

func wrapError(operation string, kind Kind, cause error) *Error {
	return hemlockerror.Wrap(operation, kind, cause)
}

// NewError returns an error for implementations of Store, Writer and Table.
func NewError(operation string, kind Kind, text string) *Error {
	return newError(operation, kind, text)
}

// WrapError returns an error around a cause for implementations of Store, Writer and Table.
func WrapError(operation string, kind Kind, cause error) *Error {
	return wrapError(operation, kind, cause)
}

// KindOf returns the kind of a claim error, or the empty kind.
func KindOf(err error) Kind {
	return hemlockerror.KindOf[Kind](err)
}

// Refusal returns what a caller is told about an error of Claim.
func Refusal(err error) *hemlockcall.Refusal {
	switch KindOf(err) {
	case KindUnavailable:
		return hemlockcall.Refuse(hemlockcall.ReasonPlatform, err.Error())
	case KindMismatch, KindBadKey:
		return hemlockcall.Refuse(hemlockcall.ReasonInvalid, err.Error())
	case KindExpired:
		// An attempt within the retention may have run; its row may be gone.
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonInvalid, err.Error())
	default:
		return hemlockcall.RefuseUnknown(hemlockcall.ReasonClaimed, err.Error())
	}
}
