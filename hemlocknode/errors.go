// Package hemlocknode assembles the process of one node: settings, the data path of calls, the background duties and the
// graceful shutdown.
package hemlocknode

import (
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	// KindSetting is a setting that is missing, malformed or contradicts another, or a log that could not be opened.
	KindSetting Kind = "invalid setting"
	// KindListen is an address on which the node could not listen.
	KindListen Kind = "cannot listen"
	// KindStop is a graceful shutdown that exceeded its timeout or in which a server could not be shut down.
	KindStop Kind = "stopped before all requests ended"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]
