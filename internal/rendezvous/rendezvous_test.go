package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/testkit"
)

func nodes(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("vm-%d", i)
	}
	return all
}

// A VM goes: only the units that it planned get another planner, whatever order
// the others are listed in, and its work spreads over all of them.
func TestDepartureMovesOnlyItsKeys(t *testing.T) {
	before := nodes(9)
	after := slices.Clone(before[1:])
	slices.Reverse(after)
	taken := map[string]int{}
	for i := range 9000 {
		key := fmt.Sprintf("adapter-%d", i)
		was, is := rendezvous.Pick(key, before), rendezvous.Pick(key, after)
		if was != before[0] && is != was {
			t.Fatalf("%s moved from %s to %s", key, was, is)
		}
		if was == before[0] {
			taken[is]++
		}
	}
	for _, node := range after {
		// 1,000 keys over 8 nodes: 125 each, 5 standard deviations are 53.
		if taken[node] < 72 || taken[node] > 178 {
			t.Errorf("uneven: %v", taken)
		}
	}
	testkit.Equal(t, "picked of nobody", rendezvous.Pick("x", nil), "")
}

func BenchmarkPick(b *testing.B) {
	testkit.EachSize(b, []int{9, 486, 3400}, func(b *testing.B, n int) {
		all := nodes(n)
		b.ReportAllocs()
		for b.Loop() {
			rendezvous.Pick("adapter-00001", all)
		}
	})
}
