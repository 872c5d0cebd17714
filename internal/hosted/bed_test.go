package hosted

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/testkit"
	"bergamotreel/lease"
	"bergamotreel/registry"
	"bergamotreel/service"
)

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
	// domainsCut is whether VMs of two failure domains reach each other no more.
	domainsCut bool
	// side, where set, tells on which side of a cut through all domains a VM is.
	side func(vm string) int
	// reportDelay is how long a report is on its way, and swapsRefused how many swaps a
	// keeper did not begin.
	reportDelay  time.Duration
	swapsRefused int
	// turnedAway counts the requests that an engine turned away.
	turnedAway int
	// hold, where set, has engines answer only once it is closed.
	hold chan struct{}
	// reports counts the reports to each VM.
	reports map[string]int
	// relayedNews counts the news of engines that relays told.
	relayedNews int
	// releaseDelay is how long a VM stops between recording its ownership and asking
	// the former owner.
	releaseDelay time.Duration
	// refuseUnsureAfter and domains are for the VMs that boot from now on.
	refuseUnsureAfter time.Duration
	domains           int
	quotaSlack        float64
	// uplink is what each VM can send of knowledge in a second, in bytes, 0 for no bound; all
	// that ask it share that. asking counts them.
	uplink int
	asking map[string]int
	// forwarderOf, where set, gives a VM's way to backend servers in place of the engines.
	forwarderOf func(vm string) service.Forwarder
}

const testService = "llm"

// testContract has a pool of models of which an engine holds two.
func testContract(models ...string) *registry.Configuration {
	pool := contract.EnginePool{Service: testService, MemoryBytes: maxEngineModels * 10, Slots: 8, AdapterPlaces: 2, LoadsPerSecond: 100}
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
			nodes: make(map[string]*Node), stops: make(map[string]context.CancelFunc), cut: make(map[string]bool), reports: make(map[string]int)}
		run(w)
		for vm := range w.stops {
			w.kill(vm)
		}
		w.running.Wait()
		time.Sleep(time.Minute) // swaps outlive the process here
	})
}

func (w *world) boot(vm string, first bool) *Node { return w.bootIn("d", vm, first) }

// spreadDomains are the failure domains that bootSpread spreads VMs over.
const spreadDomains = 3

// shareSpread has the shards of the spread failure domains shared out among their VMs.
func (w *world) shareSpread() {
	for i := range spreadDomains {
		w.registry.share(fmt.Sprint("d", i))
	}
}

// bootSpread starts or restarts one of the VMs that are spread over failure domains; the
// first two are the seeds.
func (w *world) bootSpread(i int) string {
	vm := fmt.Sprint("v", i)
	if i < 2 {
		vm = []string{"a", "b"}[i]
	}
	w.bootIn(fmt.Sprint("d", i%spreadDomains), vm, false)
	return vm
}

func (w *world) bootIn(domain, vm string, first bool) *Node {
	var forwarder service.Forwarder = backendsOf{w, domain}
	if w.forwarderOf != nil {
		forwarder = w.forwarderOf(vm)
	}
	n := New(Config{
		VM: vm, Address: vm, Domain: domain, Domains: w.domains, Incarnation: fmt.Sprint(vm, time.Since(w.start)), FirstStart: first, Shards: testShards,
		Seeds: []string{"a", "b"}, Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1)),
		Peers:          Peers{Registry: registryOf{w.registry, vm}, Engines: w.engines, Backends: forwarder, EntryVMs: wire{w, vm}},
		Lease:          lease.ShardConfig{JoinTTL: 4 * time.Second, MinHandoverGap: 3 * time.Second, MaxOrderDelay: time.Second},
		ReportInterval: 100 * time.Millisecond, MaxApplyDelay: 2 * time.Second, MaxDrainDelay: 2 * time.Second, MaxConfigurationAge: w.refuseUnsureAfter, QuotaSlack: w.quotaSlack, BootClock: func() time.Duration { return time.Since(w.start) + time.Hour },
	})
	ctx, stop := context.WithCancel(context.Background())
	w.mu.Lock()
	w.nodes[vm], w.stops[vm] = n, stop
	w.mu.Unlock()
	w.running.Go(func() { n.Run(ctx) })
	return n
}

// setDomainsCut has VMs of two failure domains reach each other no more, or again.
func (w *world) setDomainsCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.domainsCut = cut
}

