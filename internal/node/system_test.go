package node_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/node"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/logserver"
	"bergamotreel/internal/standin/serviceserver"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/internal/standin/weightserver"
	"bergamotreel/lease"
	"bergamotreel/operator"
	"bergamotreel/refusal"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

const gigabyte = 1 << 30

var engineNames = []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"}

// testLease has short periods, so that a test covers little virtual time.
var testLease = lease.Config{
	Term: 6 * time.Second, Margin: time.Second, RenewInterval: 1500 * time.Millisecond, MessageLifetime: 5 * time.Second,
}

// system consists of real entry VMs with in-memory peers, in virtual time.
type system struct {
	t        *testing.T
	ctx      context.Context
	log      *logserver.Store
	list     *vmlistserver.Registry
	store    *weightserver.Store
	engines  *engineserver.InMemoryClient
	services *serviceserver.InMemoryClient
	booking  *serviceserver.Service
	mesh     *mesh

	mu    sync.Mutex
	nodes map[string]*entry
	// freezeOnOrder reports whether the entry VM freezes before it sends the order.
	freezeOnOrder func(vm, address string, order engine.Order) bool
	// maxReplicas is the largest number of engines that held each unit at one time.
	maxReplicas map[string]int
	// requestsSent counts the generation requests sent to each engine.
	requestsSent map[string]int
	// controlReads counts the VMs that are reading the control stream.
	controlReads atomic.Int32
	// claimShards is passed to node.Config.
	claimShards int
	// claimCalls counts the claim calls to holders of shards.
	claimCalls atomic.Int64
	// drainingSince holds the time at which each draining engine began to drain.
	drainingSince map[string]time.Time
	// lastStatuses holds the last status that each engine reported. statusLost holds
	// the engines whose status reports are lost.
	lastStatuses map[string]engine.Status
	statusLost   map[string]bool
	// variant is the variant that runs, violations the guarantees that it violated.
	variant    variant
	violations []string
	// outcomes counts finished requests by refusal code, with "" for answered requests.
	outcomes map[string]int
	watchers sync.WaitGroup
}

// entry is one process of an entry VM.
type entry struct {
	*node.Node
	logView *logserver.View
	gate    *gate
	// processCtx ends with the process, which breaks the connections of its callers.
	processCtx context.Context
	kill       context.CancelFunc
	done       chan struct{}
	// openCalls counts the callers without a final answer. leaving is set by a planned
	// stop, which must not fail those callers.
	openCalls atomic.Int32
	leaving   atomic.Bool
	// freezeAtNextLoad makes the process freeze before its next load order, in
	// TestChaos.
	freezeAtNextLoad atomic.Bool
}

// newSystem starts engines a1, a2, b1, b2 and entry VMs v-a1, v-a2, v-b1, v-b2 in two
// failure domains.
func newSystem(t *testing.T, checksTokens bool, v ...variant) *system {
	return newShardedSystem(t, checksTokens, 1, v...)
}

