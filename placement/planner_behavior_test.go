package placement

import (
	"fmt"
	"testing"
	"time"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

// singleEngineView returns a planner and a view with one free engine.
func singleEngineView(cfg Config, units ...Unit) (*Planner, View) {
	return NewPlanner(cfg), View{Now: testStart, LocalDomain: "a", Engines: []Engine{testEngine("e1", "a")}, Units: units}
}

func TestKeepTimeFollowsHistoryAndWeight(t *testing.T) {
	keep := func(weight float64, gap time.Duration) time.Duration {
		p, v := singleEngineView(Config{ColdStartWeight: weight}, testUnit("m"))
		for i := range 40 {
			p.RecordRequest("m", testStart.Add(time.Duration(i-40)*gap))
		}
		v.Engines = []Engine{testEngine("e1", "a", readyHolding("m", testStart.Add(-gap)))}
		for v.Now = testStart.Add(-gap); v.Now.Before(testStart.Add(DefaultMaxKeepAlive + gap)); v.Now = v.Now.Add(10 * time.Second) {
			if len(p.Plan(v)) > 0 {
				return v.Now.Sub(testStart.Add(-gap))
			}
		}
		return 0
	}
	got := keep(0.9, 5*time.Minute)
	testkit.That(t, got >= 5*time.Minute && got <= 15*time.Minute, "a unit used every 5 minutes is kept for %v at a high cold start weight", got)
	got = keep(0.05, 5*time.Minute)
	testkit.That(t, got <= time.Minute, "a unit used every 5 minutes is kept for %v at a low cold start weight", got)
	got = keep(0.5, 30*time.Second)
	testkit.That(t, got >= 30*time.Second && got <= 3*time.Minute, "a unit used every 30 seconds is kept for %v", got)
}

func TestPreload(t *testing.T) {
	tests := []struct {
		name   string
		cfg    Config
		used   func(p *Planner)
		at     time.Duration // after testStart
		reason string
	}{
		{"shortly before a scheduled request", Config{ColdStartWeight: 0.9, Preload: true}, func(p *Planner) {
			for i := range 8 {
				p.RecordRequest("m", testStart.Add(time.Duration(i)*30*time.Minute))
			}
		}, 4*time.Hour - 5*time.Second, "timer"},
		{"not long before a scheduled request", Config{ColdStartWeight: 0.9, Preload: true}, func(p *Planner) {
			for i := range 8 {
				p.RecordRequest("m", testStart.Add(time.Duration(i)*30*time.Minute))
			}
		}, 4*time.Hour - 10*time.Minute, ""},
		{"at the time of day of earlier wake-ups", Config{ColdStartWeight: 0.95, Preload: true}, func(p *Planner) {
			for i := range 4 {
				p.RecordRequest("m", testStart.AddDate(0, 0, i-4).Add(5*time.Minute))
			}
		}, 0, "usual hour"},
		{"not after a wake-up on one day only", Config{ColdStartWeight: 0.95, Preload: true}, func(p *Planner) {
			p.RecordRequest("m", testStart.AddDate(0, 0, -1).Add(5*time.Minute))
		}, 0, ""},
		{"not at a low cold start weight", Config{ColdStartWeight: 0.05, Preload: true}, func(p *Planner) {
			for i := range 4 {
				p.RecordRequest("m", testStart.AddDate(0, 0, i-4).Add(5*time.Minute))
			}
		}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, v := singleEngineView(tt.cfg, testUnit("m"))
			v.Engines[0].Cached = map[string]Tier{"m": TierDisk}
			tt.used(p)
			v.Now = testStart.Add(tt.at)
			p.stagedAt["m"] = v.Now // rules out staging, which has its own tests
			got := ""
			for _, d := range p.Plan(v) {
				got = d.Reason
			}
			testkit.That(t, got == tt.reason, "preload reason is %q, want %q", got, tt.reason)
		})
	}
}

