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
	// statusTimeout bounds asking an engine what it holds.
	statusTimeout = time.Second
	// readyWithin bounds what comes before a swap is begun, so that the planner hears
	// of an engine that is silent while it still waits (swapTimeout).
	swapPreparationTimeout = 300 * time.Millisecond
	// retireNotice is how long the other VMs get to hear that a model is about to
	// go, before it is unloaded: their requests would be turned away.
	retirementDelay = 25 * time.Millisecond
	// statusLag is how old an engine's status may be.
	maxStatusAge = 150 * time.Millisecond
	// statusPause is the time between two questions while a load runs longer than
	// it should.
	statusPollInterval = 150 * time.Millisecond
	// loadSlack times a load's expected time, and loadExtra more, is how long it may
	// take: a store that many engines load from is slow.
	loadTimeoutFactor = 6
	loadTimeoutMargin = 4 * time.Second
	// unloadMost bounds an unload, which waits for its model's requests.
	unloadTimeout = 12 * time.Second
	// adapterTime is what the load of an adapter takes at most, as a rule.
	adapterLoadTime = 16 * time.Millisecond
	// adapterYoung is how long an adapter that was asked for is not given up: the
	// request that it was loaded for may be on its way.
	minAdapterIdle = 250 * time.Millisecond
)

var (
	errNotKeeper      = errors.New("this VM may not give orders to the engine")
	errSwapInProgress = errors.New("a swap is under way")
	errEngineGone     = errors.New("the engine is gone")
	errNoStatus       = errors.New("the engine does not tell what it holds")
	errNoCapacity     = errors.New("no room on the engine")
	errTimedOut       = errors.New("not done in time")

	swapSeconds    = metrics.NewHistogram(`bergamotreel_swap_seconds`)
	ordersAccepted = metrics.NewCounter(`bergamotreel_orders_total{outcome="accepted"}`)
	ordersFailed   = metrics.NewCounter(`bergamotreel_orders_total{outcome="failed"}`)
)

// keeper gives orders to the engines of the shards that this VM owns. It is safe
// for concurrent use.
type keeper struct {
	node *Node
	// versions numbers the news of all engines. Failure: with a count for each engine, one
	// that was forgotten and kept again began anew, and its news passed for old.
	lastVersion atomic.Uint64

	mu             sync.Mutex
	engines        map[string]*keptEngine
	loadPrediction loadPredictor
}

// keptEngine is what a keeper knows of an engine's newest start.
type keptEngine struct {
	id string
	// keptSince is when this VM began to keep it, lapsed whether it does so no more.
	keptSince time.Time
	lapsed    bool
	// ordering is held while an order is decided and sent: orders go out one at a
	// time, each with the number of those before it.
	orderLock turn

	mu sync.Mutex
	// known is whether orders and models are as the engine last said or did.
	statusKnown bool
	orderCount  uint64
	models      map[string]*keptModel
	// started is the start that they are of, 0 where the engine tells none; late are the
	// loads that may still be carried out, sent to any start.
	started         int64
	unansweredLoads []unansweredLoad
	// doubtedAt is when it was last asked because it turned a unit away.
	recheckedAt time.Time
	// reservedBytes is the room that late may take.
	reservedBytes int64
	// swapping is whether a swap is under way, swap what it is and loadedAt when it should
	// be done.
	swapping    bool
	swap        entryvm.SwapArgs
	loadReadyAt time.Time
	version     uint64
	// untold is how many more reports carry the news.
	remainingReports int
}

// keptModel is a model on a kept engine.
type keptModel struct {
	// retiring models take no new requests.
	retiring bool
	adapters map[string]*keptAdapter
}

// keptAdapter is an adapter on a kept engine.
type keptAdapter struct {
	readyAt, lastUsedAt time.Time
}

func newKeeper(n *Node) *keeper { return &keeper{node: n, engines: make(map[string]*keptEngine)} }

// engine returns the state of an engine that this VM keeps.
func (k *keeper) engine(id string) *keptEngine {
	b, _ := k.node.backends.get(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[id]
	if e == nil {
		e = &keptEngine{id: id, keptSince: time.Now(), started: b.start, orderLock: newTurn(), models: make(map[string]*keptModel)}
		k.engines[id] = e
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lapsed {
		e.lapsed, e.keptSince = false, time.Now()
	}
	return e
}

// sweep drops engines that are gone or kept by another VM: what is remembered of
// them is old when they come back.
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

// lapse forgets what is known of an engine that is gone or kept by another VM; it tells
// whether that is all. Failure: an entry was unreadable for a moment, and with the engine
// its loads without an answer were forgotten; two of them met its next start beside a new
// one, which held more than fits.
func (e *keptEngine) clearState(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping {
		return false
	}
	e.statusKnown, e.lapsed = false, true
	e.dropExpiredLoads(now)
	return len(e.unansweredLoads) == 0
}

// renew keeps this VM's own table up to date: with the news of a known engine, which the
// other VMs get again and again, and with room that late orders can take no more. An
// engine is asked before such orders are forgotten.
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
		go k.settle(context.Background(), e)
	}
	if e.statusKnown {
		k.node.backends.applyNews(now, k.node.origin(), e.updateLocked())
	}
}

