package planner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/testkit"
	"bergamotreel/placement"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// testEnv is the environment of two planners: the control state, engines that a
// VM's real fleet polls, and the other input of a plan. All of it changes at
// random.
type testEnv struct {
	rng    *rand.Rand
	state  *state.State
	offset uint64
	fleet  *fleet.Fleet

	mu       sync.Mutex
	list     vmlist.List
	statuses map[string]engine.Status
	silent   map[string]bool

	liveTable    *rendezvous.Table
	shareVersion uint64
	liveVersion  uint64
	running      map[string]int
	unhealthy    map[string]bool
	demand       []placement.Demand
}

const (
	testEngines   = 6
	testCustomers = 3
	testUnits     = 8
)

var errNoAnswer = errors.New("no answer")

// statusClient is an engine.Client that implements only Status.
type statusClient struct {
	engine.Client
	env *testEnv
}

func (c statusClient) Status(_ context.Context, address string) (engine.Status, error) {
	c.env.mu.Lock()
	defer c.env.mu.Unlock()
	if c.env.silent[address] {
		return engine.Status{}, errNoAnswer
	}
	return c.env.statuses[address], nil
}

func (env *testEnv) List(context.Context) (vmlist.List, error) {
	env.mu.Lock()
	defer env.mu.Unlock()
	return vmlist.List{Version: env.list.Version, VMs: slices.Clone(env.list.VMs)}, nil
}

func (env *testEnv) View(read func(*state.State)) { read(env.state) }

func (env *testEnv) Propose(context.Context, state.Proposal) (state.Outcome, error) {
	return state.Outcome{}, nil
}

// apply applies a proposal of the one process that keeps all engines.
func (env *testEnv) apply(p state.Proposal) state.Outcome {
	env.offset++
	p.ID = state.ProposalID{Proposer: "vm", Sequence: env.offset}
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	return env.state.Apply(env.offset, data)[0]
}

func (env *testEnv) share() Share {
	return Share{Version: env.shareVersion, LiveVersion: env.liveVersion, OwnsUnit: func(unit string) bool { return env.liveTable.Pick(unit) == "vm-0" },
		PlannerOf: env.liveTable.Pick, NextPlannerOf: func(unit string) string { return env.liveTable.NextOwner(rendezvous.BucketOf(unit)) }}
}

func (env *testEnv) planner() *Planner {
	return New(Config{
		Domain: "d0", Control: env, Policy: placement.NewPlanner(placement.Config{Preload: true}), Logger: zap.NewNop(),
		ChangedEngines: env.fleet.ChangedEngines, LookupEngine: env.fleet.Engine, Share: env.share,
		Demand:          func() []placement.Demand { return env.demand },
		RunningRequests: func() map[string]int { return env.running }, UnavailableEngines: func() map[string]bool { return env.unhealthy },
		StoreStatus:  func() placement.StoreStatus { return placement.StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4} },
		SetReadyTime: func(string, time.Time) {}, SendHistories: func(string, []placement.History) {},
	})
}

func engineAt(i int) string { return fmt.Sprint("10.0.0.", i) }
func unitAt(i int) string   { return fmt.Sprint("unit-", i) }
func customerAt(i int) string {
	return fmt.Sprint("c", i)
}

// contractSections returns a random contract of a customer; the last units are
// adapters of the first.
func (env *testEnv) contractSections(customer int) map[string]string {
	sections := map[string]string{"customer": "name = " + customerAt(customer) + "\nmemory = 200GB\n"}
	for i := range testUnits {
		if i > 0 && env.rng.Intn(4) == 0 {
			sections[fmt.Sprintf("model %q", unitAt(i))], sections[fmt.Sprintf("adapter %q", unitAt(i))] = "", ""
			continue
		}
		body := fmt.Sprintf("checkpoint = k%d\nmemory = 8GB\nmax_replicas = %d\nmax_wait = 20s\n", i, 1+env.rng.Intn(4))
		if i >= testUnits-3 {
			sections[fmt.Sprintf("adapter %q", unitAt(i))] = "base = unit-0\n" + body
			continue
		}
		sections[fmt.Sprintf("model %q", unitAt(i))] = body + fmt.Sprintf("standby_per_domain = %d\nmin_replicas = %d\n", env.rng.Intn(2), env.rng.Intn(2))
	}
	return sections
}

