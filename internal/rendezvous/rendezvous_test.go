package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/testkit"
)

func nodeNames(n int) []string {
	all := make([]string, n)
	for i := range all {
		all[i] = fmt.Sprintf("vm-%d", i)
	}
	return all
}

// Guards against keys that move although their node stays: when a node leaves, only its keys
// move, regardless of the order in which the others are listed, and they spread evenly over
// the others.
func TestRemovedNodeMovesOnlyItsKeys(t *testing.T) {
	before := nodeNames(9)
	after := slices.Clone(before[1:])
	slices.Reverse(after)
	received := map[string]int{}
	for i := range 9000 {
		key := fmt.Sprintf("adapter-%d", i)
		oldNode, newNode := rendezvous.Pick(key, before), rendezvous.Pick(key, after)
		if oldNode != before[0] && newNode != oldNode {
			t.Fatalf("%s moved from %s to %s", key, oldNode, newNode)
		}
		if oldNode == before[0] {
			received[newNode]++
		}
	}
	for _, node := range after {
		// 1,000 keys over 8 nodes: 125 each, 5 standard deviations are 53.
		if received[node] < 72 || received[node] > 178 {
			t.Errorf("uneven: %v", received)
		}
	}
	testkit.Equal(t, "picked without nodes", rendezvous.Pick("x", nil), "")
}

func BenchmarkPick(b *testing.B) {
	testkit.EachSize(b, []int{9, 486, 3400}, func(b *testing.B, n int) {
		all := nodeNames(n)
		b.ReportAllocs()
		for b.Loop() {
			rendezvous.Pick("adapter-00001", all)
		}
	})
}
