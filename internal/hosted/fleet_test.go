package hosted

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// fleetDomains are the failure domains of a large fleet.
const fleetDomains = 5

// bootFleet starts so many VMs, spread over failure domains, with an engine in each of
// them, and waits until they know each other.
func (w *world) bootFleet(vms int) {
	w.registry.configuration = testContract("m1", "m2", "m3", "m4", "rare")
	w.registry.configuration.Contract.Routes[0].TargetLatency = 5 * time.Second
	for i := range fleetDomains {
		e := w.engines.add(fmt.Sprint("e", i), fmt.Sprint("m", i%4+1))
		e.domain = fmt.Sprint("d", i)
		w.list(e, "rare")
	}
	for i := range fleetDomains {
		w.registry.share(fmt.Sprint("d", i))
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

// count is the number of VMs for which something holds.
func (w *world) count(holds func(*Node) bool) int {
	count := 0
	w.eachNode(func(_ string, n *Node) {
		if holds(n) {
			count++
		}
	})
	return count
}

// until waits until something holds for that many VMs and returns how long it took.
func (w *world) until(limit time.Duration, what string, vms int, holds func(*Node) bool) time.Duration {
	w.Helper()
	begun := time.Now()
	for w.count(holds) < vms {
		if time.Since(begun) > limit {
			w.Fatalf("%s: %d of %d VMs within %v", what, w.count(holds), vms, limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(begun)
}

// relaysNow are the relays of a VM's failure domain by its own view.
func relaysNow(n *Node) []string {
	n.members.mu.Lock()
	defer n.members.mu.Unlock()
	return slices.Clone(n.members.currentRoles(time.Now()).relays[n.config.Domain])
}

// leadOf is the first relay of a failure domain by the view of its VMs.
func (w *world) leadOf(domain string) string {
	lead := ""
	w.eachNode(func(_ string, n *Node) {
		if relays := relaysNow(n); n.config.Domain == domain && len(relays) > 0 {
			lead = relays[0]
		}
	})
	return lead
}

// connections is with how many others a VM exchanges reports by itself.
func connections(n *Node) int {
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

// A fleet grows from 60 to 180 VMs. What an ordinary VM does for it stays the same: it
// exchanges reports with its domain's relays only. With an exchange between any two VMs,
// each held 390 connections in a fleet of 195, and 125 MB.
func TestLargeFleetCostsAVMNoMore(t *testing.T) {
	perVM := make(map[int]float64)
	for _, vms := range []int{60, 180} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.bootFleet(vms)
				before := w.allReports()
				const span = 10
				time.Sleep(span * time.Second)
				after := w.allReports()
				ordinary, reports, most := 0, 0, 0
				w.eachNode(func(vm string, n *Node) {
					testkit.Equal(w, vm+" knows", n.members.liveCount(time.Now()), vms)
					if slices.Contains(relaysNow(n), vm) {
						return
					}
					ordinary++
					reports += after[vm] - before[vm]
					most = max(most, connections(n))
				})
				testkit.That(w, most <= relaysPerDomain, "an ordinary VM exchanges with %d others", most)
				perVM[vms] = float64(reports) / float64(ordinary) / span
			})
		})
	}
	testkit.That(t, perVM[180] <= 1.1*perVM[60], "reports a second to an ordinary VM: %v", perVM)
}

// In a fleet of 200 VMs a model is loaded. Every VM hears of it through two relays, soon:
// until then requests for it wait at engines that are full. Bound: a quarter of a second,
// the target of the most urgent requests; with an exchange between any two VMs at the pace
// that their number allows, the last one heard of it seconds later.
func TestNewsOfASwapReachesALargeFleet(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 200
		w.bootFleet(vms)
		asker := w.nodes["v7"]
		go func() { _, _ = ask(asker, "rare", 10*time.Second) }()
		holds := func(n *Node) bool { return n.backends.hasModel(testService, "rare") }
		first := w.until(5*time.Second, "first VM that knows", 1, holds)
		all := w.until(5*time.Second, "all know", vms, holds)
		testkit.That(w, first < fakeLoadTime+time.Second, "loaded after %v", first)
		testkit.That(w, all < 250*time.Millisecond, "known to all %v after the first", all)
		w.checkQuiet()
	})
}

// The lead of a failure domain's relays dies, and a second later the one that stood by. The
// domain's other VMs go on to be heard, and hear: the next relays are drawn among them.
func TestRelaysDieOneAfterTheOther(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 60
		w.bootFleet(vms)
		lead := w.leadOf("d3")
		w.kill(lead)
		time.Sleep(time.Second)
		next := ""
		w.eachNode(func(vm string, n *Node) {
			if relays := relaysNow(n); n.config.Domain == "d3" && len(relays) > 0 && relays[0] != lead {
				next = relays[0]
			}
		})
		w.kill(next)
		knowAll := func(n *Node) bool { return n.members.liveCount(time.Now()) == vms-2 }
		took := w.until(8*time.Second, "all know who lives", vms-2, knowAll)
		testkit.That(w, took < 4*time.Second, "took %v", took)
		planning := w.count(func(n *Node) bool { return n.members.isPlanner(time.Now()) })
		testkit.Equal(w, "VMs that plan", planning, 1)
		for range 10 {
			time.Sleep(time.Second)
			testkit.Equal(w, "VMs that know all", w.count(knowAll), vms-2)
		}
	})
}

