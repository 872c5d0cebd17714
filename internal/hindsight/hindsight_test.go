package hindsight

import (
	"maps"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/daylog"
	"bergamotreel/internal/testkit"
)

// plainWorth gives every request a worth of 1 in time and 0.3 late.
func plainWorth(time.Duration, time.Duration) Worth { return Worth{InTime: 1, Late: 0.3} }

// newDay returns a day of engines with memory for one model each and all models on all disks.
func newDay(engines int, models ...string) *daylog.Day {
	d := &daylog.Day{Service: "llm", CapacityBytes: 10, Length: 20 * time.Second, Models: make(map[string]daylog.Model), Engines: make(map[string]*daylog.Engine), MaxStoreLoads: 1}
	for _, name := range models {
		d.Models[name] = daylog.Model{Name: name, Bytes: 10, MemoryLoadTime: time.Second, DiskLoadTime: 2 * time.Second, StoreLoadTime: 8 * time.Second}
	}
	for i := range engines {
		id := string(rune('a' + i))
		d.Engines[id] = &daylog.Engine{ID: id, GoneAt: d.Length, Models: models[i : i+1], OnDisk: models, HasStatus: true}
	}
	return d
}

// addRequest adds a request that was refused because no engine had its model.
func addRequest(d *daylog.Day, model string, at, target, allowed time.Duration) {
	d.Requests = append(d.Requests, daylog.Request{Model: model, ArrivedAt: at, Target: target, Allowed: allowed, Code: "wait_too_long", EndedAt: at})
}

var thoroughSettings = Settings{Seed: 1, Rounds: 4000}

// One engine holds m1, and a request for m2 arrives at 5 s with 4 s allowed. With foresight,
// m2 can be loaded in time. The expected values were calculated by hand.
func TestAnalyzeLoadsModelBeforeRequest(t *testing.T) {
	d := newDay(1, "m1", "m2")
	addRequest(d, "m2", 5*time.Second, 500*time.Millisecond, 4*time.Second)
	result := Analyze(d, plainWorth, thoroughSettings)
	testkit.Equal(t, "actual worth", result.ActualWorth, 0.0)
	testkit.Equal(t, "reactive worth: late, as the load takes 2 s", result.ReactiveWorth, 0.3)
	testkit.Equal(t, "worth with foresight", result.ForesightWorth, 1.0)
	testkit.Equal(t, "upper bound", result.UpperBound, 1.0)
	testkit.That(t, len(result.LargestLosses) == 1 && result.LargestLosses[0].ActualSwaps == "nothing" && result.LargestLosses[0].WorthLost == 0.3, "got %+v", result.LargestLosses)
}

// Two models share one engine: requests for m1 arrive at 4 s and 5 s, for m2 at 4.2 s and
// 4.8 s, each with a target of 0.5 s. A swap takes at least 2 s, so the best schedule answers
// both requests of one model in time and both of the other one late.
func TestOneEngineServesOneOfTwoModels(t *testing.T) {
	d := newDay(1, "m1", "m2")
	const target, allowed = 500 * time.Millisecond, 5 * time.Second
	addRequest(d, "m1", 4*time.Second, target, allowed)
	addRequest(d, "m2", 4200*time.Millisecond, target, allowed)
	addRequest(d, "m2", 4800*time.Millisecond, target, allowed)
	addRequest(d, "m1", 5*time.Second, target, allowed)
	result := Analyze(d, plainWorth, thoroughSettings)
	testkit.That(t, math.Abs(result.ForesightWorth-2.6) < 1e-9, "worth with foresight %v", result.ForesightWorth)
	testkit.That(t, result.UpperBound >= result.ForesightWorth && result.UpperBound < 4, "bound %v", result.UpperBound)
}

// The store serves one load at a time, and requests for two models that only the store has
// arrive at once: one of them can be answered in time.
func TestStoreServesOneLoadAtATime(t *testing.T) {
	d := newDay(2, "m1", "m2")
	for _, name := range []string{"m3", "m4"} {
		d.Models[name] = daylog.Model{Name: name, Bytes: 10, MemoryLoadTime: time.Second, DiskLoadTime: 2 * time.Second, StoreLoadTime: 8 * time.Second}
		addRequest(d, name, 9*time.Second, 500*time.Millisecond, 3*time.Second)
	}
	result := Analyze(d, plainWorth, thoroughSettings)
	testkit.Equal(t, "worth with foresight", result.ForesightWorth, 1.0)
	testkit.That(t, result.UpperBound >= 1 && result.UpperBound < 1.5, "bound %v", result.UpperBound)
}

// A request whose model was ready on arrival counts only for what it earned, since placement
// did not decide its outcome. A refused request and its retry count as one.
func TestAnalyzeExcludesLossesOutsidePlacement(t *testing.T) {
	d := newDay(1, "m1")
	d.Requests = []daylog.Request{
		{Model: "m1", ArrivedAt: time.Second, Target: time.Second, Allowed: 5 * time.Second, Code: "backend_failed", ReadyAtArrival: true, Sent: true},
		{Model: "m1", ArrivedAt: 2 * time.Second, Target: time.Second, Allowed: 5 * time.Second, Code: "wait_too_long", RetryIndex: 2},
		{Model: "m1", ArrivedAt: 4 * time.Second, Target: time.Second, Allowed: 3 * time.Second, Code: "ok", TimeToFirstToken: 100 * time.Millisecond, IsRetry: true},
	}
	result := Analyze(d, plainWorth, thoroughSettings)
	testkit.Equal(t, "callers", result.Requests, 2)
	testkit.Equal(t, "total worth", result.TotalWorth, 1.0)
	testkit.Equal(t, "actual worth", result.ActualWorth, 0.3)
}

