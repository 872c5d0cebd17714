package planner

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/testkit"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// benchmarkSizes are the current size of the fleet, a size in between, and the
// design size, once with all engines reachable and once with about as many as one
// VM can poll.
var benchmarkSizes = []struct{ vms, engines, units, reachable int }{
	{9, 40, 165, 40}, {340, 1_000, 3_900, 1_000}, {3_400, 10_000, 39_000, 10_000}, {3_400, 10_000, 39_000, 143},
}

const benchmarkUnitsPerCustomer = 100

// newBenchmarkEnv applies contracts of 100 adapters on one of 72 models, and
// engines with that model and one adapter each. All are ready. The engines of one
// failure domain in seven have running requests; these are the ones that a VM
// receives reports of.
func newBenchmarkEnv(b *testing.B, vms, engines, units, reachable int) (*testEnv, *Planner) {
	env := &testEnv{rng: rand.New(rand.NewSource(1)), state: state.New(), liveTable: rendezvous.NewTable(), running: map[string]int{}}
	for customer := 0; customer*benchmarkUnitsPerCustomer < units; customer++ {
		base := baseOf(customer)
		sections := map[string]string{"customer": "name = " + customerAt(customer) + "\nmemory = 1000000GB\n",
			fmt.Sprintf("model %q", base): "checkpoint = " + base + "\nmemory = 20GB\nmax_replicas = 10000\nmax_wait = 20s\n"}
		for i := customer * benchmarkUnitsPerCustomer; i < min(units, (customer+1)*benchmarkUnitsPerCustomer); i++ {
			sections[fmt.Sprintf("adapter %q", unitAt(i))] = fmt.Sprintf(
				"base = %s\ncheckpoint = k%d\nmemory = 200MB\nmax_replicas = 100\nmax_wait = 20s\n", base, i)
		}
		env.apply(state.Proposal{Publish: &state.Publish{ChangeID: "1", Customer: customerAt(customer), Sections: sections}})
	}
	session := env.apply(state.Proposal{SessionOpen: &state.SessionOpen{VM: "vm", Incarnation: "vm"}}).Revision
	seen := make(map[string]fleet.Engine, engines)
	var all, changes []string
	for i := range engines {
		at, unit := benchmarkEngine(i), i*benchmarkUnitsPerCustomer%units+i/benchmarkUnitsPerCustomer%benchmarkUnitsPerCustomer
		base, customer := baseOf(unit/benchmarkUnitsPerCustomer), customerAt(unit/benchmarkUnitsPerCustomer)
		keeper := env.apply(state.Proposal{KeeperAcquire: &state.KeeperAcquire{Engine: at, Session: session}}).Revision
		env.apply(state.Proposal{EngineReport: &state.EngineReport{Engine: at, Keeper: keeper, Incarnation: "1", MemoryBytes: 80 << 30}})
		status := engine.Status{Slots: 16, Cached: map[string]engine.Tier{base: engine.TierDisk}}
		for _, name := range []string{base, unitAt(unit)} {
			o := env.apply(state.Proposal{Grant: &state.Grant{Engine: at, Keeper: keeper, Customer: customer, Unit: name, Wanted: true}})
			testkit.Require(b, o.Reason, o.Verdict, state.VerdictApplied)
			status.Units = append(status.Units, engine.Unit{Unit: name, Phase: engine.PhaseReady})
		}
		if seen[at] = (fleet.Engine{VM: vmlist.VM{Address: at}}); i < reachable {
			seen[at] = fleet.Engine{VM: vmlist.VM{Address: at}, Status: status, Reachable: true}
		}
		all = append(all, at)
	}
	live := make([]string, vms)
	for i := range live {
		live[i] = fmt.Sprint("vm-", i)
	}
	env.liveTable.SetNodes(live)
	env.fleet = fleet.New(fleet.Config{}, nil, nil)
	p := env.planner()
	changes = all
	p.config.ChangedEngines = func() []string { defer func() { changes = nil }(); return changes }
	p.config.LookupEngine = func(at string) (fleet.Engine, bool) {
		e, ok := seen[at]
		if e.Reachable {
			e.SeenAt = benchmarkNow.Add(-time.Second)
		}
		return e, ok
	}
	return env, p
}

// baseOf returns the base model of a customer's adapters, one of 72.
func baseOf(customer int) string { return fmt.Sprint("base-", customer%72) }

// benchmarkNow is the time of the plan in progress.
var benchmarkNow time.Time

func benchmarkEngine(i int) string { return fmt.Sprintf("10.120.%d.%d:7201", i/250, i%250) }

// BenchmarkPlan measures one plan including all that it reads: the first plan; a
// plan without changes; a plan after one second of changes at the design size (20
// rights or engines, 200 units used, different requests on the engines of a failure
// domain, as far as there are so many) with its part of the audit; a plan after a
// VM joined or left elsewhere; and a plan after this VM's own share changed.
func BenchmarkPlan(b *testing.B) {
	for _, size := range benchmarkSizes {
		env, p := newBenchmarkEnv(b, size.vms, size.engines, size.units, size.reachable)
		benchmarkNow = time.Unix(1_800_000_000, 0)
		var first time.Duration
		bytes := testkit.HeapBytes(func() *Planner {
			begun := time.Now()
			p.plan(benchmarkNow)
			first = time.Since(begun)
			return p
		})
		name := fmt.Sprintf("%dengines%dheard", size.engines, size.reachable)
		b.Run("quiet/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				benchmarkNow = benchmarkNow.Add(time.Millisecond)
				p.plan(benchmarkNow)
			}
			b.ReportMetric(float64(first.Microseconds())/1000, "ms/first")
			b.ReportMetric(bytes/float64(size.engines), "B/engine")
		})
		b.Run("second/"+name, func(b *testing.B) {
			b.ReportAllocs()
			var used time.Duration
			for b.Loop() {
				benchmarkNow = benchmarkNow.Add(time.Second)
				env.simulateSecond(p, size.engines, size.units)
				begun := testkit.ProcessorTime()
				p.plan(benchmarkNow)
				used += testkit.ProcessorTime() - begun
			}
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/plan")
		})
		b.Run("vm/"+name, func(b *testing.B) {
			for b.Loop() {
				benchmarkNow = benchmarkNow.Add(time.Millisecond)
				env.liveVersion++
				p.plan(benchmarkNow)
			}
		})
		b.Run("share/"+name, func(b *testing.B) {
			for b.Loop() {
				benchmarkNow = benchmarkNow.Add(time.Millisecond)
				env.shareVersion++
				p.plan(benchmarkNow)
			}
		})
	}
}

// simulateSecond makes the changes of one second.
func (env *testEnv) simulateSecond(p *Planner, engines, units int) {
	for range min(20, engines/2) {
		p.cache.dirty[benchmarkEngine(env.rng.Intn(engines))] = struct{}{}
	}
	for range min(200, units) {
		p.RecordRequest(unitAt(env.rng.Intn(units)), benchmarkNow)
	}
	env.running = make(map[string]int)
	for i := range max(min(engines, 40), engines/7) {
		if n := env.rng.Intn(8); n > 0 {
			env.running[benchmarkEngine(i)] = n
		}
	}
}
