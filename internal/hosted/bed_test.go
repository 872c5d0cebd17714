package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/testkit"
	"bergamotreel/lease"
	"bergamotreel/registry"
	"bergamotreel/service"
)

// fakeRegistry is a registry in memory. One VM holds all shards of a group until a
// test deals them anew.
type fakeRegistry struct {
	mu            sync.Mutex
	configuration *registry.Configuration
	versions      registry.Cursor
	backends      map[string]registry.Backend
	changes       []registry.Change
	owners        map[string][]registry.Ownership
	writes        map[string]registry.Cursor
	generation    uint64
	holder        map[int]string
	// away has every call fail, history lost counts as of the next read.
	away        bool
	historyLost bool
	// cutOff are the members whose joins get no answer.
	cutOff map[string]bool
}

func newFakeRegistry() *fakeRegistry {
	return &fakeRegistry{backends: make(map[string]registry.Backend), owners: make(map[string][]registry.Ownership),
		writes: make(map[string]registry.Cursor), generation: 1, holder: make(map[int]string), cutOff: make(map[string]bool)}
}

func (f *fakeRegistry) call() (func(), error) {
	f.mu.Lock()
	if f.away {
		f.mu.Unlock()
		return nil, registry.ErrUnavailable
	}
	return f.mu.Unlock, nil
}

func (f *fakeRegistry) Configuration(context.Context) (*registry.Configuration, registry.Cursor, error) {
	end, err := f.call()
	if err != nil {
		return nil, 0, err
	}
	defer end()
	return f.configuration, f.versions, nil
}

func (f *fakeRegistry) AwaitConfiguration(ctx context.Context, from registry.Cursor, wait time.Duration) (*registry.Configuration, registry.Cursor, error) {
	if !pause.For(ctx, wait) {
		return nil, from, ctx.Err()
	}
	return f.Configuration(ctx)
}

func (f *fakeRegistry) Parse(source []byte) (*registry.Configuration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if string(source) != string(f.configuration.Source) {
		return nil, errors.New("not this one")
	}
	return f.configuration, nil
}

func (f *fakeRegistry) Backends(context.Context) (registry.Backends, error) {
	end, err := f.call()
	if err != nil {
		return registry.Backends{}, err
	}
	defer end()
	f.historyLost = false
	list := registry.Backends{Next: registry.Cursor(len(f.changes))}
	for _, id := range slices.Sorted(maps.Keys(f.backends)) {
		list.List = append(list.List, f.backends[id])
	}
	return list, nil
}

func (f *fakeRegistry) AwaitBackends(ctx context.Context, from registry.Cursor, wait time.Duration) (registry.Changes, error) {
	if !pause.For(ctx, wait/10) {
		return registry.Changes{Next: from}, ctx.Err()
	}
	end, err := f.call()
	if err != nil {
		return registry.Changes{Next: from}, err
	}
	defer end()
	if f.historyLost {
		return registry.Changes{Next: from}, registry.ErrHistoryLost
	}
	return registry.Changes{List: slices.Clone(f.changes[from:]), Next: registry.Cursor(len(f.changes))}, nil
}

// put lists a backend server, drop removes one.
func (f *fakeRegistry) put(b registry.Backend) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backends[b.ID] = b
	f.changes = append(f.changes, registry.Change{ID: b.ID, Backend: &b})
}

func (f *fakeRegistry) drop(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.backends, id)
	f.changes = append(f.changes, registry.Change{ID: id})
}

func (f *fakeRegistry) setAway(away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away = away
}

// deal gives all shards to a VM.
func (f *fakeRegistry) deal(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	for shard := range testShards {
		f.holder[shard] = vm
	}
}

func (f *fakeRegistry) Join(_ context.Context, r registry.JoinRequest) (registry.Assignment, error) {
	end, err := f.call()
	if err != nil {
		return registry.Assignment{}, err
	}
	defer end()
	if f.cutOff[r.Member] {
		return registry.Assignment{}, registry.ErrUnavailable
	}
	assignment := registry.Assignment{Generation: f.generation}
	for shard := range testShards {
		if f.holder[shard] == r.Member {
			assignment.Shards = append(assignment.Shards, shard)
		}
	}
	return assignment, nil
}

func (f *fakeRegistry) Leave(context.Context, string, string) error { return nil }

func (f *fakeRegistry) Owners(_ context.Context, group string) ([]registry.Ownership, registry.Cursor, error) {
	end, err := f.call()
	if err != nil {
		return nil, 0, err
	}
	defer end()
	return slices.Clone(f.owners[group]), f.writes[group], nil
}

func (f *fakeRegistry) Own(_ context.Context, group string, owned []registry.Ownership, at registry.Cursor) error {
	end, err := f.call()
	if err != nil {
		return err
	}
	defer end()
	if f.writes[group] != at {
		return registry.ErrConflict
	}
	for _, o := range owned {
		f.owners[group] = slices.DeleteFunc(f.owners[group], func(old registry.Ownership) bool { return old.Index == o.Index })
		f.owners[group] = append(f.owners[group], o)
		f.writes[group]++
	}
	return nil
}

