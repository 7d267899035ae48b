// Package pause waits in a way that can be broken off.
//
// # Usage
//
//	for !done() && pause.For(ctx, 100*time.Millisecond) {
//	}
package pause

import (
	"context"
	"time"
)

// For waits for the time and tells whether it has passed before ctx ended.
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
