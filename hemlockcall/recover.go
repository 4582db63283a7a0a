package hemlockcall

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/pkg/errors"
)

// RecoverPanic runs a function. If the function panics, the returned error names the value, file and line of the panic;
// otherwise the error is nil. A panic while one call, message or connection is handled must not terminate the process, and
// with it all others.
func RecoverPanic(run func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v at %s", cause, panicOrigin())
		}
	}()
	run()
	return nil
}

// panicOrigin returns the file and line at which the panic occurred. It must be called by the deferred function that
// recovers the panic.
func panicOrigin() string {
	pcs := make([]uintptr, 64)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	panicking := false
	for {
		frame, more := frames.Next()
		switch {
		case frame.Function == "runtime.gopanic":
			panicking = true
		case panicking && !strings.HasPrefix(frame.Function, "runtime."):
			return fmt.Sprintf("%s:%d", filepath.Base(frame.File), frame.Line)
		}
		if !more {
			return "an unknown location"
		}
	}
}
