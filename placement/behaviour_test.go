package placement

import (
	"fmt"
	"testing"
	"time"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

// lone is a planner with one free engine, and the view of it.
func lone(cfg Config, units ...Unit) (*Planner, View) {
	return NewPlanner(cfg), View{Now: start, LocalDomain: "a", Engines: []Engine{testEngine("e1", "a")}, Units: units}
}

func TestKeepFollowsHistoryAndWeight(t *testing.T) {
	keep := func(weight float64, gap time.Duration) time.Duration {
		p, v := lone(Config{ColdStartWeight: weight}, testUnit("m"))
		for i := range 40 {
			p.RecordRequest("m", start.Add(time.Duration(i-40)*gap))
		}
		v.Engines = []Engine{testEngine("e1", "a", ready("m", start.Add(-gap)))}
		for v.Now = start.Add(-gap); v.Now.Before(start.Add(DefaultMaxKeepAlive + gap)); v.Now = v.Now.Add(10 * time.Second) {
			if len(p.Plan(v)) > 0 {
				return v.Now.Sub(start.Add(-gap))
			}
		}
		return 0
	}
	got := keep(0.9, 5*time.Minute)
	testkit.That(t, got >= 5*time.Minute && got <= 15*time.Minute, "a unit used every 5 minutes is kept for %v at a high weight", got)
	got = keep(0.05, 5*time.Minute)
	testkit.That(t, got <= time.Minute, "a unit used every 5 minutes is kept for %v at a low weight", got)
	got = keep(0.5, 30*time.Second)
	testkit.That(t, got >= 30*time.Second && got <= 3*time.Minute, "a unit used every 30 seconds is kept for %v", got)
}

func TestPreload(t *testing.T) {
	tests := []struct {
		name   string
		cfg    Config
		used   func(p *Planner)
		at     time.Duration // after start
		reason string
	}{
		{"shortly before a timer's call", Config{ColdStartWeight: 0.9, Preload: true}, func(p *Planner) {
			for i := range 8 {
				p.RecordRequest("m", start.Add(time.Duration(i)*30*time.Minute))
			}
		}, 4*time.Hour - 5*time.Second, "timer"},
		{"not long before it", Config{ColdStartWeight: 0.9, Preload: true}, func(p *Planner) {
			for i := range 8 {
				p.RecordRequest("m", start.Add(time.Duration(i)*30*time.Minute))
			}
		}, 4*time.Hour - 10*time.Minute, ""},
		{"at the hour it wakes on other days", Config{ColdStartWeight: 0.95, Preload: true}, func(p *Planner) {
			for i := range 4 {
				p.RecordRequest("m", start.AddDate(0, 0, i-4).Add(5*time.Minute))
			}
		}, 0, "usual hour"},
		{"not for one day's chance", Config{ColdStartWeight: 0.95, Preload: true}, func(p *Planner) {
			p.RecordRequest("m", start.AddDate(0, 0, -1).Add(5*time.Minute))
		}, 0, ""},
		{"not where idle hours weigh more", Config{ColdStartWeight: 0.05, Preload: true}, func(p *Planner) {
			for i := range 4 {
				p.RecordRequest("m", start.AddDate(0, 0, i-4).Add(5*time.Minute))
			}
		}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, v := lone(tt.cfg, testUnit("m"))
			v.Engines[0].Cached = map[string]Tier{"m": TierDisk}
			tt.used(p)
			v.Now = start.Add(tt.at)
			p.staged["m"] = v.Now // staging has its own test
			got := ""
			for _, d := range p.Plan(v) {
				got = d.Reason
			}
			testkit.That(t, got == tt.reason, "preloaded for %q, want %q", got, tt.reason)
		})
	}
}

func TestStagesWhatIsOnlyRemote(t *testing.T) {
	p, v := lone(Config{Preload: true}, testUnit("m"), testUnit("n"))
	got := kinds(p.Plan(v))
	testkit.Need(t, got == "grant m on e1; ", "with an idle store: %q, want one load", got)
	v.Engines[0].Cached = map[string]Tier{"m": TierMemory}
	v.Store = StoreStatus{MaxConcurrentLoads: 4, Running: 1}
	v.Now = v.Now.Add(time.Minute)
	testkit.Equal(t, "with a busy store", kinds(p.Plan(v)), "")
}

