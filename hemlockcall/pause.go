package hemlockcall

import (
	"context"
	"time"
)

// Pause waits and reports whether the context still runs.
func Pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