// held waits while engines hold their answers back.
func (w *world) held(ctx context.Context) {
	w.mu.Lock()
	hold := w.hold
	w.mu.Unlock()
	if hold == nil {
		return
	}
	select {
	case <-hold:
	case <-ctx.Done():
	}
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

// cutFromGroup has a VM's joins answered no more, or again.
func (w *world) cutFromGroup(vm string, cut bool) {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	w.registry.cutOff[vm] = cut
}

// list lists an engine with what it holds.
func (w *world) list(e *fakeEngine, onDisk ...string) {
	b := registry.Backend{ID: e.id, Service: testService, Address: e.address, Domain: e.domain, Slots: 8, IsEngine: true, OnDisk: onDisk, Started: e.started}
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	for name := range e.models {
		b.Models = append(b.Models, registry.Held{Model: name})
	}
	w.registry.put(b)
}

// Forward is service.Forwarder's: an engine answers where it holds the model.
func (w *world) Forward(ctx context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	w.held(ctx)
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	e := w.engines.all[target.Address]
	if e == nil {
		return nil, service.ErrNotSent
	}
	w.engines.applyPending(e)
	model, adapter, _ := strings.Cut(f.Header.Get("Model"), "/")
	adapters, held := e.models[model]
	if !held || (adapter != "" && !adapters[adapter]) {
		w.turnedAway++
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

// backendsOf are the backend servers as the VMs of one failure domain reach them.
type backendsOf struct {
	*world
	domain string
}

func (b backendsOf) reaches(target service.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines.mu.Lock()
	defer b.engines.mu.Unlock()
	e := b.engines.all[target.Address]
	return !b.domainsCut || e == nil || e.domain == b.domain
}

func (b backendsOf) Forward(ctx context.Context, target service.Target, f service.Forward) (*service.Forwarded, error) {
	if !b.reaches(target) {
		return nil, service.ErrNotSent
	}
	return b.world.Forward(ctx, target, f)
}

func (b backendsOf) Probe(ctx context.Context, target service.Target) error {
	if !b.reaches(target) {
		return service.ErrNotSent
	}
	return b.world.Probe(ctx, target)
}

func (w *world) reportsTo(vm string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reports[vm]
}

func (w *world) allReports() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.reports)
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
	n, from := w.world.nodes[address], w.world.nodes[w.from]
	if n == nil || from == nil || w.world.cut[address] || w.world.cut[w.from] {
		return nil, errCut
	}
	if side := w.world.side; side != nil && side(address) != side(w.from) {
		return nil, errCut
	}
	if w.world.domainsCut && n.config.Domain != from.config.Domain {
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
	w.world.mu.Lock()
	w.world.reports[address]++
	delay := w.world.reportDelay
	w.world.mu.Unlock()
	time.Sleep(delay)
	reply, err := reach(w, address, (*Node).Report, r)
	w.world.countNews(&r, &reply)
	return reply, err
}

// countNews counts the news of engines that relays tell.
func (w *world) countNews(reports ...*entryvm.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range reports {
		if r.Overview != nil {
			w.relayedNews += len(r.Overview.News)
		}
	}
}
func (w wire) Swap(_ context.Context, address string, s entryvm.SwapArgs) (entryvm.SwapReply, error) {
	reply, err := reach(w, address, (*Node).Swap, s)
	w.world.mu.Lock()
	defer w.world.mu.Unlock()
	if err == nil && !reply.Begun {
		w.world.swapsRefused++
	}
	return reply, err
}
func (w wire) Adapter(_ context.Context, address string, a entryvm.AdapterArgs) (entryvm.AdapterReply, error) {
	return reach(w, address, (*Node).Adapter, a)
}
func (w wire) Release(_ context.Context, address string, r entryvm.ReleaseArgs) (entryvm.ReleaseReply, error) {
	time.Sleep(w.world.releaseDelay)
	return reach(w, address, (*Node).Release, r)
}
func (w wire) Lease(_ context.Context, address string, l entryvm.LeaseArgs) (entryvm.LeaseReply, error) {
	return reach(w, address, (*Node).Lease, l)
}
func (w wire) Lend(_ context.Context, address string, l entryvm.LendArgs) (entryvm.LendReply, error) {
	return reach(w, address, (*Node).Lend, l)
}
func (w wire) Demand(_ context.Context, address string, d entryvm.DemandReport) (entryvm.DemandReport, error) {
	return reach(w, address, (*Node).Demand, d)
}
func (w wire) Permit(_ context.Context, address string, p entryvm.PermitArgs) (entryvm.PermitReply, error) {
	return reach(w, address, (*Node).Permit, p)
}
func (w wire) Knowledge(ctx context.Context, address string) (entryvm.KnowledgeReply, error) {
	reply, err := reach(w, address, func(n *Node, _ struct{}) entryvm.KnowledgeReply { return n.Knowledge() }, struct{}{})
	if err == nil {
		err = w.world.transmit(ctx, address, len(reply.Configuration)+len(reply.Backends))
	}
	return reply, err
}

// transmit takes as long as a VM's uplink does for so many bytes, beside those of others.
func (w *world) transmit(ctx context.Context, from string, bytes int) error {
	if w.uplink == 0 {
		return nil
	}
	w.ask(from, 1)
	defer w.ask(from, -1)
	const step = 10 * time.Millisecond
	for sent := 0.0; sent < float64(bytes); sent += float64(w.uplink) * step.Seconds() / float64(w.ask(from, 0)) {
		if !pause.For(ctx, step) {
			return ctx.Err()
		}
	}
	return nil
}

// ask changes how many ask a VM for its knowledge; it returns the number.
func (w *world) ask(vm string, change int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asking == nil {
		w.asking = make(map[string]int)
	}
	w.asking[vm] += change
	return w.asking[vm]
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
