// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// Sleep waits for d. It reports whether the full time passed; false means that ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
