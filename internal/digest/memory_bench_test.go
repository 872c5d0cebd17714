package digest_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
)

// BenchmarkMemory gives the heap that each remembered VM takes, its digest as it
// came off the wire.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var heap float64
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				table := digest.NewTable("self", timeout)
				for i := range n {
					table.Merge(begin, []entryvm.Digest{received(b, busyDigest(i, 8))})
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(table)
				heap = float64(after.HeapAlloc) - float64(before.HeapAlloc)
			}
			b.ReportMetric(heap/float64(n), "B/VM")
		})
	}
}

// received is a digest sent and read.
func received(b *testing.B, sent entryvm.Digest) (d entryvm.Digest) {
	var wire bytes.Buffer
	if err := gob.NewEncoder(&wire).Encode(sent); err != nil {
		b.Fatal(err)
	}
	if err := gob.NewDecoder(&wire).Decode(&d); err != nil {
		b.Fatal(err)
	}
	return d
}
