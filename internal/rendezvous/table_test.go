package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "bergamotreel/internal/fixedseed"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/testkit"
	"pgregory.net/rapid"
)

// Guards against two VMs that both plan the same unit permanently: tables that reach the same
// set of nodes by different steps must agree on every bucket's owner. NextOwner must return
// the node that owns the bucket after its owner is removed.
func TestTablesWithTheSameNodesAgree(t *testing.T) {
	all := nodeNames(12)
	rapid.Check(t, func(t *rapid.T) {
		subset := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), rapid.ID)
		table := rendezvous.NewTable()
		var last []string
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			last = subset.Draw(t, "live")
			table.SetNodes(last)
		}
		other := rendezvous.NewTable()
		other.SetNodes(last)
		removed := table.Owner(0)
		remaining := rendezvous.NewTable()
		remaining.SetNodes(slices.DeleteFunc(slices.Clone(last), func(vm string) bool { return vm == removed }))
		for bucket := range rendezvous.BucketCount {
			if table.Owner(bucket) != other.Owner(bucket) {
				t.Fatalf("bucket %d: %s and %s", bucket, table.Owner(bucket), other.Owner(bucket))
			}
			if table.Owner(bucket) == removed && bucket%64 == 0 && table.NextOwner(bucket) != remaining.Owner(bucket) {
				t.Fatalf("bucket %d: next owner is %s, owner after removal is %s", bucket, table.NextOwner(bucket), remaining.Owner(bucket))
			}
		}
	})
}

// BenchmarkTable measures the removal and addition of one node. It also reports allocations,
// the time of the first SetNodes with all nodes, and how many of 39,000 keys the node with
// the most keys owns, relative to the mean.
func BenchmarkTable(b *testing.B) {
	testkit.EachSize(b, []int{9, 486, 3400}, func(b *testing.B, n int) {
		all := nodeNames(n)
		table := rendezvous.NewTable()
		start := time.Now()
		table.SetNodes(all)
		firstSet := time.Since(start)
		keys := map[string]int{}
		maxKeys := 0
		for i := range 39_000 {
			node := table.Pick(fmt.Sprintf("adapter-%05d", i))
			keys[node]++
			maxKeys = max(maxKeys, keys[node])
		}
		b.ReportAllocs()
		for b.Loop() {
			table.SetNodes(all[1:])
			table.SetNodes(all)
		}
		b.ReportMetric(float64(firstSet.Microseconds())/1000, "ms/first")
		b.ReportMetric(float64(maxKeys)*float64(n)/39_000, "busiest/mean")
	})
}