// news returns what the other VMs should know of the kept engines: what changed
// lately, or all.
func (k *keeper) updatesToReport(all bool) []entryvm.EngineNews {
	k.mu.Lock()
	kept := slices.Collect(maps.Values(k.engines))
	k.mu.Unlock()
	var out []entryvm.EngineNews
	for _, e := range kept {
		if news, ok := e.updateToReport(all); ok {
			out = append(out, news)
		}
	}
	return out
}

// newsToPublish returns the engine's news if it is to be published.
func (e *keptEngine) updateToReport(all bool) (entryvm.EngineNews, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.statusKnown || (e.remainingReports == 0 && !all) {
		return entryvm.EngineNews{}, false
	}
	e.remainingReports = max(0, e.remainingReports-1)
	return e.updateLocked(), true
}

// knownNews returns the engine's news, nil where nothing is known of it.
func (e *keptEngine) knownUpdate() *entryvm.EngineNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.statusKnown {
		return nil
	}
	news := e.updateLocked()
	return &news
}

func (e *keptEngine) updateLocked() entryvm.EngineNews {
	now := time.Now()
	news := entryvm.EngineNews{
		ID: e.id, Started: e.started, Orders: e.orderCount, Version: e.version, Swapping: e.swapping, ReservedBytes: e.reservedBytes,
	}
	if e.swapping {
		news.Loading, news.LoadingFor, news.FromStore = e.swap.Load, max(0, e.loadReadyAt.Sub(now)), !e.swap.Copied
	}
	for name, m := range e.models {
		if m.retiring {
			continue
		}
		told := entryvm.EngineModel{Model: name}
		for adapter, loaded := range m.adapters {
			if !now.Before(loaded.readyAt) {
				told.Adapters = append(told.Adapters, adapter)
			}
		}
		news.Models = append(news.Models, told)
	}
	return news
}

// origin names a process of a VM as the source of news: a later one numbers its news anew.
func origin(vm, incarnation string) string { return vm + " " + incarnation }

// origin names this process where it speaks of engines that it keeps.
func (n *Node) origin() string { return origin(n.config.VM, n.config.Incarnation) }

// changed spreads news of an engine; call it with e.mu held. urgent news goes out
// at once.
func (k *keeper) publishChange(e *keptEngine, urgent bool) {
	e.version = k.lastVersion.Add(1)
	// Each peer takes a report of its own.
	e.remainingReports = newsRepeat * max(1, k.node.config.expectedPeers())
	k.node.backends.applyNews(time.Now(), k.node.origin(), e.updateLocked())
	if urgent {
		go k.node.members.notifyAll()
	}
	k.node.serving.Wake()
}

// peersHint is a fleet's usual number of peers, for news that each must get.
func (c Config) expectedPeers() int { return fullMesh }

// address returns where a listed engine is.
func (k *keeper) engineAddress(id string) (string, error) {
	b, ok := k.node.backends.get(id)
	if !ok || !b.IsEngine {
		return "", errEngineGone
	}
	return b.Address, nil
}

// status asks the engine once what it holds.
func (k *keeper) queryStatus(ctx context.Context, e *keptEngine) (engine.Status, error) {
	address, err := k.engineAddress(e.id)
	if err != nil {
		return engine.Status{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := k.node.config.Peers.Engines.Status(ctx, address)
	if err == nil && status.Draining {
		k.node.mergeLeaving(time.Now(), k.node.config.VM, []entryvm.LeavingBackend{{Backend: e.id, Started: status.Started}})
	}
	return status, err
}

// refresh asks the engine what it holds. A status lags: one that counts fewer
// orders than are known to be accepted is asked for again.
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

// take sets what is known of an engine to its status, unless that is older or from
// the middle of an order. Failure: a status lags; one from before the end of a load
// has the same count of orders and lacks the model, and the next load overfills the
// engine. Once no order is under way the count tells that all of them are in it.
func (k *keeper) applyStatus(e *keptEngine, status engine.Status) bool {
	b, _ := k.node.backends.get(e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.applyStatusStart(status.Started, b.Started) || status.Orders < e.orderCount || status.Ordering {
		return false
	}
	e.orderCount = status.Orders
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
		if before := e.models[unit.Base]; before != nil && before.adapters[unit.Unit] != nil {
			loaded.lastUsedAt = before.adapters[unit.Unit].lastUsedAt
		}
		m.adapters[unit.Unit] = loaded
	}
	for name, m := range models {
		if before := e.models[name]; before != nil {
			m.retiring = before.retiring
		}
	}
	e.models = models
	e.statusKnown = true
	e.dropExpiredLoads(now)
	k.updateReservedBytes(now, e)
	k.publishChange(e, false)
	return true
}

// reserve renews the room that late orders may take. Call with e.mu held.
func (k *keeper) updateReservedBytes(now time.Time, e *keptEngine) {
	e.reservedBytes = 0
	b, _ := k.node.backends.get(e.id)
	if pool := k.node.pool(b.Service); pool != nil {
		e.reservedBytes = e.unansweredReservation(now, pool, b.restartedAt)
	}
}