// fakeEngine is an engine in memory. Its status lags by lag.
type fakeEngine struct {
	// dark is whether it answers nothing.
	dark        bool
	id, address string
	models      map[string]map[string]bool
	orders      uint64
	busyUntil   time.Time
	then        func()
	// sent are the orders in the order of their arrival.
	sent []sentOrder
	// late has orders unanswered and carried out that much later.
	late time.Duration
	most int
}

type sentOrder struct {
	at    time.Time
	order engine.Order
	err   error
}

// fakeEngines is engine.Manager over fake engines. An engine that holds more than two
// models at once is overfull.
type fakeEngines struct {
	mu  sync.Mutex
	all map[string]*fakeEngine
	// lag is how old a status is.
	lag      time.Duration
	overfull int
	history  map[string][]timedStatus
}

type timedStatus struct {
	at     time.Time
	status engine.Status
}

const (
	fakeLoadTime = 500 * time.Millisecond
	engineHolds  = 2
	testShards   = 4
)

func newFakeEngines() *fakeEngines {
	return &fakeEngines{all: make(map[string]*fakeEngine), history: make(map[string][]timedStatus)}
}

func (f *fakeEngines) add(id string, models ...string) *fakeEngine {
	e := &fakeEngine{id: id, address: "at-" + id, models: make(map[string]map[string]bool)}
	for _, m := range models {
		e.models[m] = make(map[string]bool)
	}
	f.all[e.address] = e
	f.note(e)
	return e
}

func (f *fakeEngines) settle(e *fakeEngine) {
	if e.then != nil && !time.Now().Before(e.busyUntil) {
		e.then()
		e.then = nil
	}
	e.most = max(e.most, len(e.models))
	if len(e.models) > engineHolds {
		f.overfull++
	}
	f.note(e)
}

func (f *fakeEngines) note(e *fakeEngine) {
	status := engine.Status{Orders: e.orders, Ordering: e.then != nil}
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
	if e.dark {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return engine.Status{}, ctx.Err()
	}
	f.settle(e)
	history := f.history[address]
	told := history[0].status
	for _, h := range history {
		if time.Since(h.at) >= f.lag {
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
	f.settle(e)
	if e.late > 0 {
		late := order
		time.AfterFunc(e.late, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.settle(e)
			_, _ = f.carryOut(e, late)
		})
		return engine.Status{}, engine.ErrOutcomeUnknown
	}
	return f.carryOut(e, order)
}

func (f *fakeEngines) carryOut(e *fakeEngine, order engine.Order) (status engine.Status, err error) {
	defer func() { e.sent = append(e.sent, sentOrder{time.Now(), order, err}) }()
	if e.then != nil || *order.After != e.orders {
		return engine.Status{}, engine.ErrOrderConflict
	}
	e.orders++
	defer f.note(e)
	if order.Base != "" {
		if order.Action == engine.ActionLoad {
			e.models[order.Base][order.Unit] = true
		} else {
			delete(e.models[order.Base], order.Unit)
		}
		return engine.Status{Orders: e.orders}, nil
	}
	e.busyUntil = time.Now().Add(fakeLoadTime)
	e.then = func() { e.models[order.Unit] = make(map[string]bool) }
	if order.Action == engine.ActionUnload {
		e.busyUntil = time.Now().Add(fakeLoadTime / 10)
		e.then = func() { delete(e.models, order.Unit) }
	}
	return engine.Status{Orders: e.orders}, nil
}

// world is a few entry VMs in one process, with virtual time.
type world struct {
	*testing.T
	registry *fakeRegistry
	engines  *fakeEngines
	start    time.Time
	nodes    map[string]*Node
	stops    map[string]context.CancelFunc
	running  sync.WaitGroup
	// cut are the VMs that no other one reaches.
	mu  sync.Mutex
	cut map[string]bool
}

const testService = "llm"

// testContract has a pool of models of which an engine holds two.
func testContract(models ...string) *registry.Configuration {
	pool := contract.EnginePool{Service: testService, MemoryBytes: engineHolds * 10, Slots: 8, AdapterPlaces: 2, LoadsPerSecond: 100}
	for _, m := range models {
		pool.Models = append(pool.Models, contract.PoolModel{Name: m, MemoryBytes: 10, FromStore: fakeLoadTime, FromDisk: fakeLoadTime, FromMemory: fakeLoadTime})
	}
	c := &contract.Contract{Customer: "c", MaxQueued: 100, Pools: []contract.EnginePool{pool},
		Routes: []contract.Route{{Name: "r", Host: "h", PathPrefix: "/", Targets: []contract.Target{{Service: testService, Weight: 1}}, MaxAttempts: 2}}}
	return &registry.Configuration{Version: 1, Contract: c, Source: []byte("one")}
}

// inWorld runs a test with entry VMs of one domain in virtual time.
func inWorld(t *testing.T, run func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{T: t, registry: newFakeRegistry(), engines: newFakeEngines(), start: time.Now(),
			nodes: make(map[string]*Node), stops: make(map[string]context.CancelFunc), cut: make(map[string]bool)}
		run(w)
		for vm := range w.stops {
			w.kill(vm)
		}
		w.running.Wait()
	})
}

