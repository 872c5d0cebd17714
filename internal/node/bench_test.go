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
// many live entry VMs; the planner asks it for each unit of each plan.
func BenchmarkIsChosen(b *testing.B) {
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
	}
}
