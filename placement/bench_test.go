package placement

import (
	"fmt"
	"testing"
	"time"
)

// benchSizes are a fleet of 40 engines, one of 1,000, and the design maximum of 10,000.
// mine is how many of the units one of the VMs plans for, as all VMs plan.
var benchSizes = []struct{ engines, units, mine int }{{40, 165, 18}, {1_000, 3_900, 12}, {10_000, 39_000, 12}}

// benchView returns a view with one base and one adapter on each engine, and with
// requests that wait for one adapter.
func benchView(engines, units, mine int) View {
	all := make([]Unit, units)
	for i := range all {
		all[i] = Unit{
			Name: fmt.Sprintf("adapter-%05d", i), Base: "base", Checkpoint: fmt.Sprintf("adapter-%05d:1", i),
			Customer: "c", Bytes: 200 << 20, MaxReplicas: 100, MaxWait: 20 * time.Second,
		}
	}
	base := Unit{Name: "base", Checkpoint: "base:1", Customer: "c", Bytes: 20 << 30, MaxReplicas: engines}
	v := View{Now: time.Unix(1_800_000_000, 0), LocalDomain: "d0", Units: all[:mine], Store: StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4}}
	v.LookupUnit = func(_, unit string) (Unit, bool) { return base, unit == base.Name }
	for i := range engines {
		adapter := all[i%units]
		v.Engines = append(v.Engines, Engine{
			Name: fmt.Sprintf("10.0.%d.%d:7201", i/250, i%250), Domain: fmt.Sprint("d", i%7), MemoryBytes: 80 << 30,
			Slots: 16, Reachable: true, HasKeeper: true, Cached: map[string]Tier{base.Checkpoint: TierDisk},
			Holdings: []Holding{
				{Unit: base.Name, Customer: "c", Bytes: base.Bytes, Wanted: true, Ready: true, LastUsed: v.Now, Right: 1},
				{Unit: adapter.Name, Customer: "c", Base: base.Name, Bytes: adapter.Bytes, Wanted: true, Ready: true, LastUsed: v.Now, Right: 2},
			},
		})
	}
	v.Demand = []Demand{{Unit: all[mine-1].Name, Customer: "c", Waiting: 1, EarliestDeadline: v.Now.Add(10 * time.Second), Domain: "d0"}}
	return v
}

// BenchmarkPlan measures one plan over a list of all engines and over a Fleet that
// is kept up to date.
func BenchmarkPlan(b *testing.B) {
	for _, size := range benchSizes {
		v := benchView(size.engines, size.units, size.mine)
		name := fmt.Sprintf("%dengines", size.engines)
		b.Run("list/"+name, func(b *testing.B) { benchPlan(b, v) })
		v.Fleet = fleetOf(v)
		v.Engines = nil
		b.Run("fleet/"+name, func(b *testing.B) { benchPlan(b, v) })
	}
}

func benchPlan(b *testing.B, v View) {
	p := NewPlanner(Config{})
	b.ReportAllocs()
	for b.Loop() {
		v.Now = v.Now.Add(time.Millisecond)
		p.Plan(v)
	}
}

// BenchmarkPlanReplicas measures one plan, upkeep included, of a planner whose units
// include a model with many replicas.
func BenchmarkPlanReplicas(b *testing.B) {
	for _, replicas := range []int{140, 1_000, 10_000} {
		v := benchView(replicas, 4*replicas, 12)
		v.Units = append(v.Units, Unit{Name: "base", Checkpoint: "base:1", Customer: "c", Bytes: 20 << 30, MaxReplicas: replicas})
		v.Fleet, v.Engines = fleetOf(v), nil
		b.Run(fmt.Sprint(replicas, "replicas"), func(b *testing.B) {
			p := NewPlanner(Config{})
			for b.Loop() {
				v.Now = v.Now.Add(DefaultUpkeepInterval)
				p.Plan(v)
			}
		})
	}
}
