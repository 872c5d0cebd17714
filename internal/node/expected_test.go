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
func TestExpectationsTravel(t *testing.T) {
	planner, router, now := newExpectations(), newExpectations(), time.Unix(1000, 0)
	looks := map[string]outlook{}
	tell := func(incarnation string) []change {
		d := entryvm.Digest{VM: "planner", Incarnation: incarnation}
		d.Expected = planner.telling(now, func(unit string) outlook { return looks[unit] })
		now = now.Add(time.Second)
		d.Age = time.Second
		return router.heard(now, d)
	}
	check := func(what string, got []change, want ...change) {
		t.Helper()
		if diff := cmp.Diff(want, got, cmp.AllowUnexported(change{})); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	at := now.Add(30 * time.Second)
	planner.expect(now, "a", at)
	check("new", tell("1"), change{"a", at, true})
	check("again", tell("1"))
	later := now.Add(40 * time.Second)
	planner.expect(now, "a", later)
	check("another estimate", tell("1"), change{"a", later, true})
	check("restarted", tell("2"), change{"a", later, true})
	looks["a"] = outlookReady
	check("ready", tell("2"), change{unit: "a"})
	check("ready before", tell("2"))

	looks["b"] = outlookNoRight
	planner.expect(now, "b", later)
	check("no right yet", tell("2"), change{"b", later, true})
	now = now.Add(grantShows)
	check("no right", tell("2"), change{unit: "b"})
	planner.expect(now, "c", now.Add(time.Second))
	check("short", tell("2"), change{"c", now, true})
	check("its time has passed", tell("2"), change{unit: "c"})
	if len(router.told)+len(planner.own) > 0 {
		t.Errorf("kept %v, %v", router.told, planner.own)
	}
}
