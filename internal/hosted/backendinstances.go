package hosted

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// formerInstance is the last known instance of a backend server that was dropped.
type formerInstance struct {
	start                  int64
	announcedLeaving       bool
	restartedAt, droppedAt time.Time
}

// dropUnreadable drops a backend server whose entry can no longer be read. If the previous
// entry stayed in use, a server that is leaving would continue to get requests. The entry
// has not lapsed, so there is no grace period for it to be listed again. Call with mu held.
func (t *backendTable) dropUnreadable(now time.Time, id string) {
	if known := t.entries[id]; known != nil {
		t.drop(now, id)
		t.logger.Warn("backend server discarded", zap.String("backend", id), zap.String("service", known.Service),
			zap.String("reason", "its entry can't be read"))
	}
}

// recordInstance records the newest known instance of a backend server, from its entry or
// from its keeper, which queries the engine itself. A server that restarts under its ID has
// lost its models, cached prefixes and running requests, so the state of its previous
// instance must not be used for routing. Call with mu held.
func (t *backendTable) recordInstance(now time.Time, b *backend, start int64) {
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
	t.endedInstances[b.ID] = true
	b.restartedAt = now
	b.announcedLeaving = false
	b.probeBackoff, b.probeAt = 0, time.Time{}
	b.loadedModels = nil
	clear(b.missingUnits)
	if b.keeperUpdate.Started != start {
		b.keeperUpdateAt = time.Time{}
	}
}

// drainEndedInstances returns the backend servers of which an instance has ended since the
// last call, because they restarted or were dropped.
func (t *backendTable) drainEndedInstances() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := slices.Collect(maps.Keys(t.endedInstances))
	clear(t.endedInstances)
	return ended
}
