package hemlockcall

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/pkg/errors"
)

// RecoverPanic runs a function and returns a panic in it as an error that names the file and line of the panic. A panic
// while one call, message or connection is handled must not terminate the process, and with it all others.
func RecoverPanic(run func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v at %s", cause, panicOrigin())
		}
	}()
	run()
	return nil
}

// panicOrigin returns the file and line at which the panic occurred. It must be called while a deferred function recovers the
// panic.
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
