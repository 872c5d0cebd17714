package residency

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// start is far enough from the zero time for every model to exceed minResidenceTime.
var start = time.Unix(1000, 0)

// testStoreLoads is the limit on concurrent loads from the store.
const testStoreLoads = 4

// model returns a model of the given size, as modified by change.
func model(name string, bytes int64, change func(*Model)) Model {
	m := Model{Name: name, Bytes: bytes, RequestWeight: 1, MemoryLoadTime: 600 * time.Millisecond, DiskLoadTime: time.Second, StoreLoadTime: 6 * time.Second}
	if change != nil {
		change(&m)
	}
	return m
}

func waiting(m *Model) { m.Waiting, m.OldestWait, m.Rate = 3, time.Second, 0.5 }

// engine returns an idle engine with a capacity of 100 bytes that holds the given models.
func engine(id string, held ...string) Engine {
	e := Engine{ID: id, CapacityBytes: 100, Slots: 32, AcceptsSwaps: true, Serving: true, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, name := range held {
		e.Models = append(e.Models, Replica{Name: name, Ready: true})
	}
	return e
}

func plan(engines []Engine, models []Model, inFlight ...Swap) []Swap {
	return Plan(PlanInput{Now: start, Engines: engines, Models: models, InFlight: inFlight, MaxStoreLoads: testStoreLoads, Preload: true})
}

func requireSwap(t *testing.T, got []Swap, engine, load string, unload ...string) {
	t.Helper()
	slices.SortFunc(got, func(a, b Swap) int { return len(b.Reason) - len(a.Reason) })
	testkit.Need(t, len(got) == 1, "got %+v, want one swap", got)
	testkit.That(t, got[0].Engine == engine && got[0].Load == load && slices.Equal(got[0].Unload, unload),
		"got %+v, want %s on %s in place of %v", got[0], load, engine, unload)
}

// Guards against loads from the store, which take 6 s on any engine, when one engine has a copy
// of the model on its disk, which takes 1 s.
func TestLoadsOnTheEngineWithACopy(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2"), engine("c", "m3")}
	engines[1].OnDisk["rare"] = true
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("m3", 80, nil), model("rare", 80, waiting)}
	requireSwap(t, plan(engines, models), "b", "rare", "m2")
}

// Guards against a load from the store while the engine with a copy ends another swap within a
// second. The store's 6 s on an idle engine exceed the caller's wait.
func TestWaitsForABusyEngineWithACopy(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2")}
	engines[1].OnDisk["rare"] = true
	engines[1].BusyFor = 800 * time.Millisecond
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("rare", 80, waiting)}
	inFlight := Swap{Engine: "b", Load: "m2"}
	got := plan(engines, models, inFlight)
	testkit.That(t, len(got) == 0, "got %+v, want to wait", got)
	// The planner doesn't know the swap, but the engine is busy because another swap was refused.
	got = plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v, want to wait after a refused swap", got)
	engines[1].BusyFor = time.Minute
	requireSwap(t, plan(engines, models, inFlight), "a", "rare", "m1")
}

// Guards against requests for a rare model that wait because a busy model on the same engine
// takes every slot. The rare model gets a second replica on an idle engine with a copy, but
// must not evict another model's only replica, and needs none while its engine has free slots.
func TestDisplacedModelGetsAnotherReplica(t *testing.T) {
	engines := []Engine{engine("a", "rare", "busy"), engine("b", "m1", "busy"), engine("c", "m2")}
	engines[0].Running, engines[0].Models[1].Running = 31, 31
	for i := range engines {
		engines[i].OnDisk["rare"] = true
	}
	models := []Model{model("rare", 40, waiting), model("busy", 50, func(m *Model) { m.Rate, m.Running = 3, 31 }), model("m1", 50, nil), model("m2", 80, nil)}
	got := plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v, want no eviction", got)
	engines = append(engines, engine("d", "m2"))
	engines[3].OnDisk["rare"] = true
	got = plan(engines, models)
	testkit.Need(t, len(got) == 1 && got[0].Load == "rare" && slices.Equal(got[0].Unload, []string{"m2"}), "got %+v, want rare in place of a second m2", got)
	engines[0].Running = 20
	testkit.That(t, len(plan(engines, models)) == 0, "a swap although the model's engine has free slots")
}

// Guards against a busy model that gets no load from the store because rare models without a
// replica always go first. The store serves one load at a time; the load must go to the model
// with the most and longest waiting requests.
func TestStoreServesTheMostUrgentFirst(t *testing.T) {
	engines := []Engine{engine("a", "busy"), engine("b"), engine("c")}
	engines[0].Running, engines[0].Models[0].Running = 32, 32
	models := []Model{model("busy", 80, func(m *Model) { m.Rate, m.Running, m.Waiting, m.OldestWait = 90, 32, 60, 2*time.Second })}
	for i := range 3 {
		models = append(models, model(fmt.Sprint("rare", i), 80, waiting))
	}
	got := Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1})
	testkit.Need(t, len(got) == 1 && got[0].Load == "busy", "got %+v, want a replica of busy", got)
}

