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

// Roles that communicate with all other VMs go to one of the largest VMs, whatever their
// hash. They stay with the small VMs where all are small, and move when the large VMs
// leave.
func TestRolesGoToTheLargestVMs(t *testing.T) {
	var candidates []roleCandidate
	for i := range 20 {
		candidates = append(candidates, roleCandidate{fmt.Sprint("small", i), 184})
	}
	testkit.That(t, selectVM(plannerKey, candidates) != "", "no VM is selected among equals")
	candidates = append(candidates, roleCandidate{"large0", 536}, roleCandidate{"large1", 536})
	for _, key := range []string{plannerKey, relayKey, "another"} {
		got := selectVM(key, candidates)
		testkit.That(t, got == "large0" || got == "large1", "%s for %s", got, key)
	}
}

// Requests start to wait at every VM of a large fleet at once. All VMs notify the planner;
// this must not fill its link.
func TestReportsToPlannerAreRateLimited(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "m5", "m6")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		const vms = 16
		w.boot("a", true)
		w.boot("b", true)
		for i := range vms - 2 {
			w.boot(fmt.Sprint("v", i), true)
		}
		time.Sleep(10 * time.Second)
		planner := ""
		w.eachNode(func(vm string, n *Node) {
			if n.members.isPlanner(time.Now()) {
				planner = vm
			}
		})
		before := w.reportsTo(planner)
		for range 40 {
			w.eachNode(func(_ string, n *Node) { n.members.notifyPlanner(time.Now()) })
			time.Sleep(25 * time.Millisecond)
		}
		// One second, at a configured pace of 100 ms.
		got := w.reportsTo(planner) - before
		testkit.That(w, got <= 12*vms, "%d reports in a second, %d VMs", got, vms)
	})
}

// A failure domain of a large fleet is partitioned from the others, while reports between
// two VMs are seconds apart. Each side must have a planner within two seconds, or models
// that its engines lack are not loaded until the partition ends.
func TestEachSideOfAPartitionPlans(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
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
		testkit.That(w, planning["d"] == 1 && planning["e"] == 1, "planners: %v, want one on each side", planning)
	})
}

// A failure domain is partitioned from the others. The only engine with a model is on the
// other side, as are engines that two requests find unreachable. The model must be loaded
// on this side at once, although no request tried the engine that has it, and that engine
// must be used again after the partition.
func TestModelsBehindAPartitionAreLoadedLocally(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "far")
		w.registry.assignAllShards("a")
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
			_, _ = sendRequest(a, model, 100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		took := testkit.Value(sendRequest(a, "far", 5*time.Second))(w)
		testkit.That(w, took < fakeLoadTime, "took %s", took)
		w.mu.Lock()
		w.domainsPartitioned = false
		w.mu.Unlock()
		time.Sleep(3 * time.Second)
		got := a.Candidates(unitName(testService, "far", ""))
		behind := slices.ContainsFunc(got, func(c routing.Candidate) bool { return c.Engine == "f2" })
		testkit.That(w, behind, "got %+v, want the engine behind the partition as well", got)
	})
}

// A failure domain was partitioned; its VMs found the engines of all other domains
// unreachable and report so when the partition ends. The planner must not give up all
// these engines: it counts what a VM of the engine's own domain reports, and what half of
// the VMs report.
func TestFailureReportsFromPartitionedDomain(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		a := w.boot("a", true)
		time.Sleep(time.Second)
		for _, id := range []string{"e1", "e2", "e3"} {
			domain := map[string]string{"e1": "d", "e2": "d", "e3": "far"}[id]
			a.backends.applyChanges(time.Now(), []registry.Change{{ID: id, Backend: &registry.Backend{ID: id, Service: testService, Domain: domain, IsEngine: true}}})
		}
		report := func(vm, domain string, failing ...string) {
			a.members.addAddresses([]string{vm})
			a.members.storeReport(time.Now(), entryvm.Report{VM: vm, Address: vm, Domain: domain, Incarnation: "1", Sequence: 1, Failing: failing})
		}
		report("far-1", "far", "e1", "e2", "e3")
		report("near-1", "d")
		report("near-2", "d")
		report("near-3", "d")
		failing := a.planner.enginesToAvoid(time.Now())
		testkit.That(w, !failing["e1"] && !failing["e2"] && failing["e3"], "failing: %v", failing)
		report("far-2", "far", "e2")
		report("far-3", "far", "e2")
		report("far-4", "far", "e2")
		failing = a.planner.enginesToAvoid(time.Now())
		testkit.That(w, !failing["e1"] && failing["e2"], "failing: %v", failing)
	})
}
