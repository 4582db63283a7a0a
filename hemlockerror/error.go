// Package hemlockerror contains the generic error type that the other packages instantiate with their own kinds.
package hemlockerror

import (
	"github.com/pkg/errors"
)

// Error is a failed operation with a kind that callers can switch on.
type Error[K ~string] struct {
	// Operation names what was attempted, for example "publish"; it is never empty.
	Operation string
	// Kind is one of the constants of the package that instantiates the type.
	Kind K
	// Cause is the underlying error, or nil when there is none.
	Cause error
}

// New returns an error of the given kind. Its cause has the given text, or is nil when the text is empty.
func New[K ~string](operation string, kind K, text string) *Error[K] {
	failure := &Error[K]{Operation: operation, Kind: kind}
	if text != "" {
		failure.Cause = errors.New(text)
	}
	return failure
}

// Wrap returns an error of the given kind around a cause.
func Wrap[K ~string](operation string, kind K, cause error) *Error[K] {
	return &Error[K]{Operation: operation, Kind: kind, Cause: cause}
}

// Error implements the error interface.
func (e *Error[K]) Error() string {
	if e.Cause == nil {
		return e.Operation + ": " + string(e.Kind)
	}
	return e.Operation + ": " + string(e.Kind) + ": " + e.Cause.Error()
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error[K]) Unwrap() error {
	return e.Cause
}

// KindOf returns the kind of the first Error[K] in the chain of err, or the empty kind.
func KindOf[K ~string](err error) K {
	var failure *Error[K]
	if errors.As(err, &failure) {
		return failure.Kind
	}
	return ""
}