// On small random days, the upper bound is not below any schedule, and the search finds at
// least the best of all schedules of up to two loads at steps of 250 ms.
func TestSearchAndBoundAgainstBruteForce(t *testing.T) {
	for seed := range int64(12) {
		rng := rand.New(rand.NewSource(seed))
		d := newDay(1, "m1", "m2", "m3")
		d.Length = 10 * time.Second
		d.Engines["a"].GoneAt = d.Length
		for range 6 {
			at := time.Duration(rng.Intn(18)) * 500 * time.Millisecond
			addRequest(d, []string{"m1", "m2", "m3"}[rng.Intn(3)], at, time.Duration(1+rng.Intn(4))*time.Second, 6*time.Second)
		}
		p := newProblem(d, plainWorth)
		best := bruteForce(p, 2)
		s := p.search(seed, 30000, true)
		bound := p.upperBound(s.totalEarned)
		testkit.That(t, bound >= best-1e-6 && bound >= s.totalEarned-1e-6, "seed %d: bound %v, best %v, found %v", seed, bound, best, s.totalEarned)
		testkit.That(t, s.totalEarned >= best-1e-6, "seed %d: found %v of %v", seed, s.totalEarned, best)
	}
}

// bruteForce returns the best worth over all lists of up to maxLoads planned loads of the only
// engine.
func bruteForce(p *problem, maxLoads int) float64 {
	s := &schedule{problem: p, foresight: true, plans: make([]enginePlan, 1), modelWorths: make([]float64, len(p.models)), residences: make([][]residence, len(p.models))}
	best := 0.0
	var extend func(wishes []plannedLoad)
	extend = func(wishes []plannedLoad) {
		s.plans[0] = s.simulate(0, wishes)
		total := 0.0
		for m := range p.models {
			s.residences[m] = s.residencesOf(m)
			total += s.modelWorth(m)
		}
		best = max(best, total)
		if len(wishes) == maxLoads {
			return
		}
		from := time.Duration(0)
		if len(wishes) > 0 {
			from = wishes[len(wishes)-1].at
		}
		for at := from; at < p.length; at += 250 * time.Millisecond {
			for m := range p.models {
				extend(append(wishes[:len(wishes):len(wishes)], plannedLoad{at, m}))
			}
		}
	}
	extend(nil)
	return best
}

func TestListLossesAssignsCauses(t *testing.T) {
	d := newDay(1, "m1", "m2")
	const target, allowed = 500 * time.Millisecond, 5 * time.Second
	request := func(r daylog.Request) { // all arrive in one window
		r.Target, r.Allowed, r.Route, r.Model = target, allowed, "r", "m1"
		d.Requests = append(d.Requests, r)
	}
	request(daylog.Request{Code: "ok", TimeToFirstToken: 100 * time.Millisecond, ReadyAtArrival: true})
	request(daylog.Request{Code: "ok", TimeToFirstToken: 900 * time.Millisecond, ReadyAtArrival: true, Sent: true})
	request(daylog.Request{Code: "ok", TimeToFirstToken: 900 * time.Millisecond, QueueTime: 800 * time.Millisecond, ReadyAtArrival: true, Sent: true})
	request(daylog.Request{Code: "ok", TimeToFirstToken: 2 * time.Second, QueueTime: 1900 * time.Millisecond, Sent: true})
	request(daylog.Request{Code: "wait_too_long"})
	request(daylog.Request{Code: "wait_too_long", ReadyAtArrival: true})
	request(daylog.Request{Code: "no_capacity", RetryIndex: 7})
	request(daylog.Request{Code: "ok", ArrivedAt: time.Second, IsRetry: true})
	request(daylog.Request{Code: "rate_limited"})
	request(daylog.Request{Code: "unknown_key"})
	got := make(map[Cause]float64)
	for _, l := range ListLosses(d, plainWorth) {
		testkit.Equal(t, "requests of "+string(l.Cause), l.Requests, 1)
		got[l.Cause] = math.Round(10*l.WorthLost) / 10
	}
	want := map[Cause]float64{CauseSlowEngine: 0.7, CauseQueued: 0.7, CauseModelLoad: 0.7, CauseModelNotResident: 1, CauseNoCapacity: 1, CauseRetried: 0.7, CauseQuota: 1, CauseUnknownKey: 1}
	testkit.That(t, maps.Equal(got, want), "causes: got %v, want %v", got, want)
}

// Figures of two days are comparable only if the search is deterministic: the same seed must
// find the same schedule of the same day.
func TestSearchIsDeterministic(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	d := newDay(4, models...)
	d.CapacityBytes = 30 // three models each, so that the search draws which of them to reload
	for range 120 {
		addRequest(d, models[rng.Intn(len(models))], time.Duration(rng.Intn(19000))*time.Millisecond, time.Second, 6*time.Second)
	}
	first := newProblem(d, plainWorth).search(1, 3000, true)
	for range 5 {
		again := newProblem(d, plainWorth).search(1, 3000, true)
		testkit.Equal(t, "worth found", again.totalEarned, first.totalEarned)
		for e := range first.plans {
			testkit.That(t, slices.Equal(again.plans[e].planned, first.plans[e].planned), "engine %d loads %v, then %v", e, first.plans[e].planned, again.plans[e].planned)
		}
	}
}
