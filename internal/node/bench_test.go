package node

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
)

// BenchmarkIsChosen is the question whether this VM plans one unit, among so
// many live entry VMs; "planned" is how the planner asks it in each plan for all
// its units, 1,000 here, after the first one since a VM came or went.
func BenchmarkIsChosen(b *testing.B) {
	units := make([]string, 1000)
	for i := range units {
		units[i] = fmt.Sprintf("adapter-%05d", i)
	}
	for _, vms := range []int{9, 486, 3400} {
		n := New(Config{VM: "vm-00000", Incarnation: "i", Logger: zap.NewNop(),
			Rand: rand.New(rand.NewSource(1)), HeardFor: time.Hour})
		var heard []entryvm.Digest
		for i := 1; i < vms; i++ {
			heard = append(heard, entryvm.Digest{VM: fmt.Sprintf("vm-%05d", i), Incarnation: "i", Sequence: 1})
		}
		n.gossip.Exchange(heard)
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				n.isChosen("adapter-00001")
			}
		})
		b.Run(fmt.Sprint("planned/", vms), func(b *testing.B) {
			choice := n.planned.choice(n.config.VM, n.liveVMs)
			plan := func() {
				mine := choice()
				for _, unit := range units {
					mine(unit)
				}
			}
			plan()
			for b.Loop() {
				plan()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/unit")
		})
	}
}
