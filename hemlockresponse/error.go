package hemlockresponse

import (
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindHead is a head that breaks the protocol or is too large.
	KindHead Kind = "head"
	// KindBody is a chunk or trailer that breaks the protocol or is too large.
	KindBody Kind = "body"
	// KindSurplus is bytes that arrived while no response was expected.
	KindSurplus Kind = "surplus"
	// KindMemory is a head for which the memory budget has no memory left.
	KindMemory Kind = "memory"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

const operationRead = "read response"

func headError(text string) error {
	return hemlockerror.New(operationRead, KindHead, text)
}

func bodyError(text string) error {
	return hemlockerror.New(operationRead, KindBody, text)
}
