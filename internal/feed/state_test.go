package feed

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// Guards against changes that arrive from the registry and from another VM, out of order
// or twice, and undo newer ones.
func TestFeedRejectsOutOfOrderChanges(t *testing.T) {
	var applied []string
	apply := func(list []registry.Change) {
		for _, c := range list {
			applied = append(applied, c.ID)
		}
	}
	batch := func(from, to registry.Cursor, ids ...string) Batch {
		out := Batch{From: from, To: to}
		for _, id := range ids {
			out.List = append(out.List, registry.Change{ID: id})
		}
		return out
	}
	var f State
	testkit.That(t, !f.ApplyBatch(batch(0, 1, "x"), apply), "changes are applied before the whole topic was read")
	f.Reset(3, true)
	testkit.That(t, f.ApplyBatch(batch(3, 5, "d", "e"), apply), "the next changes are rejected")
	testkit.That(t, !f.ApplyBatch(batch(3, 4, "d"), apply), "older changes are applied after newer ones")
	testkit.That(t, !f.ApplyBatch(batch(6, 7, "g"), apply), "a batch after a gap is applied")
	testkit.That(t, f.ApplyBatch(batch(3, 6, "d", "e", "f"), apply), "a batch that overlaps known changes is rejected")
	testkit.Equal(t, "applied", fmt.Sprint(applied), "[d e d e f]")
	since, ok := f.Since(5)
	testkit.That(t, ok && since.From <= 5 && since.To == 6 && since.List[len(since.List)-1].ID == "f", "got %+v, %v", since, ok)
	_, ok = f.Since(2)
	testkit.That(t, !ok, "changes that are no longer kept were returned")
	_, ok = f.Since(9)
	testkit.That(t, !ok, "changes after a future cursor were returned")
}

// A read that waited its full time without changes confirms that nothing changed until its
// end. A read that comes back early without changes, as from a registry that restarts,
// confirms only the time at which it started; counted as a full wait, it hid changes until
// after their limit.
func TestEarlyEmptyReadConfirmsNothing(t *testing.T) {
	const start, wait = 10 * time.Second, 700 * time.Millisecond
	for _, read := range []struct {
		name    string
		took    time.Duration
		changed bool
		want    time.Duration
	}{
		{"full wait without changes", wait + 4*time.Millisecond, false, start + wait},
		{"early without changes", 70 * time.Millisecond, false, start},
		{"with changes", 70 * time.Millisecond, true, start},
		{"with changes at its end", wait + 4*time.Millisecond, true, start},
	} {
		testkit.Equal(t, read.name, KnownUntil(start, start+read.took, wait, read.changed), read.want)
	}
}
