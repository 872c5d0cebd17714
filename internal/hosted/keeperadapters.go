package hosted

import (
	"context"
	"time"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

// loadAdapter loads an adapter for a model that the engine holds and returns once the
// adapter should be ready. If no slot is free, it replaces the least recently used one.
func (k *keeper) loadAdapter(ctx context.Context, args entryvm.AdapterArgs) (entryvm.EngineUpdate, error) {
	e := k.getOrCreateEngine(args.Engine)
	readyAt, err := k.orderAdapter(ctx, e, args)
	if err != nil {
		return entryvm.EngineUpdate{}, err
	}
	if !pause.For(ctx, time.Until(readyAt)) {
		return entryvm.EngineUpdate{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k.publishChange(e, false)
	return e.updateLocked(), nil
}

func (k *keeper) orderAdapter(ctx context.Context, e *keptEngine, args entryvm.AdapterArgs) (readyAt time.Time, err error) {
	e.orderLock.Lock()
	defer e.orderLock.Unlock()
	if err := k.ensureStatusKnown(ctx, e); err != nil {
		return readyAt, err
	}
	now := time.Now()
	started, loaded, victim, err := k.findAdapterSlot(now, e, args)
	if err != nil || loaded != nil {
		if loaded != nil {
			readyAt = loaded.readyAt
		}
		return readyAt, err
	}
	if victim.adapter != "" {
		err := k.sendOrder(ctx, e, started, engine.Order{Action: engine.ActionUnload, Unit: victim.adapter, Base: victim.model})
		if err != nil {
			return readyAt, err
		}
		e.mu.Lock()
		if m := e.models[victim.model]; m != nil {
			delete(m.adapters, victim.adapter)
		}
		e.mu.Unlock()
	}
	if err := k.sendOrder(ctx, e, started, engine.Order{Action: engine.ActionLoad, Unit: args.Adapter, Base: args.Model}); err != nil {
		return readyAt, err
	}
	readyAt = time.Now().Add(adapterLoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.models[args.Model]; m != nil {
		m.adapters[args.Adapter] = &keptAdapter{readyAt: readyAt, lastUsedAt: now}
	}
	return readyAt, nil
}

// adapterKey identifies an adapter of a model.
type adapterKey struct{ model, adapter string }

// findAdapterSlot returns the adapter if it is loaded, else the adapter to evict for it;
// victim is empty if a slot is free. started is the engine instance that the decision holds
// for.
func (k *keeper) findAdapterSlot(now time.Time, e *keptEngine, args entryvm.AdapterArgs) (started int64, loaded *keptAdapter, victim adapterKey, err error) {
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, nil, victim, errEngineGone
	}
	pool := k.node.findPool(b.Service)
	if pool == nil {
		return 0, nil, victim, errEngineGone
	}
	running := k.node.countRunningUnits(now, e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[args.Model]
	if m == nil || m.retiring {
		return 0, nil, victim, engine.ErrNotLoaded
	}
	if loaded := m.adapters[args.Adapter]; loaded != nil {
		loaded.lastUsedAt = now
		return e.started, loaded, victim, nil
	}
	if e.swapping {
		return 0, nil, victim, errSwapInProgress // the engine carries out one order at a time
	}
	if e.started != 0 && e.countUnansweredAdapters(func(*unansweredLoad) bool { return true }) >= pool.AdapterPlaces {
		return 0, nil, victim, errNoCapacity // an engine that restarts empty could execute them all
	}
	oldest, count := e.leastRecentlyUsedAdapter(now, b.Service, running)
	places := pool.AdapterPlaces - e.reservedAdapterPlaces(now, b.restartedAt)
	if count < places {
		return e.started, nil, victim, nil
	}
	if count > places {
		return 0, nil, victim, errNoCapacity // evicting one makes no room beside the late ones
	}
	if oldest.adapter == "" {
		return 0, nil, victim, errNoCapacity
	}
	return e.started, nil, oldest, nil
}

// leastRecentlyUsedAdapter returns the evictable adapter that has been unused for longest,
// and the number of all adapters. Call with e.mu held.
func (e *keptEngine) leastRecentlyUsedAdapter(now time.Time, service string, running map[string]int) (victim adapterKey, count int) {
	var oldest time.Time
	for model, m := range e.models {
		for adapter, loaded := range m.adapters {
			count++
			if running[unitName(service, model, adapter)] > 0 {
				loaded.lastUsedAt = now
				continue
			}
			if now.Sub(loaded.lastUsedAt) < minAdapterIdle {
				continue
			}
			if victim.adapter == "" || loaded.lastUsedAt.Before(oldest) {
				victim, oldest = adapterKey{model, adapter}, loaded.lastUsedAt
			}
		}
	}
	return victim, count
}
