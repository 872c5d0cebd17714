package hosted

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bergamotreel/engine"
)

// fakeEngine is an engine in memory. Its status lags by lag.
type fakeEngine struct {
	// dark is whether it answers nothing.
	unresponsive  bool
	id, address   string
	domain        string
	models        map[string]map[string]bool
	orders        uint64
	started       int64
	busyUntil     time.Time
	pendingEffect func()
	// sent are the orders in the order of their arrival.
	sent []sentOrder
	// late has orders unanswered and carried out that much later.
	orderDelay time.Duration
	// slow has loads take so much longer.
	extraLoadTime time.Duration
	maxModelsHeld int
}

type sentOrder struct {
	at    time.Time
	order engine.Order
}

// fakeEngines is engine.Manager over fake engines. An engine that holds more than two
// models at once is overfull.
type fakeEngines struct {
	mu  sync.Mutex
	all map[string]*fakeEngine
	// lag is how old a status is.
	statusLag time.Duration
	overfull  int
	history   map[string][]timedStatus
}

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

// delay has the orders from now on unanswered and carried out that much later, 0 for none.
func (e *fakeEngine) setOrderDelay(f *fakeEngines, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.orderDelay = late
}

// restart has an engine start again under its ID: it holds nothing and counts anew.
func (f *fakeEngines) restart(e *fakeEngine, started int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyPending(e)
	e.started, e.orders, e.pendingEffect, e.models = started, 0, nil, make(map[string]map[string]bool)
	f.history[e.address] = nil
	f.recordStatus(e)
}

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

func (f *fakeEngines) recordStatus(e *fakeEngine) {
	status := engine.Status{Started: e.started, Orders: e.orders, Ordering: e.pendingEffect != nil}
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
	told := history[0].status
	for _, h := range history {
		if time.Since(h.at) >= f.statusLag {
			told = h.status
		}
	}
	return told, nil
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
		late := order
		time.AfterFunc(e.orderDelay, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.applyPending(e)
			_, _ = f.execute(e, late)
		})
		return engine.Status{}, engine.ErrOutcomeUnknown
	}
	return f.execute(e, order)
}

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
		return engine.Status{Orders: e.orders}, nil
	}
	e.busyUntil = time.Now().Add(fakeLoadTime + e.extraLoadTime)
	e.pendingEffect = func() { e.models[order.Unit] = make(map[string]bool) }
	if order.Action == engine.ActionUnload {
		e.busyUntil = time.Now().Add(fakeLoadTime / 10)
		e.pendingEffect = func() { delete(e.models, order.Unit) }
	}
	return engine.Status{Orders: e.orders}, nil
}
