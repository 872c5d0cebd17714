package hosted

import (
	"slices"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
)

// Guards against a new planner that loads a model again while the previous planner's load is
// in flight. The planner is killed during the load, which takes six seconds.
// If the next planner learned only that a swap is in flight, not of which model, it would load
// the model on a second engine, which other models need.
func TestNewPlannerDoesNotRepeatLoadInFlight(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const loadTime = 6 * time.Second
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "rare")
		models := w.registry.configuration.Contract.Pools[0].Models
		for i := range models {
			models[i].FromDisk, models[i].FromStore, models[i].FromMemory = loadTime, loadTime, loadTime
		}
		var engines []*fakeEngine
		for id, held := range map[string][2]string{"e1": {"m1", "m2"}, "e2": {"m3", "m4"}} {
			e := w.engines.add(id, held[0], held[1])
			e.extraLoadTime = loadTime - fakeLoadTime
			w.listEngine(e, "rare")
			engines = append(engines, e)
		}
		w.registry.assignAllShards("a")
		for _, vm := range []string{"a", "b", "c"} {
			w.boot(vm, true)
		}
		time.Sleep(3 * time.Second)
		planner, keeper := w.plannerVM(), "a"
		if planner == keeper {
			keeper = "b"
			w.registry.assignAllShards(keeper)
			time.Sleep(8 * time.Second)
		}
		loads := func() (count int) {
			w.engines.mu.Lock()
			defer w.engines.mu.Unlock()
			for _, e := range engines {
				if slices.ContainsFunc(e.sent, func(s sentOrder) bool { return s.order.Action == engine.ActionLoad && s.order.Unit == "rare" }) {
					count++
				}
			}
			return count
		}
		go func() { _, _ = sendRequest(w.nodes[keeper], "rare", 12*time.Second) }()
		for limit := time.Now().Add(5 * time.Second); loads() == 0; time.Sleep(10 * time.Millisecond) {
			testkit.Need(w, time.Now().Before(limit), "no engine was ordered to load the model")
		}
		time.Sleep(500 * time.Millisecond)
		w.kill(planner)
		time.Sleep(loadTime)
		testkit.Equal(w, "engines that were ordered to load the model", loads(), 1)
		testkit.That(w, w.nodes[keeper].backends.hasModel(testService, "rare"), "the model was not loaded")
	})
}

// plannerVM returns the name of the planner.
func (w *testCluster) plannerVM() (vm string) {
	w.eachNode(func(name string, n *Node) {
		if n.members.isPlanner(time.Now()) {
			vm = name
		}
	})
	return vm
}
