package hemlockcall

import (
	"context"
	"time"
)

// Sleep waits and reports whether the context still runs.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
