package residency

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// oneFromStore is a store that serves one load at a time, 13 s each.
func oneFromStore(engines []Engine, models []Model) []Swap {
	for i := range models {
		models[i].StoreLoadTime = 13 * time.Second
	}
	return Plan(PlanInput{Now: start, Engines: engines, Models: models, MaxStoreLoads: 1, Preload: true})
}

// Callers of a model that nobody holds and only the store has are refused at once. A busy
// model has a few requests waiting for a second replica, which only the store could bring
// as well, and more urgent ones. The store's only load goes to the refused ones: each of
// them is lost until then, of the others only those that wait. Where more wait for the busy
// model than ask for the other one by the time of its load, they come first.
func TestStoreGoesToTheModelWithoutAPlace(t *testing.T) {
	for waiting, want := range map[int]string{5: "lost", 200: "busy"} {
		engines := []Engine{engine("a", "busy"), engine("b"), engine("c")}
		engines[0].Running, engines[0].Models[0].Running = 32, 32
		models := []Model{
			model("busy", 80, func(m *Model) { m.Waiting, m.OldestWait, m.Rate, m.Running = waiting, 3*time.Second, 9, 32 }),
			model("lost", 80, func(m *Model) { m.Rate = 1.5 }),
		}
		got := oneFromStore(engines, models)
		testkit.Need(t, len(got) == 1, "%d wait: got %+v, want one load", waiting, got)
		testkit.Equal(t, "loaded from the store", got[0].Load, want)
	}
}

// A model is busy, and the one engine with a copy of it on its disk has no place to give at
// this moment. Another engine has room but no copy. It is not kept for 13 s by a load from the
// store: the copy can be there long before.
func TestNoFurtherReplicaFromTheStoreWhereACopyIs(t *testing.T) {
	engines := []Engine{engine("a", "busy"), engine("b", "m2"), engine("c")}
	engines[0].Running, engines[0].Models[0].Running = 32, 32
	engines[1].OnDisk["busy"] = true
	models := []Model{
		model("busy", 80, func(m *Model) { m.Waiting, m.OldestWait, m.Rate, m.Running = 5, 3*time.Second, 9, 32 }),
		model("m2", 80, func(m *Model) { m.Waiting = 1 }),
	}
	got := oneFromStore(engines, models)
	for _, swap := range got {
		testkit.That(t, !swap.LoadsFromStore(), "got %+v, want no load from the store", swap)
	}
}
