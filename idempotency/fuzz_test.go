package idempotency_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bergamotreel/idempotency"
	"bergamotreel/internal/chunks"
	"bergamotreel/internal/testkit"
	"bergamotreel/internal/wire"
)

// newSeededTable returns a table with a claim, an outcome and a released claim,
// and the records that produced it.
func newSeededTable(t testkit.Fataler) (*idempotency.Table, [][]byte) {
	claim := func(key idempotency.Key, sequence uint64) idempotency.Entry {
		return idempotency.Entry{Claim: &idempotency.Claim{
			ID: idempotency.ClaimID{Claimer: "vm", Sequence: sequence}, Key: key, Digest: 7, WindowMs: 60_000}}
	}
	records := [][]byte{
		encode(t, claim(keys[0], 1), claim(keys[1], 2), claim(keys[2], 3)),
		encode(t, idempotency.Entry{Outcome: &idempotency.Outcome{Key: keys[0], ClaimRevision: idempotency.MakeRevision(1, 0), Answer: idempotency.MakeAnswer(200, map[string]string{"Content-Type": "x"}, []byte("ok"))}},
			idempotency.Entry{Release: &idempotency.Release{Key: keys[1], ClaimRevision: idempotency.MakeRevision(1, 1), ID: idempotency.ClaimID{Claimer: "vm", Sequence: 2}}}),
	}
	table := idempotency.NewTable()
	for i, data := range records {
		table.Apply(uint64(i+1), time.UnixMilli(int64(i)), data)
	}
	return table, records
}

// FuzzApply checks that no record makes Apply crash or yields different tables
// on two VMs.
func FuzzApply(f *testing.F) {
	table, records := newSeededTable(f)
	for _, data := range records {
		f.Add(data, int64(5))
		f.Add(data[:len(data)/2], int64(100_000))
	}
	newer := testkit.Value(wire.Marshal(map[int]int{1: 99}))(f)
	for _, data := range [][]byte{newer, {idempotency.NewestFormat + 1}, fromBase64(f, legacyClaims), fromBase64(f, legacyOutcomes)} {
		f.Add(data, int64(0))
	}
	f.Fuzz(func(t *testing.T, data []byte, ms int64) {
		one, other := table.Clone(), restoreFromSnapshot(t, table)
		record, unreadable := idempotency.Decode(data)
		if unreadable == nil && data[0] == idempotency.NewestFormat {
			again, err := idempotency.Decode(encodeRecord(t, record))
			if diff := cmp.Diff(record, again, cmpopts.EquateEmpty()); err != nil || diff != "" {
				t.Fatal(err, diff)
			}
		}
		one.Apply(table.Applied()+1, time.UnixMilli(ms), data)
		other.Apply(table.Applied()+1, time.UnixMilli(ms), data)
		if checksum(t, one) != checksum(t, other) || checksum(t, one) != checksum(t, restoreFromSnapshot(t, one)) {
			t.Fatal("two VMs apply the record to different tables")
		}
		if unreadable != nil && one.SkippedRecords() != table.SkippedRecords()+1 {
			t.Fatal("an unreadable record is not counted")
		}
	})
}

// FuzzRestore checks that Restore, given any bytes as a snapshot, either fails
// or returns a table that can apply further records.
func FuzzRestore(f *testing.F) {
	table, records := newSeededTable(f)
	parts := testkit.Value(table.Snapshot("w"))(f)
	encoded := testkit.Value(chunks.Join(parts))(f)
	f.Add(encoded)
	f.Add(fromBase64(f, legacyTable))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		parts := testkit.Value(chunks.Split(encoded, "w", 1, chunks.MaxChunkBytes))(t)
		table, err := idempotency.Restore(parts)
		if err != nil {
			return
		}
		for i, data := range records {
			table.Apply(table.Applied()+1, time.UnixMilli(int64(i)), data)
		}
	})
}