func TestStageRemoteCheckpoint(t *testing.T) {
	p, v := singleEngineView(Config{Preload: true}, testUnit("m"), testUnit("n"))
	got := describe(p.Plan(v))
	testkit.Need(t, got == "grant m on e1; ", "with an idle store: %q, want one grant", got)
	v.Engines[0].Cached = map[string]Tier{"m": TierMemory}
	v.Store = StoreStatus{MaxConcurrentLoads: 4, Running: 1}
	v.Now = v.Now.Add(time.Minute)
	testkit.Equal(t, "with a busy store", describe(p.Plan(v)), "")
}

// Guards against a slow cold start of a model whose cached copies are of no use: one
// on an engine whose memory is reserved by contract, another on an engine that is in
// use. While nothing waits, the planner makes two copies on engines that can run the
// model, one of them in memory, and soon withdraws the replicas loaded for that.
func TestStageUsableCopies(t *testing.T) {
	reserved := testUnit("held")
	reserved.MinReplicas, reserved.Bytes = 1, 60*gib
	holding := readyHolding("held", testStart)
	holding.Bytes = reserved.Bytes
	reservedEngine, second, third := testEngine("e1", "a", holding), testEngine("e2", "a"), testEngine("e3", "b")
	inMemory, onDisk := map[string]Tier{"m": TierMemory}, map[string]Tier{"m": TierDisk}
	for _, tt := range []struct {
		name       string
		e1, e2, e3 map[string]Tier
		weight     float64
		want       string
	}{
		{"a copy only on an engine without room", inMemory, nil, nil, 0.5, "grant m on e3; "},
		{"one usable copy", nil, onDisk, nil, 0.5, "grant m on e3; "},
		{"two usable copies, none in memory", nil, onDisk, onDisk, 0.5, "grant m on e2; "},
		{"enough copies", nil, onDisk, inMemory, 0.5, ""},
		{"a low cold start weight", nil, onDisk, nil, 0.01, ""},
	} {
		p, v := singleEngineView(Config{Preload: true, ColdStartWeight: tt.weight}, testUnit("m"), reserved)
		reservedEngine.Cached, second.Cached, third.Cached = tt.e1, tt.e2, tt.e3
		v.Engines = []Engine{reservedEngine, second, third}
		testkit.Equal(t, tt.name, describe(p.Plan(v)), tt.want)
		if tt.want == "" {
			continue
		}
		v.Now = v.Now.Add(DefaultMinKeepAlive + time.Minute)
		v.Engines = []Engine{reservedEngine, testEngine("e2", "a", readyHolding("m", testStart.Add(time.Minute)))}
		testkit.Equal(t, tt.name+", once ready", describe(p.Plan(v)), "withdraw m on e2; ")
	}
}

// Guards against requests that wait for a slot while another engine is idle: their
// adapter has one replica, on an engine that is busy with a burst for other
// adapters. The adapter gets a second replica before the engine is full, and
// nothing is evicted for it.
func TestAdapterScalesUpFromBusyBase(t *testing.T) {
	adapter := testUnit("a1")
	adapter.Base, adapter.Bytes = "m", gib
	on := readyHolding("a1", testStart)
	on.Base, on.Bytes = "m", gib
	for running, want := range map[int]string{4: "", 12: "grant a1 on e2; "} {
		p, v := singleEngineView(Config{}, adapter)
		first, second := testEngine("e1", "a", readyHolding("m", testStart), on), testEngine("e2", "b", readyHolding("m", testStart))
		first.Running = running
		v.Engines = []Engine{first, second}
		testkit.Equal(t, fmt.Sprintf("with %d of 16 slots in use", running), describe(p.Plan(v)), want)
		second.Holdings = append(second.Holdings, Holding{Unit: "x", Customer: "other", Bytes: 56 * gib, Wanted: true, Ready: true})
		p, v.Engines = NewPlanner(Config{}), []Engine{first, second}
		testkit.Equal(t, "with no memory left on e2", describe(p.Plan(v)), "")
	}
}

