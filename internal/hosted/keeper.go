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
	readyWithin = 300 * time.Millisecond
	// retireNotice is how long the other VMs get to hear that a model is about to
	// go, before it is unloaded: their requests would be turned away.
	retireNotice = 25 * time.Millisecond
	// statusLag is how old an engine's status may be.
	statusLag = 150 * time.Millisecond
	// statusPause is the time between two questions while a load runs longer than
	// it should.
	statusPause = 150 * time.Millisecond
	// loadSlack times a load's expected time, and loadExtra more, is how long it may
	// take: a store that many engines load from is slow.
	loadSlack = 6
	loadExtra = 4 * time.Second
	// unloadMost bounds an unload, which waits for its model's requests.
	unloadMost = 12 * time.Second
	// adapterTime is what the load of an adapter takes at most, as a rule.
	adapterTime = 16 * time.Millisecond
	// adapterYoung is how long an adapter that was asked for is not given up: the
	// request that it was loaded for may be on its way.
	adapterYoung = 250 * time.Millisecond
)

var (
	errNotKeeper = errors.New("this VM may not give orders to the engine")
	errSwapping  = errors.New("a swap is under way")
	errGone      = errors.New("the engine is gone")
	errSilent    = errors.New("the engine does not tell what it holds")
	errNoRoom    = errors.New("no room on the engine")
	errLate      = errors.New("not done in time")

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
	versions atomic.Uint64

	mu      sync.Mutex
	engines map[string]*keptEngine
	trust   loadTrust
}

// keptEngine is what a keeper knows of an engine's newest start.
type keptEngine struct {
	id string
	// keptSince is when this VM began to keep it, lapsed whether it does so no more.
	keptSince time.Time
	lapsed    bool
	// ordering is held while an order is decided and sent: orders go out one at a
	// time, each with the number of those before it.
	ordering contextMutex

	mu sync.Mutex
	// known is whether orders and models are as the engine last said or did.
	known  bool
	orders uint64
	models map[string]*keptModel
	// started is the start that they are of, 0 where the engine tells none; late are the
	// loads that may still be carried out, sent to any start.
	started int64
	late    []lateOrder
	// doubtedAt is when it was last asked because it turned a unit away.
	doubtedAt time.Time
	// reservedBytes is the room that late may take.
	reservedBytes int64
	// swapping is whether a swap is under way, swap what it is and loadedAt when it should
	// be done.
	swapping bool
	swap     entryvm.SwapArgs
	loadedAt time.Time
	version  uint64
	// untold is how many more reports carry the news.
	untold int
}

// keptModel is a model on a kept engine.
type keptModel struct {
	// retiring models take no new requests.
	retiring bool
	adapters map[string]*keptAdapter
}

// keptAdapter is an adapter on a kept engine.
type keptAdapter struct {
	readyAt, usedAt time.Time
}

func newKeeper(n *Node) *keeper { return &keeper{node: n, engines: make(map[string]*keptEngine)} }

// engine returns the state of an engine that this VM keeps.
func (k *keeper) engine(id string) *keptEngine {
	b, _ := k.node.backends.get(id)
	k.mu.Lock()
	defer k.mu.Unlock()
	e := k.engines[id]
	if e == nil {
		e = &keptEngine{id: id, keptSince: time.Now(), started: b.start, ordering: newContextMutex(), models: make(map[string]*keptModel)}
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
		if e.lapse(time.Now()) {
			delete(k.engines, id)
		}
	}
	for _, e := range k.engines {
		k.renew(e)
	}
}

// lapse forgets what is known of an engine that is gone or kept by another VM; it tells
// whether that is all. Failure: an entry was unreadable for a moment, and with the engine
// its loads without an answer were forgotten; two of them met its next start beside a new
// one, which held more than fits.
func (e *keptEngine) lapse(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.swapping {
		return false
	}
	e.known, e.lapsed = false, true
	e.forgetLate(now)
	return len(e.late) == 0
}

// renew keeps this VM's own table up to date: with the news of a known engine, which the
// other VMs get again and again, and with room that late orders can take no more. An
// engine is asked before such orders are forgotten.
func (k *keeper) renew(e *keptEngine) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if before := e.reservedBytes; before > 0 {
		k.reserve(now, e)
		if e.reservedBytes != before {
			k.changed(e, false)
		}
	}
	if e.known && !e.swapping && e.hasOverdue(now) {
		e.known = false
		go k.settle(context.Background(), e)
	}
	if e.known {
		k.node.backends.applyKeeperStatus(now, k.node.origin(), e.newsLocked())
	}
}

