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

// VMs come and go, and two VMs see that in different steps. Once they see the
// same VMs live they must agree on every unit's planner, or two would plan it
// for good; and who plans after a planner's death is known before it.
func TestTablesWithTheSameNodesAgree(t *testing.T) {
	all := nodes(12)
	rapid.Check(t, func(t *rapid.T) {
		some := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), rapid.ID)
		one := rendezvous.NewTable()
		var last []string
		for range rapid.IntRange(1, 6).Draw(t, "steps") {
			last = some.Draw(t, "live")
			one.SetNodes(last)
		}
		other := rendezvous.NewTable()
		other.SetNodes(last)
		dead := one.Owner(0)
		without := rendezvous.NewTable()
		without.SetNodes(slices.DeleteFunc(slices.Clone(last), func(vm string) bool { return vm == dead }))
		for bucket := range rendezvous.BucketCount {
			if one.Owner(bucket) != other.Owner(bucket) {
				t.Fatalf("bucket %d: %s and %s", bucket, one.Owner(bucket), other.Owner(bucket))
			}
			if one.Owner(bucket) == dead && bucket%64 == 0 && one.NextOwner(bucket) != without.Owner(bucket) {
				t.Fatalf("bucket %d: next is %s, became %s", bucket, one.NextOwner(bucket), without.Owner(bucket))
			}
		}
	})
}

// BenchmarkTable is one VM that goes and one that comes, with the time for each;
// and the first Set of all of them, the share of 39,000 units that the busiest
// VM has, and the bytes of it all.
func BenchmarkTable(b *testing.B) {
	testkit.EachSize(b, []int{9, 486, 3400}, func(b *testing.B, n int) {
		all := nodes(n)
		table := rendezvous.NewTable()
		begun := time.Now()
		table.SetNodes(all)
		first := time.Since(begun)
		units := map[string]int{}
		busiest := 0
		for i := range 39_000 {
			vm := table.Pick(fmt.Sprintf("adapter-%05d", i))
			units[vm]++
			busiest = max(busiest, units[vm])
		}
		b.ReportAllocs()
		for b.Loop() {
			table.SetNodes(all[1:])
			table.SetNodes(all)
		}
		b.ReportMetric(float64(first.Microseconds())/1000, "ms/first")
		b.ReportMetric(float64(busiest)*float64(n)/39_000, "busiest/mean")
	})
}
