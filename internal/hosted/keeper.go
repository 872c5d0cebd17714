package hosted

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

const (
	// statusTimeout bounds a status request to an engine.
	statusTimeout = time.Second
	// swapPreparationTimeout bounds the steps before a swap starts, so that the planner
	// learns of an unresponsive engine within swapTimeout.
	swapPreparationTimeout = 300 * time.Millisecond
	// retirementDelay is the time between announcing a model's removal to the other VMs
	// and unloading it. The engine would reject requests that they send after the unload.
	retirementDelay = 25 * time.Millisecond
	// maxStatusAge is how far an engine's status may lag behind its state.
	maxStatusAge = 150 * time.Millisecond
	// statusPollInterval is the time between status requests while a load runs longer than
	// expected.
	statusPollInterval = 150 * time.Millisecond
	// A load times out after loadTimeoutFactor times its expected duration plus
	// loadTimeoutMargin: a store that many engines load from is slow.
	loadTimeoutFactor = 6
	loadTimeoutMargin = 4 * time.Second
	// unloadTimeout bounds an unload, which waits for the model's running requests.
	unloadTimeout = 12 * time.Second
	// adapterLoadTime is the usual upper bound on the time to load an adapter.
	adapterLoadTime = 16 * time.Millisecond
	// minAdapterIdle is how long an adapter must be unused before it can be evicted: the
	// request that it was loaded for may still be on its way.
	minAdapterIdle = 250 * time.Millisecond
)

var (
	errNotKeeper      = errors.New("this VM may not send orders to the engine")
	errSwapInProgress = errors.New("a swap is under way")
	errEngineGone     = errors.New("the engine is gone")
	errNoStatus       = errors.New("the engine does not report its status")
	errNoCapacity     = errors.New("no room on the engine")
	errTimedOut       = errors.New("timed out")

	swapSeconds    = metrics.NewHistogram(`bergamotreel_swap_seconds`)
	ordersAccepted = metrics.NewCounter(`bergamotreel_orders_total{outcome="accepted"}`)
	ordersFailed   = metrics.NewCounter(`bergamotreel_orders_total{outcome="failed"}`)
)

// keeper sends orders to the engines of the shards that this VM owns. It is safe
// for concurrent use.
type keeper struct {
	node *Node
	// lastVersion numbers the updates of all engines. With a counter per engine, an engine
	// that is dropped and kept again would restart at a low version, and the other VMs
	// would discard its updates as old.
	lastVersion atomic.Uint64

	mu             sync.Mutex
	engines        map[string]*keptEngine
	loadPrediction loadPredictor
	startedAt      time.Time
}

// keptEngine holds what a keeper knows about the newest instance of an engine.
type keptEngine struct {
	id string
	// keptSince is when this VM became the engine's keeper; notKept is set while this VM may
	// not send the engine orders.
	keptSince time.Time
	notKept   bool
	// keptByNewProcess is whether this process had just started then.
	keptByNewProcess bool
	// orderLock is held while an order is decided and sent: orders are sent one at a
	// time, each with the number of orders before it.
	orderLock contextMutex

	mu sync.Mutex
	// statusKnown is set while orderCount and models match the engine's last status and the
	// orders accepted since.
	statusKnown bool
	orderCount  uint64
	models      map[string]*keptModel
	// started identifies the engine instance that orderCount and models belong to; it is 0 if
	// the engine reports none. unansweredLoads are the loads, sent to any instance, that may
	// still be executed.
	started         int64
	unansweredLoads []unansweredLoad
	// recheckedAt is when the engine's status was last requested because it rejected a
	// request for a unit.
	recheckedAt time.Time
	// reservedBytes is the memory that unansweredLoads may occupy.
	reservedBytes int64
	// swapping is set during a swap; swap holds its arguments and loadReadyAt its expected
	// end.
	swapping    bool
	swap        entryvm.SwapArgs
	loadReadyAt time.Time
	version     uint64
	// remainingReports is how many more reports carry the current update.
	remainingReports int
}

// keptModel is a model that is loaded on a kept engine.
type keptModel struct {
	// retiring is set on a model that accepts no new requests.
	retiring bool
	adapters map[string]*keptAdapter
}

// keptAdapter is an adapter that is loaded, or being loaded, on a kept engine.
type keptAdapter struct {
	readyAt, lastUsedAt time.Time
}

func newKeeper(n *Node) *keeper {
	return &keeper{node: n, engines: make(map[string]*keptEngine), startedAt: time.Now()}
}