func (env *testEnv) publish() {
	customer := env.rng.Intn(testCustomers)
	name := customerAt(customer)
	remove := env.rng.Intn(8) == 0
	p := state.Publish{ChangeID: fmt.Sprint(env.offset), Customer: name, Base: env.state.ContractVersion(name), Remove: remove}
	if !remove {
		p.Sections = env.contractSections(customer)
	}
	env.apply(state.Proposal{Publish: &p})
}

// changeState makes one random change to the control state.
func (env *testEnv) changeState() {
	at, unit := engineAt(env.rng.Intn(testEngines)), unitAt(env.rng.Intn(testUnits))
	e := env.state.Engines[at]
	if e == nil || e.KeeperSession == 0 {
		env.acquireEngine(at, e)
		return
	}
	var right state.Revision
	if r := e.Rights[unit]; r != nil {
		right = r.Granted
	}
	switch env.rng.Intn(9) {
	case 0:
		env.publish()
	case 1:
		env.apply(state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: at, Keeper: e.Keeper}})
	case 2:
		env.apply(state.Proposal{EngineRemove: &state.EngineRemove{Engine: at, FencingToken: e.FencingToken, Incarnation: e.Incarnation}})
	case 3, 4:
		env.apply(state.Proposal{Grant: &state.Grant{Engine: at, Keeper: e.Keeper, Unit: unit,
			Customer: customerAt(env.rng.Intn(testCustomers)), Wanted: env.rng.Intn(2) == 0}})
	case 5:
		env.apply(state.Proposal{SetWanted: &state.SetWanted{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right, Wanted: env.rng.Intn(2) == 0}})
	case 6:
		env.apply(state.Proposal{Withdraw: &state.Withdraw{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right}})
	case 7:
		env.apply(state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right}})
	case 8:
		if env.rng.Intn(20) == 0 {
			env.restore()
		}
	}
}

func (env *testEnv) acquireEngine(at string, e *state.Engine) {
	var previous state.Revision
	if e != nil {
		previous = e.Keeper
	}
	session := env.apply(state.Proposal{SessionOpen: &state.SessionOpen{VM: "vm", Incarnation: "vm"}}).Revision
	keeper := env.apply(state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: at, Session: session, Previous: previous}}).Revision
	if env.rng.Intn(4) == 0 {
		return
	}
	env.apply(state.Proposal{EngineReport: &state.EngineReport{Engine: at, Keeper: keeper, Incarnation: "1", Domain: "d0",
		MemoryBytes: int64(16+8*env.rng.Intn(3)) << 30, ChecksTokens: true}})
}

func (env *testEnv) restore() {
	parts := testkit.Must(env.state.Snapshot("vm"))
	env.state = testkit.Must(state.Restore(parts))
}

// changeEngines changes the engines, the VM list and the live VMs at random.
func (env *testEnv) changeEngines() {
	env.mu.Lock()
	defer env.mu.Unlock()
	address := engineAt(env.rng.Intn(testEngines))
	switch env.rng.Intn(8) {
	case 0:
		env.list.Version++
		env.list.VMs = nil
		for i := range testEngines {
			if env.rng.Intn(6) > 0 {
				env.list.VMs = append(env.list.VMs, vmlist.VM{Kind: vmlist.KindEngine, Address: engineAt(i),
					Domain: fmt.Sprint("d", i%2), Leaving: env.rng.Intn(8) == 0})
			}
		}
	case 1:
		env.silent[address] = env.rng.Intn(2) == 0
	case 2:
		var live []string
		for i := range 4 {
			if env.rng.Intn(3) > 0 {
				live = append(live, fmt.Sprint("vm-", i))
			}
		}
		env.liveTable.SetNodes(live)
		env.shareVersion++
	case 3:
		env.fleet.ApplyReports([]fleet.PeerReport{{ObservedAt: time.Now(), EngineReport: entryvm.EngineReport{Engine: address, Draining: env.rng.Intn(2) == 0}}})
	default:
		status := engine.Status{Incarnation: fmt.Sprint(env.rng.Intn(2)), Slots: 4, Cached: map[string]engine.Tier{},
			Load: engine.Load{Running: env.rng.Intn(9)}}
		for i := range testUnits {
			if phases := []engine.Phase{engine.PhaseLoading, engine.PhaseReady}; env.rng.Intn(3) > 0 {
				status.Units = append(status.Units, engine.Unit{Unit: unitAt(i), Phase: phases[env.rng.Intn(2)]})
			}
			if env.rng.Intn(3) == 0 {
				status.Cached[fmt.Sprint("k", i)] = engine.TierDisk
			}
		}
		env.statuses[address] = status
	}
}