// The model with the least demand is evicted, but none with waiting or running requests and
// none that was loaded recently.
func TestVictimSelection(t *testing.T) {
	base := func() ([]Engine, []Model) {
		e := engine("a", "m1", "m2")
		e.OnDisk["rare"] = true
		return []Engine{e}, []Model{
			model("m1", 50, func(m *Model) { m.Rate = 0.1 }), model("m2", 50, func(m *Model) { m.Rate = 0.9 }), model("rare", 50, waiting),
		}
	}
	engines, models := base()
	requireSwap(t, plan(engines, models), "a", "rare", "m1")
	models[0].Waiting = 1
	requireSwap(t, plan(engines, models), "a", "rare", "m2")
	engines, models = base()
	engines[0].Models[0].FirstSeen = start.Add(-time.Second)
	requireSwap(t, plan(engines, models), "a", "rare", "m2")
	engines, models = base()
	engines[0].Models[0].Running = 1
	models[2].OldestWait = 0
	requireSwap(t, plan(engines, models), "a", "rare", "m2")
}

// Guards against two busy models that evict each other's replicas, which leaves both with
// fewer than before.
func TestBusyModelsDoNotEvictEachOther(t *testing.T) {
	busy := func(m *Model) { m.Rate, m.Running, m.Waiting = 40, 64, 20 }
	engines := []Engine{engine("a", "m1"), engine("b", "m1"), engine("c", "m2"), engine("d", "m2")}
	models := []Model{model("m1", 80, busy), model("m2", 80, busy)}
	got := plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v", got)
	engines = append(engines, engine("e", "idle"))
	models = append(models, model("idle", 80, nil))
	testkit.That(t, len(plan(engines, models)) == 1, "the idle model isn't evicted")
}

// Guards against preloads that go on forever because models evict each other. Rare models
// should have a replica before the first request, but not at another model's expense.
func TestPreloadingEnds(t *testing.T) {
	var engines []Engine
	var models []Model
	for i := range 30 {
		models = append(models, model(fmt.Sprint("m", i), int64(20+10*(i%3)), nil))
	}
	for i := range 8 {
		e := engine(fmt.Sprint("e", i), fmt.Sprint("m", i))
		for _, m := range models {
			e.OnDisk[m.Name] = true
		}
		engines = append(engines, e)
	}
	rounds := 0
	for ; rounds < 40; rounds++ {
		swaps := plan(engines, models)
		if len(swaps) == 0 {
			break
		}
		for _, s := range swaps {
			testkit.Need(t, len(s.Unload) == 0, "%+v evicts a model", s)
			applySwap(engines, s)
		}
	}
	testkit.That(t, rounds < 40, "preloads don't end")
	s := Summarize(engines, models)
	testkit.That(t, s.Resident >= 24, "%d of 30 models have a replica, %d bytes free", s.Resident, s.FreeBytes)
}

// The store serves one load at a time. It may serve preloads only while no request waits for
// a model without a replica.
func TestPreloadsFromASlowStoreOnlyWithoutWaitingRequests(t *testing.T) {
	engines := []Engine{engine("a"), engine("b")}
	models := []Model{model("m1", 80, nil), model("m2", 80, nil)}
	got := Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1, Preload: true})
	testkit.That(t, len(got) == 1, "got %+v, want one load", got)
	waiting(&models[1])
	models[1].StoreLoadTime = 6 * time.Second
	engines[0].Models = []Replica{{Name: "m2", Ready: true, Running: 3}}
	models[1].Running = 3
	engines[1].BusyFor = time.Second
	got = Plan(PlanInput{Now: start, Engines: engines, Models: append(models, model("m3", 80, waiting)), MaxStoreLoads: 1, Preload: true})
	testkit.That(t, len(got) == 0, "got %+v, although requests for m3 wait for the store", got)
}

// Guards against a model that is never loaded because all its requests are refused at once
// and none waits, as the load takes longer than its callers' longest wait. It must be loaded
// before a model with less demand that has one waiting request, but must not evict a model
// whose absence would cost as much.
func TestRefusedRequestsCountAsDemand(t *testing.T) {
	engines := []Engine{engine("a")}
	demanded := func(m *Model) { m.Rate = 2 }
	models := []Model{model("away", 80, demanded), model("waits", 80, func(m *Model) { m.Rate, m.Waiting = 0.1, 1 })}
	got := Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1})
	testkit.Need(t, len(got) == 1 && got[0].Load == "away" && got[0].Reason == reasonRefused, "got %+v", got)
	engines = []Engine{engine("a", "held")}
	models = []Model{model("away", 80, demanded), model("held", 80, func(m *Model) { m.Rate, m.DiskLoadTime = 3, m.StoreLoadTime })}
	got = Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1})
	testkit.That(t, len(got) == 0, "got %+v, want no swap", got)
	s := PlanInput{Now: start, Engines: []Engine{engine("a")}, Models: models[:1], MaxStoreLoads: 1}
	testkit.Equal(t, "number of estimates", len(EstimateReadyTimes(s, nil)), 1)
}

