package hosted

import (
	"context"
	"time"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

// adapter loads an adapter on a model that the engine holds, if need be in place of
// the one that was not asked for the longest.
func (k *keeper) adapter(ctx context.Context, args entryvm.AdapterArgs) (entryvm.EngineNews, error) {
	e := k.engine(args.Engine)
	readyAt, err := k.orderAdapter(ctx, e, args)
	if err != nil {
		return entryvm.EngineNews{}, err
	}
	if !pause.For(ctx, time.Until(readyAt)) {
		return entryvm.EngineNews{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k.changed(e, false)
	return e.newsLocked(), nil
}

func (k *keeper) orderAdapter(ctx context.Context, e *keptEngine, args entryvm.AdapterArgs) (readyAt time.Time, err error) {
	e.ordering.Lock()
	defer e.ordering.Unlock()
	if err := k.ready(ctx, e); err != nil {
		return readyAt, err
	}
	now := time.Now()
	started, loaded, victim, err := k.placeFor(now, e, args)
	if err != nil || loaded != nil {
		if loaded != nil {
			readyAt = loaded.readyAt
		}
		return readyAt, err
	}
	if victim.adapter != "" {
		err := k.send(ctx, e, started, engine.Order{Action: engine.ActionUnload, Unit: victim.adapter, Base: victim.model})
		if err != nil {
			return readyAt, err
		}
		e.mu.Lock()
		if m := e.models[victim.model]; m != nil {
			delete(m.adapters, victim.adapter)
		}
		e.mu.Unlock()
	}
	if err := k.send(ctx, e, started, engine.Order{Action: engine.ActionLoad, Unit: args.Adapter, Base: args.Model}); err != nil {
		return readyAt, err
	}
	readyAt = time.Now().Add(adapterTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	if m := e.models[args.Model]; m != nil {
		m.adapters[args.Adapter] = &keptAdapter{readyAt: readyAt, usedAt: now}
	}
	return readyAt, nil
}

// adapterName is an adapter of a model.
type adapterName struct{ model, adapter string }

// placeFor finds the adapter, or which one gives way to it; no victim where there
// is a free place. started is the engine's start that this is decided for.
func (k *keeper) placeFor(now time.Time, e *keptEngine, args entryvm.AdapterArgs) (started int64, loaded *keptAdapter, victim adapterName, err error) {
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, nil, victim, errGone
	}
	pool := k.node.findPool(b.Service)
	if pool == nil {
		return 0, nil, victim, errGone
	}
	running := k.node.countRunningUnits(now, e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[args.Model]
	if m == nil || m.retiring {
		return 0, nil, victim, engine.ErrNotLoaded
	}
	if loaded := m.adapters[args.Adapter]; loaded != nil {
		loaded.usedAt = now
		return e.started, loaded, victim, nil
	}
	if e.swapping {
		return 0, nil, victim, errSwapping // the engine carries out one order at a time
	}
	oldest, count := e.oldestAdapter(now, b.Service, running)
	if count < pool.AdapterPlaces {
		return e.started, nil, victim, nil
	}
	if oldest.adapter == "" {
		return 0, nil, victim, errNoRoom
	}
	return e.started, nil, oldest, nil
}

// oldestAdapter returns the adapter that was not used for the longest, and how many
// there are. Call with e.mu held.
func (e *keptEngine) oldestAdapter(now time.Time, service string, running map[string]int) (victim adapterName, count int) {
	var oldest time.Time
	for model, m := range e.models {
		for adapter, loaded := range m.adapters {
			count++
			if running[unitName(service, model, adapter)] > 0 {
				loaded.usedAt = now
				continue
			}
			if now.Sub(loaded.usedAt) < adapterYoung {
				continue
			}
			if victim.adapter == "" || loaded.usedAt.Before(oldest) {
				victim, oldest = adapterName{model, adapter}, loaded.usedAt
			}
		}
	}
	return victim, count
}
