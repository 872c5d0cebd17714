package residency

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// start is far enough from the zero time for every model to be old.
var start = time.Unix(1000, 0)

// storeLoads is how many loads from the store may run at once.
const storeLoads = 4

// model is a model of the size whose copies are on disk somewhere.
func model(name string, bytes int64, change func(*Model)) Model {
	m := Model{Name: name, Bytes: bytes, RequestWeight: 1, MemoryLoadTime: 600 * time.Millisecond, DiskLoadTime: time.Second, StoreLoadTime: 6 * time.Second}
	if change != nil {
		change(&m)
	}
	return m
}

func waiting(m *Model) { m.Waiting, m.OldestWait, m.Rate = 3, time.Second, 0.5 }

// engine is one with room for 100 that could begin a swap.
func engine(id string, held ...string) Engine {
	e := Engine{ID: id, CapacityBytes: 100, Slots: 32, AcceptsSwaps: true, Serving: true, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, name := range held {
		e.Models = append(e.Models, Replica{Name: name, Ready: true})
	}
	return e
}

func plan(engines []Engine, models []Model, under ...Swap) []Swap {
	return Plan(PlanInput{Now: start, Engines: engines, Models: models, InFlight: under, MaxStoreLoads: storeLoads, Preload: true})
}

func wantOne(t *testing.T, got []Swap, engine, load string, unload ...string) {
	t.Helper()
	slices.SortFunc(got, func(a, b Swap) int { return len(b.Reason) - len(a.Reason) })
	testkit.Need(t, len(got) == 1, "got %+v, want one swap", got)
	testkit.That(t, got[0].Engine == engine && got[0].Load == load && slices.Equal(got[0].Unload, unload),
		"got %+v, want %s on %s in place of %v", got[0], load, engine, unload)
}

// A request waits for a model that one engine has a copy of on its disk. The store
// would take six seconds on any engine; the copy takes one.
func TestLoadsWhereTheCopyIs(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2"), engine("c", "m3")}
	engines[1].OnDisk["rare"] = true
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("m3", 80, nil), model("rare", 80, waiting)}
	wantOne(t, plan(engines, models), "b", "rare", "m2")
}

// The engine with the copy has another swap under way, which ends within a second. It
// is waited for: the store's six seconds on an idle engine would miss the caller.
func TestWaitsForTheEngineWithTheCopy(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2")}
	engines[1].OnDisk["rare"] = true
	engines[1].BusyFor = 800 * time.Millisecond
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("rare", 80, waiting)}
	under := Swap{Engine: "b", Load: "m2"}
	got := plan(engines, models, under)
	testkit.That(t, len(got) == 0, "got %+v, want to wait", got)
	// The same where the planner does not know of the swap, as a keeper refused another.
	got = plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v, want to wait for a keeper that refused", got)
	engines[1].BusyFor = time.Minute
	wantOne(t, plan(engines, models, under), "a", "rare", "m1")
}

// A rare model shares its engine with a busy one, whose requests take every slot; its own
// wait. An idle engine has a copy of it on its disk: it gets a second replica there, but
// takes no other model's only place, and none while its engine has slots free.
func TestCrowdedOutModelGetsAnotherPlace(t *testing.T) {
	engines := []Engine{engine("a", "rare", "busy"), engine("b", "m1", "busy"), engine("c", "m2")}
	engines[0].Running, engines[0].Models[1].Running = 31, 31
	for i := range engines {
		engines[i].OnDisk["rare"] = true
	}
	models := []Model{model("rare", 40, waiting), model("busy", 50, func(m *Model) { m.Rate, m.Running = 3, 31 }), model("m1", 50, nil), model("m2", 80, nil)}
	got := plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v, want nothing to give way", got)
	engines = append(engines, engine("d", "m2"))
	engines[3].OnDisk["rare"] = true
	got = plan(engines, models)
	testkit.Need(t, len(got) == 1 && got[0].Load == "rare" && slices.Equal(got[0].Unload, []string{"m2"}), "got %+v, want rare for a second m2", got)
	engines[0].Running = 20
	testkit.That(t, len(plan(engines, models)) == 0, "its engine has slots free")
}

// A busy model's requests pile up at its only engine; so do a few for models that nobody
// has. All would have to come from the store, which serves one at a time: the next load
// goes to where most wait for longest.
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

// What gives way is asked for least, is not waited for, has nothing running and is not
// one that has just come.
func TestVictims(t *testing.T) {
	base := func() ([]Engine, []Model) {
		e := engine("a", "m1", "m2")
		e.OnDisk["rare"] = true
		return []Engine{e}, []Model{
			model("m1", 50, func(m *Model) { m.Rate = 0.1 }), model("m2", 50, func(m *Model) { m.Rate = 0.9 }), model("rare", 50, waiting),
		}
	}
	engines, models := base()
	wantOne(t, plan(engines, models), "a", "rare", "m1")
	models[0].Waiting = 1
	wantOne(t, plan(engines, models), "a", "rare", "m2")
	engines, models = base()
	engines[0].Models[0].FirstSeen = start.Add(-time.Second)
	wantOne(t, plan(engines, models), "a", "rare", "m2")
	engines, models = base()
	engines[0].Models[0].Running = 1
	models[2].OldestWait = 0
	wantOne(t, plan(engines, models), "a", "rare", "m2")
}