// Guards against the loss of many models' only replicas when engines crash or a failure domain
// becomes unreachable; a load from the store takes 13 s. While memory is free, each model gets a
// second replica in another domain, loaded from an engine's copy. It evicts no model, isn't
// loaded from the store, and comes after models without a replica.
func TestSpareReplicasWhereMemoryIsFree(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2"), engine("c"), engine("d")}
	for i, domain := range []string{"x", "y", "x", "y"} {
		engines[i].Domain = domain
	}
	for _, e := range []int{0, 1, 2, 3} {
		engines[e].OnDisk["m1"], engines[e].OnDisk["m3"] = true, true
	}
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("m3", 80, nil)}
	got := plan(engines, models)
	testkit.Need(t, len(got) == 2 && got[0].Load == "m3" && got[0].Reason == reasonPreload, "got %+v, want m3 first", got)
	applySwap(engines, got[0])
	applySwap(engines, got[1])
	testkit.That(t, got[1].Load == "m1" && got[1].Reason == reasonSpare && len(got[1].Unload) == 0, "got %+v, want m1 second", got[1])
	testkit.That(t, len(plan(engines, models)) == 0, "a swap without free memory or copies")
	engines = []Engine{engine("a", "m1"), engine("b"), engine("c")}
	engines[0].Domain, engines[1].Domain, engines[2].Domain = "x", "x", "y"
	engines[1].OnDisk["m1"], engines[2].OnDisk["m1"] = true, true
	requireSwap(t, plan(engines, []Model{model("m1", 80, nil)}), "c", "m1")
}

// applySwap updates the engine as if the swap had completed.
func applySwap(engines []Engine, s Swap) {
	for i := range engines {
		e := &engines[i]
		if e.ID != s.Engine {
			continue
		}
		e.Models = slices.DeleteFunc(e.Models, func(replica Replica) bool { return slices.Contains(s.Unload, replica.Name) })
		if s.Load != "" {
			e.Models = append(e.Models, Replica{Name: s.Load, Ready: true})
		}
	}
}

// Guards against an engine that crashes for lack of memory: the size of a model that was
// removed from the configuration is unknown, so that no model may be loaded beside it.
func TestUnconfiguredModelsAreUnloadedFirst(t *testing.T) {
	engines := []Engine{engine("a", "gone")}
	models := []Model{model("m1", 10, waiting)}
	requireSwap(t, plan(engines, models), "a", "", "gone")
}

// Guards against more loads from the store than it serves at full speed, which slow all of
// them down.
func TestStoreLoadsAreBounded(t *testing.T) {
	var engines []Engine
	var models []Model
	for i := range 10 {
		engines = append(engines, engine(fmt.Sprint("e", i)))
		models = append(models, model(fmt.Sprint("m", i), 80, waiting))
	}
	testkit.Equal(t, "loads from the store", len(plan(engines, models)), testStoreLoads)
	inFlight := []Swap{{Engine: "x", Load: "x", Source: SourceStore}, {Engine: "y", Load: "y", Source: SourceStore}}
	testkit.Equal(t, "new loads with two in flight", len(plan(engines, models, inFlight...)), testStoreLoads-2)
}

// Checks random pools: a plan has at most one swap per engine, exceeds no engine's capacity,
// uses only engines that accept swaps, and unloads no model that the engine doesn't hold or
// that requests wait for without another replica.
func TestPlansAreValid(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	for range 2000 {
		engines, models := randomPool(rng)
		seen := map[string]bool{}
		for _, s := range plan(engines, models) {
			testkit.Need(t, !seen[s.Engine], "two swaps on %s", s.Engine)
			seen[s.Engine] = true
			checkSwap(t, engines, models, s)
		}
	}
}

