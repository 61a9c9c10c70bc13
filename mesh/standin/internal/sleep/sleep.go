// Package sleep pauses a goroutine until a time has passed or a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether the context was still active at its end.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
