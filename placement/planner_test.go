package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const gib = int64(1) << 30

var testStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func testEngine(name, domain string, holdings ...Holding) Engine {
	return Engine{Name: name, Domain: domain, MemoryBytes: 80 * gib, Slots: 16, Reachable: true, HasKeeper: true, Holdings: holdings}
}

func testUnit(name string) Unit {
	return Unit{Name: name, Checkpoint: name, Customer: "shop", Bytes: 24 * gib, MaxReplicas: 2, MaxWait: 30 * time.Second}
}

func waitingFor(unit string, n int) Demand {
	return Demand{Unit: unit, Customer: "shop", Waiting: n, EarliestDeadline: testStart.Add(30 * time.Second), Domain: "a"}
}

func readyHolding(unit string, idleSince time.Time) Holding {
	return Holding{Unit: unit, Customer: "shop", Bytes: 24 * gib, Wanted: true, Ready: true, LastUsed: idleSince, ReadySince: idleSince, Right: 7}
}

func describe(decisions []Decision) string {
	out := ""
	for _, d := range decisions {
		out += fmt.Sprintf("%s %s on %s; ", d.Kind, d.Unit, d.Engine)
	}
	return out
}

func TestPlan(t *testing.T) {
	idle := testStart.Add(-time.Minute)
	full := func(name, domain string, units ...string) Engine {
		e := testEngine(name, domain)
		for _, u := range units {
			e.Holdings = append(e.Holdings, readyHolding(u, idle))
		}
		return e
	}
	cached := testEngine("e2", "b")
	cached.Cached = map[string]Tier{"m": TierMemory}
	outdated, updated := readyHolding("m", testStart), readyHolding("m", testStart)
	outdated.Checkpoint, updated.Checkpoint = "m:1", "m:2"
	newCheckpoint := testUnit("m")
	newCheckpoint.Checkpoint = "m:2"
	newCheckpointSingle := newCheckpoint
	newCheckpointSingle.MaxReplicas = 1
	fullEngine := testEngine("e1", "a", readyHolding("m", idle))
	fullEngine.Running = fullEngine.Slots
	leaving := testEngine("e1", "a", readyHolding("m", testStart))
	leaving.Leaving = true
	unhealthy := testEngine("e1", "a", readyHolding("m", testStart))
	unhealthy.Unhealthy = true
	failed := testEngine("e1", "a", Holding{Unit: "m", Customer: "shop", Bytes: 24 * gib, Wanted: true, Failed: true, Right: 7})
	adapter := Unit{Name: "ad", Base: "m", Checkpoint: "ad", Customer: "shop", Bytes: gib / 2, MaxReplicas: 2, MaxWait: 30 * time.Second}
	single, minimum, standby := testUnit("m"), testUnit("m"), testUnit("m")
	single.MaxReplicas, minimum.MinReplicas, standby.StandbyPerDomain = 1, 2, 1
	longWait := waitingFor("m", 3)
	longWait.EarliestDeadline = testStart.Add(25 * time.Second)

	tests := []struct {
		name    string
		engines []Engine
		units   []Unit
		demand  []Demand
		want    string
	}{
		{"a burst at many routers is one grant", []Engine{testEngine("e1", "a"), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 9), waitingFor("m", 4), waitingFor("m", 1)}, "grant m on e1; "},
		{"an engine in another domain is preferred if it has the checkpoint in memory", []Engine{testEngine("e1", "a"), cached},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 1)}, "grant m on e2; "},
		{"the demand's domain is preferred among equal engines", []Engine{testEngine("e1", "b"), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 1)}, "grant m on e2; "},
		{"an idle unit is evicted, one that requests wait for is not", []Engine{full("e1", "a", "x", "y", "z")},
			[]Unit{testUnit("m"), testUnit("x")}, []Demand{waitingFor("m", 1), {Unit: "x", Customer: "shop", Waiting: 1, EarliestDeadline: testStart.Add(29 * time.Second)}},
			"withdraw y on e1; "},
		{"a replica on a leaving engine is replaced before it is withdrawn", []Engine{leaving, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, nil, "grant m on e2; withdraw m on e1; "},
		{"the only allowed replica on a leaving engine is withdrawn before it is replaced", []Engine{leaving, testEngine("e2", "a")},
			[]Unit{single}, nil, "withdraw m on e1; "},
		{"a replica with the new checkpoint is started beside the old one", []Engine{testEngine("e1", "a", outdated), testEngine("e2", "a")},
			[]Unit{newCheckpoint}, nil, "grant m on e2; "},
		{"the old replica is withdrawn once the one with the new checkpoint is ready", []Engine{testEngine("e1", "a", outdated), testEngine("e2", "a", updated)},
			[]Unit{newCheckpoint}, nil, "withdraw m on e1; "},
		{"the only allowed replica is withdrawn for the new checkpoint", []Engine{testEngine("e1", "a", outdated), testEngine("e2", "a")},
			[]Unit{newCheckpointSingle}, nil, "withdraw m on e1; "},
		{"a replica on an unhealthy engine does not count as ready", []Engine{unhealthy, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 1)}, "grant m on e2; "},
		{"a failed load is withdrawn and tried on another engine", []Engine{failed, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 1)}, "withdraw m on e1; grant m on e2; "},
		{"a failed load of the only allowed replica is retried only after its withdrawal", []Engine{failed, testEngine("e2", "a")},
			[]Unit{single}, []Demand{waitingFor("m", 1)}, "withdraw m on e1; "},
		{"an adapter is placed where its base is ready", []Engine{testEngine("e1", "a"), full("e2", "b", "m")},
			[]Unit{adapter, testUnit("m")}, []Demand{waitingFor("ad", 1)}, "grant ad on e2; "},
		{"the base of an adapter is started first", []Engine{testEngine("e1", "a")},
			[]Unit{adapter, testUnit("m")}, []Demand{waitingFor("ad", 1)}, "grant m on e1; "},
		{"the contract's minimum of replicas is spread over domains", []Engine{testEngine("e1", "a"), testEngine("e2", "a"), testEngine("e3", "b")},
			[]Unit{minimum}, nil, "grant m on e1; grant m on e3; "},
		{"standby rights are granted in each domain", []Engine{testEngine("e1", "a"), testEngine("e2", "a"), testEngine("e3", "b")},
			[]Unit{standby}, nil, "grant m on e1; grant m on e3; "},
		{"a long wait at a full replica starts one more", []Engine{fullEngine, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{longWait}, "grant m on e2; "},
		{"a long wait while slots are free starts no replica", []Engine{testEngine("e1", "a", readyHolding("m", idle)), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{longWait}, ""},
		{"a short wait at a ready replica starts no further one", []Engine{testEngine("e1", "a", readyHolding("m", testStart)), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waitingFor("m", 3)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(Config{})
			v := View{Now: testStart, LocalDomain: "a", Engines: tt.engines, Units: tt.units, Demand: tt.demand}
			testkit.Equal(t, "first plan", describe(p.Plan(v)), tt.want)
			v.Now = testStart.Add(time.Millisecond)
			testkit.Equal(t, "the same view again", describe(p.Plan(v)), "")
		})
	}
}
