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
)

const (
	// orderTimeout bounds one attempt to send an order: an engine answers within some
	// milliseconds. maxOrderAttempts is how often an unanswered order is sent; it states
	// the number of orders before it, so the engine executes only one of the attempts.
	orderTimeout     = 150 * time.Millisecond
	maxOrderAttempts = 4
	// orderConflictBackoff is the delay after an order that conflicted with another one.
	orderConflictBackoff = 60 * time.Millisecond
	// conflictsBeforeRefresh is how many conflicts an order meets before the engine's
	// status is requested again.
	conflictsBeforeRefresh = 12
	// maxConflictBackoffSteps times orderConflictBackoff is the longest delay.
	maxConflictBackoffSteps = 3
)

// sendOrder sends one order. Call with e.orderLock held. The engine executes the order
// only if it has accepted exactly the known number of orders. So an order that arrives
// late, behind a newer one, is refused and can't exceed the engine's memory.
// sendOrder fails with errEngineRestarted if the decision was made for an earlier instance.
func (k *keeper) sendOrder(ctx context.Context, e *keptEngine, started int64, order engine.Order) error {
	address, err := k.engineAddress(e.id)
	if err != nil {
		return err
	}
	token, end, ok := k.node.beginOrder(e.id)
	if !ok {
		return errNotKeeper
	}
	defer end()
	after, err := k.checkOrder(e, started, &order)
	if err != nil {
		return err
	}
	order.Token = engine.Token(token)
	order.Holder = k.node.config.VM
	order.Incarnation = e.id
	order.After = &after
	status, err := k.sendWithRetries(ctx, e, started, address, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.started != started:
		// The answer is from the former instance, whose order count no longer applies.
		return errEngineRestarted
	case err == nil:
		e.orderCount = max(e.orderCount, status.AcceptedOrders)
	case errors.Is(err, engine.ErrNotSent):
	case errors.Is(err, engine.ErrOrderConflict) && e.swapping:
	// The swap's own order is still being executed.
	default:
		e.statusKnown = false
	}
	return err
}

// checkOrder returns the number of orders that must precede an order, or an error if it
// must not be sent. The capacity is checked for each attempt: while a swap's load is
// retried after conflicts, the engine may execute an earlier order late, and the load
// behind it would exceed the engine's memory.
func (k *keeper) checkOrder(e *keptEngine, started int64, order *engine.Order) (after uint64, err error) {
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, errEngineGone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started != started {
		return 0, errEngineRestarted
	}
	if order.Action != engine.ActionLoad || order.Base != "" {
		return e.orderCount, nil
	}
	k.updateReservedBytes(time.Now(), e)
	if !k.canFitLoad(b.Service, e, entryvm.SwapArgs{Load: order.Unit}) {
		return 0, fmt.Errorf("%w beside %v after %d orders", errNoCapacity, slices.Sorted(maps.Keys(e.models)), e.orderCount)
	}
	pool := k.node.findPool(b.Service)
	if load, ok := pool.FindModel(order.Unit); ok && e.mustDeferLoad(pool, *load) {
		return 0, fmt.Errorf("%w: %d loads got no answer", errNoCapacity, len(e.unansweredLoads))
	}
	return e.orderCount, nil
}

// sendWithRetries sends an order up to maxOrderAttempts times until it is answered. Some
// engines leave an order unanswered and execute it seconds later; without retries, requests
// for the model or the adapter would wait as long.
func (k *keeper) sendWithRetries(ctx context.Context, e *keptEngine, started int64, address string, order engine.Order) (status engine.Status, err error) {
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
		status, err = k.node.config.Peers.Engines.Order(callCtx, address, order)
		cancel()
		k.logOrder(e, order, err)
		if errors.Is(err, engine.ErrOutcomeUnknown) {
			k.recordUnansweredLoad(e, started, &order)
		}
		if !errors.Is(err, engine.ErrOutcomeUnknown) || try+1 == maxOrderAttempts || !k.canSendOrdersTo(e.id) {
			return status, err
		}
	}
}

func (k *keeper) recordUnansweredLoad(e *keptEngine, started int64, order *engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordUnansweredLoad(time.Now(), started, order)
}

func (k *keeper) logOrder(e *keptEngine, order engine.Order, err error) {
	outcome, total := "accepted", ordersAccepted
	if err != nil {
		outcome, total = "failed", ordersFailed
	}
	total.Inc()
	k.node.config.Logger.Info("order", zap.String("engine", e.id), zap.String("action", string(order.Action)),
		zap.String("unit", order.Unit), zap.String("base", order.Base), zap.Uint64("token", uint64(order.Token)),
		zap.Uint64("after", *order.After), zap.String("outcome", outcome), telemetry.Reason(err))
}

// sendRetryingConflicts sends an order like sendOrder and retries until the given time if
// the engine is executing another one. Then it fails with engine.ErrOrderConflict: the
// engine's status has to be requested.
func (k *keeper) sendRetryingConflicts(ctx context.Context, e *keptEngine, started int64, order engine.Order, until time.Time) error {
	conflicts := 0
	for {
		e.orderLock.Lock()
		err := k.ensureStatusKnown(ctx, e)
		if err == nil {
			err = k.sendOrder(ctx, e, started, order)
		}
		e.orderLock.Unlock()
		if !errors.Is(err, engine.ErrOrderConflict) || time.Now().After(until) {
			return err
		}
		conflicts++
		if conflicts%conflictsBeforeRefresh == 0 {
			// The conflict is probably not with this swap's own order but with an older one
			// that was executed late.
			e.mu.Lock()
			e.statusKnown = false
			e.mu.Unlock()
		}
		if !pause.For(ctx, orderConflictBackoff*time.Duration(min(conflicts, maxConflictBackoffSteps))) {
			return err
		}
	}
}

// ensureStatusKnown requests the engine's status if it is unknown.
func (k *keeper) ensureStatusKnown(ctx context.Context, e *keptEngine) error {
	e.mu.Lock()
	known := e.statusKnown
	e.mu.Unlock()
	if known {
		return nil
	}
	return k.refreshStatus(ctx, e)
}
