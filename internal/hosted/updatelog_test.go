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

// Guards against an engine that stays in the log after its keeper no longer lists it, and
// against a checksum that is the same for two versions.
func TestUpdateLogFullListAndChecksums(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newUpdateLog()
	put := func(engine string, version uint64) {
		l.put(now, "k", entryvm.EngineUpdate{ID: engine, Version: version}, true)
	}
	put("e1", 1)
	put("e2", 1)
	l.recordFullList(now, "k")
	_, next, _ := l.since(0, false)
	first := l.renewals(now, true)
	now = now.Add(3 * time.Second)
	put("e1", 1)
	l.recordFullList(now, "k")
	updates, _, _ := l.since(next, false)
	testkit.That(t, len(updates) == 0, "sent again: %v", updates)
	updates = l.ofKeepers([]string{"k"}, false)
	testkit.That(t, len(updates) == 1 && updates[0].Update.ID == "e1", "requested again: %v", updates)
	second := l.renewals(now, true)
	testkit.That(t, len(second) == 1 && second[0].Checksum != first[0].Checksum && second[0].Age == 0, "renewals %v, %v", first, second)
	put("e1", 2)
	third := l.renewals(now, true)
	testkit.That(t, third[0].Checksum != second[0].Checksum, "the same checksum for two versions")
	l.dropExpired(now.Add(engineUpdateTTL + time.Second))
	testkit.That(t, len(l.renewals(now, false)) == 0, "renewed after it expired")
}

// Guards against a transfer of all updates that is too large for a slow link and starts
// again each time: it arrives in parts, each of which counts.
func TestUpdatesArriveInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	l := newUpdateLog()
	const engines = 2*maxUpdatesPerReport + 7
	for i := range engines {
		l.put(now, "k", entryvm.EngineUpdate{ID: fmt.Sprint("e", i), Version: 1}, true)
	}
	got, parts := make(map[string]bool), 0
	for position, more := uint64(0), true; more; parts++ {
		var updates []entryvm.RelayedUpdate
		updates, position, more = l.since(position, false)
		testkit.That(t, len(updates) <= maxUpdatesPerReport, "%d updates in one part", len(updates))
		for _, update := range updates {
			testkit.That(t, !got[update.Update.ID], "%s came twice", update.Update.ID)
			got[update.Update.ID] = true
		}
	}
	testkit.That(t, len(got) == engines && parts == 3, "%d of %d in %d parts", len(got), engines, parts)
}
