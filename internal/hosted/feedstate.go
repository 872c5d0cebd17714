package hosted

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/registry"
)

const (
	// maxCountedFailures bounds the count of failed reads.
	maxCountedFailures = 16
	// maxRecentChanges is how many changes the reader keeps for the other VMs. A VM that
	// lacks older ones gets a snapshot or reads for itself.
	maxRecentChanges = 512
)

// feed holds what a VM knows of one registry topic. Times are readings of Config.BootClock,
// which keeps running while the VM is suspended; with a clock that stops, stale data would
// look fresh. A feed is safe for concurrent use.
type feed struct {
	maxDelay time.Duration
	// confirmIntervals measures the time between two confirmations that all changes are
	// known. A change takes effect at most that long after its acceptance.
	confirmIntervals *metrics.Histogram

	mu          sync.Mutex
	cursorKnown bool
	cursor      registry.Cursor
	// epoch is the newest epoch in which the whole topic was read; everRead reports
	// whether it was ever read.
	epoch    uint64
	everRead bool
	// knownUntil is the time up to which all changes are known.
	knownUntil time.Duration
	// heldUntil is until when this VM doesn't read the topic itself, because another VM is likely to
	// send it sooner or its own last reads failed.
	heldUntil time.Duration
	// failures counts the failed reads since the last successful one.
	failures int
	// recent holds the newest changes, oldest first; recentCount is their number.
	recent      []changeBatch
	recentCount int
}

// changeBatch holds the changes between two cursors.
type changeBatch struct {
	from, to registry.Cursor
	list     []registry.Change
}

var (
	configurationConfirmIntervals = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="configuration"}`)
	backendsConfirmIntervals      = metrics.NewHistogram(`bergamotreel_registry_renewed_seconds{topic="backends"}`)
)

// confirm records that all changes up to knownUntil are known.
func (f *feed) confirm(knownUntil time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knownUntil <= f.knownUntil {
		return
	}
	if f.confirmIntervals != nil && f.knownUntil > 0 {
		f.confirmIntervals.Update((knownUntil - f.knownUntil).Seconds())
	}
	f.knownUntil = knownUntil
}

// expire makes this VM read for itself at once. It is called when there are changes it
// can't get from the reader.
func (f *feed) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knownUntil = 0
}

// hold keeps this VM from reading the topic itself until the given time, 0 for no longer.
func (f *feed) hold(until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldUntil = until
}

// isHeld reports whether this VM must not read the topic itself yet.
func (f *feed) isHeld(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now < f.heldUntil
}

// advance sets the cursor after apply has applied what another VM sent, unless this VM knows as much.
func (f *feed) advance(cursor registry.Cursor, knownUntil time.Duration, apply func()) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cursorKnown && cursor < f.cursor {
		return false
	}
	if !f.cursorKnown || cursor > f.cursor {
		apply()
		f.recent, f.recentCount = nil, 0
	}
	f.cursor, f.cursorKnown = cursor, true
	f.knownUntil = max(f.knownUntil, knownUntil)
	f.heldUntil = 0
	return true
}

// recordFailure records a failed read. It returns the number of failures and the pause before the next
// read.
func (f *feed) recordFailure() (failures int, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause = min(fractionOf(readBackoffFraction, f.maxDelay)<<f.failures, maxReadBackoffFactor*f.maxDelay)
	f.failures = min(f.failures+1, maxCountedFailures)
	return f.failures, pause
}

// recordSuccess records that a read succeeded.
func (f *feed) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = 0
}

// snapshot calls read while the feed does not change, and returns the cursor up to which the topic is
// known then; ok is false if it is unknown.
func (f *feed) snapshot(now time.Duration, read func()) (cursor registry.Cursor, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursorKnown {
		return 0, 0, false
	}
	read()
	return f.cursor, now - f.knownUntil, true
}

// age returns the time since knownUntil.
func (f *feed) age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.knownUntil
}

// isStale reports whether this VM has to read for itself.
func (f *feed) isStale(now time.Duration) bool {
	return f.age(now) > fractionOf(maxAgeFraction, f.maxDelay)
}

// position returns the cursor to read from, and false if the whole topic has to be read.
func (f *feed) position() (registry.Cursor, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor, f.cursorKnown
}

// reset sets the cursor after the whole topic was read, or discards it.
func (f *feed) reset(cursor registry.Cursor, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor, f.cursorKnown = cursor, known
	f.recent, f.recentCount = nil, 0
}

// recordEpoch records the epoch in which the whole topic was read. It reports whether an
// earlier read was in an older epoch.
func (f *feed) recordEpoch(cursor registry.Cursor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch, previous, read := registry.EpochOf(uint64(cursor)), f.epoch, f.everRead
	f.epoch, f.everRead = epoch, true
	return read && epoch > previous
}

// applyBatch applies the changes between two cursors unless the feed's cursor has already
// passed them: applying older changes after newer ones would undo the newer ones.
func (f *feed) applyBatch(batch changeBatch, apply func([]registry.Change)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursorKnown || batch.from > f.cursor || batch.to < f.cursor {
		return false
	}
	if batch.to == f.cursor {
		return true
	}
	if len(batch.list) > 0 {
		apply(batch.list)
	}
	f.cursor = batch.to
	f.recent = append(f.recent, batch)
	f.recentCount += len(batch.list)
	for f.recentCount > maxRecentChanges && len(f.recent) > 1 {
		f.recentCount -= len(f.recent[0].list)
		f.recent = f.recent[1:]
	}
	return true
}

// since returns the changes from a cursor on, and false if some of them are no longer
// kept.
func (f *feed) since(cursor registry.Cursor) (changeBatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := changeBatch{from: cursor, to: f.cursor}
	if !f.cursorKnown || cursor > f.cursor {
		return out, false
	}
	if cursor == f.cursor {
		return out, true
	}
	for _, batch := range f.recent {
		if batch.to <= cursor {
			continue
		}
		if len(out.list) == 0 {
			out.from = batch.from
		}
		out.list = append(out.list, batch.list...)
	}
	return out, out.from <= cursor && len(f.recent) > 0
}
