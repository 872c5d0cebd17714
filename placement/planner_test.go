package placement

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

const gb = int64(1) << 30

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func testEngine(name, domain string, holdings ...Holding) Engine {
	return Engine{Name: name, Domain: domain, MemoryBytes: 80 * gb, Slots: 16, Reachable: true, HasKeeper: true, Holdings: holdings}
}

func testUnit(name string) Unit {
	return Unit{Name: name, Checkpoint: name, Customer: "shop", Bytes: 24 * gb, MaxReplicas: 2, MaxWait: 30 * time.Second}
}

func waits(unit string, n int) Demand {
	return Demand{Unit: unit, Customer: "shop", Waiting: n, Deadline: start.Add(30 * time.Second), Domain: "a"}
}

func ready(unit string, idleSince time.Time) Holding {
	return Holding{Unit: unit, Customer: "shop", Bytes: 24 * gb, Wanted: true, Ready: true, LastUsed: idleSince, ReadySince: idleSince, Right: 7}
}

func kinds(decisions []Decision) string {
	out := ""
	for _, d := range decisions {
		out += fmt.Sprintf("%s %s on %s; ", d.Kind, d.Unit, d.Engine)
	}
	return out
}

func TestPlan(t *testing.T) {
	idle := start.Add(-time.Minute)
	full := func(name, domain string, units ...string) Engine {
		e := testEngine(name, domain)
		for _, u := range units {
			e.Holdings = append(e.Holdings, ready(u, idle))
		}
		return e
	}
	cached := testEngine("e2", "b")
	cached.Cached = map[string]Tier{"m": TierMemory}
	aged, renewed := ready("m", start), ready("m", start)
	aged.Checkpoint, renewed.Checkpoint = "m:1", "m:2"
	newer := testUnit("m")
	newer.Checkpoint = "m:2"
	newerSingle := newer
	newerSingle.MaxReplicas = 1
	crowded := testEngine("e1", "a", ready("m", idle))
	crowded.Running = crowded.Slots
	leaving := testEngine("e1", "a", ready("m", start))
	leaving.Leaving = true
	sick := testEngine("e1", "a", ready("m", start))
	sick.Unhealthy = true
	failed := testEngine("e1", "a", Holding{Unit: "m", Customer: "shop", Bytes: 24 * gb, Wanted: true, Failed: true, Right: 7})
	adapter := Unit{Name: "ad", Base: "m", Checkpoint: "ad", Customer: "shop", Bytes: gb / 2, MaxReplicas: 2, MaxWait: 30 * time.Second}
	single, minimum, standby := testUnit("m"), testUnit("m"), testUnit("m")
	single.MaxReplicas, minimum.MinReplicas, standby.StandbyPerDomain = 1, 2, 1
	late := waits("m", 3)
	late.Deadline = start.Add(25 * time.Second)

	tests := []struct {
		name    string
		engines []Engine
		units   []Unit
		demand  []Demand
		want    string
	}{
		{"a burst at many routers is one grant", []Engine{testEngine("e1", "a"), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waits("m", 9), waits("m", 4), waits("m", 1)}, "grant m on e1; "},
		{"the engine with the checkpoint in memory is worth another domain", []Engine{testEngine("e1", "a"), cached},
			[]Unit{testUnit("m")}, []Demand{waits("m", 1)}, "grant m on e2; "},
		{"own domain goes first among equals", []Engine{testEngine("e1", "b"), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waits("m", 1)}, "grant m on e2; "},
		{"an idle unit makes room, a waiting or running one does not", []Engine{full("e1", "a", "x", "y", "z")},
			[]Unit{testUnit("m"), testUnit("x")}, []Demand{waits("m", 1), {Unit: "x", Customer: "shop", Waiting: 1, Deadline: start.Add(29 * time.Second)}},
			"withdraw y on e1; "},
		{"a leaving engine is replaced first", []Engine{leaving, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, nil, "grant m on e2; withdraw m on e1; "},
		{"a leaving engine's only allowed replica is withdrawn first", []Engine{leaving, testEngine("e2", "a")},
			[]Unit{single}, nil, "withdraw m on e1; "},
		{"a new checkpoint comes up beside the old one", []Engine{testEngine("e1", "a", aged), testEngine("e2", "a")},
			[]Unit{newer}, nil, "grant m on e2; "},
		{"the old checkpoint goes once the new one is ready", []Engine{testEngine("e1", "a", aged), testEngine("e2", "a", renewed)},
			[]Unit{newer}, nil, "withdraw m on e1; "},
		{"the only allowed replica makes place for the new checkpoint", []Engine{testEngine("e1", "a", aged), testEngine("e2", "a")},
			[]Unit{newerSingle}, nil, "withdraw m on e1; "},
		{"a replica on a sick engine does not count as ready", []Engine{sick, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waits("m", 1)}, "grant m on e2; "},
		{"a failed load is withdrawn and tried elsewhere", []Engine{failed, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waits("m", 1)}, "withdraw m on e1; grant m on e2; "},
		{"a failed load of the only allowed replica waits for its end", []Engine{failed, testEngine("e2", "a")},
			[]Unit{single}, []Demand{waits("m", 1)}, "withdraw m on e1; "},
		{"an adapter goes where its base is ready", []Engine{testEngine("e1", "a"), full("e2", "b", "m")},
			[]Unit{adapter, testUnit("m")}, []Demand{waits("ad", 1)}, "grant ad on e2; "},
		{"an adapter without a base brings up the base", []Engine{testEngine("e1", "a")},
			[]Unit{adapter, testUnit("m")}, []Demand{waits("ad", 1)}, "grant m on e1; "},
		{"the contract's minimum spreads over domains", []Engine{testEngine("e1", "a"), testEngine("e2", "a"), testEngine("e3", "b")},
			[]Unit{minimum}, nil, "grant m on e1; grant m on e3; "},
		{"standby rights in each domain", []Engine{testEngine("e1", "a"), testEngine("e2", "a"), testEngine("e3", "b")},
			[]Unit{standby}, nil, "grant m on e1; grant m on e3; "},
		{"a long wait at a ready replica brings one more", []Engine{crowded, testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{late}, "grant m on e2; "},
		{"a long wait beside free slots is not for want of a replica", []Engine{testEngine("e1", "a", ready("m", idle)), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{late}, ""},
		{"a short wait at a ready replica does not", []Engine{testEngine("e1", "a", ready("m", start)), testEngine("e2", "a")},
			[]Unit{testUnit("m")}, []Demand{waits("m", 3)}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(Config{})
			v := View{Now: start, LocalDomain: "a", Engines: tt.engines, Units: tt.units, Demand: tt.demand}
			testkit.Equal(t, "first plan", kinds(p.Plan(v)), tt.want)
			v.Now = start.Add(time.Millisecond)
			testkit.Equal(t, "the same view again", kinds(p.Plan(v)), "")
		})
	}
}
