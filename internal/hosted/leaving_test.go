package hosted

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// leavingSpread is how long a VM may go on after an answer said that a backend server leaves.
const leavingSpread = 2 * time.Second

// sayLeaving has an engine's answers say that it leaves.
func (b *engineBed) sayLeaving(id string) {
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	b.engines["at-"+id].leaving = true
}

// checkLeft holds that no VM sent an engine requests once it had known for long that it
// leaves, and that some did know.
func (b *engineBed) checkLeft(id string) {
	b.Helper()
	b.statsMu.Lock()
	defer b.statsMu.Unlock()
	known, late := make(map[string]time.Time), 0
	for _, a := range b.arrivals {
		first, knows := known[a.vm]
		switch {
		case a.engine != id || !a.leaving:
		case !knows:
			known[a.vm] = a.at
		case a.at.Sub(first) > leavingSpread:
			late++
		}
	}
	testkit.That(b, len(known) > 0, "nobody was told that %s leaves", id)
	testkit.That(b, late == 0, "%d requests reached %s later than %s after the VM was told", late, id, leavingSpread)
}

// Guards against requests to a backend server that has said in its answers that it leaves,
// while the registry does not.
func TestLeavingSaidInAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		vms, engines int
		registry     func(*engineBed)
	}{
		"registry away": {8, 6, func(b *engineBed) { b.registry.setAway(true) }},
		"entry still old": {8, 6, func(b *engineBed) {
			time.Sleep(500 * time.Millisecond)
			b.listEngine(b.testBed.engines.all["at-e1"])
		}},
		"the only one":     {8, 1, func(b *engineBed) { b.registry.setAway(true) }},
		"in a large fleet": {30, 6, func(b *engineBed) { b.registry.setAway(true) }},
	} {
		t.Run(name, func(t *testing.T) {
			withEngineBed(t, c.vms, c.engines, func(b *engineBed) {
				const pause = 15 * time.Millisecond
				b.sendOtherRequests(2*time.Second, pause)
				b.sayLeaving("e1")
				go c.registry(b)
				b.sendOtherRequests(8*time.Second, pause)
				b.checkLeft("e1")
			})
		})
	}
}

// Guards against a backend server that gets nothing any more after it started again, and
// against one whose older entry, lapsed and written again, brings it back.
func TestLeavingBelongsToAStart(t *testing.T) {
	table := newBackendTable(zap.NewNop())
	now := time.Now()
	list := func(started int64) {
		table.change(now, []registry.Change{{ID: "e", Backend: &registry.Backend{ID: "e", Service: "s", Started: started}}})
	}
	leaves := func(why string, want bool) {
		t.Helper()
		b, _ := table.get("e")
		testkit.Equal(t, why, b.leaves(), want)
	}
	list(firstStart)
	testkit.That(t, !table.markLeaving(now, entryvm.LeavingBackend{Backend: "e", Started: firstStart + 10}, "b"), "another start's word counts")
	testkit.That(t, table.markLeaving(now, entryvm.LeavingBackend{Backend: "e"}, "a"), "its own word does not count")
	leaves("it said so", true)
	list(firstStart)
	leaves("its older entry", true)
	table.change(now, []registry.Change{{ID: "e"}})
	list(firstStart)
	leaves("its older entry is back", true)
	list(firstStart + 20)
	leaves("it started again", false)
	testkit.That(t, !table.markLeaving(now, entryvm.LeavingBackend{Backend: "e", Started: firstStart}, "b"), "a former start's word counts")
	leaves("another VM's late report", false)
}
