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

// timing is short, so that a test's virtual day stays small.
var timing = lease.Config{
	Term: 6 * time.Second, Margin: time.Second, RenewInterval: 1500 * time.Millisecond, MessageLifetime: 5 * time.Second,
}

// system is real entry VMs over in-memory peers, in virtual time.
type system struct {
	t        *testing.T
	ctx      context.Context
	log      *logserver.Store
	list     *vmlistserver.Registry
	store    *weightserver.Store
	engines  *engineserver.Fleet
	services *serviceserver.Fleet
	booking  *serviceserver.Service
	mesh     *mesh

	mu    sync.Mutex
	nodes map[string]*entry
	// hold is what setHold set.
	hold func(vm, address string, order engine.Order) bool
	// replicas is the most engines that held each unit at one time.
	replicas map[string]int
	// sent counts the requests for tokens sent to each engine.
	sent map[string]int
	// reading counts the VMs that read the control stream now.
	reading atomic.Int32
	// claimShards is node.Config's.
	claimShards int
	// claimCalls counts the questions to holders of shards.
	claimCalls atomic.Int64
	// leaving is since when an engine says itself that it leaves.
	leaving map[string]time.Time
	// words is what each engine said last, lost whose word is lost.
	words map[string]engine.Status
	lost  map[string]bool
	// twin is the naive version that runs, breaches the promises it broke.
	twin     twin
	breaches []string
	// ends counts how requests ended, by refusal code, "" for served.
	ends     map[string]int
	watching sync.WaitGroup
}

// entry is one entry VM.
type entry struct {
	*node.Node
	view *logserver.View
	gate *gate
	// alive ends with the process: its callers lose their connections.
	alive context.Context
	kill  context.CancelFunc
	done  chan struct{}
	// open are its callers that have no final answer yet; leaving is set by a
	// planned stop, which must not cut them off.
	open    atomic.Int32
	leaving atomic.Bool
	// trap has it freeze at its next load order, in TestChaos.
	trap atomic.Bool
}

// newSystem makes engines a1, a2, b1, b2 and entry VMs v-a1, v-a2, v-b1, v-b2 in
// two failure domains.
func newSystem(t *testing.T, checksTokens bool, version ...twin) *system {
	return newShardedSystem(t, checksTokens, 1, version...)
}

// newShardedSystem is newSystem with claims over so many shards.
func newShardedSystem(t *testing.T, checksTokens bool, claimShards int, version ...twin) *system {
	ctx, cancel := context.WithCancel(context.Background())
	s := &system{
		t: t, ctx: ctx, log: logserver.New(logserver.Config{}), list: vmlistserver.New(0),
		store: weightserver.New(weightserver.Config{
			DefaultBytes: 16 * gigabyte, BytesPerSecond: 8 * gigabyte, AtOnce: 4, LoadsPerSecond: 4,
		}),
		engines: engineserver.NewFleet(), services: serviceserver.NewFleet(), booking: serviceserver.New(),
		mesh: newMesh(), hold: func(string, string, engine.Order) bool { return false }, nodes: make(map[string]*entry), replicas: make(map[string]int), ends: make(map[string]int), sent: make(map[string]int),
		leaving: make(map[string]time.Time), words: make(map[string]engine.Status), lost: make(map[string]bool), twin: append(version, ours)[0],
		claimShards: claimShards,
	}
	t.Cleanup(func() {
		cancel()
		for _, n := range s.all() {
			n.gate.open()
			n.kill()
			<-n.done
		}
		s.booking.Close()
		s.watching.Wait()
		// A killed VM's answers that were on their way into the log give up.
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
	s.watching.Go(s.watchReplicas)
	return s
}

// lease is how sessions live in the version that runs.
func (s *system) lease() lease.Config {
	config := timing
	if s.twin == noTakeover {
		config.Term = time.Hour
	}
	return config
}

// start runs an entry VM; a restart of it gets another incarnation.
func (s *system) start(name, incarnation string) *entry {
	ctx, cancel := context.WithCancel(s.ctx)
	e := &entry{view: s.log.View(incarnation), gate: newGate(), alive: ctx, kill: cancel, done: make(chan struct{})}
	e.Node = node.New(node.Config{
		VM: name, Domain: name[2:3], Region: "r", PeersAddress: name, Incarnation: incarnation, ClaimShards: s.claimShards,
		Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(int64(len(s.all())) + 1)), Lease: s.lease(),
		Peers: node.Peers{
			Log: gatedLog{e.view, e.gate, &s.reading}, VMList: s.list, WeightStore: s.store,
			Engines: gatedEngines{
				Client: s.engines, gate: e.gate, system: s,
				hold:  func(address string, order engine.Order) bool { return s.holds(name, address, order) },
				apart: func(address string) bool { return s.mesh.engineApart(name, address) },
			}, Services: gatedServices{s.services, e.gate},
			EntryVMs: link{system: s, mesh: s.mesh, from: name, gate: e.gate},
		},
	})
	s.mu.Lock()
	s.nodes[name] = e
	s.mu.Unlock()
	s.mesh.join(name, e)
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	return e
}

// node is the newest start of an entry VM.
func (s *system) node(name string) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// all are the newest starts of all entry VMs.
func (s *system) all() []*entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.nodes))
}