// What the caller sees: at opening time a model that is "cached" takes 19 s. Its
// copies are on an engine whose memory is promised to others, and on the one that
// is taken just then. Two copies where the model could run, one in memory, are
// made while nothing waits; a replica loaded for that alone goes at once.
func TestStagesCopiesInReach(t *testing.T) {
	held := testUnit("held")
	held.MinReplicas, held.Bytes = 1, 60*gb
	holding := ready("held", start)
	holding.Bytes = held.Bytes
	crowded, disk, empty := testEngine("e1", "a", holding), testEngine("e2", "a"), testEngine("e3", "b")
	inMemory, onDisk := map[string]Tier{"m": TierMemory}, map[string]Tier{"m": TierDisk}
	for _, tt := range []struct {
		name       string
		e1, e2, e3 map[string]Tier
		weight     float64
		want       string
	}{
		{"a copy out of reach", inMemory, nil, nil, 0.5, "grant m on e3; "},
		{"one copy in reach", nil, onDisk, nil, 0.5, "grant m on e3; "},
		{"none in memory", nil, onDisk, onDisk, 0.5, "grant m on e2; "},
		{"enough", nil, onDisk, inMemory, 0.5, ""},
		{"idle hours weigh more", nil, onDisk, nil, 0.01, ""},
	} {
		p, v := lone(Config{Preload: true, ColdStartWeight: tt.weight}, testUnit("m"), held)
		crowded.Cached, disk.Cached, empty.Cached = tt.e1, tt.e2, tt.e3
		v.Engines = []Engine{crowded, disk, empty}
		testkit.Equal(t, tt.name, kinds(p.Plan(v)), tt.want)
		if tt.want == "" {
			continue
		}
		v.Now = v.Now.Add(DefaultMinKeepAlive + time.Minute)
		v.Engines = []Engine{crowded, testEngine("e2", "a", ready("m", start.Add(time.Minute)))}
		testkit.Equal(t, tt.name+", once ready", kinds(p.Plan(v)), "withdraw m on e2; ")
	}
}

// What the caller sees: it waits for a slot while the next engine is idle. Its
// adapter has one replica, whose base is busy with a burst of other adapters. It
// gets its second replica before the engine is full, and nothing is evicted.
func TestAdapterWidensFromBusyBase(t *testing.T) {
	adapter := testUnit("a1")
	adapter.Base, adapter.Bytes = "m", gb
	on := ready("a1", start)
	on.Base, on.Bytes = "m", gb
	for running, want := range map[int]string{4: "", 12: "grant a1 on e2; "} {
		p, v := lone(Config{}, adapter)
		first, second := testEngine("e1", "a", ready("m", start), on), testEngine("e2", "b", ready("m", start))
		first.Running = running
		v.Engines = []Engine{first, second}
		testkit.Equal(t, fmt.Sprintf("with %d of 16 slots in use", running), kinds(p.Plan(v)), want)
		second.Holdings = append(second.Holdings, Holding{Unit: "x", Customer: "other", Bytes: 56 * gb, Wanted: true, Ready: true})
		p, v.Engines = NewPlanner(Config{}), []Engine{first, second}
		testkit.Equal(t, "with no memory left there", kinds(p.Plan(v)), "")
	}
}

func TestStandbyIsWarmedWhileNothingWaits(t *testing.T) {
	u := testUnit("m")
	u.StandbyPerDomain = 1
	p, v := lone(Config{Preload: true}, u)
	v.Engines = []Engine{testEngine("e1", "a", Holding{Unit: "m", Customer: "shop", Bytes: u.Bytes, Right: 7})}
	testkit.Equal(t, "with nothing waiting", kinds(p.Plan(v)), "want m on e1; ")
	v.Engines = []Engine{testEngine("e1", "a", ready("m", start))}
	v.Now = start.Add(24 * time.Hour)
	testkit.Equal(t, "a warm standby after an idle day", kinds(p.Plan(v)), "")
}

// What the caller sees: its model stays cold although other engines are free.
// An engine takes the load and never reports it ready. The planner withdraws
// the right first, so that the other load is not a replica too many, and keeps
// off the engine for a while.
func TestStalledLoadMoves(t *testing.T) {
	p, v := lone(Config{}, testUnit("m"))
	loading := Holding{Unit: "m", Customer: "shop", Bytes: 24 * gb, Wanted: true, Right: 7}
	v.Engines = []Engine{testEngine("e1", "a", loading), testEngine("e2", "a")}
	v.Demand = []Demand{waits("m", 1)}
	for ; v.Now.Before(start.Add(10 * time.Second)); v.Now = v.Now.Add(time.Second) {
		got := kinds(p.Plan(v))
		testkit.Need(t, got == "", "after %v: %q, too early", v.Now.Sub(start), got)
	}
	v.Now = start.Add(3 * time.Minute)
	testkit.Equal(t, "after the stall", kinds(p.Plan(v)), "withdraw m on e1; grant m on e2; ")
}

