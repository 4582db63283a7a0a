package hemlockpeer

import (
	"hemlockhollow/hemlockerror"
)

// Kind says what kind of error an operation of this package ended in.
type Kind string

// The kinds of errors.
const (
	// KindViolation is a message that breaks the protocol; the connection it came on is closed.
	KindViolation Kind = "violation"
	// KindConnection is a connection that could not be opened or broke.
	KindConnection Kind = "connection"
	// KindCapacity is a wait for a connection that lasted too long.
	KindCapacity Kind = "capacity"
	// KindRemote is an error that the peer reported.
	KindRemote Kind = "remote"
	// KindClosed is the use of a server or client that was shut down.
	KindClosed Kind = "closed"
	// KindBody is a request body that could not be read to its end.
	KindBody Kind = "body"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

func violation(operation, text string) error {
	return hemlockerror.New(operation, KindViolation, text)
}

func isViolation(err error) bool {
	return hemlockerror.KindOf[Kind](err) == KindViolation
}
