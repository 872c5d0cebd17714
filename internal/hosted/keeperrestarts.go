package hosted

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/engine"
)

// unansweredOrderTTL is how long after it was sent an unanswered order may still be
// executed: the platform executes an order up to 12 s late; 1 s covers clock error and
// network delay.
const unansweredOrderTTL = 13 * time.Second

var errEngineRestarted = errors.New("the engine has started again")

// unansweredLoad is a load of a model, or of an adapter of one, that got no answer: the engine may execute it later, while its
// order count equals orderCount. In the instance that the load was sent to, newer orders
// rule that out. But an engine that restarts under the same ID counts from zero and reaches
// that count again; executing the load then, beside what its keeper has loaded since,
// exceeds the engine's memory and crashes it.
type unansweredLoad struct {
	started    int64
	orderCount uint64
	model      string
	adapter    string
	expiresAt  time.Time
}

// handleRestart applies the newest instance of an engine that the table knows of, and
// requests the engine's status if that instance is new.
func (k *keeper) handleRestart(id string) {
	b, listed := k.node.backends.get(id)
	k.mu.Lock()
	e := k.engines[id]
	k.mu.Unlock()
	if e == nil || !listed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.resetForInstance(b.start) {
		return
	}
	k.node.config.Logger.Info("kept engine started again", zap.String("engine", id), zap.Int64("started", b.start),
		zap.Int("late_orders", len(e.unansweredLoads)))
	k.publishChange(e, true)
	go k.resyncEngine(context.Background(), e)
}

// minRecheckInterval is the minimum time between two status requests to an engine that
// rejected requests for units.
const minRecheckInterval = 500 * time.Millisecond

