package node

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/state"
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
			plan := func() {
				share := n.shares.share()
				for _, unit := range units {
					share.Mine(unit)
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

// BenchmarkContracts is what each batch of control records costs that changes no
// contract, with so many contracts in force.
func BenchmarkContracts(b *testing.B) {
	for _, customers := range []int{20, 200, 2_000} {
		n := New(Config{VM: "vm", Incarnation: "i", Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1))})
		var newest state.Revision
		n.control.View(func(s *state.State) {
			for i := range customers {
				offset := uint64(i + 1)
				data, err := state.Encode(state.Record{Proposals: []state.Proposal{{
					ID: state.ProposalID{Proposer: "op", Sequence: offset},
					Publish: &state.Publish{Customer: fmt.Sprint("c", i), ChangeID: "1",
						Sections: map[string]string{"customer": fmt.Sprintf("name = c%d\nmemory = 1GB\n", i)}},
				}}})
				if err != nil {
					b.Fatal(err)
				}
				s.Apply(offset, data)
			}
			newest = s.NewestVersion()
		})
		b.Run(fmt.Sprint(customers, "/all"), func(b *testing.B) {
			for b.Loop() {
				n.contractsSince(newest - 1)
			}
		})
		b.Run(fmt.Sprint(customers, "/none-new"), func(b *testing.B) {
			for b.Loop() {
				n.contractsSince(newest)
			}
		})
	}
}