func TestStoreRateGoesToTheEarliestDeadline(t *testing.T) {
	var units []Unit
	p, v := lone(Config{}, units...)
	v.Store = StoreStatus{MaxConcurrentLoads: 2, LoadsPerSecond: 4}
	for i := range 6 {
		name := fmt.Sprintf("m%d", i)
		v.Engines = append(v.Engines, testEngine(fmt.Sprintf("x%d", i), "a"))
		v.Units = append(v.Units, testUnit(name))
		d := waits(name, 1)
		d.Deadline = start.Add(time.Duration(30-i) * time.Second)
		v.Demand = append(v.Demand, d)
	}
	got := ""
	for _, d := range p.Plan(v) {
		got += d.Unit + " "
	}
	testkit.That(t, got == "m5 m4 ", "granted %q, want the two earliest deadlines", got)
}

func TestScaleDownNeedsQuietAndKeepsOne(t *testing.T) {
	p, v := lone(Config{}, testUnit("m"))
	busy := ready("m", start)
	busy.Streams = 3
	idle := ready("m", start)
	v.Engines = []Engine{testEngine("e1", "a", busy), testEngine("e2", "a", idle)}
	var got string
	for ; got == "" && v.Now.Before(start.Add(10*time.Minute)); v.Now = v.Now.Add(10 * time.Second) {
		for i := range v.Engines {
			v.Engines[i].Holdings[0].LastUsed = v.Now
		}
		got = kinds(p.Plan(v))
	}
	testkit.That(t, got == "withdraw m on e2; " && !v.Now.Before(start.Add(DefaultScaleDownDelay)),
		"after %v: %q, want the replica without streams, after the quiet time", v.Now.Sub(start), got)
}

// Whatever the view, one plan keeps the contract and the memory by itself: all
// its decisions landing together break nothing, and nothing that runs or is
// waited for is withdrawn to make room.
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

func drawView(t *rapid.T) View {
	v := View{Now: start, LocalDomain: "a", Store: StoreStatus{MaxConcurrentLoads: 4, LoadsPerSecond: 4}}
	for i := range 6 {
		u := testUnit(fmt.Sprintf("m%d", i))
		u.Bytes = gb * rapid.Int64Range(1, 60).Draw(t, "bytes")
		u.MaxReplicas = rapid.IntRange(1, 3).Draw(t, "max")
		u.MinReplicas = rapid.IntRange(0, u.MaxReplicas).Draw(t, "min")
		u.StandbyPerDomain = rapid.IntRange(0, 1).Draw(t, "standby")
		if i > 3 {
			u.Base, u.Bytes, u.MinReplicas, u.StandbyPerDomain = "m0", gb, 0, 0
		}
		v.Units = append(v.Units, u)
	}
	replicas := make(map[string]int)
	for i := range 4 {
		e := testEngine(fmt.Sprintf("e%d", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain"))
		e.Leaving, e.Unhealthy = rapid.IntRange(0, 5).Draw(t, "leaving") == 0, rapid.IntRange(0, 5).Draw(t, "sick") == 0
		free, held := e.MemoryBytes, map[string]bool{"": true}
		for _, u := range v.Units {
			if !rapid.Bool().Draw(t, "held") || u.Bytes > free || replicas[u.Name] >= u.MaxReplicas || !held[u.Base] {
				continue
			}
			replicas[u.Name]++
			free -= u.Bytes
			held[u.Name] = true
			h := ready(u.Name, start.Add(-time.Duration(rapid.IntRange(0, 3600).Draw(t, "idle"))*time.Second))
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
			v.Demand = append(v.Demand, waits(u.Name, 3))
		}
	}
	return v
}

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
			testkit.Need(t, !e.Leaving && !e.Unhealthy, "%+v on an engine that gets nothing new", d)
		case d.Kind == Withdraw && d.Reason[:4] == "room":
			for _, h := range e.Holdings {
				testkit.Need(t, h.Unit != d.Unit || h.Streams <= 0, "%+v cuts %d streams", d, h.Streams)
			}
			for _, waiting := range v.Demand {
				testkit.Need(t, waiting.Unit != d.Unit, "%+v although requests wait for it", d)
			}
		}
	}
}
