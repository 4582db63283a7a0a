// Package hemlocknode assembles the process of one node: settings, the data path of calls, the background duties and the
// graceful shutdown.
package hemlocknode

import (
	"hemlockhollow/hemlockerror"
)

// Kind says what kind of error an operation of this package ended in.
type Kind string

const (
	// KindSetting is a setting that is missing, malformed or contradicts another.
	KindSetting Kind = "invalid setting"
	// KindListen is an address on which the node could not listen.
	KindListen Kind = "cannot listen"
	// KindStop is a graceful shutdown that exceeded its timeout.
	KindStop Kind = "stopped before all requests ended"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]