// newShardedSystem is like newSystem, with claims distributed over claimShards shards.
func newShardedSystem(t *testing.T, checksTokens bool, claimShards int, v ...variant) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{
		t: t, ctx: ctx, log: logserver.New(logserver.Config{}), list: vmlistserver.New(0),
		store: weightserver.New(weightserver.Config{
			DefaultBytes: 16 * gigabyte, BytesPerSecond: 8 * gigabyte, MaxConcurrentLoads: 4, LoadsPerSecond: 4,
		}),
		engines: engineserver.NewInMemoryClient(), services: serviceserver.NewInMemoryClient(), booking: serviceserver.New(),
		mesh: newMesh(), freezeOnOrder: func(string, string, engine.Order) bool { return false }, nodes: make(map[string]*entry), maxReplicas: make(map[string]int), outcomes: make(map[string]int), requestsSent: make(map[string]int),
		drainingSince: make(map[string]time.Time), lastStatuses: make(map[string]engine.Status), statusLost: make(map[string]bool), variant: append(v, unmodified)[0],
		claimShards: claimShards,
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range s.entries() {
			n.gate.unfreeze()
			n.kill()
			<-n.done
		}
		s.booking.Close()
		s.watchers.Wait()
		// Wait until the pending log appends of killed VMs have timed out.
		time.Sleep(20 * time.Second)
	})
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		e := engineserver.New(engineserver.Options{
			Name: name, MemoryBytes: 40 * gigabyte, Slots: 8, TokenTime: 10 * time.Millisecond,
			Fetcher: s.store, ChecksTokens: checksTokens, DiskBytesPerSecond: 64 * gigabyte,
		})
		t.Cleanup(e.Close)
		s.engines.Put("engine-"+name, e)
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: "engine-" + name, Domain: name[:1]})
	}
	s.services.Put("booking-1", s.booking)
	s.list.Put(vmlist.VM{ID: "booking-1", Kind: vmlist.KindService, Address: "booking-1", Domain: "a", Service: "booking"})
	for _, name := range allVMs {
		s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEntry, Address: name, Domain: name[2:3]})
	}
	for _, name := range allVMs {
		s.start(name, name)
	}
	s.watchers.Go(s.watchReplicas)
	return s
}

// leaseConfig returns the lease settings of the running variant.
func (s *system) leaseConfig() lease.Config {
	config := testLease
	if s.variant == noTakeover {
		config.Term = time.Hour
	}
	return config
}

// start runs an entry VM. Each restart needs a new incarnation.
func (s *system) start(name, incarnation string) *entry {
	ctx, cancel := context.WithCancel(s.ctx)
	e := &entry{logView: s.log.View(incarnation), gate: newGate(), processCtx: ctx, kill: cancel, done: make(chan struct{})}
	e.Node = node.New(node.Config{
		VM: name, Domain: name[2:3], Region: "r", PeersAddress: name, Incarnation: incarnation, ClaimShards: s.claimShards,
		Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(int64(len(s.entries())) + 1)), Lease: s.leaseConfig(),
		Peers: node.Peers{
			Log: gatedLog{e.logView, e.gate, &s.controlReads}, VMList: s.list, WeightStore: s.store,
			Engines: gatedEngines{
				Client: s.engines, gate: e.gate, system: s,
				shouldFreeze:  func(address string, order engine.Order) bool { return s.shouldFreeze(name, address, order) },
				isPartitioned: func(address string) bool { return s.mesh.isEnginePartitioned(name, address) },
			}, Services: gatedServices{s.services, e.gate},
			EntryVMs: peerLink{system: s, mesh: s.mesh, from: name, gate: e.gate},
		},
	})
	s.mu.Lock()
	s.nodes[name] = e
	s.mu.Unlock()
	s.mesh.add(name, e)
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	return e
}

// node returns the latest process of an entry VM.
func (s *system) node(name string) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// entries returns the latest process of each entry VM.
func (s *system) entries() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.nodes))
}

// setFreezeOnOrder sets the function that selects the orders before which an entry VM
// freezes.
func (s *system) setFreezeOnOrder(freezeOnOrder func(vm, address string, order engine.Order) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freezeOnOrder = freezeOnOrder
}

func (s *system) shouldFreeze(vm, address string, order engine.Order) bool {
	s.mu.Lock()
	freezeOnOrder := s.freezeOnOrder
	s.mu.Unlock()
	return freezeOnOrder(vm, address, order)
}

