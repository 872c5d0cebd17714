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

// startSwap unloads models from an engine and loads another. It returns once it is clear
// whether the swap has begun; the swap itself runs in the background.
func (k *keeper) startSwap(ctx context.Context, args entryvm.SwapArgs) error {
	e := k.getOrCreateEngine(args.Engine)
	beginCtx, cancel := context.WithTimeout(ctx, swapPreparationTimeout)
	defer cancel()
	if !e.orderLock.lockContext(beginCtx) {
		return errSwapInProgress // or another order is in flight there
	}
	started, err := k.prepareSwap(beginCtx, e, args)
	e.orderLock.Unlock()
	if err != nil {
		return err
	}
	go k.runSwap(ctx, e, started, args)
	return nil
}

// prepareSwap checks that the swap may begin and marks the models to unload as retiring, so
// that no VM sends them new requests. It returns the instance of the engine that the swap is
// for.
func (k *keeper) prepareSwap(ctx context.Context, e *keptEngine, args entryvm.SwapArgs) (started int64, err error) {
	if !k.canSendOrdersTo(e.id) {
		return 0, errNotKeeper
	}
	if err := k.ensureStatusKnown(ctx, e); err != nil {
		return 0, fmt.Errorf("%w: %w", errNoStatus, err)
	}
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, errEngineGone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping {
		return 0, errSwapInProgress
	}
	if !e.statusKnown {
		return 0, errEngineRestarted // since ensureStatusKnown returned
	}
	k.updateReservedBytes(time.Now(), e)
	if !k.canFitLoad(b.Service, e, args) {
		k.publishChange(e, false)
		return 0, fmt.Errorf("%w beside %v after %d orders, %d bytes reserved", errNoCapacity, slices.Sorted(maps.Keys(e.models)), e.orderCount, e.reservedBytes)
	}
	e.swapping, e.swap = true, args
	e.loadReadyAt = time.Now().Add(args.LoadTime + time.Duration(len(args.Unload))*residency.UnloadTime)
	for _, name := range args.Unload {
		if m := e.models[name]; m != nil {
			m.retiring = true
		}
	}
	k.publishChange(e, true)
	return e.started, nil
}

// canSendOrdersTo reports whether this VM may send orders to the engine now.
func (k *keeper) canSendOrdersTo(id string) bool {
	return slices.Contains(k.node.activeShards(), k.node.shardOf(id))
}

// canFitLoad reports whether the engine has memory for the model to load once the others
// are unloaded: an engine that is ordered to load more than it can hold crashes, and all its
// requests fail. The keeper checks this itself because the planner's view may be older. Call
// with e.mu held.
func (k *keeper) canFitLoad(service string, e *keptEngine, args entryvm.SwapArgs) bool {
	if args.Load == "" {
		return true
	}
	pool := k.node.findPool(service)
	if pool == nil {
		return false
	}
	loading, ok := pool.FindModel(args.Load)
	if !ok || e.models[args.Load] != nil {
		return false
	}
	freeBytes := modelCapacityBytes(pool) - e.reservedBytes - loading.MemoryBytes
	for name := range e.models {
		if slices.Contains(args.Unload, name) {
			continue
		}
		held, ok := pool.FindModel(name)
		if !ok {
			return false // of unknown size
		}
		freeBytes -= held.MemoryBytes
	}
	return freeBytes >= 0
}

// runSwap executes a swap, then publishes and logs the result.
func (k *keeper) runSwap(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) {
	startedAt := time.Now()
	err := k.executeSwap(ctx, e, started, args)
	e.mu.Lock()
	e.swapping = false
	for _, m := range e.models {
		m.retiring = false
	}
	if err != nil {
		e.statusKnown = false
	}
	k.publishChange(e, true)
	e.mu.Unlock()
	swapSeconds.UpdateDuration(startedAt)
	k.node.config.Logger.Info("swap ended", zap.String("engine", e.id), zap.Strings("unload", args.Unload),
		zap.String("load", args.Load), zap.String("purpose", args.Reason), zap.Duration("expected", args.LoadTime),
		zap.Duration("took", time.Since(startedAt)), telemetry.Reason(err))
	if err != nil {
		k.resyncEngine(ctx, e)
	}
	k.node.planner.wakeUp()
}

// resyncEngine asks an engine for its status, such as after a failed swap, and publishes
// what it holds.
func (k *keeper) resyncEngine(ctx context.Context, e *keptEngine) {
	e.orderLock.Lock()
	defer e.orderLock.Unlock()
	if err := k.ensureStatusKnown(ctx, e); err != nil {
		k.node.config.Logger.Warn("engine does not tell what it holds", zap.String("engine", e.id), telemetry.Reason(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	k.publishChange(e, true)
}

func (k *keeper) executeSwap(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) error {
	if len(args.Unload) > 0 {
		if !pause.For(ctx, retirementDelay) {
			return ctx.Err()
		}
	}
	deadline := time.Now().Add(unloadTimeout)
	for _, name := range args.Unload {
		err := k.sendRetryingConflicts(ctx, e, started, engine.Order{Action: engine.ActionUnload, Unit: name}, deadline)
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
	if err := k.sendRetryingConflicts(ctx, e, started, load, deadline); err != nil {
		return err
	}
	return k.waitForLoad(ctx, e, started, args)
}

func (k *keeper) instanceOf(e *keptEngine) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}