func randomPool(rng *rand.Rand) ([]Engine, []Model) {
	var engines []Engine
	var models []Model
	for i := range 6 + rng.Intn(6) {
		models = append(models, model(fmt.Sprint("m", i), int64(20+rng.Intn(60)), func(m *Model) {
			m.Waiting, m.Running, m.Rate = rng.Intn(3)*rng.Intn(20), rng.Intn(40), rng.Float64()*5
			m.OldestWait = time.Duration(rng.Intn(3000)) * time.Millisecond
		}))
	}
	for i := range 1 + rng.Intn(5) {
		e := engine(fmt.Sprint("e", i))
		e.AcceptsSwaps, e.Serving = rng.Intn(5) > 0, rng.Intn(6) > 0
		free := e.CapacityBytes
		for _, j := range rng.Perm(len(models)) {
			m := models[j]
			e.OnDisk[m.Name] = rng.Intn(3) == 0
			if m.Bytes <= free && rng.Intn(2) == 0 {
				e.Models = append(e.Models, Replica{Name: m.Name, Ready: rng.Intn(4) > 0, Running: rng.Intn(3)})
				free -= m.Bytes
			}
		}
		engines = append(engines, e)
	}
	return engines, models
}

func checkSwap(t *testing.T, engines []Engine, models []Model, s Swap) {
	t.Helper()
	sizes := map[string]Model{}
	for _, m := range models {
		sizes[m.Name] = m
	}
	replicas := map[string]int{}
	var target Engine
	for _, e := range engines {
		if e.ID == s.Engine {
			target = e
		}
		for _, replica := range e.Models {
			if e.Serving && replica.Ready {
				replicas[replica.Name]++
			}
		}
	}
	testkit.Need(t, target.AcceptsSwaps, "swap %+v on an engine that accepts none", s)
	free := target.CapacityBytes - sizes[s.Load].Bytes
	for _, replica := range target.Models {
		testkit.Need(t, replica.Name != s.Load, "%+v loads a model that the engine holds", s)
		if slices.Contains(s.Unload, replica.Name) {
			testkit.Need(t, replica.Ready && (sizes[replica.Name].Waiting == 0 || replicas[replica.Name] > 1), "%+v unloads a model that requests wait for", s)
			continue
		}
		free -= sizes[replica.Name].Bytes
	}
	testkit.Need(t, free >= 0, "%+v exceeds the capacity of %+v", s, target)
	for _, name := range s.Unload {
		held := slices.ContainsFunc(target.Models, func(replica Replica) bool { return replica.Name == name })
		testkit.Need(t, held, "%+v unloads a model that the engine doesn't hold", s)
	}
}

// An operator must see why requests wait for a model: how many engines hold it, load it or
// have a copy of it, and how many of those with a copy could begin to load it now.
func TestFindShortagesExplainsWaitingModels(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b"), engine("c"), engine("d"), engine("e")}
	engines[1].InMemory["m1"] = true
	engines[2].OnDisk["m1"] = true
	engines[2].BusyFor = time.Second
	engines[3].OnDisk["m1"], engines[3].Serving = true, false
	engines[4].OnDisk["m1"], engines[4].AcceptsSwaps = true, false
	models := []Model{model("m2", 10, nil), model("m1", 10, waiting), model("m3", 10, waiting)}
	models[2].Waiting = 9
	got := FindShortages(engines, models, []Swap{{Engine: "c", Load: "m1"}}, 5)
	testkit.Need(t, len(got) == 2 && got[0].Model == "m3", "got %+v, want m3 first, and no model without waiting requests", got)
	want := Shortage{Model: "m1", Waiting: 3, OldestWait: time.Second, Rate: 0.5, Replicas: 1, Loading: 1, InMemory: 1, OnDisk: 1, IdleEngines: 1}
	testkit.Equal(t, "second shortage", got[1], want)
	testkit.Equal(t, "number of shortages with a limit of 1", len(FindShortages(engines, models, nil, 1)), 1)
}

// Guards against streams that can't go on because the engines of their software version don't hold
// their model while one of another version does, and against loads where none is missing.
func TestWaitingAtAVersionGetsAReplicaThere(t *testing.T) {
	atV1 := func(m *Model) {
		m.WaitingAt = []VersionDemand{{Version: "v1", Waiting: 2, OldestWait: time.Second}}
	}
	newEngines := func(heldAtV1 ...string) []Engine {
		engines := []Engine{engine("a", "m1"), engine("b", heldAtV1...), engine("c", "rare"), engine("d")}
		for i, version := range []string{"v1", "v1", "v2", "v2"} {
			engines[i].Version = version
		}
		return engines
	}
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("rare", 80, atV1)}
	noPreload := func(engines []Engine, inFlight ...Swap) []Swap {
		return Plan(PlanInput{Now: start, Engines: engines, Models: models, InFlight: inFlight, MaxStoreLoads: testStoreLoads})
	}
	requireSwap(t, noPreload(newEngines()), "b", "rare")
	requireSwap(t, noPreload(newEngines("m2")), "a", "rare", "m1")
	testkit.Equal(t, "loads of a model that is there", len(noPreload(newEngines("rare"))), 0)
	testkit.Equal(t, "loads of a model that is loading there", len(noPreload(newEngines(), Swap{Engine: "b", Load: "rare"})), 0)
}
