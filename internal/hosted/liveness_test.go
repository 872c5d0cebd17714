package hosted

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing"
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
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "m5", "m6")
		w.registry.deal("a")
		w.listEngine(w.engines.add("e1", "m1"))
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
			w.each(func(_ string, n *Node) { n.members.notifyPlanner(time.Now()) })
			time.Sleep(25 * time.Millisecond)
		}
		// One second, at a configured pace of 100 ms.
		got := w.reportsTo(planner) - before
		testkit.That(w, got <= 12*vms, "%d reports in a second, %d VMs", got, vms)
	})
}

// A failure domain of a large fleet is cut off from the others. Reports between two VMs
// are seconds apart there; still each side has a VM that plans within two seconds, or
// the models that its engines lack would not be loaded until the cut is over.
func TestEachSideOfACutPlans(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = testContract("m1")
		const perDomain = 20
		for i := range perDomain {
			w.bootIn("d", []string{"a", "b"}[min(i, 1)]+strings.Repeat("x", max(0, i-1)), true)
			w.bootIn("e", fmt.Sprint("e", i), true)
		}
		time.Sleep(12 * time.Second)
		w.mu.Lock()
		w.domainsPartitioned = true
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		planning := make(map[string]int)
		w.mu.Lock()
		for _, n := range w.nodes {
			n.planner.mu.Lock()
			if n.planner.planning {
				planning[n.config.Domain]++
			}
			n.planner.mu.Unlock()
		}
		w.mu.Unlock()
		testkit.That(w, planning["d"] == 1 && planning["e"] == 1, "VMs that plan: %v, want one on each side", planning)
	})
}

// A failure domain is cut off from the others. The only engine with a model is on the
// other side; so is one that two requests find dead. The model is loaded on this side at
// once, although nobody tried the engine that has it, and goes back into use after the
// cut.
func TestModelsBehindACutAreLoadedHere(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		w.registry.configuration = testContract("m1", "m2", "m3", "far")
		w.registry.deal("a")
		for _, id := range []string{"e1", "e2", "e3"} {
			w.listEngine(w.engines.add(id, "m1"))
		}
		for i, model := range []string{"m2", "m3", "far"} {
			e := w.engines.add(fmt.Sprint("f", i), model)
			e.domain = "e"
			w.listEngine(e)
		}
		a := w.bootIn("d", "a", true)
		w.bootIn("e", "b", true)
		w.bootIn("e", "c", true)
		time.Sleep(4 * time.Second)
		w.mu.Lock()
		w.domainsPartitioned = true
		w.mu.Unlock()
		for _, model := range []string{"m2", "m3"} {
			_, _ = ask(a, model, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		took := testkit.Value(ask(a, "far", 5*time.Second))(w)
		testkit.That(w, took < fakeLoadTime, "took %s", took)
		w.mu.Lock()
		w.domainsPartitioned = false
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		got := a.Candidates(unitName(testService, "far", ""))
		behind := slices.ContainsFunc(got, func(c routing.Candidate) bool { return c.Engine == "f2" })
		testkit.That(w, behind, "got %+v, want the engine behind the cut as well", got)
	})
}

// A failure domain was cut off; its VMs found the engines of all others dead, and say so
// when they are heard again. The planner must not give all these engines up. What a VM
// of the engine's own domain says counts, and what half of the VMs say.
func TestReportsOfACutOffDomain(t *testing.T) {
	withTestBed(t, func(w *testBed) {
		a := w.boot("a", true)
		time.Sleep(time.Second)
		for _, id := range []string{"e1", "e2", "e3"} {
			domain := map[string]string{"e1": "d", "e2": "d", "e3": "far"}[id]
			a.backends.change(time.Now(), []registry.Change{{ID: id, Backend: &registry.Backend{ID: id, Service: testService, Domain: domain, IsEngine: true}}})
		}
		hear := func(vm, domain string, failing ...string) {
			a.members.learn([]string{vm})
			a.members.take(time.Now(), entryvm.Report{VM: vm, Address: vm, Domain: domain, Incarnation: "1", Sequence: 1, Failing: failing})
		}
		hear("far-1", "far", "e1", "e2", "e3")
		hear("near-1", "d")
		hear("near-2", "d")
		hear("near-3", "d")
		failing := a.planner.failingEngines(time.Now())
		testkit.That(w, !failing["e1"] && !failing["e2"] && failing["e3"], "failing: %v", failing)
		hear("far-2", "far", "e2")
		hear("far-3", "far", "e2")
		hear("far-4", "far", "e2")
		failing = a.planner.failingEngines(time.Now())
		testkit.That(w, !failing["e1"] && failing["e2"], "failing: %v", failing)
	})
}
