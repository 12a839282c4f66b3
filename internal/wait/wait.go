// Package wait implements a delay, as between two attempts, that a context can end
// early.
package wait

import (
	"context"
	"time"
)

// For returns after d or when ctx ends, whichever is first. It reports whether ctx has
// not ended.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
