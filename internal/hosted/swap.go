package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/placement/residency"
)

// swap changes what an engine holds. It returns once it is clear whether it has
// begun; the rest goes on beside.
func (k *keeper) swap(ctx context.Context, args entryvm.SwapArgs) error {
	e := k.engine(args.Engine)
	beginCtx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	if !e.ordering.lockContext(beginCtx) {
		return errSwapping // or something else is under way there
	}
	started, err := k.beginSwap(beginCtx, e, args)
	e.ordering.Unlock()
	if err != nil {
		return err
	}
	go k.runSwap(ctx, e, started, args)
	return nil
}

// beginSwap marks the models that go, so that no VM sends them new requests. It returns
// the engine's start that the swap is for.
func (k *keeper) beginSwap(ctx context.Context, e *keptEngine, args entryvm.SwapArgs) (started int64, err error) {
	if !k.keeps(e.id) {
		return 0, errNotKeeper
	}
	if err := k.ready(ctx, e); err != nil {
		return 0, fmt.Errorf("%w: %w", errSilent, err)
	}
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, errGone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping {
		return 0, errSwapping
	}
	if !e.known {
		return 0, errStartedAgain // since it was asked
	}
	k.reserve(time.Now(), e)
	if !k.fits(b.Service, e, args) {
		k.changed(e, false)
		return 0, fmt.Errorf("%w beside %v after %d orders, %d bytes reserved", errNoRoom, slices.Sorted(maps.Keys(e.models)), e.orders, e.reservedBytes)
	}
	e.swapping, e.swap = true, args
	e.loadedAt = time.Now().Add(args.Takes + time.Duration(len(args.Unload))*residency.UnloadTime)
	for _, name := range args.Unload {
		if m := e.models[name]; m != nil {
			m.retiring = true
		}
	}
	k.changed(e, true)
	return e.started, nil
}

// keeps tells whether orders may go out to the engine now.
func (k *keeper) keeps(id string) bool {
	return slices.Contains(k.node.activeShards(), k.node.shardOf(id))
}

// fits tells whether the model has room once the others are gone: an engine that is
// ordered to load more than it holds crashes, and with it all that it runs. The
// planner's view may be older than the keeper's. Call with e.mu held.
func (k *keeper) fits(service string, e *keptEngine, args entryvm.SwapArgs) bool {
	if args.Load == "" {
		return true
	}
	pool := k.node.findPool(service)
	if pool == nil {
		return false
	}
	loading, ok := pool.Model(args.Load)
	if !ok || e.models[args.Load] != nil {
		return false
	}
	room := modelCapacityBytes(pool) - e.reservedBytes - loading.MemoryBytes
	for name := range e.models {
		if slices.Contains(args.Unload, name) {
			continue
		}
		held, ok := pool.Model(name)
		if !ok {
			return false // of unknown size
		}
		room -= held.MemoryBytes
	}
	return room >= 0
}

// runSwap unloads, loads, and tells when it is done.
func (k *keeper) runSwap(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) {
	begun := time.Now()
	err := k.swapSteps(ctx, e, started, args)
	e.mu.Lock()
	e.swapping = false
	for _, m := range e.models {
		m.retiring = false
	}
	if err != nil {
		e.known = false
	}
	k.changed(e, true)
	e.mu.Unlock()
	swapSeconds.UpdateDuration(begun)
	k.node.config.Logger.Info("swap ended", zap.String("engine", e.id), zap.Strings("unload", args.Unload),
		zap.String("load", args.Load), zap.String("purpose", args.Reason), zap.Duration("expected", args.Takes),
		zap.Duration("took", time.Since(begun)), telemetry.Reason(err))
	if err != nil {
		k.settle(ctx, e)
	}
	k.node.planner.wakeUp()
}

// settle asks an engine what became of a swap that failed.
func (k *keeper) settle(ctx context.Context, e *keptEngine) {
	e.ordering.Lock()
	defer e.ordering.Unlock()
	if err := k.ready(ctx, e); err != nil {
		k.node.config.Logger.Warn("engine does not tell what it holds", zap.String("engine", e.id), telemetry.Reason(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k.changed(e, true)
}

func (k *keeper) swapSteps(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) error {
	if len(args.Unload) > 0 {
		if !pause.For(ctx, retireNotice) {
			return ctx.Err()
		}
	}
	until := time.Now().Add(unloadMost)
	for _, name := range args.Unload {
		err := k.sendPatiently(ctx, e, started, engine.Order{Action: engine.ActionUnload, Unit: name}, until)
		if err != nil && !errors.Is(err, engine.ErrNotLoaded) {
			return err
		}
		e.mu.Lock()
		delete(e.models, name)
		e.mu.Unlock()
	}
	if args.Load == "" {
		return nil
	}
	// While the unloads are carried out the engine answers that it is busy.
	load := engine.Order{Action: engine.ActionLoad, Unit: args.Load}
	if err := k.sendPatiently(ctx, e, started, load, until); err != nil {
		return err
	}
	return k.awaitLoad(ctx, e, started, args)
}

func (k *keeper) startOf(e *keptEngine) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}
