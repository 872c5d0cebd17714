package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/admission"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/testkit"
)

// Guards against adapters that are loaded on engines of another software version than the one that
// the requests need, which then wait in vain.
func TestAdapterIsLoadedAtTheVersionThatRequestsNeed(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		engines := make(map[string]*fakeEngine)
		for _, version := range []string{"v1", "v2"} {
			e := w.engines.add("e-"+version, "m1")
			e.version = version
			w.listEngine(e)
			engines[version] = e
		}
		n := w.boot("a", true)
		time.Sleep(10 * time.Second)
		var waiting []admission.Demand
		for i := range 8 {
			unit := serving.VersionedUnit(unitName(testService, "m1", fmt.Sprint("a", i)), "v2")
			waiting = append(waiting, admission.Demand{Unit: unit, Waiting: 1})
		}
		n.ReportMissing(waiting)
		time.Sleep(2 * time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		testkit.Equal(t, "adapters at the other version", len(engines["v1"].models["m1"]), 0)
		testkit.That(t, len(engines["v2"].models["m1"]) > 0, "no adapter was loaded")
	})
}
