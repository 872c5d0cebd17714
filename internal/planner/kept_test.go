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

// world is what two planners look at: the fold, engines that the real fleet of a
// VM polls, and what else a plan rests on. Everything in it changes at random.
type world struct {
	rng    *rand.Rand
	state  *state.State
	offset uint64
	fleet  *fleet.Fleet

	mu       sync.Mutex
	list     vmlist.List
	statuses map[string]engine.Status
	silent   map[string]bool

	live    *rendezvous.Table
	version uint64
	changes uint64
	running map[string]int
	sick    map[string]bool
	demand  []placement.Demand
}

const (
	worldEngines   = 6
	worldCustomers = 3
	worldUnits     = 8
)

var errSilent = errors.New("no answer")

// silentEngines is an engine.Client of which only Status is asked.
type silentEngines struct {
	engine.Client
	w *world
}

func (c silentEngines) Status(_ context.Context, address string) (engine.Status, error) {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.w.silent[address] {
		return engine.Status{}, errSilent
	}
	return c.w.statuses[address], nil
}

func (w *world) List(context.Context) (vmlist.List, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return vmlist.List{Version: w.list.Version, VMs: slices.Clone(w.list.VMs)}, nil
}

func (w *world) View(read func(*state.State)) { read(w.state) }

func (w *world) Propose(context.Context, state.Proposal) (state.Outcome, error) {
	return state.Outcome{}, nil
}

// fold lands a proposal of the one process that keeps all engines.
func (w *world) fold(p state.Proposal) state.Outcome {
	w.offset++
	p.ID = state.ProposalID{Proposer: "vm", Sequence: w.offset}
	data := testkit.Must(state.Encode(state.Record{Proposals: []state.Proposal{p}}))
	return w.state.Apply(w.offset, data)[0]
}

func (w *world) share() Share {
	return Share{Version: w.version, LiveVersion: w.changes, OwnsUnit: func(unit string) bool { return w.live.Pick(unit) == "vm-0" },
		PlannerOf: w.live.Pick, NextPlannerOf: func(unit string) string { return w.live.NextOwner(rendezvous.BucketOf(unit)) }}
}

func (w *world) planner() *Planner {
	return New(Config{
		Domain: "d0", Control: w, Policy: placement.NewPlanner(placement.Config{Preload: true}), Logger: zap.NewNop(),
		ChangedEngines: w.fleet.Changes, LookupEngine: w.fleet.Engine, Share: w.share,
		Demand:          func() []placement.Demand { return w.demand },
		RunningRequests: func() map[string]int { return w.running }, UnavailableEngines: func() map[string]bool { return w.sick },
		StoreStatus:  func() placement.StoreStatus { return placement.StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4} },
		SetReadyTime: func(string, time.Time) {}, SendHistories: func(string, []placement.History) {},
	})
}

func engineAt(i int) string { return fmt.Sprint("10.0.0.", i) }
func unitAt(i int) string   { return fmt.Sprint("unit-", i) }
func customerAt(i int) string {
	return fmt.Sprint("c", i)
}

// text is a customer's contract; the last units are adapters of the first.
func (w *world) text(customer int) map[string]string {
	sections := map[string]string{"customer": "name = " + customerAt(customer) + "\nmemory = 200GB\n"}
	for i := range worldUnits {
		if i > 0 && w.rng.Intn(4) == 0 {
			sections[fmt.Sprintf("model %q", unitAt(i))], sections[fmt.Sprintf("adapter %q", unitAt(i))] = "", ""
			continue
		}
		body := fmt.Sprintf("checkpoint = k%d\nmemory = 8GB\nmax_replicas = %d\nmax_wait = 20s\n", i, 1+w.rng.Intn(4))
		if i >= worldUnits-3 {
			sections[fmt.Sprintf("adapter %q", unitAt(i))] = "base = unit-0\n" + body
			continue
		}
		sections[fmt.Sprintf("model %q", unitAt(i))] = body + fmt.Sprintf("standby_per_domain = %d\nmin_replicas = %d\n", w.rng.Intn(2), w.rng.Intn(2))
	}
	return sections
}

