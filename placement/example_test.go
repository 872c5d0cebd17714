package placement_test

import (
	"fmt"
	"time"

	"bergamotreel/placement"
)

// Requests wait for a model without replicas. The plan loads it once, on the engine
// that has its checkpoint on disk.
func ExamplePlanner_Plan() {
	now := time.Unix(1_800_000_000, 0)
	p := placement.NewPlanner(placement.Config{})
	p.RecordRequest("clerk-7b", now)
	engine := func(name string, cached map[string]placement.Tier) placement.Engine {
		return placement.Engine{Name: name, Domain: "a", MemoryBytes: 80e9, Slots: 16, Reachable: true, HasKeeper: true, Cached: cached}
	}
	view := placement.View{
		Now: now, LocalDomain: "a",
		Engines: []placement.Engine{
			engine("10.0.1.1:7201", nil),
			engine("10.0.1.2:7201", map[string]placement.Tier{"clerk-7b:v3": placement.TierDisk}),
		},
		Units: []placement.Unit{{
			Name: "clerk-7b", Checkpoint: "clerk-7b:v3", Customer: "trinidad", Bytes: 16e9, MaxReplicas: 2, MaxWait: time.Minute,
		}},
		Demand: []placement.Demand{{Unit: "clerk-7b", Customer: "trinidad", Waiting: 12, EarliestDeadline: now.Add(time.Minute), Domain: "a"}},
		Store:  placement.StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4},
	}
	for _, d := range p.Plan(view) {
		fmt.Println(d.Kind, d.Unit, d.Engine, d.Wanted)
	}
	// Output:
	// grant clerk-7b 10.0.1.2:7201 true
}
