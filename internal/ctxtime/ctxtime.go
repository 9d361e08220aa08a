// Package ctxtime has waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep returns after a duration, or at once when the context ends. It reports whether the context has not ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