func TestStandbyIsPreloadedWhileNothingWaits(t *testing.T) {
	u := testUnit("m")
	u.StandbyPerDomain = 1
	p, v := singleEngineView(Config{Preload: true}, u)
	v.Engines = []Engine{testEngine("e1", "a", Holding{Unit: "m", Customer: "shop", Bytes: u.Bytes, Right: 7})}
	testkit.Equal(t, "with nothing waiting", describe(p.Plan(v)), "want m on e1; ")
	v.Engines = []Engine{testEngine("e1", "a", readyHolding("m", testStart))}
	v.Now = testStart.Add(24 * time.Hour)
	testkit.Equal(t, "a loaded standby after an idle day", describe(p.Plan(v)), "")
}

// Guards against requests that wait for a load which never becomes ready although
// other engines are free. The planner withdraws the right before it loads the model
// on another engine, so that the replicas never exceed the contract.
func TestStalledLoadIsRetriedElsewhere(t *testing.T) {
	p, v := singleEngineView(Config{}, testUnit("m"))
	loading := Holding{Unit: "m", Customer: "shop", Bytes: 24 * gib, Wanted: true, Right: 7}
	v.Engines = []Engine{testEngine("e1", "a", loading), testEngine("e2", "a")}
	v.Demand = []Demand{waitingFor("m", 1)}
	for ; v.Now.Before(testStart.Add(10 * time.Second)); v.Now = v.Now.Add(time.Second) {
		got := describe(p.Plan(v))
		testkit.Need(t, got == "", "after %v: %q, want no decision yet", v.Now.Sub(testStart), got)
	}
	v.Now = testStart.Add(3 * time.Minute)
	testkit.Equal(t, "after the stall", describe(p.Plan(v)), "withdraw m on e1; grant m on e2; ")
}

func TestStoreLoadsStartByDeadline(t *testing.T) {
	var units []Unit
	p, v := singleEngineView(Config{}, units...)
	v.Store = StoreStatus{MaxConcurrentLoads: 2, LoadsPerSecond: 4}
	for i := range 6 {
		name := fmt.Sprintf("m%d", i)
		v.Engines = append(v.Engines, testEngine(fmt.Sprintf("x%d", i), "a"))
		v.Units = append(v.Units, testUnit(name))
		d := waitingFor(name, 1)
		d.EarliestDeadline = testStart.Add(time.Duration(30-i) * time.Second)
		v.Demand = append(v.Demand, d)
	}
	got := ""
	for _, d := range p.Plan(v) {
		got += d.Unit + " "
	}
	testkit.That(t, got == "m5 m4 ", "granted %q, want the two earliest deadlines", got)
}

func TestScaleDownWaitsForDelay(t *testing.T) {
	p, v := singleEngineView(Config{}, testUnit("m"))
	busy := readyHolding("m", testStart)
	busy.Streams = 3
	idle := readyHolding("m", testStart)
	v.Engines = []Engine{testEngine("e1", "a", busy), testEngine("e2", "a", idle)}
	var got string
	for ; got == "" && v.Now.Before(testStart.Add(10*time.Minute)); v.Now = v.Now.Add(10 * time.Second) {
		for i := range v.Engines {
			v.Engines[i].Holdings[0].LastUsed = v.Now
		}
		got = describe(p.Plan(v))
	}
	testkit.That(t, got == "withdraw m on e2; " && !v.Now.Before(testStart.Add(DefaultScaleDownDelay)),
		"after %v: %q, want the replica without streams withdrawn after ScaleDownDelay", v.Now.Sub(testStart), got)
}

// TestPlanKeepsLimits checks plans for random views: all decisions of a plan applied
// together exceed neither contracts nor memory, and no unit with running or waiting
// requests is evicted.
func TestPlanKeepsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := drawView(t)
		p := NewPlanner(Config{ColdStartWeight: rapid.Float64Range(0.01, 1).Draw(t, "weight"), Preload: rapid.Bool().Draw(t, "preload")})
		for range 3 {
			v.Now = v.Now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 5 * time.Second, time.Hour}).Draw(t, "step"))
			checkLimits(t, v, p.Plan(v))
		}
	})
}

