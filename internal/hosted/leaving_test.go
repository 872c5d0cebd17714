package hosted

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// maxLeavingPropagation is how long a VM may keep sending requests to a backend server after a
// response announced that it leaves.
const maxLeavingPropagation = 2 * time.Second

// announceLeaving makes an engine's responses announce that it leaves.
func (b *engineCluster) announceLeaving(id string) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	b.engines["at-"+id].leaving = true
}

// checkDrained checks that no VM sent requests to an engine later than maxLeavingPropagation
// after the VM got a response that announced that the engine leaves, and that at least one VM
// got such a response.
func (b *engineCluster) checkDrained(id string) {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	announcedAt, late := make(map[string]time.Time), 0
	for _, a := range b.arrivals {
		first, announced := announcedAt[a.vm]
		switch {
		case a.engine != id || !a.leaving:
		case !announced:
			announcedAt[a.vm] = a.at
		case a.at.Sub(first) > maxLeavingPropagation:
			late++
		}
	}
	testkit.That(b, len(announcedAt) > 0, "no VM got a response in which %s announced that it leaves", id)
	testkit.That(b, late == 0, "%d requests reached %s later than %s after the announcement", late, id, maxLeavingPropagation)
}

// Guards against requests to a backend server that announces in its responses that it leaves
// while the registry doesn't list it as leaving.
func TestLeavingAnnouncedInResponses(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		registry     func(*engineCluster)
	}{
		"registry unreachable": {8, 6, func(b *engineCluster) { b.registry.setUnavailable(true) }},
		"outdated entry": {8, 6, func(b *engineCluster) {
			time.Sleep(500 * time.Millisecond)
			b.listEngine(b.testCluster.engines.all["at-e1"])
		}},
		"single engine": {8, 1, func(b *engineCluster) { b.registry.setUnavailable(true) }},
		"large fleet":   {30, 6, func(b *engineCluster) { b.registry.setUnavailable(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineCluster(t, c.vms, c.engines, func(b *engineCluster) {
				const pause = 15 * time.Millisecond
				b.sendOtherRequests(2*time.Second, pause)
				b.announceLeaving("e1")
				go c.registry(b)
				b.sendOtherRequests(8*time.Second, pause)
				b.checkDrained("e1")
			})
		})
	}
}

// Guards against a backend server that gets no requests after it restarted, and against one
// that gets requests again because its older entry lapsed and was written again.
func TestLeavingEndsWithRestart(t *testing.T) {
	table := newBackendTable(zap.NewNop())
	now := time.Now()
	list := func(started int64) {
		table.applyChanges(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: started}}})
	}
	checkLeaving := func(why string, want bool) {
		t.Helper()
		b, _ := table.get("e")
		testkit.Equal(t, why, b.isLeaving(), want)
	}
	list(firstStartTime)
	testkit.That(t, !table.markLeaving(now, entryvm.LeavingBackend{Backend: "e", Started: firstStartTime + 10}, "b"), "an announcement by another start is applied")
	testkit.That(t, table.markLeaving(now, entryvm.LeavingBackend{Backend: "e"}, "a"), "its own announcement is not applied")
	checkLeaving("after its announcement", true)
	list(firstStartTime)
	checkLeaving("with its older entry", true)
	table.applyChanges(now, []registry.Change{{ID: "e"}})
	list(firstStartTime)
	checkLeaving("with its older entry written again", true)
	list(firstStartTime + 20)
	checkLeaving("after a restart", false)
	testkit.That(t, !table.markLeaving(now, entryvm.LeavingBackend{Backend: "e", Started: firstStartTime}, "b"), "an announcement by a former start is applied")
	checkLeaving("after a late report from another VM", false)
}
