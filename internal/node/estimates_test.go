package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/entryvm"
)

// Each estimate of a unit's planner must reach admission on peers exactly once, whichever
// digest carries it. Repeated after the unit is ready, it would cause requests to be
// refused that the unit could serve. A peer must drop the estimate when the planner does:
// when the unit is ready, has no right or its time has passed, or when the VM restarts.
func TestReadyEstimatesReachPeersOnce(t *testing.T) {
	planner, router, now := newReadyEstimates(), newReadyEstimates(), time.Unix(1000, 0)
	unitReadiness := map[string]readiness{}
	exchange := func(incarnation string) []readyTimeChange {
		d := entryvm.Digest{VM: "planner", Incarnation: incarnation}
		d.Expected = planner.report(now, func(unit string) readiness { return unitReadiness[unit] })
		now = now.Add(time.Second)
		d.Age = time.Second
		return router.applyDigest(now, d)
	}
	check := func(name string, got []readyTimeChange, want ...readyTimeChange) {
		t.Helper()
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(readyTimeChange{})); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
	at := now.Add(30 * time.Second)
	planner.set(now, "a", at)
	check("new", exchange("1"), readyTimeChange{"a", at, true})
	check("repeated", exchange("1"))
	later := now.Add(40 * time.Second)
	planner.set(now, "a", later)
	check("another estimate", exchange("1"), readyTimeChange{"a", later, true})
	check("restarted", exchange("2"), readyTimeChange{"a", later, true})
	unitReadiness["a"] = readinessReady
	check("ready", exchange("2"), readyTimeChange{unit: "a"})
	check("still ready", exchange("2"))

	unitReadiness["b"] = readinessNoRight
	planner.set(now, "b", later)
	check("no right yet", exchange("2"), readyTimeChange{"b", later, true})
	now = now.Add(maxGrantDelay)
	check("no right", exchange("2"), readyTimeChange{unit: "b"})
	planner.set(now, "c", now.Add(time.Second))
	check("in one second", exchange("2"), readyTimeChange{"c", now, true})
	check("its time has passed", exchange("2"), readyTimeChange{unit: "c"})
	if len(router.byPeer)+len(planner.own) > 0 {
		t.Errorf("kept %v, %v", router.byPeer, planner.own)
	}
}
