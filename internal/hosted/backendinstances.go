package hosted

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/crash"
	"bergamotreel/service"
)

const (
	// maxFormerStarts is how many former starts of a backend server are remembered.
	maxFormerStarts = 8
	// maxStartNewsAge is how old the news of a start may be: an entry that hasn't been renewed since, or
	// another VM's report.
	maxStartNewsAge = 5 * time.Second
	// maxReportedStarts limits the starts in one report.
	maxReportedStarts = 256
)

// formerInstance is the last known instance of a backend server that was dropped.
type formerInstance struct {
	start                  int64
	onlyListed             bool
	formerStarts           []int64
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

// startSource is where the news of a start comes from.
type startSource int

const (
	startFromEntry startSource = iota
	startFromKeeper
	// startFromServer is the server's own status, which this VM or another one has just asked for.
	startFromServer
)

// recordInstance records the newest known instance of a backend server and reports whether it is
// another one than before. A server that restarts under its ID has lost its models, cached prefixes and
// running requests, so the state of its previous instance must not be used for routing. Call with mu
// held.
func (t *backendTable) recordInstance(now time.Time, b *backend, start int64, source startSource) bool {
	before := b.start
	if start == before && source == startFromServer {
		b.onlyListed = false
	}
	if start == 0 || start == before || b.isOutdatedStart(now, start, source) && !t.isListedAgain(now, b, start, source) {
		return false
	}
	b.start, b.onlyListed = start, source == startFromEntry
	b.formerStarts = slices.DeleteFunc(slices.Clone(b.formerStarts), func(former int64) bool { return former == start })
	if before == 0 {
		return false
	}
	t.logger.Info("backend server started again", zap.String("backend", b.ID), zap.String("service", b.Service),
		zap.Int64("started", start), zap.Int64("before", before))
	ended := crash.End{Target: b.target(), Service: b.Service, Announced: b.isLeaving()}
	ended.Target.Started = before
	t.endedInstances = append(t.endedInstances, ended)
	b.formerStarts = append(b.formerStarts, before)
	if len(b.formerStarts) > maxFormerStarts {
		b.formerStarts = b.formerStarts[1:]
	}
	b.restartedAt = now
	if source == startFromServer {
		b.startReportedAt, t.startReportedAt = now, now
	}
	b.announcedLeaving = false
	b.probeBackoff, b.probeAt = 0, time.Time{}
	b.loadedModels = nil
	clear(b.missingUnits)
	if b.keeperUpdate.Started != start {
		b.keeperUpdateAt = time.Time{}
	}
	return true
}

// isOutdatedStart reports whether a start has ended: it is a former one, or earlier than another. A server
// whose clock was set back starts earlier too, which only its entry shows, and its keeper's update after
// that; an entry may also be older than what the server itself reported a moment ago. One that changes to
// a later start is right even if that was taken for a former one.
func (b *backend) isOutdatedStart(now time.Time, start int64, source startSource) bool {
	isFormer := slices.Contains(b.formerStarts, start)
	switch {
	case start > b.start:
		return isFormer && source != startFromEntry
	case source == startFromServer:
		return true
	default:
		return isFormer || now.Sub(b.startReportedAt) < maxStartNewsAge
	}
}

// isListedAgain reports whether an entry names a former start and the newest known one stood in an entry only, some
// time ago: that was another writer's. Entries that the registry lists after it was restored may be outdated.
// Call with mu held.
func (t *backendTable) isListedAgain(now time.Time, b *backend, start int64, source startSource) bool {
	return source == startFromEntry && b.onlyListed && slices.Contains(b.formerStarts, start) &&
		now.Sub(b.restartedAt) >= maxStartNewsAge && !now.Before(t.registryStaleUntil)
}

// recordStart records the start that a backend server reported itself, and reports whether it is new.
func (t *backendTable) recordStart(now time.Time, id string, start int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	return b != nil && t.recordInstance(now, b, start, startFromServer)
}

// mergeStarts records the starts that another VM learned from the backend servers themselves, and
// reports whether any is new.
func (t *backendTable) mergeStarts(now time.Time, list []entryvm.BackendStart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, news := range list {
		if b := t.entries[news.Backend]; b != nil {
			changed = t.recordInstance(now, b, news.Started, startFromServer) || changed
		}
	}
	return changed
}

// publishStarts adds to a report the starts that backend servers reported a moment ago.
func (t *backendTable) publishStarts(now time.Time, report *entryvm.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.startReportedAt) > urgentSignalPeriod {
		return
	}
	for id, b := range t.entries {
		if now.Sub(b.startReportedAt) <= urgentSignalPeriod && len(report.BackendStarts) < maxReportedStarts {
			report.BackendStarts = append(report.BackendStarts, entryvm.BackendStart{Backend: id, Started: b.start})
		}
	}
}

// target returns the target of requests to the newest known instance.
func (b *backend) target() service.Target {
	return service.Target{ID: b.ID, Address: b.Address, Version: b.softwareVersion(), Started: b.start}
}

// drainEndedInstances returns the instances of backend servers that have ended since the
// last call, because the servers restarted or were dropped.
func (t *backendTable) drainEndedInstances() []crash.End {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := t.endedInstances
	t.endedInstances = nil
	return ended
}
