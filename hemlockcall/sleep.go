package hemlockcall

import (
	"context"
	"time"
)

// Sleep waits for the given duration and returns true. If the context ends first, Sleep returns false at that time.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