func (w *world) publish() {
	customer := w.rng.Intn(worldCustomers)
	name := customerAt(customer)
	remove := w.rng.Intn(8) == 0
	p := state.Publish{ChangeID: fmt.Sprint(w.offset), Customer: name, Base: w.state.ConfigVersion(name), Remove: remove}
	if !remove {
		p.Sections = w.text(customer)
	}
	w.fold(state.Proposal{Publish: &p})
}

// change makes one random change of the fold.
func (w *world) change() {
	at, unit := engineAt(w.rng.Intn(worldEngines)), unitAt(w.rng.Intn(worldUnits))
	e := w.state.Engines[at]
	if e == nil || e.KeeperSession == 0 {
		w.take(at, e)
		return
	}
	var right state.Revision
	if r := e.Rights[unit]; r != nil {
		right = r.Granted
	}
	switch w.rng.Intn(9) {
	case 0:
		w.publish()
	case 1:
		w.fold(state.Proposal{KeeperRelease: &state.KeeperRelease{Engine: at, Keeper: e.Keeper}})
	case 2:
		w.fold(state.Proposal{EngineRemove: &state.EngineRemove{Engine: at, FencingToken: e.FencingToken, Incarnation: e.Incarnation}})
	case 3, 4:
		w.fold(state.Proposal{Grant: &state.Grant{Engine: at, Keeper: e.Keeper, Unit: unit,
			Customer: customerAt(w.rng.Intn(worldCustomers)), Wanted: w.rng.Intn(2) == 0}})
	case 5:
		w.fold(state.Proposal{SetWanted: &state.SetWanted{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right, Wanted: w.rng.Intn(2) == 0}})
	case 6:
		w.fold(state.Proposal{Withdraw: &state.Withdraw{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right}})
	case 7:
		w.fold(state.Proposal{ConfirmUnload: &state.ConfirmUnload{Engine: at, Keeper: e.Keeper, Unit: unit, Right: right}})
	case 8:
		if w.rng.Intn(20) == 0 {
			w.restore()
		}
	}
}

func (w *world) take(at string, e *state.Engine) {
	var previous state.Revision
	if e != nil {
		previous = e.Keeper
	}
	session := w.fold(state.Proposal{SessionOpen: &state.SessionOpen{VM: "vm", Incarnation: "vm"}}).Revision
	keeper := w.fold(state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: at, Session: session, Previous: previous}}).Revision
	if w.rng.Intn(4) == 0 {
		return
	}
	w.fold(state.Proposal{EngineReport: &state.EngineReport{Engine: at, Keeper: keeper, Incarnation: "1", Domain: "d0",
		MemoryBytes: int64(16+8*w.rng.Intn(3)) << 30, ChecksTokens: true}})
}

func (w *world) restore() {
	parts := testkit.Must(w.state.Snapshot("vm"))
	w.state = testkit.Must(state.Restore(parts))
}

// stir changes the engines, the VM list and the load at random.
func (w *world) stir() {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := engineAt(w.rng.Intn(worldEngines))
	switch w.rng.Intn(8) {
	case 0:
		w.list.Version++
		w.list.VMs = nil
		for i := range worldEngines {
			if w.rng.Intn(6) > 0 {
				w.list.VMs = append(w.list.VMs, vmlist.VM{Kind: vmlist.KindEngine, Address: engineAt(i),
					Domain: fmt.Sprint("d", i%2), Leaving: w.rng.Intn(8) == 0})
			}
		}
	case 1:
		w.silent[address] = w.rng.Intn(2) == 0
	case 2:
		var live []string
		for i := range 4 {
			if w.rng.Intn(3) > 0 {
				live = append(live, fmt.Sprint("vm-", i))
			}
		}
		w.live.SetNodes(live)
		w.version++
	case 3:
		w.fleet.Told([]fleet.Word{{At: time.Now(), EngineReport: entryvm.EngineReport{Engine: address, Draining: w.rng.Intn(2) == 0}}})
	default:
		status := engine.Status{Incarnation: fmt.Sprint(w.rng.Intn(2)), Slots: 4, Cached: map[string]engine.Tier{},
			Load: engine.Load{Running: w.rng.Intn(9)}}
		for i := range worldUnits {
			if phases := []engine.Phase{engine.PhaseLoading, engine.PhaseReady}; w.rng.Intn(3) > 0 {
				status.Units = append(status.Units, engine.Unit{Unit: unitAt(i), Phase: phases[w.rng.Intn(2)]})
			}
			if w.rng.Intn(3) == 0 {
				status.Cached[fmt.Sprint("k", i)] = engine.TierDisk
			}
		}
		w.statuses[address] = status
	}
}

