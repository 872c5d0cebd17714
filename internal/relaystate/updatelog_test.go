package relaystate

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// Guards against an engine that stays in the log after its keeper no longer lists it, and
// against a checksum that is the same for two versions.
func TestUpdateLogFullListAndChecksums(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewUpdateLog()
	put := func(engine string, version uint64) {
		l.Put(now, "k", entryvm.EngineUpdate{ID: engine, Version: version}, true)
	}
	put("e1", 1)
	put("e2", 1)
	l.RecordFullList(now, "k")
	_, next, _ := l.Since(0, false)
	first := l.Renewals(now, true)
	now = now.Add(3 * time.Second)
	put("e1", 1)
	l.RecordFullList(now, "k")
	updates, _, _ := l.Since(next, false)
	testkit.That(t, len(updates) == 0, "sent again: %v", updates)
	updates = l.OfKeepers([]string{"k"}, false)
	testkit.That(t, len(updates) == 1 && updates[0].Update.ID == "e1", "requested again: %v", updates)
	second := l.Renewals(now, true)
	testkit.That(t, len(second) == 1 && second[0].Checksum != first[0].Checksum && second[0].Age == 0, "renewals %v, %v", first, second)
	put("e1", 2)
	third := l.Renewals(now, true)
	testkit.That(t, third[0].Checksum != second[0].Checksum, "the same checksum for two versions")
	l.DropExpired(now.Add(UpdateTTL + time.Second))
	testkit.That(t, len(l.Renewals(now, false)) == 0, "renewed after it expired")
}

// Guards against a transfer of all updates that is too large for a slow link and starts
// again each time: it arrives in parts, each of which counts.
func TestUpdatesArriveInParts(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewUpdateLog()
	const engines = 2*MaxUpdatesPerReport + 7
	for i := range engines {
		l.Put(now, "k", entryvm.EngineUpdate{ID: fmt.Sprint("e", i), Version: 1}, true)
	}
	got, parts := make(map[string]bool), 0
	for position, more := uint64(0), true; more; parts++ {
		var updates []entryvm.RelayedUpdate
		updates, position, more = l.Since(position, false)
		testkit.That(t, len(updates) <= MaxUpdatesPerReport, "%d updates in one part", len(updates))
		for _, update := range updates {
			testkit.That(t, !got[update.Update.ID], "%s came twice", update.Update.ID)
			got[update.Update.ID] = true
		}
	}
	testkit.That(t, len(got) == engines && parts == 3, "%d of %d in %d parts", len(got), engines, parts)
}
