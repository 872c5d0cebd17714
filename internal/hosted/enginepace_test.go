package hosted

import (
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
		measuring := []string{}
		for _, domain := range []string{"d3", "d4"} {
			found := ""
			w.eachNode(func(vm string, n *Node) {
				if relays := currentRelays(n); n.config.Domain == domain && vm > found && vm != relays[0] && vm != relays[1] {
					found = vm
				}
			})
			measuring = append(measuring, found)
		}
		measure := func() {
			w.eachNode(func(vm string, n *Node) {
				if vm != measuring[0] && vm != measuring[1] {
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
		w.cutOneWay = func(from, to string) bool { return from == measuring[1] && to == "a" }
		w.mu.Unlock()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for range 5 {
				measure()
			}
			testkit.Need(w, w.countVMs(knows) == vms-1, "%d VMs know after the loss of a relay", w.countVMs(knows))
		}
		w.registry.setUnavailable(false)
		for _, vm := range measuring {
			w.kill(vm)
		}
		w.waitForVMs(relayedTTL+pace.Window, "VMs without the pace", vms-3, func(n *Node) bool { return !knows(n) })
	})
}
