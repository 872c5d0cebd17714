package node

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/entryvm"
)

// The planner of a unit expects it in 30 s. Entry VMs that hear of it by any
// digest refuse those who can't wait so long, once; told again after the unit is
// ready, its callers would be refused though it could serve them. It is forgotten
// when the planner drops it: ready, given up, its time passed or the VM restarted.
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
	check := func(what string, got []readyTimeChange, want ...readyTimeChange) {
		t.Helper()
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(readyTimeChange{})); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	at := now.Add(30 * time.Second)
	planner.set(now, "a", at)
	check("new", exchange("1"), readyTimeChange{"a", at, true})
	check("again", exchange("1"))
	later := now.Add(40 * time.Second)
	planner.set(now, "a", later)
	check("another estimate", exchange("1"), readyTimeChange{"a", later, true})
	check("restarted", exchange("2"), readyTimeChange{"a", later, true})
	unitReadiness["a"] = readinessReady
	check("ready", exchange("2"), readyTimeChange{unit: "a"})
	check("ready before", exchange("2"))

	unitReadiness["b"] = readinessNoRight
	planner.set(now, "b", later)
	check("no right yet", exchange("2"), readyTimeChange{"b", later, true})
	now = now.Add(maxGrantDelay)
	check("no right", exchange("2"), readyTimeChange{unit: "b"})
	planner.set(now, "c", now.Add(time.Second))
	check("short", exchange("2"), readyTimeChange{"c", now, true})
	check("its time has passed", exchange("2"), readyTimeChange{unit: "c"})
	if len(router.byPeer)+len(planner.own) > 0 {
		t.Errorf("kept %v, %v", router.byPeer, planner.own)
	}
}
