package hosted

import (
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing/pace"
)

// Guards against paces that reach other VMs late, are lost with a relay, need the registry or a link in both
// directions, or outlive the VMs that measured them.
func TestPacesReachTheFleet(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 62
		w.load.EnginePace = true
		w.bootFleet(vms)
		key := func(engine string) pace.Key { return pace.Key{Engine: engine, Started: 1, Model: "model/llm/m1"} }
		lead := w.leadRelay("d3")
		// The two VMs that measure are ordinary ones in different domains.
		measuring := make(map[string]string)
		w.eachNode(func(vm string, n *Node) {
			if !slices.Contains(currentRelays(n), vm) {
				measuring[n.config.Domain] = vm
			}
		})
		measure := func() {
			w.eachNode(func(vm string, n *Node) {
				if vm != measuring["d3"] && vm != measuring["d4"] {
					return
				}
				n.paces.ObserveGap(time.Now(), key("e0"), 300*time.Millisecond, 1)
				for _, usual := range []string{"e1", "e2", "e3"} {
					n.paces.ObserveGap(time.Now(), key(usual), 500*time.Millisecond, 10)
				}
			})
		}
		knows := func(n *Node) bool { return n.paces.Estimate(time.Now(), key("e0")).Slowness() > 1.4 }
		for range 100 {
			measure() // as much as in ten seconds
		}
		took := w.waitForVMs(2*time.Second, "VMs that know the slow engine", vms, knows)
		w.Log("known to all after", took)

		w.registry.setUnavailable(true)
		w.kill(lead)
		w.mu.Lock()
		w.cutOneWay = func(from, to string) bool { return from == measuring["d4"] && to == "a" }
		w.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for range 5 {
				measure()
			}
			w.eachNode(func(vm string, n *Node) {
				testkit.That(w, knows(n), "%s forgot the pace; relays of its domain %v", vm, currentRelays(n))
			})
		}
		w.registry.setUnavailable(false)
		w.kill(measuring["d3"])
		w.kill(measuring["d4"])
		w.waitForVMs(relayedTTL+pace.Window, "VMs without the pace", vms-3, func(n *Node) bool { return !knows(n) })
	})
}
