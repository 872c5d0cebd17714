// Package feed holds what an entry VM knows of the registry's topics, from its own reads and from what
// other VMs send it.
package feed

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/registry"
)

const (
	// MaxAgeFraction is the fraction of MaxDelay after which a VM reads the registry itself,
	// and the wait of its reads if there is no reader. It bounds how late a change is seen:
	// a broken connection is noticed only then, and a read that starts during an append may
	// be answered only when its wait ends.
	MaxAgeFraction = 0.85
	// readBackoffFraction is the fraction of MaxDelay for which a VM that gets the registry's changes
	// from others doesn't read the registry after a failed read. It doubles with each failure up to
	// maxReadBackoffFactor times MaxDelay, so that the reads of a fleet don't feed the queue that
	// delays them.
	readBackoffFraction  = 0.25
	maxReadBackoffFactor = 4
	// maxCountedFailures bounds the count of failed reads.
	maxCountedFailures = 16
	// maxRecentChanges is how many changes the reader keeps for the other VMs. A VM that
	// lacks older ones gets a snapshot or reads for itself.
	maxRecentChanges = 512
)

// State holds what a VM knows of one registry topic. Times are readings of a clock
// that keeps running while the VM is suspended; with a clock that stops, stale data would
// look fresh. A State is safe for concurrent use.
type State struct {
	// MaxDelay is how late a change may take effect.
	MaxDelay time.Duration
	// ConfirmIntervals measures the time between two confirmations that all changes are
	// known. A change takes effect at most that long after its acceptance.
	ConfirmIntervals *metrics.Histogram

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
	recent      []Batch
	recentCount int
}

// Batch holds the changes between two cursors.
type Batch struct {
	From, To registry.Cursor
	List     []registry.Change
}

// Confirm records that all changes up to knownUntil are known.
func (f *State) Confirm(knownUntil time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if knownUntil <= f.knownUntil {
		return
	}
	if f.ConfirmIntervals != nil && f.knownUntil > 0 {
		f.ConfirmIntervals.Update((knownUntil - f.knownUntil).Seconds())
	}
	f.knownUntil = knownUntil
}

// Expire makes this VM read for itself at once. It is called when there are changes it
// can't get from the reader.
func (f *State) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.knownUntil = 0
}

// Hold keeps this VM from reading the topic itself until the given time, 0 for no longer.
func (f *State) Hold(until time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heldUntil = until
}

// IsHeld reports whether this VM must not read the topic itself yet.
func (f *State) IsHeld(now time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now < f.heldUntil
}

// Advance sets the cursor after apply has applied what another VM sent, unless this VM knows as much.
func (f *State) Advance(cursor registry.Cursor, knownUntil time.Duration, apply func()) bool {
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

// RecordFailure records a failed read. It returns the number of failures and the pause before the next
// read.
func (f *State) RecordFailure() (failures int, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pause = min(Fraction(readBackoffFraction, f.MaxDelay)<<f.failures, maxReadBackoffFactor*f.MaxDelay)
	f.failures = min(f.failures+1, maxCountedFailures)
	return f.failures, pause
}

// RecordSuccess records that a read succeeded.
func (f *State) RecordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = 0
}

// Snapshot calls read while the feed does not change, and returns the cursor up to which the topic is
// known then; ok is false if it is unknown.
func (f *State) Snapshot(now time.Duration, read func()) (cursor registry.Cursor, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursorKnown {
		return 0, 0, false
	}
	read()
	return f.cursor, now - f.knownUntil, true
}

// Age returns the time since knownUntil.
func (f *State) Age(now time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now - f.knownUntil
}

// IsStale reports whether this VM has to read for itself.
func (f *State) IsStale(now time.Duration) bool {
	return f.Age(now) > Fraction(MaxAgeFraction, f.MaxDelay)
}

// Position returns the cursor to read from, and false if the whole topic has to be read.
func (f *State) Position() (registry.Cursor, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cursor, f.cursorKnown
}

// Reset sets the cursor after the whole topic was read, or discards it.
func (f *State) Reset(cursor registry.Cursor, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cursor, f.cursorKnown = cursor, known
	f.recent, f.recentCount = nil, 0
}

// RecordEpoch records the epoch in which the whole topic was read. It reports whether an
// earlier read was in an older epoch.
func (f *State) RecordEpoch(cursor registry.Cursor) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch, previous, read := registry.EpochOf(uint64(cursor)), f.epoch, f.everRead
	f.epoch, f.everRead = epoch, true
	return read && epoch > previous
}

// ApplyBatch applies the changes between two cursors unless the feed's cursor has already
// passed them: applying older changes after newer ones would undo the newer ones.
func (f *State) ApplyBatch(batch Batch, apply func([]registry.Change)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cursorKnown || batch.From > f.cursor || batch.To < f.cursor {
		return false
	}
	if batch.To == f.cursor {
		return true
	}
	if len(batch.List) > 0 {
		apply(batch.List)
	}
	f.cursor = batch.To
	f.recent = append(f.recent, batch)
	f.recentCount += len(batch.List)
	for f.recentCount > maxRecentChanges && len(f.recent) > 1 {
		f.recentCount -= len(f.recent[0].List)
		f.recent = f.recent[1:]
	}
	return true
}

// Since returns the changes from a cursor on, and false if some of them are no longer
// kept.
func (f *State) Since(cursor registry.Cursor) (Batch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := Batch{From: cursor, To: f.cursor}
	if !f.cursorKnown || cursor > f.cursor {
		return out, false
	}
	if cursor == f.cursor {
		return out, true
	}
	for _, batch := range f.recent {
		if batch.To <= cursor {
			continue
		}
		if len(out.List) == 0 {
			out.From = batch.From
		}
		out.List = append(out.List, batch.List...)
	}
	return out, out.From <= cursor && len(f.recent) > 0
}

// KnownUntil returns the time up to which a read covers all changes. A read without
// changes covers its wait only if it took that long. Otherwise an empty answer after 70 ms
// to a 700 ms read, from a registry that then becomes unreachable, would confirm the next
// 630 ms as well, and changes in that time, such as a leaving backend server, would be
// applied after the limit.
func KnownUntil(start, end, wait time.Duration, changed bool) time.Duration {
	if changed || end-start < wait {
		return start
	}
	return start + wait
}

// Fraction returns the given fraction of a duration.
func Fraction(fraction float64, d time.Duration) time.Duration {
	return time.Duration(fraction * float64(d))
}
