package fleet

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/testkit"
	"bergamotreel/vmlist"
)

// BenchmarkMemory reports the heap used per engine, with two units and one cached
// checkpoint each.
func BenchmarkMemory(b *testing.B) {
	testkit.EachSize(b, []int{40, 1_000, 10_000}, func(b *testing.B, n int) {
		var bytes float64
		for b.Loop() {
			bytes = testkit.HeapBytes(func() *Fleet { return newFleetWithEngines(n) })
		}
		b.ReportMetric(bytes/float64(n), "B/engine")
	})
}

// BenchmarkEngines measures listing all engines, as the planner, the keeper and the
// routers do.
func BenchmarkEngines(b *testing.B) {
	testkit.EachSize(b, []int{40, 1_000, 10_000}, func(b *testing.B, n int) {
		f := newFleetWithEngines(n)
		for b.Loop() {
			f.Engines()
		}
	})
}

// newFleetWithEngines returns a fleet that has the status of n engines.
func newFleetWithEngines(n int) *Fleet {
	f := New(Config{}, nil, nil)
	var list vmlist.List
	for i := range n {
		list.VMs = append(list.VMs, vmlist.VM{ID: fmt.Sprintf("engine-vm-%05d", i), Kind: vmlist.KindEngine,
			Address: fmt.Sprintf("10.120.%d.%d:7201", i/250, i%250), Domain: fmt.Sprint("domain-", i%7)})
	}
	f.list = list
	f.applyList(list)
	for i, vm := range list.VMs {
		name := fmt.Sprintf("adapter-%05d", i)
		f.RecordStatus(vm.Address, engine.Status{Incarnation: fmt.Sprintf("%010d", i), Role: engine.RoleBoth, MemoryBytes: 80 << 30,
			Units: []engine.Unit{
				{Unit: "base-7b", Checkpoint: "base-7b:1", Bytes: 20 << 30, Phase: engine.PhaseReady},
				{Unit: name, Base: "base-7b", Checkpoint: name + ":1", Bytes: 200 << 20, Phase: engine.PhaseReady},
			},
			Cached: map[string]engine.Tier{name + ":0": engine.TierDisk},
			Load:   engine.Load{ReportedAt: time.Unix(1_800_000_000, 0)}, Slots: 16}, nil)
	}
	return f
}