func (w *world) boot(vm string, first bool) *Node {
	n := New(Config{
		VM: vm, Address: vm, Domain: "d", Incarnation: fmt.Sprint(vm, time.Since(w.start)), FirstStart: first, Shards: testShards,
		Seeds: []string{"a", "b"}, Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1)),
		Peers:  Peers{Registry: w.registry, Engines: w.engines, Backends: w, EntryVMs: wire{w, vm}},
		Lease:  lease.ShardConfig{Hold: 4 * time.Second, Quiet: 3 * time.Second, InFlight: time.Second},
		Report: 100 * time.Millisecond, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second, Boot: func() time.Duration { return time.Since(w.start) + time.Hour },
	})
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.nodes[vm], w.stops[vm] = n, stop
	w.mu.Unlock()
	w.running.Go(func() { n.Run(ctx) })
	return n
}

// kill ends a process without a word.
func (w *world) kill(vm string) {
	w.mu.Lock()
	stop := w.stops[vm]
	delete(w.nodes, vm)
	delete(w.stops, vm)
	w.mu.Unlock()
	stop()
}

// list lists an engine with what it holds.
func (w *world) list(e *fakeEngine, onDisk ...string) {
	b := registry.Backend{ID: e.id, Service: testService, Address: e.address, Domain: "d", Slots: 8, IsEngine: true, OnDisk: onDisk}
	for name := range e.models {
		b.Models = append(b.Models, registry.Held{Model: name})
	}
	w.registry.put(b)
}

// Forward is service.Forwarder's: an engine answers where it holds the model.
func (w *world) Forward(_ context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	e := w.engines.all[target.Address]
	if e == nil {
		return nil, service.ErrNotSent
	}
	w.engines.settle(e)
	model, adapter, _ := strings.Cut(f.Header.Get("Model"), "/")
	adapters, held := e.models[model]
	if !held || (adapter != "" && !adapters[adapter]) {
		return nil, fmt.Errorf("%w: %w", service.ErrNotRun, service.ErrWrongServer)
	}
	return &service.Forwarded{Status: http.StatusOK, Length: 0, Body: http.NoBody}, nil
}

// Probe is service.Forwarder's.
func (w *world) Probe(_ context.Context, target service.Target) error {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	if w.engines.all[target.Address] == nil {
		return service.ErrNotSent
	}
	return nil
}

// wire is how one VM reaches the others.
type wire struct {
	world *world
	from  string
}

var errCut = errors.New("cut off")

func (w wire) to(address string) (*Node, error) {
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	n := w.world.nodes[address]
	if n == nil || w.world.cut[address] || w.world.cut[w.from] {
		return nil, errCut
	}
	return n, nil
}

func reach[Args, Reply any](w wire, address string, call func(*Node, Args) Reply, args Args) (reply Reply, err error) {
	time.Sleep(time.Millisecond)
	n, err := w.to(address)
	if err != nil {
		return reply, err
	}
	return call(n, args), nil
}

func (w wire) Report(_ context.Context, address string, r entryvm.Report) (entryvm.Report, error) {
	return reach(w, address, (*Node).Report, r)
}
func (w wire) Swap(_ context.Context, address string, s entryvm.SwapArgs) (entryvm.SwapReply, error) {
	return reach(w, address, (*Node).Swap, s)
}
func (w wire) Adapter(_ context.Context, address string, a entryvm.AdapterArgs) (entryvm.AdapterReply, error) {
	return reach(w, address, (*Node).Adapter, a)
}
func (w wire) Release(_ context.Context, address string, r entryvm.ReleaseArgs) (entryvm.ReleaseReply, error) {
	return reach(w, address, (*Node).Release, r)
}
func (w wire) Knowledge(_ context.Context, address string) (entryvm.KnowledgeReply, error) {
	return reach(w, address, func(n *Node, _ struct{}) entryvm.KnowledgeReply { return n.Knowledge() }, struct{}{})
}

// checkQuiet holds that no two VMs gave orders to an engine within the quiet time, and
// that no engine was overfull.
func (w *world) checkQuiet() {
	w.Helper()
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	testkit.That(w, w.engines.overfull == 0, "an engine held more than fits")
	for _, e := range w.engines.all {
		for i := 1; i < len(e.sent); i++ {
			before, after := e.sent[i-1], e.sent[i]
			turned := before.order.Holder != after.order.Holder && after.at.Sub(before.at) < 3*time.Second
			testkit.That(w, !turned, "engine %s: %s ordered %s after %s", e.id, after.order.Holder, after.at.Sub(before.at), before.order.Holder)
			testkit.That(w, after.order.Token >= before.order.Token, "engine %s: token %d after %d", e.id, after.order.Token, before.order.Token)
		}
	}
}
