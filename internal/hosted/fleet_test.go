package hosted

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// fleetDomains is the number of failure domains of a large fleet.
const fleetDomains = 5

// bootFleet starts the given number of VMs, spread over failure domains, with one engine
// per domain, and waits until the VMs know each other.
func (w *testCluster) bootFleet(vms int) {
	w.registry.configuration = testContract("m1", "m2", "m3", "m4", "rare")
	w.registry.configuration.Contract.Routes[0].TargetLatency = 5 * time.Second
	for i := range fleetDomains {
		e := w.engines.add(fmt.Sprint("e", i), fmt.Sprint("m", i%4+1))
		e.domain = fmt.Sprint("d", i)
		w.listEngine(e, "rare")
	}
	for i := range fleetDomains {
		w.registry.shareShards(fmt.Sprint("d", i))
	}
	for i := range vms {
		vm := fmt.Sprint("v", i)
		switch i {
		case 0, 1:
			vm = []string{"a", "b"}[i]
		}
		w.bootIn(fmt.Sprint("d", i%fleetDomains), vm, true)
	}
	time.Sleep(12 * time.Second)
}

// countVMs returns the number of VMs for which a condition holds.
func (w *testCluster) countVMs(condition func(*Node) bool) int {
	count := 0
	w.eachNode(func(_ string, n *Node) {
		if condition(n) {
			count++
		}
	})
	return count
}

// waitForVMs waits until a condition holds for the given number of VMs and returns how long
// it took.
func (w *testCluster) waitForVMs(limit time.Duration, what string, vms int, condition func(*Node) bool) time.Duration {
	w.Helper()
	startedAt := time.Now()
	for w.countVMs(condition) < vms {
		if time.Since(startedAt) > limit {
			w.Fatalf("%s: %d of %d VMs within %v", what, w.countVMs(condition), vms, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(startedAt)
}

// currentRelays returns the relays of a VM's failure domain by its own view.
func currentRelays(n *Node) []string {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return slices.Clone(n.members.currentRoles(time.Now()).relays[n.config.Domain])
}

// leadRelay returns the first relay of a failure domain by the view of its VMs.
func (w *testCluster) leadRelay(domain string) string {
	lead := ""
	w.eachNode(func(_ string, n *Node) {
		if relays := currentRelays(n); n.config.Domain == domain && len(relays) > 0 {
			lead = relays[0]
		}
	})
	return lead
}

// peerConnectionCount returns the number of VMs that a VM exchanges reports with directly.
func peerConnectionCount(n *Node) int {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	count := 0
	for _, p := range n.members.peers {
		if p.stop != nil {
			count++
		}
	}
	return count
}

// Guards against costs of an ordinary VM that grow with the fleet, from 60 to 180 VMs: it
// must exchange reports with its domain's relays only. With an exchange between any two
// VMs, each VM of a fleet of 195 held 390 connections and 125 MB.
func TestReportRateIndependentOfFleetSize(t *testing.T) {
	perVM := make(map[int]float64)
	for _, vms := range []int{60, 180} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				w.bootFleet(vms)
				before := w.allReports()
				const span = 10
				time.Sleep(span * time.Second)
				after := w.allReports()
				ordinary, reports, most := 0, 0, 0
				w.eachNode(func(vm string, n *Node) {
					testkit.Equal(w, vm+" knows", n.members.liveCount(time.Now()), vms)
					if slices.Contains(currentRelays(n), vm) {
						return
					}
					ordinary++
					reports += after[vm] - before[vm]
					most = max(most, peerConnectionCount(n))
				})
				testkit.That(w, most <= relaysPerDomain, "an ordinary VM exchanges with %d others", most)
				perVM[vms] = float64(reports) / float64(ordinary) / span
			})
		})
	}
	testkit.That(t, perVM[180] <= 1.1*perVM[60], "reports a second to an ordinary VM: %v", perVM)
}

// A model is loaded in a fleet of 200 VMs. Every VM must learn of it, through two relays,
// within a quarter of a second, the latency target of the most urgent requests: until then
// requests for the model wait at full engines. With an exchange between any two VMs, at the
// rate that their number allows, the last VM would learn of it seconds later.
func TestSwapPropagatesInLargeFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 200
		w.bootFleet(vms)
		asker := w.nodes["v7"]
		go func() { _, _ = sendRequest(asker, "rare", 10*time.Second) }()
		holds := func(n *Node) bool { return n.backends.hasModel(testService, "rare") }
		first := w.waitForVMs(5*time.Second, "first VM that knows", 1, holds)
		all := w.waitForVMs(5*time.Second, "all know", vms, holds)
		testkit.That(w, first < fakeLoadTime+time.Second, "loaded after %v", first)
		testkit.That(w, all < 250*time.Millisecond, "known to all %v after the first", all)
		w.checkHandoverGap()
	})
}

// The first relay of a failure domain fails, and a second later its standby. The domain's
// other VMs must stay connected to the fleet: the next relays are selected among them.
func TestConsecutiveRelayFailures(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 60
		w.bootFleet(vms)
		lead := w.leadRelay("d3")
		w.kill(lead)
		time.Sleep(time.Second)
		next := ""
		w.eachNode(func(vm string, n *Node) {
			if relays := currentRelays(n); n.config.Domain == "d3" && len(relays) > 0 && relays[0] != lead {
				next = relays[0]
			}
		})
		w.kill(next)
		knowAll := func(n *Node) bool { return n.members.liveCount(time.Now()) == vms-2 }
		took := w.waitForVMs(8*time.Second, "all know who lives", vms-2, knowAll)
		testkit.That(w, took < 4*time.Second, "took %v", took)
		planning := w.countVMs(func(n *Node) bool { return n.members.isPlanner(time.Now()) })
		testkit.Equal(w, "planners", planning, 1)
		for range 10 {
			time.Sleep(time.Second)
			testkit.Equal(w, "VMs that know all", w.countVMs(knowAll), vms-2)
		}
	})
}

