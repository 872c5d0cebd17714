package node

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/standin/vmlistserver"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// makeDigests returns the digests of all entry VMs but the first in a fleet of the
// given size.
func makeDigests(vms int) []entryvm.Digest {
	var digests []entryvm.Digest
	for i := 1; i < vms; i++ {
		digests = append(digests, entryvm.Digest{VM: fmt.Sprintf("vm-%05d", i), Incarnation: "i", Sequence: 1})
	}
	return digests
}

// BenchmarkIsChosen measures deciding whether this VM plans a unit, by the number of
// live entry VMs. The "planned" cases ask the way the planner does in each plan, for
// all of its 1,000 units, after the first plan since the live VMs changed.
func BenchmarkIsChosen(b *testing.B) {
	units := make([]string, 1000)
	for i := range units {
		units[i] = fmt.Sprintf("adapter-%05d", i)
	}
	for _, vms := range []int{9, 486, 3400} {
		n := New(Config{VM: "vm-00000", Incarnation: "i", Logger: zap.NewNop(),
			Rand: rand.New(rand.NewSource(1)), PeerTimeout: time.Hour})
		n.gossip.Exchange(makeDigests(vms))
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			for b.Loop() {
				n.isChosen("adapter-00001")
			}
		})
		b.Run(fmt.Sprint("planned/", vms), func(b *testing.B) {
			plan := func() {
				share := n.planners.currentShare()
				for _, unit := range units {
					share.OwnsUnit(unit)
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

// BenchmarkContracts measures the cost of a batch of control records that changes no
// contract, by the number of contracts in force.
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
			newest = s.NewestContractVersion()
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

// BenchmarkKeeps measures how the keeper determines the engines to keep, which it does
// twice a second, by the number of live entry VMs. All VMs are in one domain with three
// engines per VM. With again=false the live VMs have just changed.
func BenchmarkKeeps(b *testing.B) {
	for _, vms := range []int{9, 486, 3400} {
		var engines []vmlist.VM
		for i := range 3 * vms {
			name := fmt.Sprintf("engine-%05d", i)
			engines = append(engines, vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: name})
		}
		n := New(Config{VM: "vm-00000", Incarnation: "i", Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1)),
			PeerTimeout: time.Hour, Peers: Peers{VMList: vmlistserver.New(0, engines...), Engines: engineserver.NewInMemoryClient()}})
		n.gossip.Exchange(makeDigests(vms))
		ctx, stop := context.WithCancel(b.Context())
		go n.fleet.Run(ctx)
		for n.fleet.ListedAt().IsZero() {
			time.Sleep(time.Millisecond)
		}
		stop()
		for _, again := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/again=%v", vms, again), func(b *testing.B) {
				for b.Loop() {
					n.assignments.known = n.assignments.known && again
					n.assignedEngines()
				}
			})
		}
	}
}
