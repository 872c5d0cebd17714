package digest_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/internal/testkit"
)

// BenchmarkMemory gives the heap that each remembered VM takes, its digest as it
// came off the wire.
func BenchmarkMemory(b *testing.B) {
	testkit.EachSize(b, sizes, func(b *testing.B, n int) {
		var heap float64
		for b.Loop() {
			heap = testkit.HeapBytes(func() *digest.Table {
				table := digest.NewTable("self", timeout)
				for i := range n {
					table.Merge(begin, []entryvm.Digest{received(b, busyDigest(i, 8))})
				}
				return table
			})
		}
		b.ReportMetric(heap/float64(n), "B/VM")
	})
}

// received is a digest sent and read.
func received(b *testing.B, sent entryvm.Digest) (d entryvm.Digest) {
	var wire bytes.Buffer
	testkit.OK(b, gob.NewEncoder(&wire).Encode(sent))
	testkit.OK(b, gob.NewDecoder(&wire).Decode(&d))
	return d
}
