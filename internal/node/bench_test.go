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

// heardVMs are digests of all of so many entry VMs but the first.
func heardVMs(vms int) []entryvm.Digest {
	var heard []entryvm.Digest
	for i := 1; i < vms; i++ {
		heard = append(heard, entryvm.Digest{VM: fmt.Sprintf("vm-%05d", i), Incarnation: "i", Sequence: 1})
	}
	return heard
}

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
			Rand: rand.New(rand.NewSource(1)), PeerTimeout: time.Hour})
		n.gossip.Exchange(heardVMs(vms))
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

// BenchmarkKeeps is the keeper's question which engines to keep, twice a second,
// among so many live entry VMs of one domain with three engines each: the first
// time after a VM came or went, and again.
func BenchmarkKeeps(b *testing.B) {
	for _, vms := range []int{9, 486, 3400} {
		var engines []vmlist.VM
		for i := range 3 * vms {
			name := fmt.Sprintf("engine-%05d", i)
			engines = append(engines, vmlist.VM{ID: name, Kind: vmlist.KindEngine, Address: name})
		}
		n := New(Config{VM: "vm-00000", Incarnation: "i", Logger: zap.NewNop(), Rand: rand.New(rand.NewSource(1)),
			PeerTimeout: time.Hour, Peers: Peers{VMList: vmlistserver.New(0, engines...), Engines: engineserver.NewFleet()}})
		n.gossip.Exchange(heardVMs(vms))
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
