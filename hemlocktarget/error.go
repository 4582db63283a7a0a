package hemlocktarget

import (
	"hemlockhollow/hemlockerror"
)

// Kind says what kind of error an operation of this package ended in.
type Kind string

// The kinds of errors.
const (
	// KindAddress is an address that may not be used.
	KindAddress Kind = "address"
	// KindMessage is an announcement that cannot be understood.
	KindMessage Kind = "message"
	// KindListen is a listener that failed.
	KindListen Kind = "listen"
	// KindUpload is a request body that stalled, broke off or has another length than declared.
	KindUpload Kind = "upload"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]
