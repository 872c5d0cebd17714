package serving

import (
	"context"
	"sync"
	"time"
)

// replacementRetryInterval is the time between two searches for a backend server that
// can take over a silent attempt.
const replacementRetryInterval = 250 * time.Millisecond

// stallGuard ends an attempt that is silent for too long. The arrival of data only
// records its time, because resetting a timer for each token would cost more. When
// the timer fires, it checks that time and is reset to the remaining duration if
// there is any.
type stallGuard struct {
	stallTimeout time.Duration
	cancel       context.CancelCauseFunc
	// secureReplacement, if set, reserves what the request needs to continue elsewhere.
	// While it returns false, the attempt goes on. It is called with mu held. An attempt that
	// ends with errLate needs no replacement: the caller waits no longer.
	secureReplacement func() bool

	mu    sync.Mutex
	timer *time.Timer
	// reason is the cancellation cause if this guard ends the attempt.
	reason error
	// lastReceived is when data was last received, zero before the first.
	lastReceived time.Time
	// delivering is whether the receiver is busy with data, and not waiting for more.
	delivering bool
	// keptSilent is whether the attempt was silent for too long and went on, as nothing
	// could replace it.
	keptSilent bool
	// stopped is whether this guard no longer ends the attempt, ended whether it has.
	stopped, ended bool
}

// newStallGuard starts a guard that cancels the attempt with firstReason if no data
// arrives within firstTimeout, and with errStalled if no data follows within
// stallTimeout after the last. secureReplacement may be nil.
func newStallGuard(firstTimeout, stallTimeout time.Duration, cancel context.CancelCauseFunc, firstReason error, secureReplacement func() bool) *stallGuard {
	g := &stallGuard{stallTimeout: stallTimeout, cancel: cancel, reason: firstReason, secureReplacement: secureReplacement}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timer = time.AfterFunc(firstTimeout, g.handleTimer)
	return g
}

// beginDelivery records the arrival of data. Until endDelivery, the time doesn't count as
// silence. It returns false if the guard has ended the attempt: the request continues
// elsewhere, and the data must be dropped.
func (g *stallGuard) beginDelivery(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return false
	}
	g.delivering = true
	first := g.lastReceived.IsZero()
	g.lastReceived = now
	if first && !g.stopped {
		// firstTimeout may be longer than stallTimeout.
		g.reason = errStalled
		g.timer.Reset(g.stallTimeout)
	}
	return true
}

// endDelivery records that the receiver waits for data again.
func (g *stallGuard) endDelivery(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivering = false
	g.lastReceived = now
}

func (g *stallGuard) handleTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return
	}
	if g.delivering {
		g.timer.Reset(g.stallTimeout)
		return
	}
	if left := g.stallTimeout - time.Since(g.lastReceived); !g.lastReceived.IsZero() && left > 0 {
		g.timer.Reset(left)
		return
	}
	if g.reason != errLate && g.secureReplacement != nil && !g.secureReplacement() {
		g.keptSilent = true
		g.timer.Reset(replacementRetryInterval)
		return
	}
	g.stopped, g.ended = true, true
	g.cancel(g.reason)
}

// stop stops the guard; it doesn't cancel the attempt afterwards.
func (g *stallGuard) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	g.timer.Stop()
}