// Two models whose requests fill their engines both want another replica. Taking each
// other's places would leave both with less than they have.
func TestBusyModelsKeepTheirPlaces(t *testing.T) {
	busy := func(m *Model) { m.Rate, m.Running, m.Waiting = 40, 64, 20 }
	engines := []Engine{engine("a", "m1"), engine("b", "m1"), engine("c", "m2"), engine("d", "m2")}
	models := []Model{model("m1", 80, busy), model("m2", 80, busy)}
	got := plan(engines, models)
	testkit.That(t, len(got) == 0, "got %+v", got)
	engines = append(engines, engine("e", "idle"))
	models = append(models, model("idle", 80, nil))
	testkit.That(t, len(plan(engines, models)) == 1, "no place of an idle model is taken")
}

// All rare models should have a place before anybody asks, but none at another's cost:
// loads ahead of demand must come to an end.
func TestFillingEnds(t *testing.T) {
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
			testkit.Need(t, len(s.Unload) == 0, "%+v takes a place", s)
			apply(engines, s)
		}
	}
	testkit.That(t, rounds < 40, "loads ahead of demand go on for ever")
	s := Summarize(engines, models)
	testkit.That(t, s.Resident >= 24, "%d of 30 models have a place, %d free", s.Resident, s.FreeBytes)
}

// The store serves one load at a time. While no request waits, that one fills places ahead
// of demand; while one does, it stays free.
func TestFillsFromASlowStoreWhenNobodyWaits(t *testing.T) {
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
	testkit.That(t, len(got) == 0, "got %+v, though m3 waits for the store", got)
}

// The store brings a model only after its callers' longest wait, so that each of them is
// refused at once and none waits. It must have its turn all the same: before one that is
// asked for less, though that one's only request waits, and not in place of one whose
// absence would cost as much.
func TestTurnedAwayDemandCounts(t *testing.T) {
	engines := []Engine{engine("a")}
	asked := func(m *Model) { m.Rate = 2 }
	models := []Model{model("away", 80, asked), model("waits", 80, func(m *Model) { m.Rate, m.Waiting = 0.1, 1 })}
	got := Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1})
	testkit.Need(t, len(got) == 1 && got[0].Load == "away" && got[0].Reason == reasonTurnedAway, "got %+v", got)
	engines = []Engine{engine("a", "held")}
	models = []Model{model("away", 80, asked), model("held", 80, func(m *Model) { m.Rate, m.DiskLoadTime = 3, m.StoreLoadTime })}
	got = Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1})
	testkit.That(t, len(got) == 0, "got %+v, want no turns", got)
	s := PlanInput{Now: start, Engines: []Engine{engine("a")}, Models: models[:1], MaxStoreLoads: 1}
	testkit.Equal(t, "foreseen", len(EstimateReadyTimes(s, nil)), 1)
}

// Engines crash or a failure domain is cut off, and with them the only replica of many
// models; the store takes 13 s for each. While there is room, each model has a second
// replica in another domain, from copies at hand; nothing gives way to one, none comes
// from the store, and a model without any place goes first.
func TestSparesWhereThereIsRoom(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b", "m2"), engine("c"), engine("d")}
	for i, domain := range []string{"x", "y", "x", "y"} {
		engines[i].Domain = domain
	}
	for _, e := range []int{0, 1, 2, 3} {
		engines[e].OnDisk["m1"], engines[e].OnDisk["m3"] = true, true
	}
	models := []Model{model("m1", 80, nil), model("m2", 80, nil), model("m3", 80, nil)}
	got := plan(engines, models)
	testkit.Need(t, len(got) == 2 && got[0].Load == "m3" && got[0].Reason == reasonFill, "got %+v, want m3 first", got)
	apply(engines, got[0])
	apply(engines, got[1])
	testkit.That(t, got[1].Load == "m1" && got[1].Reason == reasonSpare && len(got[1].Unload) == 0, "got %+v, want m1 as well", got[1])
	testkit.That(t, len(plan(engines, models)) == 0, "more without room or copies")
	engines = []Engine{engine("a", "m1"), engine("b"), engine("c")}
	engines[0].Domain, engines[1].Domain, engines[2].Domain = "x", "x", "y"
	engines[1].OnDisk["m1"], engines[2].OnDisk["m1"] = true, true
	wantOne(t, plan(engines, []Model{model("m1", 80, nil)}), "c", "m1")
}

