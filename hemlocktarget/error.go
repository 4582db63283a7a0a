package hemlocktarget

import (
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindAddress is a listener address that other hosts can reach.
	KindAddress Kind = "address"
	// KindMessage is an invalid announcement.
	KindMessage Kind = "message"
	// KindListen is a server that failed.
	KindListen Kind = "listen"
	// KindRequestBody is a request body that stalled, was truncated, or was not read because its request had ended.
	KindRequestBody Kind = "upload"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]