// drawView draws a random view that keeps contracts and memory limits.
func drawView(t *rapid.T) View {
	v := View{Now: testStart, LocalDomain: "a", Store: StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4}}
	for i := range 6 {
		u := testUnit(fmt.Sprintf("m%d", i))
		u.Bytes = gib * rapid.Int64Range(1, 60).Draw(t, "bytes")
		u.MaxReplicas = rapid.IntRange(1, 3).Draw(t, "max")
		u.MinReplicas = rapid.IntRange(0, u.MaxReplicas).Draw(t, "min")
		u.StandbyPerDomain = rapid.IntRange(0, 1).Draw(t, "standby")
		if i > 3 {
			u.Base, u.Bytes, u.MinReplicas, u.StandbyPerDomain = "m0", gib, 0, 0
		}
		v.Units = append(v.Units, u)
	}
	replicas := make(map[string]int)
	for i := range 4 {
		e := testEngine(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"))
		e.Leaving, e.Unhealthy = rapid.IntRange(0, 5).Draw(t, "leaving") == 0, rapid.IntRange(0, 5).Draw(t, "unhealthy") == 0
		free, heldUnits := e.MemoryBytes, map[string]bool{"": true}
		for _, u := range v.Units {
			if !rapid.Bool().Draw(t, "held") || u.Bytes > free || replicas[u.Name] >= u.MaxReplicas || !heldUnits[u.Base] {
				continue
			}
			replicas[u.Name]++
			free -= u.Bytes
			heldUnits[u.Name] = true
			h := readyHolding(u.Name, testStart.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "idle"))*time.Second))
			h.Bytes, h.Base = u.Bytes, u.Base
			h.Wanted = rapid.IntRange(0, 3).Draw(t, "wanted") > 0
			h.Ready = h.Wanted && rapid.IntRange(0, 3).Draw(t, "ready") > 0
			h.Withdrawn = u.Base == "" && !h.Ready && rapid.Bool().Draw(t, "withdrawn")
			if h.Ready {
				h.Streams = rapid.SampledFrom([]int{0, 0, 1, 16}).Draw(t, "streams")
			}
			e.Holdings = append(e.Holdings, h)
		}
		v.Engines = append(v.Engines, e)
	}
	for _, u := range v.Units {
		if rapid.Bool().Draw(t, "waits") {
			v.Demand = append(v.Demand, waitingFor(u.Name, 3))
		}
	}
	return v
}

// checkLimits checks that the decisions keep contracts and memory limits and evict
// no unit with running or waiting requests.
func checkLimits(t *rapid.T, v View, decisions []Decision) {
	units, free, replicas := make(map[string]Unit), make(map[string]int64), make(map[string]int)
	for _, u := range v.Units {
		units[u.Name] = u
	}
	engines := make(map[string]Engine)
	for _, e := range v.Engines {
		engines[e.Name], free[e.Name] = e, e.MemoryBytes
		for _, h := range e.Holdings {
			free[e.Name] -= h.Bytes
			replicas[h.Unit]++
		}
	}
	for _, d := range decisions {
		e, u := engines[d.Engine], units[d.Unit]
		switch {
		case d.Kind == Grant:
			free[d.Engine] -= u.Bytes
			replicas[d.Unit]++
			testkit.Need(t, free[d.Engine] >= 0 && replicas[d.Unit] <= u.MaxReplicas,
				"%+v: %d bytes free, %d replicas of %d", d, free[d.Engine], replicas[d.Unit], u.MaxReplicas)
			testkit.Need(t, !e.Leaving && !e.Unhealthy, "%+v on a leaving or unhealthy engine", d)
		case d.Kind == Withdraw && d.Reason[:4] == "room":
			for _, h := range e.Holdings {
				testkit.Need(t, h.Unit != d.Unit || h.Streams <= 0, "%+v evicts a unit with %d streams", d, h.Streams)
			}
			for _, waiting := range v.Demand {
				testkit.Need(t, waiting.Unit != d.Unit, "%+v although requests wait for it", d)
			}
		}
	}
}