// apply carries a swap out.
func apply(engines []Engine, s Swap) {
	for i := range engines {
		e := &engines[i]
		if e.ID != s.Engine {
			continue
		}
		e.Models = slices.DeleteFunc(e.Models, func(h Replica) bool { return slices.Contains(s.Unload, h.Name) })
		if s.Load != "" {
			e.Models = append(e.Models, Replica{Name: s.Load, Ready: true})
		}
	}
}

// A configuration drops a model that an engine holds. Its size isn't known any more:
// nothing may be loaded beside it before it is gone.
func TestStrangersGoFirst(t *testing.T) {
	engines := []Engine{engine("a", "gone")}
	models := []Model{model("m1", 10, waiting)}
	wantOne(t, plan(engines, models), "a", "", "gone")
}

// The store serves four loads at once: more only make each of them slower.
func TestStoreLoadsAreBounded(t *testing.T) {
	var engines []Engine
	var models []Model
	for i := range 10 {
		engines = append(engines, engine(fmt.Sprint("e", i)))
		models = append(models, model(fmt.Sprint("m", i), 80, waiting))
	}
	testkit.Equal(t, "loads from the store", len(plan(engines, models)), storeLoads)
	under := []Swap{{Engine: "x", Load: "x", Source: SourceStore}, {Engine: "y", Load: "y", Source: SourceStore}}
	testkit.Equal(t, "beside two", len(plan(engines, models, under...)), storeLoads-2)
}

// Whatever the engines hold and whoever waits: a plan overfills no engine, changes none
// that can't be ordered or is busy, unloads nothing that isn't there or that is waited
// for without another place, and gives an engine one swap.
func TestPlansAreSound(t *testing.T) {
	rng := rand.New(rand.NewSource(7))
	for range 2000 {
		engines, models := randomWorld(rng)
		seen := map[string]bool{}
		for _, s := range plan(engines, models) {
			testkit.Need(t, !seen[s.Engine], "two swaps on %s", s.Engine)
			seen[s.Engine] = true
			checkSwap(t, engines, models, s)
		}
	}
}

func randomWorld(rng *rand.Rand) ([]Engine, []Model) {
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
		left := e.CapacityBytes
		for _, j := range rng.Perm(len(models)) {
			m := models[j]
			e.OnDisk[m.Name] = rng.Intn(3) == 0
			if m.Bytes <= left && rng.Intn(2) == 0 {
				e.Models = append(e.Models, Replica{Name: m.Name, Ready: rng.Intn(4) > 0, Running: rng.Intn(3)})
				left -= m.Bytes
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
	places := map[string]int{}
	var on Engine
	for _, e := range engines {
		if e.ID == s.Engine {
			on = e
		}
		for _, h := range e.Models {
			if e.Serving && h.Ready {
				places[h.Name]++
			}
		}
	}
	testkit.Need(t, on.AcceptsSwaps, "swap %+v on an engine that can't be ordered", s)
	room := on.CapacityBytes - sizes[s.Load].Bytes
	for _, h := range on.Models {
		testkit.Need(t, h.Name != s.Load, "%+v is there already", s)
		if slices.Contains(s.Unload, h.Name) {
			testkit.Need(t, h.Ready && (sizes[h.Name].Waiting == 0 || places[h.Name] > 1), "%+v unloads what is waited for", s)
			continue
		}
		room -= sizes[h.Name].Bytes
	}
	testkit.Need(t, room >= 0, "%+v overfills %+v", s, on)
	for _, name := range s.Unload {
		there := slices.ContainsFunc(on.Models, func(h Replica) bool { return h.Name == name })
		testkit.Need(t, there, "%+v unloads what isn't there", s)
	}
}

// On-call asks why requests wait for a model: how many engines have it, get it or have a
// copy of it, and how many of these could begin to load it now.
func TestShortagesTellWhyAModelIsWaitedFor(t *testing.T) {
	engines := []Engine{engine("a", "m1"), engine("b"), engine("c"), engine("d"), engine("e")}
	engines[1].InMemory["m1"] = true
	engines[2].OnDisk["m1"] = true
	engines[2].BusyFor = time.Second
	engines[3].OnDisk["m1"], engines[3].Serving = true, false
	engines[4].OnDisk["m1"], engines[4].AcceptsSwaps = true, false
	models := []Model{model("m2", 10, nil), model("m1", 10, waiting), model("m3", 10, waiting)}
	models[2].Waiting = 9
	got := FindShortages(engines, models, []Swap{{Engine: "c", Load: "m1"}}, 5)
	testkit.Need(t, len(got) == 2 && got[0].Model == "m3", "got %+v, want m3 first, and none that nobody waits for", got)
	want := Shortage{Model: "m1", Waiting: 3, OldestWait: time.Second, Rate: 0.5, Replicas: 1, Loading: 1, InMemory: 1, OnDisk: 1, IdleEngines: 1}
	testkit.Equal(t, "the second one", got[1], want)
	testkit.Equal(t, "bounded", len(FindShortages(engines, models, nil, 1)), 1)
}
