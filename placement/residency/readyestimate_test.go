package residency

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// Guards against estimates that let callers wait in vain. Requests wait for five models
// without a replica: one is being loaded, one has copies on the disks of two engines with
// swaps in flight, and three come from the store one after the other. The estimates must
// include the swaps in flight and the loads from the store that come before.
func TestEstimateReadyTimes(t *testing.T) {
	engines := []Engine{engine("a"), engine("b", "m0"), engine("c"), engine("d")}
	engines[0].BusyFor = 4 * time.Second
	engines[0].OnDisk["copied"], engines[1].OnDisk["copied"] = true, true
	engines[1].BusyFor = 1500 * time.Millisecond
	inFlight := []Swap{{Engine: "a", Load: "loading", Source: SourceStore, LoadTime: 6 * time.Second}}
	models := []Model{model("m0", 80, waiting), model("loading", 80, waiting), model("copied", 80, waiting)}
	for i, name := range []string{"first", "second", "third"} {
		models = append(models, model(name, 80, func(m *Model) {
			waiting(m)
			m.OldestWait -= time.Duration(i) * 100 * time.Millisecond
			m.StoreLoadTime = 20 * time.Second
		}))
	}
	in := PlanInput{Now: start, Engines: engines, Models: models, InFlight: inFlight, MaxStoreLoads: 1}
	got := make(map[string]time.Duration)
	for _, estimate := range EstimateReadyTimes(in, nil) {
		got[estimate.Model] = estimate.ReadyIn
	}
	testkit.Equal(t, "number of estimates", len(got), 5)
	for name, want := range map[string]time.Duration{
		"copied": 1500*time.Millisecond + UnloadTime + time.Second, "loading": 4 * time.Second, "first": 24 * time.Second, "second": 44 * time.Second, "third": 64 * time.Second,
	} {
		testkit.Equal(t, name, got[name], want)
	}
	in.MaxStoreLoads = 4
	planned := []Swap{{Engine: "c", Load: "first", Source: SourceStore, LoadTime: 20 * time.Second}}
	for _, estimate := range EstimateReadyTimes(in, planned) {
		testkit.That(t, estimate.ReadyIn <= 20*time.Second, "%s in %s, although the store serves four loads at once", estimate.Model, estimate.ReadyIn)
	}
}