// getOrCreateEngine returns the state of an engine that this VM keeps, and creates it if
// needed.
func (k *keeper) getOrCreateEngine(id string) *keptEngine {
	b, _ := k.node.backends.get(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[id]
	if e == nil {
		e = &keptEngine{id: id, keptSince: time.Now(), keptByNewProcess: k.isNewProcess(), started: b.start, orderLock: newContextMutex(), models: make(map[string]*keptModel)}
		k.engines[id] = e
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notKept {
		e.notKept, e.keptSince, e.keptByNewProcess = false, time.Now(), k.isNewProcess()
	}
	return e
}

// isNewProcess reports whether orders of an earlier process of this VM may still be executed.
func (k *keeper) isNewProcess() bool {
	return !k.node.config.FirstStart && time.Since(k.startedAt) < unansweredOrderTTL
}

// sweep drops engines that are no longer listed or are kept by another VM: their state
// would be stale when they return.
func (k *keeper) sweep() {
	active := k.node.activeShards()
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, e := range k.engines {
		_, listed := k.node.backends.get(id)
		if listed && slices.Contains(active, k.node.shardOf(id)) {
			continue
		}
		if e.clearState(time.Now()) {
			delete(k.engines, id)
		}
	}
	for _, e := range k.engines {
		k.updateLocalTable(e)
	}
}

// clearState marks the engine as not kept and its status as unknown. It reports whether
// the engine can be dropped, which is not so during a swap or while loads are unanswered.
// If an engine whose entry is unreadable for a moment were dropped with its unanswered
// loads, its next instance could execute them beside a new load and exceed its memory.
func (e *keptEngine) clearState(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping {
		return false
	}
	e.statusKnown, e.notKept = false, true
	e.dropExpiredLoads(now)
	return len(e.unansweredLoads) == 0
}

// updateLocalTable applies the current update of a known engine to this VM's own table, as
// the other VMs get it with repeated reports, and publishes a change of the reserved
// memory. Before expired loads are dropped, the engine's status is requested.
func (k *keeper) updateLocalTable(e *keptEngine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if before := e.reservedBytes; before > 0 {
		k.updateReservedBytes(now, e)
		if e.reservedBytes != before {
			k.publishChange(e, false)
		}
	}
	if e.statusKnown && !e.swapping && e.hasExpiredLoads(now) {
		e.statusKnown = false
		go k.resyncEngine(context.Background(), e)
	}
	if e.statusKnown {
		k.node.backends.applyEngineUpdate(now, k.node.origin(), e.updateLocked())
	}
}

// updatesToReport returns the updates of the kept engines for the other VMs: those that
// changed lately, or all of them.
func (k *keeper) updatesToReport(all bool) []entryvm.EngineUpdate {
	k.mu.Lock()
	engines := slices.Collect(maps.Values(k.engines))
	k.mu.Unlock()
	var out []entryvm.EngineUpdate
	for _, e := range engines {
		if update, ok := e.updateToReport(all); ok {
			out = append(out, update)
		}
	}
	return out
}

// updateToReport returns the engine's update if the next report has to carry it.
func (e *keptEngine) updateToReport(all bool) (entryvm.EngineUpdate, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.statusKnown || (e.remainingReports == 0 && !all) {
		return entryvm.EngineUpdate{}, false
	}
	e.remainingReports = max(0, e.remainingReports-1)
	return e.updateLocked(), true
}

// knownUpdate returns the engine's update, or nil if its status is unknown.
func (e *keptEngine) knownUpdate() *entryvm.EngineUpdate {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.statusKnown {
		return nil
	}
	update := e.updateLocked()
	return &update
}

func (e *keptEngine) updateLocked() entryvm.EngineUpdate {
	now := time.Now()
	update := entryvm.EngineUpdate{
		ID: e.id, Started: e.started, Orders: e.orderCount, Version: e.version, Swapping: e.swapping, ReservedBytes: e.reservedBytes,
	}
	if e.swapping {
		update.Loading, update.LoadTimeLeft, update.FromStore = e.swap.Load, max(0, e.loadReadyAt.Sub(now)), !e.swap.HasLocalCopy
	}
	for name, m := range e.models {
		if m.retiring {
			continue
		}
		model := entryvm.EngineModel{Model: name}
		for adapter, loaded := range m.adapters {
			if !now.Before(loaded.readyAt) {
				model.Adapters = append(model.Adapters, adapter)
			}
		}
		update.Models = append(update.Models, model)
	}
	return update
}

// origin identifies a process of a VM as the source of updates: each process numbers its
// updates anew, from 1.
func origin(vm, incarnation string) string { return vm + " " + incarnation }

// origin identifies this process as the source of updates of the engines that it keeps.
func (n *Node) origin() string { return origin(n.config.VM, n.config.Incarnation) }

// publishChange numbers the engine's new update, applies it locally and schedules it for
// the reports; an urgent one is sent at once. Call with e.mu held.
func (k *keeper) publishChange(e *keptEngine, urgent bool) {
	e.version = k.lastVersion.Add(1)
	// Each peer gets a report of its own.
	e.remainingReports = updateRepeats * max(1, k.node.config.expectedPeers())
	k.node.backends.applyEngineUpdate(time.Now(), k.node.origin(), e.updateLocked())
	if urgent {
		go k.node.members.notifyAll()
	}
	k.node.serving.Wake()
}

// expectedPeers returns the usual number of a VM's peers; each of them has to get an update.
func (c Config) expectedPeers() int { return maxFullMeshPeers }

// engineAddress returns the address of a listed engine.
func (k *keeper) engineAddress(id string) (string, error) {
	b, ok := k.node.backends.get(id)
	if !ok || !b.IsEngine {
		return "", errEngineGone
	}
	return b.Address, nil
}

// queryStatus requests the engine's status once. An engine that reports that it is
// draining is marked as leaving.
func (k *keeper) queryStatus(ctx context.Context, e *keptEngine) (engine.Status, error) {
	address, err := k.engineAddress(e.id)
	if err != nil {
		return engine.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	begun := time.Now()
	status, err := k.node.config.Peers.Engines.Status(ctx, address)
	if err == nil {
		k.node.serving.RecordAnswer(e.id, begun)
	}
	if err == nil && status.Draining {
		k.node.mergeLeaving(time.Now(), k.node.config.VM, []entryvm.LeavingBackend{{Backend: e.id, Started: status.Started}})
	}
	return status, err
}

// refreshStatus requests the engine's status until one can be applied. A status lags
// behind: one that counts fewer orders than the engine has accepted is requested again.
func (k *keeper) refreshStatus(ctx context.Context, e *keptEngine) error {
	deadline := time.Now().Add(statusTimeout)
	for {
		status, err := k.queryStatus(ctx, e)
		if err != nil {
			return err
		}
		if k.applyStatus(e, status) {
			return nil
		}
		if time.Now().After(deadline) || !pause.For(ctx, maxStatusAge) {
			return errTimedOut
		}
	}
}

// applyStatus replaces the known state of an engine by its status, and reports whether it
// did: not by a status that is older or was taken during an order. A status from before
// the end of a load has the same order count but lacks the model, and the next load would
// exceed the engine's memory. With no order in progress, the count proves that the status
// includes all of them.
func (k *keeper) applyStatus(e *keptEngine, status engine.Status) bool {
	b, _ := k.node.backends.get(e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.applyStatusInstance(status.Started, &b) || status.AcceptedOrders < e.orderCount || status.OrderInFlight {
		return false
	}
	e.orderCount = status.AcceptedOrders
	now := time.Now()
	models := make(map[string]*keptModel)
	for _, unit := range status.Units {
		if unit.Base == "" {
			models[unit.Unit] = &keptModel{adapters: make(map[string]*keptAdapter)}
		}
	}
	for _, unit := range status.Units {
		m := models[unit.Base]
		if unit.Base == "" || m == nil {
			continue
		}
		loaded := &keptAdapter{readyAt: now}
		if unit.Phase == engine.PhaseLoading {
			loaded.readyAt = now.Add(adapterLoadTime)
		}
		if previous := e.models[unit.Base]; previous != nil && previous.adapters[unit.Unit] != nil {
			loaded.lastUsedAt = previous.adapters[unit.Unit].lastUsedAt
		}
		m.adapters[unit.Unit] = loaded
	}
	for name, m := range models {
		if previous := e.models[name]; previous != nil {
			m.retiring = previous.retiring
		}
	}
	e.models = models
	e.statusKnown = true
	e.dropExpiredLoads(now)
	k.updateReservedBytes(now, e)
	k.publishChange(e, false)
	return true
}

// updateReservedBytes recomputes the memory that unanswered loads may occupy. Call with e.mu
// held.
func (k *keeper) updateReservedBytes(now time.Time, e *keptEngine) {
	e.reservedBytes = 0
	b, _ := k.node.backends.get(e.id)
	if pool := k.node.findPool(b.Service); pool != nil {
		e.reservedBytes = e.unansweredReservation(now, pool, b.restartedAt)
	}
}
