// Package pause provides waits that end with a context.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends. It reports whether d has passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls duty at once and then at each period until ctx ends. A call that takes
// longer than the period delays the next one, and missed calls are dropped.
func Every(ctx context.Context, period time.Duration, duty func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		duty(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
