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
	// orderTimeout bounds one sending of an order: an engine answers within some
	// milliseconds. orderTries is how often an order that gets no answer is sent: it
	// names the number of orders before it, so only one of them is carried out.
	orderTimeout = 150 * time.Millisecond
	orderTries   = 4
	// conflictPause is the pause after an order that met another one.
	conflictPause = 60 * time.Millisecond
	// conflictsMost is how often an order is tried again before the engine is asked
	// for what it holds.
	conflictsMost = 12
	// conflictSteps times conflictPause is the longest pause.
	conflictSteps = 3
)

// send sends one order under the lock e.ordering. The engine carries it out only
// after just the orders that are known, so that one which is carried out late,
// behind a newer one, is refused and overfills nothing.
// It fails with errStartedAgain where the decision was made for an earlier start.
func (k *keeper) send(ctx context.Context, e *keptEngine, started int64, order engine.Order) error {
	address, err := k.address(e.id)
	if err != nil {
		return err
	}
	token, end, ok := k.node.beginOrder(e.id)
	if !ok {
		return errNotKeeper
	}
	defer end()
	after, err := k.mayFollow(e, started, &order)
	if err != nil {
		return err
	}
	order.Token = engine.Token(token)
	order.Holder = k.node.config.VM
	order.Incarnation = e.id
	order.After = &after
	status, err := k.sendTries(ctx, e, started, address, order)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.started != started:
		// The answer is the former start's, and its count is no more.
		return errStartedAgain
	case err == nil:
		e.orders = max(e.orders, status.Orders)
	case errors.Is(err, engine.ErrNotSent):
	case errors.Is(err, engine.ErrOrderConflict) && e.swapping:
		// The swap's own order is still being carried out.
	default:
		e.known = false
	}
	return err
}

// mayFollow returns the number of orders that an order comes after, or why it must not be
// sent. Failure: while a swap's load met another order again and again, one of before was
// carried out late; the load was sent on behind it, and the engine held more than fits.
func (k *keeper) mayFollow(e *keptEngine, started int64, order *engine.Order) (after uint64, err error) {
	b, ok := k.node.backends.get(e.id)
	if !ok {
		return 0, errGone
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started != started {
		return 0, errStartedAgain
	}
	if order.Action != engine.ActionLoad || order.Base != "" {
		return e.orders, nil
	}
	k.reserve(time.Now(), e)
	if !k.fits(b.Service, e, entryvm.SwapArgs{Load: order.Unit}) {
		return 0, fmt.Errorf("%w beside %v after %d orders", errNoRoom, slices.Sorted(maps.Keys(e.models)), e.orders)
	}
	pool := k.node.findPool(b.Service)
	if load, ok := pool.Model(order.Unit); ok && e.tooManyLate(pool, *load) {
		return 0, fmt.Errorf("%w: %d loads got no answer", errNoRoom, len(e.late))
	}
	return e.orders, nil
}

// sendTries sends an order until it is answered. Failure: some engines leave an order
// unanswered and carry it out seconds later; whoever waits for the model or the adapter
// would wait as long.
func (k *keeper) sendTries(ctx context.Context, e *keptEngine, started int64, address string, order engine.Order) (status engine.Status, err error) {
	for try := 0; ; try++ {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
		status, err = k.node.config.Peers.Engines.Order(callCtx, address, order)
		cancel()
		k.logOrder(e, order, err)
		if errors.Is(err, engine.ErrOutcomeUnknown) {
			k.noteLate(e, started, &order)
		}
		if !errors.Is(err, engine.ErrOutcomeUnknown) || try+1 == orderTries || !k.keeps(e.id) {
			return status, err
		}
	}
}

func (k *keeper) noteLate(e *keptEngine, started int64, order *engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteLate(time.Now(), started, order)
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

// sendPatiently is send, tried again where it meets an order that is being carried
// out. It fails with engine.ErrOrderConflict where the engine has to be asked.
func (k *keeper) sendPatiently(ctx context.Context, e *keptEngine, started int64, order engine.Order, until time.Time) error {
	conflicts := 0
	for {
		e.ordering.Lock()
		err := k.ready(ctx, e)
		if err == nil {
			err = k.send(ctx, e, started, order)
		}
		e.ordering.Unlock()
		if !errors.Is(err, engine.ErrOrderConflict) || time.Now().After(until) {
			return err
		}
		conflicts++
		if conflicts%conflictsMost == 0 {
			// Not this swap's order: an older one that was carried out late.
			e.mu.Lock()
			e.known = false
			e.mu.Unlock()
		}
		if !pause.For(ctx, conflictPause*time.Duration(min(conflicts, conflictSteps))) {
			return err
		}
	}
}

// ready asks the engine unless it is known what it holds.
func (k *keeper) ready(ctx context.Context, e *keptEngine) error {
	e.mu.Lock()
	known := e.known
	e.mu.Unlock()
	if known {
		return nil
	}
	return k.refresh(ctx, e)
}