// A VM of a large fleet is killed. All others must not take it for the keeper of its
// engines for long: swaps and adapters would be asked for in vain.
func TestDeathIsKnownInALargeFleet(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 120
		w.bootFleet(vms)
		lead := w.leadOf("d2")
		victim := "v52"
		if lead == victim {
			victim = "v57"
		}
		w.kill(victim)
		took := w.until(10*time.Second, "known", vms-1, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms-1 })
		testkit.That(w, took < reportTTL+time.Second, "took %v", took)
	})
}

// A failure domain of a large fleet is cut off for longer than its VMs are remembered
// without a word, and comes back: everyone knows everyone again, and one VM plans.
func TestALongCutHealsInALargeFleet(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 40
		w.bootFleet(vms)
		w.setDomainsCut(true)
		perDomain := vms / fleetDomains
		w.until(6*time.Second, "know their own domain only", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == perDomain })
		testkit.Equal(w, "VMs that plan", w.count(func(n *Node) bool { return n.members.isPlanner(time.Now()) }), fleetDomains)
		time.Sleep(15 * time.Second)
		w.setDomainsCut(false)
		w.until(8*time.Second, "know all", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms })
		testkit.Equal(w, "VMs that plan", w.count(func(n *Node) bool { return n.members.isPlanner(time.Now()) }), 1)
	})
}

// Requests run on an engine through VMs of all failure domains. Each VM of a large fleet
// counts those of all others, none twice: engines are picked by it.
func TestEachVMKnowsWhatOthersRun(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 60
		w.bootFleet(vms)
		release := make(chan struct{})
		w.mu.Lock()
		w.hold = release
		w.mu.Unlock()
		through := []string{"a", "b", "v2", "v13", "v24", "v35", "v46", "v57"}
		for _, vm := range through {
			n := w.nodes[vm]
			go func() { _, _ = ask(n, "m1", 20*time.Second) }()
		}
		// Through two relays, one of which may only stand by.
		took := w.until((standbyIntervalFactor+2)*w.nodes["a"].config.ReportInterval, "VMs that count all", vms, func(n *Node) bool {
			count := n.members.inFlight(time.Now(), "e0") + n.members.inFlight(time.Now(), "e4")
			for _, run := range n.serving.Runs() {
				count += run.Count
			}
			return count == len(through)
		})
		w.Log("known to all after", took)
		close(release)
	})
}

// Each VM of a large fleet is restarted in turn, as by a new version. Few VMs of a failure
// domain share its shards out, so that most restarts change hands of nothing, and joins don't
// grow with the fleet: with all of 120 in it they made 171 joins a second, and each restart
// had shards dealt anew whose engines then got no orders.
func TestFewVMsOfALargeFleetKeepEngines(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 120
		w.bootFleet(vms)
		for i := range fleetDomains {
			members := w.registry.membersOf(fmt.Sprint("d", i))
			testkit.That(w, members >= keepersPerDomain/2 && members <= keepersLeave, "%d members in domain %d", members, i)
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
		most := fleetDomains * keepersLeave * int(restarts*pace/joinEvery)
		testkit.That(w, joins <= most, "%d joins, of at most %d", joins, most)
		testkit.That(w, generation < restarts/2, "%d deals in %d restarts", generation, restarts)
		time.Sleep(3 * time.Second)
		took := w.until(10*time.Second, "VMs that know all", vms, func(n *Node) bool { return n.members.liveCount(time.Now()) == vms })
		w.Log("known to all after", took, "joins", joins, "deals", generation)
		_, err := ask(w.nodes["v7"], "rare", 10*time.Second)
		testkit.NoError(w, err)
		w.checkQuiet()
	})
}

// All VMs that keep a failure domain's engines die at once. Others take their place: a model
// that only this domain's engine could load is there a few seconds later.
func TestAllKeepersOfADomainDie(t *testing.T) {
	inWorld(t, func(w *world) {
		const vms = 100
		w.bootFleet(vms)
		w.registry.mu.Lock()
		var keepers []string
		for vm := range w.registry.shared["d1"] {
			keepers = append(keepers, vm)
		}
		w.registry.mu.Unlock()
		for _, vm := range keepers {
			w.kill(vm)
		}
		begun := time.Now()
		others := func() int {
			w.registry.mu.Lock()
			defer w.registry.mu.Unlock()
			count := 0
			for vm := range w.registry.shared["d1"] {
				if !slices.Contains(keepers, vm) {
					count++
				}
			}
			return count
		}
		for others() < keepersPerDomain/2 && time.Since(begun) < 15*time.Second {
			time.Sleep(50 * time.Millisecond)
		}
		took := time.Since(begun)
		w.Log(len(keepers), "keepers died, others in their place after", took)
		testkit.That(w, took < relayedTTL+membershipTTL, "others took their place after %v", took)
	})
}