// setHold names the orders at whose sending the entry VM freezes.
func (s *system) setHold(hold func(vm, address string, order engine.Order) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold = hold
}

func (s *system) holds(vm, address string, order engine.Order) bool {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	return hold(vm, address, order)
}

// ready waits until the entry VMs take requests and engines are kept.
func (s *system) ready() {
	for _, n := range s.all() {
		for n.Ready() != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

const contractText = `
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

func text(maxReplicas int) string {
	return fmt.Sprintf(contractText, contract.HashKey("desk-key"), maxReplicas)
}

// publish changes the contract through one entry VM.
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

// sentTo counts the requests for tokens sent to an engine.
func (s *system) sentTo(address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[address]
}

// leaveLimit is the longest time after which an engine that leaves gets new work:
// the age up to which an engine's own word counts.
const leaveLimit = 6 * time.Second

// sentWork notes a request for tokens that goes to an engine.
func (s *system) sentWork(address, id string) {
	s.mu.Lock()
	s.sent[address]++
	since, leaving := s.leaving[address]
	s.mu.Unlock()
	if late := time.Since(since); leaving && late > leaveLimit {
		s.errorf("%s leaves since %v and got %s", address, late, id)
	}
}

// leave has an engine say that it leaves, or that it stays after all.
func (s *system) leave(address string, leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines.Engine(address).SetDraining(leaves)
	if _, known := s.leaving[address]; !leaves {
		delete(s.leaving, address)
	} else if !known {
		s.leaving[address] = time.Now()
	}
}

// loseWord loses all that an engine says of itself from now on, and the answer to
// the next request that is sent there.
func (s *system) loseWord(address string) {
	s.engines.Engine(address).SetFaults(engineserver.Faults{LoseStreamAnswers: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[address] = true
}

// word is what an entry VM takes for an engine's word.
func (s *system) word(address string, status engine.Status, err error) (engine.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost[address] {
		err = engine.ErrOutcomeUnknown
	}
	if err == nil {
		s.words[address] = status
	} else if s.twin == oldWord {
		return s.words[address], nil
	}
	return status, err
}

// watchReplicas notes how many engines hold each unit at one time.
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
			s.replicas[unit] = max(s.replicas[unit], n)
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// count notes how a request ended.
func (s *system) count(err error) {
	end := ""
	if err != nil {
		end = string(refusal.FromError(err).Code)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends[end]++
}

func (s *system) mostReplicas(unit string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas[unit]
}

// checkMemory notes an engine that ever held, or was ever asked to hold, more
// than it has.
func (s *system) checkMemory() {
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		r := s.engines.Engine("engine-" + name).Records()
		if r.Overcommits > 0 || r.MaxMemory > 40*gigabyte {
			s.errorf("engine %s: %d overcommits, at most %d bytes", name, r.Overcommits, r.MaxMemory)
		}
	}
}

func (s *system) loads(unit string) int {
	total := 0
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		total += s.engines.Engine("engine-" + name).Records().Loads[unit]
	}
	return total
}
