package hosted

import (
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/relaystate"
)

// applyEngineUpdate applies an engine update from the keeper process named keeper. It
// returns whether anything changed, and whether that update is now in use for the engine.
func (t *backendTable) applyEngineUpdate(now time.Time, keeper string, update entryvm.EngineUpdate) (changed, inUse bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.entries[update.ID]
	if known == nil {
		return false, false
	}
	if known.keeperUpdateFrom == keeper && known.keeperUpdate.Version >= update.Version {
		inUse = known.keeperUpdate.Version == update.Version && !known.keeperUpdateAt.IsZero()
		if inUse {
			known.keeperUpdateAt = now
		}
		return false, inUse
	}
	if update.Started != 0 && (update.Started < known.Started || known.isOutdatedStart(now, update.Started, startFromKeeper)) {
		return false, false // from an instance that has ended
	}
	if known.keeperUpdateFrom != keeper && !known.keeperUpdateAt.IsZero() && known.keeperUpdate.Started == update.Started && known.keeperUpdate.Orders > update.Orders {
		return false, false // from a former keeper
	}
	known.keeperUpdate, known.keeperUpdateFrom, known.keeperUpdateAt = update, keeper, now
	known.keeperUpdateChecksum = relaystate.UpdateChecksum(update.ID, update.Version)
	known.loadReadyAt = now.Add(update.LoadTimeLeft)
	t.recordInstance(now, known, update.Started, startFromKeeper)
	known.merge(now)
	return true, true
}

// renewEngineUpdates renews the updates of keepers whose checksum matches what is known
// here. It returns the keepers whose checksum differs, because an update is missing or
// outdated.
func (t *backendTable) renewEngineUpdates(now time.Time, renewals []entryvm.UpdateRenewal) (mismatched []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	checksums := make(map[string]uint64, len(renewals))
	for _, b := range t.entries {
		if !b.keeperUpdateAt.IsZero() {
			checksums[b.keeperUpdateFrom] += b.keeperUpdateChecksum
		}
	}
	renewedAt := make(map[string]time.Time, len(renewals))
	for _, r := range renewals {
		if checksums[r.Keeper] == r.Checksum {
			renewedAt[r.Keeper] = now.Add(-r.Age)
		} else {
			mismatched = append(mismatched, r.Keeper)
		}
	}
	for _, b := range t.entries {
		if at := renewedAt[b.keeperUpdateFrom]; !b.keeperUpdateAt.IsZero() && b.keeperUpdateAt.Before(at) {
			b.keeperUpdateAt = at
		}
	}
	return mismatched
}

// merge computes which models accept requests on the engine. Its keeper sent the orders and
// knows at once what the registry's entry shows seconds later: which models are about to
// be unloaded, which have been loaded, and the adapters, for which the entry doesn't change.
func (b *backend) merge(now time.Time) {
	models := make(map[string]loadedModel)
	add := func(model string, adapters []string) {
		loaded := loadedModel{firstSeen: now, adapters: make(map[string]bool, len(adapters))}
		if before, ok := b.loadedModels[model]; ok {
			loaded.firstSeen = before.firstSeen
		}
		for _, adapter := range adapters {
			loaded.adapters[adapter] = true
		}
		models[model] = loaded
	}
	if !b.keeperUpdateAt.IsZero() {
		for _, m := range b.keeperUpdate.Models {
			add(m.Model, m.Adapters)
		}
	} else {
		for _, m := range b.Models {
			add(m.Model, m.Adapters)
		}
	}
	b.loadedModels = models
}

// isSwapping reports whether a keeper is changing which models the engine holds.
func (b *backend) isSwapping() bool { return !b.keeperUpdateAt.IsZero() && b.keeperUpdate.Swapping }

// reservedBytes returns the engine memory that late orders to an earlier instance may occupy.
func (b *backend) reservedBytes() int64 {
	if b.keeperUpdateAt.IsZero() {
		return 0
	}
	return b.keeperUpdate.ReservedBytes
}

// recordAdapterLoaded records an adapter that was loaded at this VM's request, before the
// keeper's update shows it.
func (t *backendTable) recordAdapterLoaded(id, model, adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.entries[id]
	if b == nil {
		return
	}
	if loaded, ok := b.loadedModels[model]; ok {
		loaded.adapters[adapter] = true
	}
	clear(b.missingUnits)
}
