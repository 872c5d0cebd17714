package serving

import (
	"context"
	"sync"
	"time"
)

// guard ends an attempt that is silent for too long. A token only notes its
// time: moving a timer for each of them would cost more. The timer looks at
// the newest token when it fires, and goes on for what is left.
type stallGuard struct {
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// reason is the cause of an end by this guard.
	reason error
	// newest is when the newest token came, zero before the first.
	lastReceived time.Time
	stopped      bool
}

// startGuard ends the attempt for the reason first unless a token comes in the
// given time, and as stalled when no other one follows a token within silence.
func newStallGuard(firstTimeout, stallTimeout time.Duration, cancel context.CancelCauseFunc, firstReason error) *stallGuard {
	g := &stallGuard{stallTimeout: stallTimeout, cancel: cancel, reason: firstReason}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(firstTimeout, g.handleTimer)
	return g
}

// heard notes a token. The first one moves the timer, as the wait for it may be
// longer than the silence.
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

// stop ends the guard; it does nothing after.
func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}
