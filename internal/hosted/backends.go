package hosted

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/crash"
	"bergamotreel/internal/streamversions"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

const (
	// relistTimeout is how long after a registry outage an entry that lapsed during the
	// outage may take to be listed again. Its backend server runs but could not renew the
	// entry.
	relistTimeout = 2200 * time.Millisecond
	// engineUpdateTTL is how long an engine's update from its keeper takes precedence over
	// the registry's entry. It is twice the interval at which a keeper repeats the update,
	// so the update of a keeper that no longer runs expires.
	engineUpdateTTL = 6 * time.Second
)

// backendTable holds the known backend servers: the registry's list, combined with the newer
// updates that the engines' keepers report. It is safe for concurrent use.
type backendTable struct {
	logger *zap.Logger

	mu      sync.Mutex
	entries map[string]*backend
	// byService holds the entries by service, sorted by ID; nil if it must be rebuilt.
	byService map[string][]*backend
	listRead  bool
	// hasUnreachable is false if no entry is marked unreachable. missingUnitsUntil is when
	// the most recent missing unit expires. Both avoid scanning all entries for each report.
	hasUnreachable    bool
	missingUnitsUntil time.Time
	// endedInstances holds the instances that drainEndedInstances returns next.
	endedInstances []crash.End
	// startReportedAt is when a backend server last reported a start that was new.
	startReportedAt time.Time
	// formerInstances holds the last instances of recently dropped backend servers. A server
	// that is listed again may be a new instance, and orders to the earlier one may still be
	// in transit.
	formerInstances map[string]formerInstance
	// leavingChangedAt is when a backend server was last found to have announced that it
	// leaves, zero if none is known.
	leavingChangedAt time.Time
	// registryOutageEndedAt is when the registry last answered again after an outage. Until
	// registryStaleUntil its entries may be older than what this VM knows.
	registryOutageEndedAt time.Time
	registryStaleUntil    time.Time
	// versionHistory holds the software versions of the listed backend servers.
	versionHistory *streamversion.History
}

// backend is a backend server and the state of its newest known instance.
type backend struct {
	registry.Backend
	// removeAt is when the entry is dropped unless it is listed again, zero while it is
	// listed.
	removeAt time.Time
	// keeperUpdate is the newest update from the engine's keeper and keeperUpdateFrom the
	// process that sent it. keeperUpdateAt is when it was received or last renewed, zero if
	// there is no valid update.
	keeperUpdate     entryvm.EngineUpdate
	keeperUpdateFrom string
	keeperUpdateAt   time.Time
	// keeperUpdateChecksum is the update's part of the checksum over all that its keeper
	// sent.
	keeperUpdateChecksum uint64
	// loadReadyAt is when the model that is being loaded should be ready, according to the
	// keeper's update.
	loadReadyAt time.Time
	// missingUnits maps each unit that the server rejected as not loaded to the time until
	// which it gets no further request for that unit.
	missingUnits map[string]time.Time
	// announcedLeaving is whether a response of this instance announced that the server
	// leaves. The registry's entry may be older, or the registry may not accept the change
	// for long.
	announcedLeaving bool
	// probeBackoff is positive while the server is marked unreachable because it accepted
	// no connection: it is the delay before the next probe, which is due at probeAt.
	probeAt      time.Time
	probeBackoff time.Duration
	// indirect is whether gateways reach the server while it is marked unreachable, and
	// pathsChecked whether that is known.
	indirect, pathsChecked bool
	// refused is whether the server's address refused the connection, so that open ones may
	// still work.
	refused bool
	// loadedModels are the models that accept requests.
	loadedModels map[string]loadedModel
	// start identifies the newest known instance by the time it started, 0 if the server
	// reports none; formerStarts are the instances before it, the oldest first. restartedAt is
	// when start was last seen to change, zero if it never changed. startReportedAt is the same, for
	// changes that the server itself reported. onlyListed is whether nothing but the entry names start.
	start                        int64
	onlyListed                   bool
	formerStarts                 []int64
	restartedAt, startReportedAt time.Time
	// startDoubts counts the signs that the server may have started again, startDoubtsCleared those that
	// its report has disproved.
	startDoubts, startDoubtsCleared uint64
	// weights are the versions of the models' weights.
	weights streamversions.Weights
}

