package hemlockpeer

import (
	"hemlockhollow/hemlockerror"
)

// Kind is the kind of an Error.
type Kind string

// The kinds of errors.
const (
	// KindViolation is a message that violates the protocol; the connection it arrived on is closed.
	KindViolation Kind = "violation"
	// KindConnection is a connection that could not be opened or was lost.
	KindConnection Kind = "connection"
	// KindCapacity is a wait for a free connection that timed out or was cancelled, or a full send queue.
	KindCapacity Kind = "capacity"
	// KindRemote is an error that the peer returned, or any failure of a control message on an open connection.
	KindRemote Kind = "remote"
	// KindClosed is the use of a server, client or stream that has ended.
	KindClosed Kind = "closed"
	// KindBody is a body that could not be read completely or does not have the declared length.
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
