// Package pause waits without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx; it tells whether the time passed.
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

// Every does the duty at once and then each period until ctx ends. A duty that
// takes longer than the period delays the next one; none are made up for.
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
