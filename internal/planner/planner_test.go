package planner

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/testkit"
	"bergamotreel/placement"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// The policy's initial estimate is a guess from the unit's size: 28 s for a load
// that took 2 s. After an outage it is too long as well, because delayed loads
// count. If it were announced, requests would be refused that could have waited.
// Therefore no estimate is given before loads of the tier were measured, and none
// exceeds the fastest of the newest loads.
func TestLoadEstimateIsBoundedByMeasuredLoads(t *testing.T) {
	l, now := newLoadTracker(), time.Unix(1000, 0)
	key, wanted := holdingKey{"engine", "unit"}, placement.Holding{Wanted: true}
	const bytes, guess = 30 << 30, 28 * time.Second
	load := func(tier placement.Tier, delay, takes time.Duration) {
		t.Helper()
		l.observe(key, now, placement.Holding{}, loadReport{tier, "1", false})
		l.observe(key, now, wanted, loadReport{tier, "1", false})
		now = now.Add(delay)
		l.observe(key, now, wanted, loadReport{tier, "1", true})
		l.observe(key, now.Add(takes/2), wanted, loadReport{placement.TierMemory, "1", true})
		now = now.Add(takes)
		if ended, ok := l.finish(key, now, bytes); !ok || ended.duration != takes || ended.tier != tier {
			t.Errorf("finished %+v, %v", ended, ok)
		}
		if _, ok := l.finish(key, now, bytes); ok {
			t.Error("finished twice")
		}
	}
	check := func(what string, tier placement.Tier, want time.Duration) {
		t.Helper()
		got, _ := l.estimate(tier, bytes, guess)
		testkit.Equal(t, what+": estimate", got.Round(time.Millisecond), want)
	}
	check("no loads measured", placement.TierRemote, 0)
	for range minLoadSamples {
		load(placement.TierRemote, 0, 2*time.Second)
	}
	check("loads measured", placement.TierRemote, 2*time.Second)
	check("another tier", placement.TierDisk, 0)
	load(placement.TierRemote, time.Minute, 3*time.Second)
	check("delayed by an outage", placement.TierRemote, 2*time.Second)
	l.observe(key, now, wanted, loadReport{placement.TierRemote, "0", true})
	now = now.Add(time.Second) // the engine restarts
	load(placement.TierRemote, 0, 3*time.Second)
	check("the engine restarted", placement.TierRemote, 2*time.Second)
	for range maxLoadSamples {
		load(placement.TierRemote, 0, 9*time.Second)
	}
	check("the store has become slow", placement.TierRemote, 9*time.Second)
	for range maxLoadSamples {
		load(placement.TierRemote, 0, time.Minute)
	}
	check("the policy expects less", placement.TierRemote, guess)

	l.observe(key, now, wanted, loadReport{placement.TierDisk, "1", true})
	l.drop(key)
	if _, ok := l.finish(key, now, bytes); ok {
		t.Error("a load on an engine that is gone has finished")
	}
}

// Two models share an engine; one is in constant use, the other was used once an
// hour ago. The running requests of the first must not count for the second, or it
// would never be unloaded and would hold its memory indefinitely.
func TestRunningRequestsCountOnlyForRecentlyUsedUnits(t *testing.T) {
	now := time.Unix(100_000, 0)
	p := New(Config{})
	p.ownsUnit = func(string) bool { return true }
	p.lastUsed["busy"], p.lastUsed["idle"] = now.Add(-time.Second), now.Add(-time.Hour)
	e := fleet.Engine{VM: vmlist.VM{Address: "e"}, Status: engine.Status{Units: []engine.Unit{
		{Unit: "busy", Phase: engine.PhaseReady}, {Unit: "idle", Phase: engine.PhaseReady},
	}}}
	for _, unit := range []string{"busy", "idle"} {
		h := p.buildHolding(now, e, &state.Right{Unit: unit, Wanted: true}, 7)
		testkit.Equal(t, unit+"'s streams", h.Streams, map[string]int{"busy": 7, "idle": 0}[unit])
	}
}

// Two planners choose the last memory of one engine, and the control state rejects
// one of the decisions. Its requests must not wait for the proposal timeout. A
// holding that is rejected repeatedly does wait for it, so that a stale cache does
// not use up the log's appends.
func TestRejectedDecisionIsRetriedImmediatelyOnce(t *testing.T) {
	now := time.Unix(100_000, 0)
	p := New(Config{Policy: placement.NewPlanner(placement.Config{})})
	view := placement.View{
		Now:     now,
		Engines: []placement.Engine{{Name: "e", MemoryBytes: 10, Slots: 1, Reachable: true, HasKeeper: true}},
		Units:   []placement.Unit{{Name: "u", Customer: "c", Bytes: 1, MaxReplicas: 1, MaxWait: time.Minute}},
		Demand:  []placement.Demand{{Unit: "u", Customer: "c", Waiting: 1, EarliestDeadline: now.Add(time.Minute)}},
		Store:   placement.StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4},
	}
	for i, want := range []int{1, 1, 0} {
		view.Now = now.Add(time.Duration(i) * 10 * time.Millisecond)
		decisions := p.policy.Plan(view)
		testkit.Require(t, fmt.Sprintf("plan %d: decisions", i), len(decisions), want)
		for _, d := range decisions {
			p.recordRejection(view.Now, d)
		}
	}
}

// A VM receives reports of ever more units in use. It must not remember all of
// them, but must keep those that it plans, those that engines hold, those whose
// history another planner sent, and those used last.
func TestOldUnitHistoriesAreDropped(t *testing.T) {
	now := time.Unix(100_000, 0)
	p := New(Config{Policy: placement.NewPlanner(placement.Config{})})
	p.cache.fleet.SetEngine(placement.Engine{Name: "e", Holdings: []placement.Holding{{Unit: "held"}}})
	p.ImportHistories(now, []placement.History{{Unit: "imported", LastAgo: time.Hour}})
	share := Share{OwnsUnit: func(unit string) bool { return unit == "own" }}
	p.RecordRequest("own", now)
	p.RecordRequest("held", now)
	for i := range 3 * maxUnitHistories {
		now = now.Add(time.Second)
		p.RecordRequest(fmt.Sprint("other-", i), now)
	}
	p.dropOldHistories(now, share)
	testkit.Equal(t, "units kept", len(p.lastUsed), maxUnitHistories*3/4)
	for _, unit := range []string{"own", "held", "imported", fmt.Sprint("other-", 3*maxUnitHistories-1)} {
		if _, known := p.policy.History(unit, now); !known {
			t.Errorf("%s dropped", unit)
		}
	}
	if _, known := p.policy.History("other-0", now); known {
		t.Error("other-0 kept")
	}
}
