package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

// fakeEngine is an in-memory engine.
type fakeEngine struct {
	// unresponsive is whether status calls get no answer.
	unresponsive  bool
	id, address   string
	domain        string
	version       string
	models        map[string]map[string]bool
	orders        uint64
	started       int64
	busyUntil     time.Time
	pendingEffect func()
	// sent holds the received orders in order of arrival.
	sent []sentOrder
	// orderDelay, if positive, leaves orders unanswered and executes them after that delay.
	orderDelay time.Duration
	// extraLoadTime is added to the time that a load takes.
	extraLoadTime time.Duration
	maxModelsHeld int
}

// sentOrder is an order and when it arrived.
type sentOrder struct {
	at    time.Time
	order engine.Order
}

// fakeEngines implements engine.Manager with fake engines. It counts in overfull how often an
// engine was found to hold more than maxEngineModels models.
type fakeEngines struct {
	mu  sync.Mutex
	all map[string]*fakeEngine
	// statusLag is the age of the status that Status returns.
	statusLag time.Duration
	overfull  int
	history   map[string][]timedStatus
}

// timedStatus is a status and when it was recorded.
type timedStatus struct {
	at     time.Time
	status engine.Status
}

const (
	fakeLoadTime    = 500 * time.Millisecond
	maxEngineModels = 2
	testShards      = 4
)

func newFakeEngines() *fakeEngines {
	return &fakeEngines{all: make(map[string]*fakeEngine), history: make(map[string][]timedStatus)}
}

func (f *fakeEngines) add(id string, models ...string) *fakeEngine {
	e := &fakeEngine{domain: "d", id: id, address: "at-" + id, models: make(map[string]map[string]bool)}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
	}
	f.all[e.address] = e
	f.recordStatus(e)
	return e
}

// setOrderDelay makes the engine leave further orders unanswered and execute them after the
// delay; 0 restores normal execution.
func (e *fakeEngine) setOrderDelay(f *fakeEngines, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.orderDelay = delay
}

// restart restarts an engine under its ID: it holds only the given models and its order count is 0.
func (f *fakeEngines) restart(e *fakeEngine, started int64, models ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyPending(e)
	e.started, e.orders, e.pendingEffect, e.models = started, 0, nil, make(map[string]map[string]bool)
	for _, m := range models {
		e.models[m] = make(map[string]bool)
	}
	f.recordStatus(e)
}

// applyPending applies the pending load or unload once it is due.
func (f *fakeEngines) applyPending(e *fakeEngine) {
	if e.pendingEffect != nil && !time.Now().Before(e.busyUntil) {
		e.pendingEffect()
		e.pendingEffect = nil
	}
	e.maxModelsHeld = max(e.maxModelsHeld, len(e.models))
	if len(e.models) > maxEngineModels {
		f.overfull++
	}
	f.recordStatus(e)
}

// recordStatus appends the engine's current status to its history.
func (f *fakeEngines) recordStatus(e *fakeEngine) {
	status := engine.Status{Started: e.started, AcceptedOrders: e.orders, OrderInFlight: e.pendingEffect != nil}
	for _, name := range slices.Sorted(maps.Keys(e.models)) {
		status.Units = append(status.Units, engine.Unit{Unit: name, Phase: engine.PhaseReady})
		for _, adapter := range slices.Sorted(maps.Keys(e.models[name])) {
			status.Units = append(status.Units, engine.Unit{Unit: adapter, Base: name, Phase: engine.PhaseReady})
		}
	}
	f.history[e.address] = append(f.history[e.address], timedStatus{time.Now(), status})
}

func (f *fakeEngines) Status(ctx context.Context, address string) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[address]
	if e == nil {
		return engine.Status{}, engine.ErrNotSent
	}
	if e.unresponsive {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return engine.Status{}, ctx.Err()
	}
	f.applyPending(e)
	history := f.history[address]
	reported := history[0].status
	for _, h := range history {
		if time.Since(h.at) >= f.statusLag {
			reported = h.status
		}
	}
	return reported, nil
}

func (f *fakeEngines) Order(_ context.Context, address string, order engine.Order) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.all[address]
	if e == nil {
		return engine.Status{}, engine.ErrNotSent
	}
	f.applyPending(e)
	e.sent = append(e.sent, sentOrder{time.Now(), order})
	if e.orderDelay > 0 {
		delayed := order
		time.AfterFunc(e.orderDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applyPending(e)
			_, _ = f.execute(e, delayed)
		})
		return engine.Status{}, engine.ErrOutcomeUnknown
	}
	return f.execute(e, order)
}

// execute accepts an order, unless it conflicts, and begins to carry it out.
func (f *fakeEngines) execute(e *fakeEngine, order engine.Order) (engine.Status, error) {
	if e.pendingEffect != nil || *order.After != e.orders {
		return engine.Status{}, engine.ErrOrderConflict
	}
	e.orders++
	defer f.recordStatus(e)
	if order.Base != "" {
		switch {
		case e.models[order.Base] == nil:
			return engine.Status{}, engine.ErrNotLoaded
		case order.Action == engine.ActionLoad:
			e.models[order.Base][order.Unit] = true
		default:
			delete(e.models[order.Base], order.Unit)
		}
		return engine.Status{AcceptedOrders: e.orders}, nil
	}
	e.busyUntil = time.Now().Add(fakeLoadTime + e.extraLoadTime)
	e.pendingEffect = func() { e.models[order.Unit] = make(map[string]bool) }
	if order.Action == engine.ActionUnload {
		e.busyUntil = time.Now().Add(fakeLoadTime / 10)
		e.pendingEffect = func() { delete(e.models, order.Unit) }
	}
	return engine.Status{AcceptedOrders: e.orders}, nil
}

// vmEngines manages the engines on behalf of a VM.
type vmEngines struct {
	cluster *testCluster
	vm      string
}

// reach returns an error if the VM doesn't reach the engines.
func (v vmEngines) reach(ctx context.Context) error {
	if v.cluster.canOrder == nil || v.cluster.canOrder(v.vm) {
		return nil
	}
	pause.For(ctx, fakeDialTimeout)
	return engine.ErrNotSent
}

func (v vmEngines) Status(ctx context.Context, address string) (engine.Status, error) {
	if err := v.reach(ctx); err != nil {
		return engine.Status{}, err
	}
	return v.cluster.engines.Status(ctx, address)
}

func (v vmEngines) Order(ctx context.Context, address string, order engine.Order) (engine.Status, error) {
	if err := v.reach(ctx); err != nil {
		return engine.Status{}, err
	}
	return v.cluster.engines.Order(ctx, address, order)
}
