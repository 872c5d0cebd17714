package digest_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/internal/testkit"
)

// BenchmarkMemory reports the heap used per stored VM, with digests decoded from their
// wire form.
func BenchmarkMemory(b *testing.B) {
	testkit.EachSize(b, fleetSizes, func(b *testing.B, n int) {
		var heap float64
		for b.Loop() {
			heap = testkit.HeapBytes(func() *digest.Table {
				table := digest.NewTable("self", timeout)
				for i := range n {
					table.Merge(startTime, []entryvm.Digest{encodeAndDecode(b, busyDigest(i, 8))})
				}
				return table
			})
		}
		b.ReportMetric(heap/float64(n), "B/VM")
	})
}

// encodeAndDecode returns a copy of a digest that has passed through its wire form.
func encodeAndDecode(b *testing.B, sent entryvm.Digest) (d entryvm.Digest) {
	var wire bytes.Buffer
	testkit.OK(b, gob.NewEncoder(&wire).Encode(sent))
	testkit.OK(b, gob.NewDecoder(&wire).Decode(&d))
	return d
}