// news returns what the other VMs should know of the kept engines: what changed
// lately, or all.
func (k *keeper) news(all bool) []entryvm.EngineNews {
	k.mu.Lock()
	kept := slices.Collect(maps.Values(k.engines))
	k.mu.Unlock()
	var out []entryvm.EngineNews
	for _, e := range kept {
		if news, ok := e.newsToPublish(all); ok {
			out = append(out, news)
		}
	}
	return out
}

// newsToPublish returns the engine's news if it is to be published.
func (e *keptEngine) newsToPublish(all bool) (entryvm.EngineNews, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || (e.untold == 0 && !all) {
		return entryvm.EngineNews{}, false
	}
	e.untold = max(0, e.untold-1)
	return e.newsLocked(), true
}

// knownNews returns the engine's news, nil where nothing is known of it.
func (e *keptEngine) knownNews() *entryvm.EngineNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known {
		return nil
	}
	news := e.newsLocked()
	return &news
}

func (e *keptEngine) newsLocked() entryvm.EngineNews {
	now := time.Now()
	news := entryvm.EngineNews{
		ID: e.id, Started: e.started, Orders: e.orders, Version: e.version, Swapping: e.swapping, ReservedBytes: e.reservedBytes,
	}
	if e.swapping {
		news.Loading, news.LoadingFor, news.FromStore = e.swap.Load, max(0, e.loadedAt.Sub(now)), !e.swap.Copied
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
func (k *keeper) changed(e *keptEngine, urgent bool) {
	e.version = k.versions.Add(1)
	// Each peer takes a report of its own.
	e.untold = updateRepeats * max(1, k.node.config.peersHint())
	k.node.backends.applyKeeperStatus(time.Now(), k.node.origin(), e.newsLocked())
	if urgent {
		go k.node.members.notifyAll()
	}
	k.node.serving.Wake()
}

// peersHint is a fleet's usual number of peers, for news that each must get.
func (c Config) peersHint() int { return maxFullMeshPeers }

// address returns where a listed engine is.
func (k *keeper) address(id string) (string, error) {
	b, ok := k.node.backends.get(id)
	if !ok || !b.IsEngine {
		return "", errGone
	}
	return b.Address, nil
}

// status asks the engine once what it holds.
func (k *keeper) status(ctx context.Context, e *keptEngine) (engine.Status, error) {
	address, err := k.address(e.id)
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
func (k *keeper) refresh(ctx context.Context, e *keptEngine) error {
	deadline := time.Now().Add(statusTimeout)
	for {
		status, err := k.status(ctx, e)
		if err != nil {
			return err
		}
		if k.take(e, status) {
			return nil
		}
		if time.Now().After(deadline) || !pause.For(ctx, statusLag) {
			return errLate
		}
	}
}

// take sets what is known of an engine to its status, unless that is older or from
// the middle of an order. Failure: a status lags; one from before the end of a load
// has the same count of orders and lacks the model, and the next load overfills the
// engine. Once no order is under way the count tells that all of them are in it.
func (k *keeper) take(e *keptEngine, status engine.Status) bool {
	b, _ := k.node.backends.get(e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.takeStart(status.Started, b.Started) || status.Orders < e.orders || status.Ordering {
		return false
	}
	e.orders = status.Orders
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
			loaded.readyAt = now.Add(adapterTime)
		}
		if before := e.models[unit.Base]; before != nil && before.adapters[unit.Unit] != nil {
			loaded.usedAt = before.adapters[unit.Unit].usedAt
		}
		m.adapters[unit.Unit] = loaded
	}
	for name, m := range models {
		if before := e.models[name]; before != nil {
			m.retiring = before.retiring
		}
	}
	e.models = models
	e.known = true
	e.forgetLate(now)
	k.reserve(now, e)
	k.changed(e, false)
	return true
}

// reserve renews the room that late orders may take. Call with e.mu held.
func (k *keeper) reserve(now time.Time, e *keptEngine) {
	e.reservedBytes = 0
	b, _ := k.node.backends.get(e.id)
	if pool := k.node.findPool(b.Service); pool != nil {
		e.reservedBytes = e.reserved(now, pool, b.restartedAt)
	}
}
