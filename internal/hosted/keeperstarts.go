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

// lateMost is how long after its sending an order that got no answer may still be carried
// out: twelve seconds on the users' platform, and one for clocks and links.
const lateMost = 13 * time.Second

var errStartedAgain = errors.New("the engine has started again")

// lateOrder is a load that got no answer: the engine may carry it out later, once it has
// accepted just as many orders as were counted before this one. In the start that it was
// sent to newer orders rule that out. Failure: the engine starts again under its ID and
// counts anew; it comes by that count a second time, carries the late order out, and with
// what its keeper has loaded by then it holds more than fits, and crashes.
type lateOrder struct {
	started int64
	after   uint64
	model   string
	until   time.Time
}

// startedAgain takes what the table knows of an engine's newest start.
func (k *keeper) startedAgain(id string) {
	b, listed := k.node.backends.get(id)
	k.mu.Lock()
	e := k.engines[id]
	k.mu.Unlock()
	if e == nil || !listed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restart(b.start) {
		return
	}
	k.node.config.Logger.Info("kept engine started again", zap.String("engine", id), zap.Int64("started", b.start),
		zap.Int("late_orders", len(e.late)))
	k.changed(e, true)
	go k.settle(context.Background(), e)
}

// doubtPause is the least time between two questions to an engine that turned units away.
const doubtPause = 500 * time.Millisecond

// doubt asks an engine that turned a unit away what it holds, unless a swap explains it.
// Failure: an engine starts again under its ID while the registry is away, so that no
// entry tells; its keeper's word went on naming the models of before, and each request
// for them was turned away.
func (k *keeper) doubt(now time.Time, id string) {
	if !k.keeps(id) {
		return
	}
	e := k.engine(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping || now.Sub(e.doubtedAt) < doubtPause {
		return
	}
	e.doubtedAt, e.known = now, false
	go k.settle(context.Background(), e)
}

// restart forgets what an earlier start held and was ordered; it tells whether there was
// one. Call with e.mu held.
func (e *keptEngine) restart(started int64) bool {
	if started == 0 || started == e.started {
		return false
	}
	before := e.started
	e.started = started
	if before == 0 {
		return false
	}
	e.known, e.orders = false, 0
	e.models = make(map[string]*keptModel)
	return true
}

// takeStart compares the start that a status is of with the one known. It tells whether
// the status counts: not one of a start that has ended. listed is the start by the
// engine's entry. Call with e.mu held.
func (e *keptEngine) takeStart(told, listed int64) bool {
	switch {
	case told == 0 || told == e.started:
		return true
	case told < e.started && told != listed:
		// A clock that was set back before the engine started again gives an older time
		// too; the entry says so, as soon as it is there.
		return false
	default:
		e.restart(told)
		return true
	}
}

// noteLate remembers a load for a start that got no answer. Call with e.mu held.
func (e *keptEngine) noteLate(now time.Time, started int64, order *engine.Order) {
	if order.Action != engine.ActionLoad || order.Base != "" {
		return
	}
	noted := lateOrder{started: started, after: *order.After, model: order.Unit, until: now.Add(lateMost)}
	e.late = slices.DeleteFunc(e.late, func(o lateOrder) bool {
		return o.started == noted.started && o.after == noted.after && o.model == noted.model
	})
	e.late = append(e.late, noted)
}

// forgetLate drops the loads that can't be carried out any more, once the engine has said
// what it holds. Failure: it had started again unnoticed and carried one of them out; with
// that one forgotten by the clock alone, a further load was sent at the count that the new
// start had come to, and it held more than fits. Call with e.mu held.
func (e *keptEngine) forgetLate(now time.Time) {
	e.late = slices.DeleteFunc(e.late, func(o lateOrder) bool { return !now.Before(o.until) })
}

// hasOverdue tells whether the engine has to be asked so that loads can be forgotten. Call
// with e.mu held.
func (e *keptEngine) hasOverdue(now time.Time) bool {
	return slices.ContainsFunc(e.late, func(o lateOrder) bool { return !now.Before(o.until) })
}

// reserved is the room that loads which were sent to earlier starts may still take. Call
// with e.mu held.
func (e *keptEngine) reserved(now time.Time, pool *contract.EnginePool, restartedAt time.Time) int64 {
	sum := e.lateBytes(pool, func(o *lateOrder) bool {
		return o.started != e.started && o.after >= e.orders && e.models[o.model] == nil
	})
	if restartedAt.IsZero() || now.Sub(restartedAt) >= lateMost || restartedAt.Sub(e.keptSince) >= lateMost {
		return sum
	}
	// Another VM kept the engine until lately, and may have sent it any load.
	for i := range pool.Models {
		sum = max(sum, pool.Models[i].MemoryBytes)
	}
	return sum
}

// lateBytes is the room that some of the late loads may take. Of those that wait for the
// same count one at most is carried out. Call with e.mu held.
func (e *keptEngine) lateBytes(pool *contract.EnginePool, counts func(*lateOrder) bool) (sum int64) {
	byCount := make(map[uint64]int64)
	for i := range e.late {
		o := &e.late[i]
		if !counts(o) {
			continue
		}
		if m, ok := pool.Model(o.model); ok {
			byCount[o.after] = max(byCount[o.after], m.MemoryBytes)
		}
	}
	for _, bytes := range byCount {
		sum += bytes
	}
	return sum
}

// tooManyLate tells whether a further load must wait until earlier ones can no longer be
// carried out. Failure: loads without an answer wait for one count after the other; the
// engine starts again, empty, and carries all of them out, more than fit. One that has a
// new ID at each start refuses them, and tells no start. Call with e.mu held.
func (e *keptEngine) tooManyLate(pool *contract.EnginePool, load contract.PoolModel) bool {
	if e.started == 0 {
		return false
	}
	others := e.lateBytes(pool, func(o *lateOrder) bool { return o.after != e.orders })
	return others > 0 && others+load.MemoryBytes > modelCapacityBytes(pool)
}

// saw takes the start that a status is of; it tells whether the status counts.
func (k *keeper) saw(e *keptEngine, status engine.Status) bool {
	b, _ := k.node.backends.get(e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.takeStart(status.Started, b.Started)
}