// loadedModel is a model that accepts requests on an engine, with its adapters.
type loadedModel struct {
	firstSeen time.Time
	adapters  map[string]bool
}

func newBackendTable(logger *zap.Logger) *backendTable {
	return &backendTable{logger: logger, entries: make(map[string]*backend), formerInstances: make(map[string]formerInstance),
		versionHistory: streamversion.NewHistory()}
}

// replace replaces the entries by a complete list from the registry.
func (t *backendTable) replace(now time.Time, list []registry.Backend) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listRead = true
	listed := make(map[string]bool, len(list))
	for _, b := range list {
		listed[b.ID] = true
		t.upsert(now, b)
	}
	for id := range t.entries {
		if !listed[id] {
			t.remove(now, id)
		}
	}
	t.versionHistory.Begin(now)
}

// applyChanges applies the registry's changes in order.
func (t *backendTable) applyChanges(now time.Time, changes []registry.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range changes {
		switch {
		case c.Unreadable:
			t.dropUnreadable(now, c.ID)
		case c.Backend == nil:
			t.remove(now, c.ID)
		default:
			t.upsert(now, *c.Backend)
		}
	}
}

// upsert adds or updates an entry. Call with mu held.
func (t *backendTable) upsert(now time.Time, b registry.Backend) {
	known := t.entries[b.ID]
	isNew := known == nil
	if now.Before(t.registryStaleUntil) {
		if known == nil && t.isFormerInstance(b) {
			return
		}
		if known != nil && known.Leaving && known.Started == b.Started {
			b.Leaving, b.LeavesIn = true, known.LeavesIn
		}
	}
	if known == nil {
		former := t.formerInstances[b.ID]
		known = &backend{missingUnits: make(map[string]time.Time), weights: streamversions.ListedWeights(&b), start: former.start, onlyListed: former.onlyListed, formerStarts: former.formerStarts, restartedAt: former.restartedAt, Backend: b}
		known.announcedLeaving = former.announcedLeaving && b.Started != 0
		t.entries[b.ID] = known
		t.byService = nil
		t.recordInstance(now, known, b.Started, startFromEntry)
		t.logger.Info("backend server listed", zap.String("backend", b.ID), zap.String("service", b.Service),
			zap.String("address", b.Address), zap.String("domain", b.Domain), zap.String("version", b.Version), zap.Bool("leaving", b.Leaving))
	} else if known.Leaving != b.Leaving {
		t.logger.Info("backend server leaving", zap.String("backend", b.ID), zap.Bool("leaving", b.Leaving),
			zap.Duration("leaves_in", b.LeavesIn))
	}
	if known.Service != b.Service {
		t.byService = nil
	}
	restarted := known.Started != b.Started
	if !isNew {
		streamversions.UncountListed(now, t.versionHistory, &known.Backend)
	}
	streamversions.CountListed(t.versionHistory, &b)
	if restarted || t.isListedAgain(now, known, b.Started, startFromEntry) {
		t.recordInstance(now, known, b.Started, startFromEntry)
	}
	known.weights.Update(&known.Backend, &b)
	known.Backend = b
	known.removeAt = time.Time{}
	known.merge(now)
}

// remove drops an entry that the registry no longer lists. During a registry outage the
// entries of running backend servers lapse, and every VM would consider the whole fleet
// gone. So shortly after an outage an entry stays until its server had time to be listed
// again. Call with mu held.
func (t *backendTable) remove(now time.Time, id string) {
	known := t.entries[id]
	if known == nil || !known.removeAt.IsZero() {
		return
	}
	until := t.registryOutageEndedAt.Add(relistTimeout)
	if t.registryOutageEndedAt.IsZero() || !now.Before(until) {
		t.drop(now, id)
		t.logger.Info("backend server gone", zap.String("backend", id), zap.String("service", known.Service))
		return
	}
	known.removeAt = until
	t.logger.Info("backend server entry lapsed", zap.String("backend", id), zap.Duration("gone_in", until.Sub(now)))
}

