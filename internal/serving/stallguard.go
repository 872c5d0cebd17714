package serving

import (
	"context"
	"sync"
	"time"
)

// stallGuard ends an attempt that is silent for too long. The arrival of data only
// records its time, because resetting a timer for each token would cost more. When
// the timer fires, it checks that time and is reset to the remaining duration if
// there is any.
type stallGuard struct {
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// reason is the cancellation cause if this guard ends the attempt.
	reason error
	// lastReceived is when data was last received, zero before the first.
	lastReceived time.Time
	stopped      bool
}

// newStallGuard starts a guard that cancels the attempt with firstReason if no data
// arrives within firstTimeout, and with errStalled if no data follows within
// stallTimeout after the last.
func newStallGuard(firstTimeout, stallTimeout time.Duration, cancel context.CancelCauseFunc, firstReason error) *stallGuard {
	g := &stallGuard{stallTimeout: stallTimeout, cancel: cancel, reason: firstReason}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(firstTimeout, g.handleTimer)
	return g
}

// recordProgress records the arrival of data. The first arrival resets the timer, as
// firstTimeout may be longer than stallTimeout.
func (g *stallGuard) recordProgress(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := g.lastReceived.IsZero()
	g.lastReceived = now
	if first && !g.stopped {
		g.reason = errStalled
		g.timer.Reset(g.stallTimeout)
	}
}

func (g *stallGuard) handleTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	if left := g.stallTimeout - time.Since(g.lastReceived); !g.lastReceived.IsZero() && left > 0 {
		g.timer.Reset(left)
		return
	}
	g.cancel(g.reason)
}

// stop stops the guard; it doesn't cancel the attempt afterwards.
func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}
