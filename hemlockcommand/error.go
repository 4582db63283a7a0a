package hemlockcommand

import (
	"github.com/pkg/errors"

	"hemlockhollow/hemlockconfiguration"
	"hemlockhollow/hemlockerror"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors; each has its exit code.
const (
	// KindUsage is an invalid argument, setting or file.
	KindUsage Kind = "wrong setting"
	// KindFailure is a failure at run time.
	KindFailure Kind = "failed"
	// KindUnreachable is a platform whose store could not be opened, for example because its address is unusable. Calls
	// to the store that fail later have hemlockconfiguration.KindUnavailable.
	KindUnreachable Kind = "platform unreachable"
	// KindConflict is a publish that was refused because of publishes of others. Such errors come from
	// hemlockconfiguration, with its kinds; this package creates none.
	KindConflict Kind = "conflict"
)

// Error is the error type of this package.
type Error = hemlockerror.Error[Kind]

// The exit codes of the process.
const (
	exitSuccess     = 0
	exitFailure     = 1
	exitUsage       = 2
	exitUnreachable = 3
	exitConflict    = 4
)

func exitCode(err error) int {
	if err == nil {
		return exitSuccess
	}
	switch hemlockerror.KindOf[Kind](err) {
	case KindUsage:
		return exitUsage
	case KindUnreachable:
		return exitUnreachable
	case KindConflict:
		return exitConflict
	}
	switch hemlockerror.KindOf[hemlockconfiguration.Kind](err) {
	case hemlockconfiguration.KindInvalid:
		return exitUsage
	case hemlockconfiguration.KindUnavailable:
		return exitUnreachable
	case hemlockconfiguration.KindConflict, hemlockconfiguration.KindContended:
		return exitConflict
	}
	return exitFailure
}

func usageError(operation, format string, arguments ...any) error {
	return hemlockerror.Wrap(operation, KindUsage, errors.Errorf(format, arguments...))
}
