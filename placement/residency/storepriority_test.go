package residency

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// planWithSingleLoadStore plans with a store that serves one load at a time, in 13 s each.
func planWithSingleLoadStore(engines []Engine, models []Model) []Swap {
	for i := range models {
		models[i].StoreLoadTime = 13 * time.Second
	}
	return Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1, Preload: true})
}

// Guards against a store that loads further replicas of a busy model while all requests for
// a model without a replica are refused. Both models can only come from the store. Its only
// load must go to the model without a replica, although waiting requests make the busy one
// more urgent: all requests for the former fail until it is loaded, but only the waiting ones
// for the latter. If more requests wait for the busy model than come for the other one during
// a load, the busy one goes first.
func TestStoreLoadGoesToModelWithoutReplica(t *testing.T) {
	for waiting, want := range map[int]string{5: "lost", 200: "busy"} {
		engines := []Engine{engine("a", "busy"), engine("b"), engine("c")}
		engines[0].Running, engines[0].Models[0].Running = 32, 32
		models := []Model{
			model("busy", 80, func(m *Model) { m.Waiting, m.OldestWait, m.Rate, m.Running = waiting, 3*time.Second, 9, 32 }),
			model("lost", 80, func(m *Model) { m.Rate = 1.5 }),
		}
		got := planWithSingleLoadStore(engines, models)
		testkit.Need(t, len(got) == 1, "%d wait: got %+v, want one load", waiting, got)
		testkit.Equal(t, "loaded from the store", got[0].Load, want)
	}
}

// Guards against a load from the store that occupies an engine for 13 s although another
// engine could load the busy model from its disk much sooner. The engine with the copy has no
// memory to free at this moment; the engine with free memory has no copy.
func TestNoStoreLoadForExtraReplicaWhenAnEngineHasACopy(t *testing.T) {
	engines := []Engine{engine("a", "busy"), engine("b", "m2"), engine("c")}
	engines[0].Running, engines[0].Models[0].Running = 32, 32
	engines[1].OnDisk["busy"] = true
	models := []Model{
		model("busy", 80, func(m *Model) { m.Waiting, m.OldestWait, m.Rate, m.Running = 5, 3*time.Second, 9, 32 }),
		model("m2", 80, func(m *Model) { m.Waiting = 1 }),
	}
	got := planWithSingleLoadStore(engines, models)
	for _, swap := range got {
		testkit.That(t, !swap.LoadsFromStore(), "got %+v, want no load from the store", swap)
	}
}
