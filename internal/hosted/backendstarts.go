package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// formerStart is the start of a backend server that was dropped.
type formerStart struct {
	start                  int64
	announcedLeaving       bool
	restartedAt, droppedAt time.Time
}

// discard drops a backend server whose entry can't be read any more. Failure: the entry
// before it stayed in force, and a server that was leaving went on getting requests. It
// is no lapse, so there is no time to wait for its return.
func (t *backendTable) dropUnreadable(now time.Time, id string) {
	if known := t.entries[id]; known != nil {
		t.drop(now, id)
		t.logger.Warn("backend server discarded", zap.String("backend", id), zap.String("service", known.Service),
			zap.String("reason", "its entry can't be read"))
	}
}

// started notes which start of a backend server is the newest one known: by its entry, or
// by its keeper, which asks the engine itself. Failure: a server that starts again under
// its ID has lost all that it held and ran; requests were sent there for its models,
// prefixes and slots of before. Call with mu held.
func (t *backendTable) recordStart(now time.Time, b *backend, start int64) {
	before := b.start
	if start == 0 || start == before {
		return
	}
	b.start = start
	if before == 0 {
		return
	}
	t.logger.Info("backend server started again", zap.String("backend", b.ID), zap.String("service", b.Service),
		zap.Int64("started", start), zap.Int64("before", before))
	t.endedStarts[b.ID] = true
	b.restartedAt = now
	b.announcedLeaving = false
	b.probeBackoff, b.probeAt = 0, time.Time{}
	b.loadedModels = nil
	clear(b.missingUnits)
	if b.keeperStatus.Started != start {
		b.keeperStatusAt = time.Time{}
	}
}

// takeEnded returns the backend servers of which a start has ended since the last call:
// they started again, or are gone.
func (t *backendTable) drainEndedStarts() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := slices.Collect(maps.Keys(t.endedStarts))
	clear(t.endedStarts)
	return ended
}