// waitReady waits until the entry VMs accept requests, and 3 s more for the engines to
// get keepers.
func (s *system) waitReady() {
	for _, n := range s.entries() {
		for n.Ready() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

const contractTemplate = `
[customer]
name = trinidad
memory = 120GB
requests_per_second = 1000
burst = 1000
max_queued = 1000
[key "desk"]
sha256 = %s
[model "clerk"]
checkpoint = clerk:v1
memory = 16GB
max_replicas = %d
max_wait = 20s
[model "board"]
checkpoint = board:v1
memory = 30GB
max_replicas = 1
max_wait = 20s
[service "booking"]
max_wait = 5s
once = POST /book
`

func baseContract(maxReplicas int) string {
	return fmt.Sprintf(contractTemplate, contract.HashKey("desk-key"), maxReplicas)
}

// publish publishes a contract through one entry VM.
func (s *system) publish(at, change, contractText string, base state.Revision) operator.PublishResult {
	s.t.Helper()
	sections, err := contract.Split(contractText)
	if err != nil {
		s.t.Fatal(err)
	}
	result, err := s.node(at).Operators().Publish(s.ctx, operator.PublishRequest{
		ChangeID: change, Customer: "trinidad", Base: base, Sections: sections,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return result
}

// requestsSentTo returns the number of generation requests sent to an engine.
func (s *system) requestsSentTo(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestsSent[address]
}

// maxDrainDelay is the longest time for which a draining engine may still get new
// requests. It is the age up to which an engine's own status counts.
const maxDrainDelay = 6 * time.Second

// recordSent records a generation request that is sent to an engine.
func (s *system) recordSent(address, id string) {
	s.mu.Lock()
	s.requestsSent[address]++
	since, draining := s.drainingSince[address]
	s.mu.Unlock()
	if late := time.Since(since); draining && late > maxDrainDelay {
		s.errorf("%s has been draining for %v and got request %s", address, late, id)
	}
}

// setDraining makes an engine report that it is draining, or that it no longer is.
func (s *system) setDraining(address string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines.Engine(address).SetDraining(draining)
	if _, known := s.drainingSince[address]; !draining {
		delete(s.drainingSince, address)
	} else if !known {
		s.drainingSince[address] = time.Now()
	}
}

// loseStatuses drops all further status reports of an engine, and the answer to the
// next generation request sent to it.
func (s *system) loseStatuses(address string) {
	s.engines.Engine(address).SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statusLost[address] = true
}

// receiveStatus returns the engine status that an entry VM receives.
func (s *system) receiveStatus(address string, status engine.Status, err error) (engine.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statusLost[address] {
		err = engine.ErrOutcomeUnknown
	}
	if err == nil {
		s.lastStatuses[address] = status
	} else if s.variant == staleStatus {
		return s.lastStatuses[address], nil
	}
	return status, err
}

// watchReplicas records how many engines hold each unit at one time.
func (s *system) watchReplicas() {
	for s.ctx.Err() == nil {
		held := make(map[string]int)
		for _, name := range []string{"a1", "a2", "b1", "b2"} {
			status, err := s.engines.Status(s.ctx, "engine-"+name)
			if err != nil {
				continue
			}
			for _, u := range status.Units {
				held[u.Unit]++
			}
		}
		s.mu.Lock()
		for unit, n := range held {
			s.maxReplicas[unit] = max(s.maxReplicas[unit], n)
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// countOutcome records how a request ended.
func (s *system) countOutcome(err error) {
	end := ""
	if err != nil {
		end = string(refusal.FromError(err).Code)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[end]++
}

func (s *system) maxReplicasOf(unit string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxReplicas[unit]
}

// checkMemory records a violation for each engine that ever held, or was ordered to
// hold, more than its memory.
func (s *system) checkMemory() {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		r := s.engines.Engine("engine-" + name).Records()
		if r.NoMemoryRefusals > 0 || r.PeakMemory > 40*gigabyte {
			s.errorf("engine %s: %d overcommits, at most %d bytes", name, r.NoMemoryRefusals, r.PeakMemory)
		}
	}
}

func (s *system) countLoads(unit string) int {
	total := 0
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		total += s.engines.Engine("engine-" + name).Records().LoadCounts[unit]
	}
	return total
}