// drop deletes an entry and records its instance. Call with mu held.
func (t *backendTable) drop(now time.Time, id string) {
	before := t.entries[id]
	t.formerInstances[id] = formerInstance{start: before.start, onlyListed: before.onlyListed, formerStarts: before.formerStarts, announcedLeaving: before.announcedLeaving,
		restartedAt: before.restartedAt, droppedAt: now}
	streamversions.UncountListed(now, t.versionHistory, &before.Backend)
	delete(t.entries, id)
	t.byService = nil
	t.endedInstances = append(t.endedInstances, crash.End{Target: before.target(), Service: before.Service, Announced: before.isLeaving(), Dropped: true})
}

// recordRegistryOutageEnd records the end of a registry outage.
func (t *backendTable) recordRegistryOutageEnd(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registryOutageEndedAt = now
}

// handleRegistryRestore records that the registry was restored from an older copy. Missing
// entries are not removed until their writers had time to write them again, and instances
// that were seen to leave are not listed again.
func (t *backendTable) handleRegistryRestore(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registryOutageEndedAt, t.registryStaleUntil = now, now.Add(relistTimeout)
}

// isFormerInstance reports whether an entry belongs to an instance that was recently
// dropped. Call with mu held.
func (t *backendTable) isFormerInstance(b registry.Backend) bool {
	former, known := t.formerInstances[b.ID]
	return known && former.start == b.Started
}

// sweep drops entries that were not listed again in time, and expired updates.
func (t *backendTable) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.formerInstances, func(_ string, f formerInstance) bool { return now.Sub(f.droppedAt) > unansweredOrderTTL })
	for id, b := range t.entries {
		if !b.removeAt.IsZero() && !now.Before(b.removeAt) {
			t.drop(now, id)
			t.logger.Info("backend server gone", zap.String("backend", id), zap.String("service", b.Service))
		}
		if b.keeperUpdateAt.IsZero() || now.Sub(b.keeperUpdateAt) <= engineUpdateTTL {
			continue
		}
		b.keeperUpdateAt = time.Time{}
		b.keeperUpdate = entryvm.EngineUpdate{}
		b.merge(now)
	}
}

// get returns a copy of an entry.
func (t *backendTable) get(id string) (backend, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil {
		return backend{}, false
	}
	return *b, true
}

// hasModel reports whether a backend server that accepts requests holds the model.
func (t *backendTable) hasModel(service, model string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entriesOf(service) {
		if _, ok := b.loadedModels[model]; ok && !b.isLeaving() && !b.isUnreachable() {
			return true
		}
	}
	return false
}

// each calls f with every entry of the service; f must not retain it.
func (t *backendTable) each(service string, f func(*backend)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.entriesOf(service) {
		f(b)
	}
}

// entriesOf returns the entries of the service. Call with mu held.
func (t *backendTable) entriesOf(service string) []*backend {
	if t.byService == nil {
		t.rebuildIndex()
	}
	return t.byService[service]
}

// rebuildIndex rebuilds byService, which lets each request iterate over the entries of its
// service only. Call with mu held.
func (t *backendTable) rebuildIndex() {
	t.byService = make(map[string][]*backend)
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		b := t.entries[id]
		t.byService[b.Service] = append(t.byService[b.Service], b)
	}
}

// count returns the number of entries.
func (t *backendTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// hasList reports whether a list has been read.
func (t *backendTable) hasList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listRead
}

// list returns the entries of all backend servers. Leaving is also set where only the server
// itself has announced that it leaves.
func (t *backendTable) list() []registry.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []registry.Backend
	for _, b := range t.entries {
		entry := b.Backend
		entry.Leaving = b.isLeaving()
		out = append(out, entry)
	}
	return out
}

// listRegistered returns the entries as the registry lists them, without those that only remain because
// they may be listed again.
func (t *backendTable) listRegistered() []registry.Backend {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []registry.Backend
	for _, b := range t.entries {
		if b.removeAt.IsZero() {
			out = append(out, b.Backend)
		}
	}
	slices.SortFunc(out, func(a, b registry.Backend) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
