package stopping

import "time"

const (
	// WatchInterval is the interval of the calls of Watch.Tick.
	WatchInterval = 250 * time.Millisecond
	// minSuspension is the shortest time without a call that counts as a suspension of the process.
	minSuspension = 4 * WatchInterval
)

// Watch finds out since when a process that was suspended may have been asked to stop. Its times are those of a clock that
// runs while the machine is suspended.
type Watch struct {
	tickedAt time.Duration
	// suspendedAt is the last call before the newest suspension, resumedAt the first one after it.
	suspendedAt, resumedAt time.Duration
	wasSuspended           bool
}

// NewWatch returns a watch that begins now.
func NewWatch(now time.Duration) *Watch { return &Watch{tickedAt: now} }

// Tick records that the process runs.
func (w *Watch) Tick(now time.Duration) {
	if now-w.tickedAt >= minSuspension {
		w.suspendedAt, w.resumedAt, w.wasSuspended = w.tickedAt, now, true
	}
	w.tickedAt = now
}

// RequestAge returns how old a request to stop may be that the process learns of now: it may have come at any time of a
// suspension that has just ended.
func (w *Watch) RequestAge(now time.Duration) time.Duration {
	w.Tick(now)
	if !w.wasSuspended || now-w.resumedAt > WatchInterval {
		return 0
	}
	return now - w.suspendedAt
}
