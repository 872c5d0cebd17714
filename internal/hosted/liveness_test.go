package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// The duties that talk to all other VMs go to one of the largest, whoever is drawn among
// them; they stay with the small ones where all are small, and move when the large ones
// leave.
func TestDutiesGoToTheLargestVMs(t *testing.T) {
	var able []volunteer
	for i := range 20 {
		able = append(able, volunteer{fmt.Sprint("small", i), 184})
	}
	testkit.That(t, draw(plannerKey, able) != "", "nobody among equals")
	able = append(able, volunteer{"large0", 536}, volunteer{"large1", 536})
	for _, key := range []string{plannerKey, readerKey, "another"} {
		got := draw(key, able)
		testkit.That(t, got == "large0" || got == "large1", "%s for %s", got, key)
	}
}

// Requests begin to wait at every VM of a large fleet at once. All want the VM that plans
// to know; its link must not be filled by that.
func TestPlannerIsToldInMeasure(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "m5", "m6")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1"))
		const vms = 16
		w.boot("a", true)
		w.boot("b", true)
		for i := range vms - 2 {
			w.boot(fmt.Sprint("v", i), true)
		}
		time.Sleep(10 * time.Second)
		planner := ""
		w.each(func(vm string, n *Node) {
			if n.members.plans(time.Now()) {
				planner = vm
			}
		})
		before := w.reportsTo(planner)
		for range 40 {
			w.each(func(_ string, n *Node) { n.members.tellPlanner(time.Now()) })
			time.Sleep(25 * time.Millisecond)
		}
		// One second, at a configured pace of 100 ms.
		got := w.reportsTo(planner) - before
		testkit.That(w, got <= 12*vms, "%d reports in a second, %d VMs", got, vms)
	})
}
