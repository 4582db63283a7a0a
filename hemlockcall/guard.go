package hemlockcall

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/pkg/errors"
)

// RecoverPanic runs a function and returns a panic in it as an error that says where it came from. A fault in the handling of one
// call, message or connection must not end the process, and with it all others.
func RecoverPanic(run func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("panic: %v at %s", cause, panicOrigin())
		}
	}()
	run()
	return nil
}

// panicOrigin returns the file and line that panicked, called by a deferred function.
func panicOrigin() string {
	callers := make([]uintptr, 64)
	frames := runtime.CallersFrames(callers[:runtime.Callers(1, callers)])
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
			return "an unknown place"
		}
	}
}
