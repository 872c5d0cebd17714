package state_test

import (
	"testing"

	"bergamotreel/internal/chunks"
	"bergamotreel/internal/testkit"
	"bergamotreel/internal/wire"
	"bergamotreel/state"
)

// FuzzApply applies arbitrary records. No record may cause a panic, break an
// invariant, or lead to different states on two VMs.
func FuzzApply(f *testing.F) {
	m := newHarness()
	for _, data := range m.records {
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	granted := m.identify("p1", grant(m.actual, "e1"))
	f.Add(record(f, granted, granted))
	f.Add(testkit.Value(wire.Marshal(state.Record{Format: 99}))(f))
	f.Fuzz(func(t *testing.T, data []byte) {
		one, other := m.actual.Clone(), restore(t, m.actual)
		before := view(one)
		_, unreadable := state.Decode(data)
		one.Apply(m.offset+1, data)
		other.Apply(m.offset+1, data)
		if one.Applied != m.offset+1 || sum(t, one) != sum(t, other) {
			t.Fatal("two VMs have different states after the record")
		}
		if unreadable != nil && (one.SkippedRecords != m.actual.SkippedRecords+1 || view(one) != before) {
			t.Fatal("an unreadable record was not counted or changed the state")
		}
		testkit.Require(t, "violated invariant", invariants(one), "")
		testkit.Require(t, "sum after a snapshot", sum(t, restore(t, one)), sum(t, one))
	})
}

// FuzzRestore restores complete snapshots of arbitrary content. Restore must fail or
// return a state to which records can be applied.
func FuzzRestore(f *testing.F) {
	m := newHarness()
	parts := testkit.Value(m.actual.Snapshot("w"))(f)
	encoded := testkit.Value(chunks.Join(parts))(f)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		parts := testkit.Value(chunks.Split(encoded, "w", 1, chunks.MaxChunkBytes))(t)
		s, err := state.Restore(parts)
		if err != nil {
			return
		}
		for i, record := range m.records {
			s.Apply(s.Applied+uint64(i)+1, record)
		}
	})
}