// load changes what waits and runs.
func (w *world) load(now time.Time) {
	w.running, w.sick, w.demand = map[string]int{}, map[string]bool{}, nil
	for i := range worldEngines {
		if w.rng.Intn(2) == 0 {
			w.running[engineAt(i)] = 1 + w.rng.Intn(4)
		}
		if w.rng.Intn(12) == 0 {
			w.sick[engineAt(i)] = true
		}
	}
	for range w.rng.Intn(3) {
		w.demand = append(w.demand, placement.Demand{Unit: unitAt(w.rng.Intn(worldUnits)), Waiting: 1 + w.rng.Intn(3),
			Customer: customerAt(w.rng.Intn(worldCustomers)), Deadline: now.Add(time.Duration(w.rng.Intn(20)) * time.Second)})
	}
}

// fullView makes the snapshot anew from everything there is, as each plan did
// before the cache was kept, and tells which engines may be left out of it.
func (p *Planner) fullView(s *state.State, engines []fleet.Engine, n news) (placement.View, map[string]bool) {
	before := p.cache.fleet
	p.cache.fleet = placement.NewFleet()
	v := p.view(state.New(), n)
	p.cache.fleet = before
	v.Fleet, v.Units, v.Store.Running = nil, nil, 0
	v.RemainingBudget = func(customer string) int64 { return budget(s, customer) }
	v.LookupUnit = func(customer, unit string) (placement.Unit, bool) { return lookup(s, customer, unit) }
	for i := range worldCustomers {
		if published := s.Contracts[customerAt(i)]; published != nil && published.Contract != nil {
			for _, unit := range published.Contract.Units() {
				if n.share.OwnsUnit(unit.Name) {
					v.Units = append(v.Units, planned(unit))
				}
			}
		}
	}
	held, out := make(map[holding]bool), make(map[string]bool)
	for _, e := range engines {
		made := p.engine(n.now, s, e, n.running[e.VM.Address], n.sick[e.VM.Address])
		if n.now.Sub(e.SeenAt) >= silentAfter && !slices.ContainsFunc(made.Holdings, func(h placement.Holding) bool {
			return slices.ContainsFunc(v.Units, func(u placement.Unit) bool { return h.Unit == u.Name || h.Unit == u.Base })
		}) {
			// What it had cached counts no more, nor do its loads.
			out[made.Name], made.Cached = true, nil
			v.Engines = append(v.Engines, made)
			continue
		}
		for _, h := range made.Holdings {
			held[holding{made.Name, h.Unit}] = true
			if h.Wanted && !h.Ready && !h.Withdrawn {
				v.Store.Running++
			}
		}
		v.Engines = append(v.Engines, made)
	}
	p.cache.fleet = placement.NewFleet() // for since when units are ready
	for _, e := range v.Engines {
		if !out[e.Name] {
			p.cache.fleet.Set(e)
		}
	}
	for key := range p.loading.running {
		if !held[key] {
			delete(p.loading.running, key)
		}
	}
	return v, out
}

// The planner keeps its cache from plan to plan and takes in what it is told
// has changed. If some change were not told, it would go on deciding by what was:
// loads on an engine that is full or gone, refused by the fold while callers
// wait. So random worlds are planned twice, from the cache and from scratch.
func TestCacheIsTheFullView(t *testing.T) {
	for seed := range int64(8) {
		synctest.Test(t, func(t *testing.T) { compareWithFullView(t, seed) })
	}
}