// A VM of a large fleet is killed. The other VMs must soon stop treating it as the keeper
// of its engines: their requests for swaps and adapters would fail.
func TestFailureDetectionInLargeFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 120
		w.bootFleet(vms)
		lead := w.leadRelay("d2")
		victim := "v52"
		if lead == victim {
			victim = "v57"
		}
		w.kill(victim)
		took := w.waitForVMs(10*time.Second, "known", vms-1, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms-1 })
		testkit.That(w, took < reportTTL+time.Second, "took %v", took)
	})
}

// The failure domains of a large fleet are partitioned from each other for longer than VMs are
// remembered without reports. After the partition all VMs must know each other again, and
// one VM must be the planner.
func TestLongPartitionHealsInLargeFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 40
		w.bootFleet(vms)
		w.setDomainsPartitioned(true)
		perDomain := vms / fleetDomains
		w.waitForVMs(6*time.Second, "know their own domain only", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == perDomain })
		testkit.Equal(w, "planners", w.countVMs(func(n *Node) bool { return n.members.isPlanner(time.Now()) }), fleetDomains)
		time.Sleep(15 * time.Second)
		w.setDomainsPartitioned(false)
		w.waitForVMs(8*time.Second, "know all", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms })
		testkit.Equal(w, "planners", w.countVMs(func(n *Node) bool { return n.members.isPlanner(time.Now()) }), 1)
	})
}

// Requests run on an engine through VMs of all failure domains. Each VM of a large fleet
// must count the requests of all others, none twice: engines are picked by these counts.
func TestInFlightCountsInLargeFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 60
		w.bootFleet(vms)
		release := make(chan struct{})
		w.mu.Lock()
		w.answerGate = release
		w.mu.Unlock()
		through := []string{"a", "b", "v2", "v13", "v24", "v35", "v46", "v57"}
		for _, vm := range through {
			n := w.nodes[vm]
			go func() { _, _ = sendRequest(n, "m1", 20*time.Second) }()
		}
		// The counts pass through two relays, one of which may be a standby.
		took := w.waitForVMs((standbyIntervalFactor+2)*w.nodes["a"].config.ReportInterval, "VMs that count all", vms, func(n *Node) bool {
			count := n.members.inFlight(time.Now(), "e0") + n.members.inFlight(time.Now(), "e4")
			for _, run := range n.serving.RunningRequests() {
				count += run.Count
			}
			return count == len(through)
		})
		w.Log("known to all after", took)
		close(release)
	})
}

// VMs of a large fleet are restarted one after the other, as in an upgrade. Only a few VMs of a
// failure domain may divide its shards, so that most restarts move no shard and the join rate
// doesn't grow with the fleet. With all of 120 VMs as members there were 171 joins a second,
// and each restart reassigned shards, whose engines then got no orders.
func TestKeeperCountInLargeFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 120
		w.bootFleet(vms)
		for i := range fleetDomains {
			members := w.registry.memberCount(fmt.Sprint("d", i))
			testkit.That(w, members >= keepersPerDomain/2 && members <= maxKeepersPerDomain, "%d members in domain %d", members, i)
		}
		w.registry.mu.Lock()
		joins, generation := w.registry.joins, w.registry.generation
		w.registry.mu.Unlock()
		const restarts, pace = 40, 300 * time.Millisecond
		for i := range restarts {
			vm := fmt.Sprint("v", 2+i)
			w.kill(vm)
			time.Sleep(pace)
			w.bootIn(fmt.Sprint("d", (2+i)%fleetDomains), vm, false)
		}
		w.registry.mu.Lock()
		joins, generation = w.registry.joins-joins, w.registry.generation-generation
		w.registry.mu.Unlock()
		most := fleetDomains * maxKeepersPerDomain * int(restarts*pace/joinInterval)
		testkit.That(w, joins <= most, "%d joins, of at most %d", joins, most)
		testkit.That(w, generation < restarts/2, "%d reassignments in %d restarts", generation, restarts)
		time.Sleep(3 * time.Second)
		took := w.waitForVMs(10*time.Second, "VMs that know all", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms })
		w.Log("known to all after", took, "joins", joins, "reassignments", generation)
		_, err := sendRequest(w.nodes["v7"], "rare", 10*time.Second)
		testkit.NoError(w, err)
		w.checkHandoverGap()
	})
}

// All VMs that keep a failure domain's engines are killed at once. Others must replace them
// within seconds, so that the domain's engines can load models again.
func TestAllKeepersOfDomainFail(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 100
		w.bootFleet(vms)
		w.registry.mu.Lock()
		var keepers []string
		for vm := range w.registry.sharedGroups["d1"] {
			keepers = append(keepers, vm)
		}
		w.registry.mu.Unlock()
		for _, vm := range keepers {
			w.kill(vm)
		}
		startedAt := time.Now()
		others := func() int {
			w.registry.mu.Lock()
			defer w.registry.mu.Unlock()
			count := 0
			for vm := range w.registry.sharedGroups["d1"] {
				if !slices.Contains(keepers, vm) {
					count++
				}
			}
			return count
		}
		for others() < keepersPerDomain/2 && time.Since(startedAt) < 15*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		took := time.Since(startedAt)
		w.Log(len(keepers), "keepers died, others in their place after", took)
		testkit.That(w, took < relayedTTL+membershipTTL, "others took their place after %v", took)
	})
}
