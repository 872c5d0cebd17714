package state_test

import (
	"testing"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/testkit"
	"bergamotreel/internal/wire"
	"bergamotreel/state"
)

// FuzzApply feeds the fold what a log may hold: no record may crash it, break an
// invariant, or come to different states on two VMs.
func FuzzApply(f *testing.F) {
	m := newMachine()
	for _, data := range m.records {
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	granted := m.identify("p1", grant(m.ours, "e1"))
	f.Add(record(f, granted, granted))
	f.Add(testkit.Value(wire.Marshal(state.Record{Format: 99}))(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		one, other := m.ours.Clone(), restored(t, m.ours)
		before := view(one)
		_, unreadable := state.Decode(data)
		one.Apply(m.offset+1, data)
		other.Apply(m.offset+1, data)
		if one.Applied != m.offset+1 || sum(t, one) != sum(t, other) {
			t.Fatal("two VMs fold the record to different states")
		}
		if unreadable != nil && (one.SkippedRecords != m.ours.SkippedRecords+1 || view(one) != before) {
			t.Fatal("an unreadable record is not counted or changed the state")
		}
		testkit.Require(t, "broken", invariants(one), "")
		testkit.Require(t, "sum after a snapshot", sum(t, restored(t, one)), sum(t, one))
	})
}

// FuzzRestore feeds Restore a whole snapshot of anything: it must fail or give a
// state that folds on.
func FuzzRestore(f *testing.F) {
	m := newMachine()
	parts := testkit.Value(m.ours.Snapshot("w"))(f)
	encoded := testkit.Value(chunks.Join(parts))(f)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		parts := testkit.Value(chunks.Split(encoded, "w", 1, chunks.Size))(t)
		s, err := state.Restore(parts)
		if err != nil {
			return
		}
		for i, record := range m.records {
			s.Apply(s.Applied+uint64(i)+1, record)
		}
	})
}