func compareWithFullView(t *testing.T, seed int64) {
	w := &world{
		rng: rand.New(rand.NewSource(seed)), state: state.New(), live: rendezvous.NewTable(),
		statuses: make(map[string]engine.Status), silent: make(map[string]bool),
	}
	// In half of the worlds engines are asked so rarely that they count as silent.
	every := time.Duration(2+12*(seed%2)) * time.Second
	w.fleet = fleet.New(fleet.Config{Lister: w, Engine: silentEngines{w: w}, IdleEvery: every, Log: zap.NewNop()}, nil, nil)
	kept, full := w.planner(), w.planner()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); w.fleet.Run(ctx) }()
	defer func() { cancel(); <-done }()
	decisions, leftOut := 0, 0
	var stages map[holding]stageSince
	for step := range 300 {
		for range w.rng.Intn(5) {
			w.change()
		}
		w.stir()
		time.Sleep(useEvery + time.Duration(w.rng.Intn(4000))*time.Millisecond)
		synctest.Wait()
		now := time.Now()
		w.load(now)
		for range w.rng.Intn(3) {
			unit, at := unitAt(w.rng.Intn(worldUnits)), now.Add(-time.Duration(w.rng.Intn(90))*time.Second)
			kept.RecordRequest(unit, at)
			full.RecordRequest(unit, at)
		}
		n := kept.look(now)
		kept.mine, full.mine = n.share.OwnsUnit, n.share.OwnsUnit
		keptView := kept.view(w.state, n)
		fullView, out := full.fullView(w.state, w.fleet.Engines(), n)
		leftOut += len(out)
		checkViews(t, seed, step, keptView, fullView, out)
		stages = checkStages(t, now, kept, keptView.Fleet, stages)
		got, want := kept.policy.Plan(keptView), full.policy.Plan(fullView)
		if diff := gocmp.Diff(want, got); diff != "" {
			t.Fatalf("seed %d, step %d: decisions: %s", seed, step, diff)
		}
		decisions += len(got)
		for _, d := range got {
			if e := w.state.Engines[d.Engine]; w.rng.Intn(4) > 0 {
				w.fold(proposal(decided{Decision: d, keeper: e.Keeper}))
			}
		}
	}
	if decisions < 20 || leftOut < 20 {
		t.Errorf("seed %d: only %d decisions were compared, %d engines left out", seed, decisions, leftOut)
	}
}

// checkStages follows the stages of the rights of all engines that are kept.
func checkStages(t *testing.T, now time.Time, kept *Planner, f *placement.Fleet, before map[holding]stageSince) map[holding]stageSince {
	after := make(map[holding]stageSince)
	for i := range worldEngines {
		e, _ := f.Engine(engineAt(i))
		for _, h := range e.Holdings {
			key, stage := holding{e.Name, h.Unit}, stageOf(&h)
			if after[key] = before[key]; before[key].at.IsZero() || before[key].stage != stage {
				after[key] = stageSince{stage, now}
			}
			if got := kept.StageSince(e.Name, h.Unit, stage); !got.Equal(after[key].at) {
				t.Errorf("%v in stage %d since %v, want %v", key, stage, got, after[key].at)
			}
		}
	}
	if len(kept.stages) != len(after) {
		t.Errorf("%d stages kept of %d rights", len(kept.stages), len(after))
	}
	return after
}

func checkViews(t *testing.T, seed int64, step int, kept, full placement.View, out map[string]bool) {
	t.Helper()
	full.Engines = slices.DeleteFunc(slices.Clone(full.Engines), func(e placement.Engine) bool { return out[e.Name] })
	var engines []placement.Engine
	for i := range worldEngines {
		if e, ok := kept.Fleet.Engine(engineAt(i)); ok {
			engines = append(engines, e)
		}
	}
	slices.SortFunc(engines, func(a, b placement.Engine) int { return cmp.Compare(a.Name, b.Name) })
	diff := gocmp.Diff(full.Engines, engines, cmpopts.EquateEmpty()) + gocmp.Diff(full.Units, kept.Units, cmpopts.EquateEmpty()) +
		gocmp.Diff(full.Store, kept.Store) + gocmp.Diff(full.Demand, kept.Demand)
	if diff != "" || kept.Fleet.Len() != len(engines) {
		t.Fatalf("seed %d, step %d: %d engines, %s", seed, step, kept.Fleet.Len(), diff)
	}
}
