package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// updateCount returns the number of engines for which a VM uses their keepers' updates.
func updateCount(n *Node) int {
	n.backends.mu.Lock()
	defer n.backends.mu.Unlock()
	count := 0
	for _, b := range n.backends.entries {
		if !b.keeperUpdateAt.IsZero() {
			count++
		}
	}
	return count
}

// bootWithUpdates boots a large fleet with updates of at least one engine, and returns the
// number of these engines.
func (w *testCluster) bootWithUpdates(vms int) int {
	w.bootFleet(vms)
	_, err := sendRequest(w.nodes["v7"], "rare", 10*time.Second)
	testkit.OK(w, err)
	time.Sleep(4 * time.Second)
	engines := updateCount(w.nodes["v7"])
	testkit.Need(w, engines > 0, "no update of any engine")
	w.waitForVMs(5*time.Second, "have the updates", vms, func(n *Node) bool { return updateCount(n) == engines })
	return engines
}

// Guards against relays that resend unchanged updates, and against updates that expire
// because they are not resent: an idle fleet keeps all of them and sends none.
func TestUnchangedUpdatesAreNotResent(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 60
		engines := w.bootWithUpdates(vms)
		w.mu.Lock()
		before := w.relayedUpdates
		w.mu.Unlock()
		for range 40 {
			time.Sleep(500 * time.Millisecond)
			testkit.Need(w, w.countVMs(func(n *Node) bool { return updateCount(n) == engines }) == vms, "updates expired")
		}
		w.mu.Lock()
		sent := w.relayedUpdates - before
		w.mu.Unlock()
		testkit.That(w, sent < vms, "%d updates sent in 20 s without a change", sent)
	})
}

// waitForAgreement waits until all VMs have updates of the same number of engines, twice
// in a row.
func (w *testCluster) waitForAgreement(what string) {
	w.Helper()
	agreed := 0
	for start := time.Now(); agreed < 2; time.Sleep(500 * time.Millisecond) {
		counts := make(map[int]int)
		w.eachNode(func(_ string, n *Node) { counts[updateCount(n)]++ })
		testkit.Need(w, time.Since(start) < 9*time.Second, "%s: VMs by their number of engines with updates: %v", what, counts)
		agreed++
		if len(counts) > 1 || counts[0] > 0 {
			agreed = 0
		}
	}
}

// Guards against updates that are lost for good: when the registry lists an engine at a VM
// only after its keeper reported it, when a relay dies, when a domain was partitioned, and
// when a VM starts late.
func TestLostUpdatesAreRecovered(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		const vms = 60
		w.bootWithUpdates(vms)
		for round := range 4 {
			switch round {
			case 0:
				n := w.nodes["v38"]
				n.backends.mu.Lock()
				for _, b := range n.backends.entries {
					b.keeperUpdateAt, b.keeperUpdateFrom, b.keeperUpdate = time.Time{}, "", entryvm.EngineUpdate{}
				}
				n.backends.mu.Unlock()
			case 1:
				w.kill(w.leadRelay("d1"))
			case 2:
				w.setDomainsPartitioned(true)
				time.Sleep(8 * time.Second)
				w.setDomainsPartitioned(false)
			case 3:
				w.bootIn("d2", "late", false)
			}
			time.Sleep(time.Second)
			w.waitForAgreement(fmt.Sprint("recovered in round ", round))
		}
	})
}
