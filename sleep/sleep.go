// Package sleep waits until a time has passed or a context ends.
//
// # Usage
//
//	for !done() && sleep.For(ctx, 100*time.Millisecond) {
//	}
package sleep

import (
	"context"
	"time"
)

// For sleeps for the given time and reports whether it passed before ctx ended.
func For(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