// changeLoad changes the waiting and running requests and the unhealthy engines at
// random.
func (env *testEnv) changeLoad(now time.Time) {
	env.running, env.unhealthy, env.demand = map[string]int{}, map[string]bool{}, nil
	for i := range testEngines {
		if env.rng.Intn(2) == 0 {
			env.running[engineAt(i)] = 1 + env.rng.Intn(4)
		}
		if env.rng.Intn(12) == 0 {
			env.unhealthy[engineAt(i)] = true
		}
	}
	for range env.rng.Intn(3) {
		env.demand = append(env.demand, placement.Demand{Unit: unitAt(env.rng.Intn(testUnits)), Waiting: 1 + env.rng.Intn(3),
			Customer: customerAt(env.rng.Intn(testCustomers)), EarliestDeadline: now.Add(time.Duration(env.rng.Intn(20)) * time.Second)})
	}
}

// rebuildView builds the snapshot without the cache, from everything there is, and
// returns the engines that the cached snapshot may have as silent.
func (p *Planner) rebuildView(s *state.State, engines []fleet.Engine, in planInput) (placement.View, map[string]bool) {
	previous := p.cache.fleet
	p.cache.fleet = placement.NewFleet()
	v := p.buildView(state.New(), in)
	p.cache.fleet = previous
	v.Fleet, v.Units, v.Store.Running = nil, nil, 0
	v.RemainingBudget = func(customer string) int64 { return remainingBudget(s, customer) }
	v.LookupUnit = func(customer, unit string) (placement.Unit, bool) { return lookupUnit(s, customer, unit) }
	for i := range testCustomers {
		if published := s.Contracts[customerAt(i)]; published != nil && published.Contract != nil {
			for _, unit := range published.Contract.Units() {
				if in.share.OwnsUnit(unit.Name) {
					v.Units = append(v.Units, placementUnit(unit))
				}
			}
		}
	}
	held, silent := make(map[holdingKey]bool), make(map[string]bool)
	for _, e := range engines {
		built := p.buildEngine(in.now, s, e, in.running[e.VM.Address], in.unhealthy[e.VM.Address])
		if in.now.Sub(e.SeenAt) >= silentTimeout && !slices.ContainsFunc(built.Holdings, func(h placement.Holding) bool {
			return slices.ContainsFunc(v.Units, func(u placement.Unit) bool { return h.Unit == u.Name || h.Unit == u.Base })
		}) {
			// Neither its cached checkpoints nor its loads count.
			silent[built.Name], built.Cached = true, nil
			v.Engines = append(v.Engines, built)
			continue
		}
		for _, h := range built.Holdings {
			held[holdingKey{built.Name, h.Unit}] = true
			if h.Wanted && !h.Ready && !h.Withdrawn {
				v.Store.Running++
			}
		}
		v.Engines = append(v.Engines, built)
	}
	p.cache.fleet = placement.NewFleet() // read by readySince
	for _, e := range v.Engines {
		if !silent[e.Name] {
			p.cache.fleet.SetEngine(e)
		}
	}
	for key := range p.loads.inFlight {
		if !held[key] {
			delete(p.loads.inFlight, key)
		}
	}
	return v, silent
}

// The planner updates its cache with the changes that are reported to it. If a
// change were not reported, it would decide by outdated entries: loads on an engine
// that is full or gone, rejected by the control state while callers wait. The test
// plans random environments twice, from the cache and from scratch, and compares
// the results.
func TestCachedViewMatchesRebuiltView(t *testing.T) {
	for seed := range int64(8) {
		synctest.Test(t, func(t *testing.T) { compareWithRebuiltView(t, seed) })
	}
}

