package hemlockcall

import (
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// KindInvalid means that a value is not one of the allowed ones.
const KindInvalid Kind = "invalid"

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

func newError(operation string, kind Kind, text string) *Error {
	return hemlockerror.New(operation, kind, text)
}