// recheckEngine requests the status of an engine that rejected a request for a unit, unless
// a swap explains the rejection. If an engine restarts under its ID while the registry is
// unavailable, no entry shows the restart; without this request its keeper would go on
// reporting the models of the former instance, and each request for them would be rejected.
func (k *keeper) recheckEngine(now time.Time, id string) {
	if !k.canSendOrdersTo(id) {
		return
	}
	e := k.getOrCreateEngine(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping || now.Sub(e.recheckedAt) < minRecheckInterval {
		return
	}
	e.recheckedAt, e.statusKnown = now, false
	go k.resyncEngine(context.Background(), e)
}

// resetForInstance records the engine's current instance, discards the models and the order
// count of an earlier one, and reports whether there was one. Call with e.mu held.
func (e *keptEngine) resetForInstance(started int64) bool {
	if started == 0 || started == e.started {
		return false
	}
	previous := e.started
	e.started = started
	if previous == 0 {
		return false
	}
	e.statusKnown, e.orderCount = false, 0
	e.models = make(map[string]*keptModel)
	return true
}

// applyStatusInstance compares the instance that a status belongs to with the known one and
// adopts a newer one. It reports whether the status is valid: one of an ended instance
// isn't. b is what is known of the engine otherwise. Call with e.mu held.
func (e *keptEngine) applyStatusInstance(reported int64, b *backend) bool {
	switch {
	case reported == 0 || reported == e.started:
		return true
	case b.isOutdatedStart(time.Now(), reported, startFromKeeper):
		return false
	case reported < e.started && reported != b.Started:
		// After its clock was set back, a restarted engine reports an earlier time, too.
		// Such an instance is accepted once the engine's entry lists it.
		return false
	default:
		e.resetForInstance(reported)
		return true
	}
}

// recordUnansweredLoad records a load that was sent to an instance and got no answer. Call
// with e.mu held.
func (e *keptEngine) recordUnansweredLoad(now time.Time, started int64, order *engine.Order) {
	if order.Action != engine.ActionLoad {
		return
	}
	load := unansweredLoad{started: started, orderCount: *order.After, model: order.Unit, expiresAt: now.Add(unansweredOrderTTL)}
	if order.Base != "" {
		load.model, load.adapter = order.Base, order.Unit
	}
	e.unansweredLoads = slices.DeleteFunc(e.unansweredLoads, func(o unansweredLoad) bool {
		return o.started == load.started && o.orderCount == load.orderCount && o.model == load.model && o.adapter == load.adapter
	})
	e.unansweredLoads = append(e.unansweredLoads, load)
}

// dropExpiredLoads drops the loads that can no longer be executed. On a kept engine it is
// called only after a status was applied: an engine that restarted unnoticed may have
// executed one of them, and if the load were dropped by time alone, a further load, sent
// with the count that the new instance has reached, would exceed the engine's memory. Call
// with e.mu held.
func (e *keptEngine) dropExpiredLoads(now time.Time) {
	e.unansweredLoads = slices.DeleteFunc(e.unansweredLoads, func(o unansweredLoad) bool { return !now.Before(o.expiresAt) })
}

// hasExpiredLoads reports whether unanswered loads have expired, so that the engine's
// status has to be requested before they are dropped. Call with e.mu held.
func (e *keptEngine) hasExpiredLoads(now time.Time) bool {
	return slices.ContainsFunc(e.unansweredLoads, func(o unansweredLoad) bool { return !now.Before(o.expiresAt) })
}

// unansweredReservation returns the memory that loads sent to earlier instances may still
// occupy. Call with e.mu held.
func (e *keptEngine) unansweredReservation(now time.Time, pool *contract.EnginePool, restartedAt time.Time) int64 {
	sum := e.sumUnansweredBytes(pool, func(o *unansweredLoad) bool {
		return o.started != e.started && o.orderCount >= e.orderCount && e.models[o.model] == nil
	})
	if !e.mayHaveOthersOrders(now, restartedAt) {
		return sum
	}
	for i := range pool.Models {
		sum = max(sum, pool.Models[i].MemoryBytes)
	}
	return sum
}

// mayHaveOthersOrders reports whether the instance may still get an order that another VM, or an earlier process of
// this one, sent to the instance before it. Call with e.mu held.
func (e *keptEngine) mayHaveOthersOrders(now, restartedAt time.Time) bool {
	if !restartedAt.IsZero() && now.Sub(restartedAt) < unansweredOrderTTL && restartedAt.Sub(e.keptSince) < unansweredOrderTTL {
		return true
	}
	// A process that has just started didn't see whether the engine ran before.
	return e.keptByNewProcess && now.Sub(e.keptSince) < unansweredOrderTTL && e.started != 0 &&
		e.keptSince.Sub(time.UnixMilli(e.started)) < unansweredOrderTTL
}

// reservedAdapterPlaces returns the places for adapters that loads sent to earlier instances may still occupy. Call with
// e.mu held.
func (e *keptEngine) reservedAdapterPlaces(now, restartedAt time.Time) int {
	places := e.countUnansweredAdapters(func(o *unansweredLoad) bool {
		m := e.models[o.model]
		return o.started != e.started && o.orderCount >= e.orderCount && (m == nil || m.adapters[o.adapter] == nil)
	})
	if e.mayHaveOthersOrders(now, restartedAt) {
		places = max(places, 1)
	}
	return places
}

// countUnansweredAdapters returns how many of the selected unanswered loads of adapters an engine may execute: one for each
// order count. Call with e.mu held.
func (e *keptEngine) countUnansweredAdapters(selected func(*unansweredLoad) bool) int {
	counts := make(map[uint64]bool)
	for i := range e.unansweredLoads {
		if o := &e.unansweredLoads[i]; o.adapter != "" && selected(o) {
			counts[o.orderCount] = true
		}
	}
	return len(counts)
}

// sumUnansweredBytes returns the memory that the selected unanswered loads may occupy. Of
// loads with the same order count, the engine executes at most one. Call with e.mu held.
func (e *keptEngine) sumUnansweredBytes(pool *contract.EnginePool, selected func(*unansweredLoad) bool) (sum int64) {
	byCount := make(map[uint64]int64)
	for i := range e.unansweredLoads {
		o := &e.unansweredLoads[i]
		if o.adapter != "" || !selected(o) {
			continue
		}
		if m, ok := pool.FindModel(o.model); ok {
			byCount[o.orderCount] = max(byCount[o.orderCount], m.MemoryBytes)
		}
	}
	for _, bytes := range byCount {
		sum += bytes
	}
	return sum
}

// mustDeferLoad reports whether a further load must wait until earlier ones can no longer be
// executed. Unanswered loads with consecutive order counts could all be executed by an
// engine that restarts empty, and exceed its memory. An engine with a new ID at each start
// rejects such loads; it reports started=0. Call with e.mu held.
func (e *keptEngine) mustDeferLoad(pool *contract.EnginePool, load contract.PoolModel) bool {
	if e.started == 0 {
		return false
	}
	otherBytes := e.sumUnansweredBytes(pool, func(o *unansweredLoad) bool { return o.orderCount != e.orderCount })
	return otherBytes > 0 && otherBytes+load.MemoryBytes > modelCapacityBytes(pool)
}

// checkStatusInstance applies the instance that a status belongs to and reports whether the
// status is valid.
func (k *keeper) checkStatusInstance(e *keptEngine, status engine.Status) bool {
	b, _ := k.node.backends.get(e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.applyStatusInstance(status.Started, &b)
}