func compareWithRebuiltView(t *testing.T, seed int64) {
	env := &testEnv{
		rng: rand.New(rand.NewSource(seed)), state: state.New(), liveTable: rendezvous.NewTable(),
		statuses: make(map[string]engine.Status), silent: make(map[string]bool),
	}
	// In half of the runs engines are polled so rarely that they become silent.
	every := time.Duration(2+12*(seed%2)) * time.Second
	env.fleet = fleet.New(fleet.Config{Lister: env, Engine: statusClient{env: env}, IdlePollInterval: every, Logger: zap.NewNop()}, nil, nil)
	cached, rebuilt := env.planner(), env.planner()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); env.fleet.Run(ctx) }()
	defer func() { cancel(); <-done }()
	decisions, silentCount := 0, 0
	var phases map[holdingKey]phaseEntry
	for step := range 300 {
		for range env.rng.Intn(5) {
			env.changeState()
		}
		env.changeEngines()
		time.Sleep(usageInterval + time.Duration(env.rng.Intn(4000))*time.Millisecond)
		synctest.Wait()
		now := time.Now()
		env.changeLoad(now)
		for range env.rng.Intn(3) {
			unit, at := unitAt(env.rng.Intn(testUnits)), now.Add(-time.Duration(env.rng.Intn(90))*time.Second)
			cached.RecordRequest(unit, at)
			rebuilt.RecordRequest(unit, at)
		}
		in := cached.collectUpdates(now)
		cached.ownsUnit, rebuilt.ownsUnit = in.share.OwnsUnit, in.share.OwnsUnit
		cachedView := cached.buildView(env.state, in)
		rebuiltView, silent := rebuilt.rebuildView(env.state, env.fleet.Engines(), in)
		silentCount += len(silent)
		checkViews(t, seed, step, cachedView, rebuiltView, silent)
		phases = checkPhases(t, now, cached, cachedView.Fleet, phases)
		got, want := cached.policy.Plan(cachedView), rebuilt.policy.Plan(rebuiltView)
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Fatalf("seed %d, step %d: decisions: %s", seed, step, diff)
		}
		decisions += len(got)
		for _, d := range got {
			if e := env.state.Engines[d.Engine]; env.rng.Intn(4) > 0 {
				env.apply(proposal(plannedDecision{Decision: d, keeper: e.Keeper}))
			}
		}
	}
	if decisions < 20 || silentCount < 20 {
		t.Errorf("seed %d: only %d decisions were compared, %d silent engines", seed, decisions, silentCount)
	}
}

// checkPhases checks the phases of the rights on all engines in the cache and
// returns the expected ones.
func checkPhases(t *testing.T, now time.Time, p *Planner, f *placement.Fleet, before map[holdingKey]phaseEntry) map[holdingKey]phaseEntry {
	after := make(map[holdingKey]phaseEntry)
	for i := range testEngines {
		e, _ := f.Engine(engineAt(i))
		for _, h := range e.Holdings {
			key, phase := holdingKey{e.Name, h.Unit}, phaseOfHolding(&h)
			if after[key] = before[key]; before[key].since.IsZero() || before[key].phase != phase {
				after[key] = phaseEntry{phase, now}
			}
			if got := p.PhaseSince(e.Name, h.Unit, phase); !got.Equal(after[key].since) {
				t.Errorf("%v in phase %d since %v, want %v", key, phase, got, after[key].since)
			}
		}
	}
	if len(p.phases) != len(after) {
		t.Errorf("%d phases for %d rights", len(p.phases), len(after))
	}
	return after
}

func checkViews(t *testing.T, seed int64, step int, cached, rebuilt placement.View, silent map[string]bool) {
	t.Helper()
	rebuilt.Engines = slices.DeleteFunc(slices.Clone(rebuilt.Engines), func(e placement.Engine) bool { return silent[e.Name] })
	var engines []placement.Engine
	for i := range testEngines {
		if e, ok := cached.Fleet.Engine(engineAt(i)); ok {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.Name, b.Name) })
	diff := gocmp.Diff(rebuilt.Engines, engines, cmpopts.EquateEmpty()) + gocmp.Diff(rebuilt.Units, cached.Units, cmpopts.EquateEmpty()) +
		gocmp.Diff(rebuilt.Store, cached.Store) + gocmp.Diff(rebuilt.Demand, cached.Demand)
	if diff != "" || cached.Fleet.Len() != len(engines) {
		t.Fatalf("seed %d, step %d: %d engines, %s", seed, step, cached.Fleet.Len(), diff)
	}
}
