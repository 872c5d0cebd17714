package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	_ "bergamotreel/internal/fixedseed"
	"pgregory.net/rapid"

	"bergamotreel/internal/testkit"
)

var start = time.Unix(1_000_000, 0)

// testCandidates returns n ready engines e0, e1, … in domain a with 8 slots each.
func testCandidates(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Engine: fmt.Sprint("e", i), Domain: "a", Slots: 8, Ready: true})
	}
	return list
}

func testRouter() *Router { return New(Config{}, rand.New(rand.NewSource(1))) }

var testQuery = Query{Unit: "m", Pool: "m", Domain: "a"}

// pickAndFinish makes n picks and returns their number by engine. Each request ends
// at once, with its first token after the engine's latency.
func pickAndFinish(r *Router, now time.Time, list []Candidate, n int, latency func(engine string) time.Duration) map[string]int {
	counts := map[string]int{}
	for range n {
		choice, ok := r.Pick(now, testQuery, list)
		if !ok {
			continue
		}
		counts[choice.Engine]++
		r.RecordStart(now, choice.Engine, "m", nil)
		r.RecordFinish(now, choice.Engine, Result{OK: true, TimeToFirstToken: latency(choice.Engine)})
	}
	return counts
}

func sameLatency(string) time.Duration { return 300 * time.Millisecond }

func failRequests(r *Router, now time.Time, engine string, times int) {
	for range times {
		r.RecordStart(now, engine, "m", nil)
		r.RecordFinish(now, engine, Result{Failed: true})
	}
}

// TestFreeSlotsCorrectsLateReport checks that FreeSlots corrects a report two
// seconds old by the requests that this VM started and ended since, and assumes at
// least the requests in flight of this VM and its peers as busy.
func TestFreeSlotsCorrectsLateReport(t *testing.T) {
	r := testRouter()
	for range 3 {
		r.RecordStart(start, "e", "m", nil)
	}
	reportedAt := start.Add(time.Second)
	now := start.Add(3 * time.Second)
	c := Candidate{Engine: "e", Slots: 16, Ready: true, LoadKnown: true, Running: 5, Queued: 1, LoadReportedAt: reportedAt}
	check := func(step string, want int) {
		t.Helper()
		testkit.Equal(t, step+": free slots", r.FreeSlots(now, c), want)
	}
	check("as reported", 10)
	r.RecordStart(now, "e", "m", nil)
	r.RecordStart(now, "e", "m", nil)
	check("after two more own requests", 8)
	for range 4 {
		r.RecordFinish(now, "e", Result{OK: true})
	}
	check("after four own requests ended", 12)
	c.PeersInFlight = 11
	check("with more requests of peers", 4)
	r.RecordFinish(now, "e", Result{NotRun: true})
	check("just after a refusal", 0)
	c.LoadReportedAt = now.Add(time.Millisecond)
	c.Running, c.Queued, c.PeersInFlight = 5, 1, 0
	check("after a report since the refusal", 10)
}

// TestBreakerOpensAndCloses checks that an engine that fails all its requests gets
// three of them, then none, then single probes, and all again once a probe succeeds.
func TestBreakerOpensAndCloses(t *testing.T) {
	r, list := testRouter(), testCandidates(4)
	for i := 1; i < len(list); i++ {
		list[i].PeersInFlight = 4 // e0 has the least load
	}
	failRequests(r, start, "e0", consecutiveFailureThreshold)
	testkit.Equal(t, "requests to the failing engine", pickAndFinish(r, start, list, 100, sameLatency)["e0"], 0)
	testkit.Equal(t, "free slots with an open breaker", r.FreeSlots(start, list[0]), 0)
	now := start.Add(2 * initialOpenDuration)
	got := r.Breaker(now, "e0")
	testkit.Need(t, got == BreakerHalfOpen, "breaker is %s", got)
	r.RecordStart(now, "e0", "m", nil)
	testkit.Equal(t, "requests beside the probe", pickAndFinish(r, now, list, 100, sameLatency)["e0"], 0)
	r.RecordFinish(now, "e0", Result{Failed: true})
	testkit.Equal(t, "the breaker after a failed probe", r.Breaker(now.Add(initialOpenDuration), "e0"), BreakerOpen)
	now = now.Add(4 * initialOpenDuration)
	r.RecordStart(now, "e0", "m", nil)
	r.RecordFinish(now, "e0", Result{OK: true, TimeToFirstToken: time.Second})
	testkit.Equal(t, "the breaker after a successful probe", r.Breaker(now, "e0"), BreakerClosed)
}

// Guards against a router that ejects all engines. If all of them fail, the network
// or the requests are more likely at fault, and nobody would be served even after
// the fault has passed.
func TestAllBreakersOpenAreIgnored(t *testing.T) {
	r, list := testRouter(), testCandidates(3)
	for _, c := range list {
		failRequests(r, start, c.Engine, 5)
	}
	_, ok := r.Pick(start, testQuery, list)
	testkit.That(t, ok, "no engine picked with all breakers open")
}

// Guards against callers that wait for an engine whose first tokens take ten times
// as long as those of five others, though no request fails. The engine must be
// ejected, probed, and used again once it is fast.
func TestSlowOutlierIsEjected(t *testing.T) {
	r, list := testRouter(), testCandidates(6)
	slow := func(engine string) time.Duration {
		if engine == "e0" {
			return 3 * time.Second
		}
		return 300 * time.Millisecond
	}
	now, whileSlow, recovered := start, 0, 0
	for second := range 180 {
		now = now.Add(time.Second)
		switch {
		case second < 10: // until the slow engine is ejected
			pickAndFinish(r, now, list, 20, slow)
		case second < 60:
			whileSlow += pickAndFinish(r, now, list, 20, slow)["e0"]
		case second < 120: // until probes have shown that it is fast
			pickAndFinish(r, now, list, 20, sameLatency)
		default:
			recovered += pickAndFinish(r, now, list, 20, sameLatency)["e0"]
		}
	}
	testkit.That(t, whileSlow <= 10, "%d of 1000 requests went to the slow engine", whileSlow)
	testkit.That(t, recovered >= 100, "only %d of 1200 went to the engine that is fast again", recovered)
}

// Guards against ejecting half of a pool that becomes slow under load, which would
// only increase the load on the other half.
func TestSlowPoolIsNotEjected(t *testing.T) {
	r, list, open := testRouter(), testCandidates(6), 0
	latency := func(engine string) time.Duration {
		return map[bool]time.Duration{true: 9, false: 1}[engine <= "e2"] * time.Second
	}
	for second := range 60 {
		pickAndFinish(r, start.Add(time.Duration(second)*time.Second), list, 20, latency)
	}
	for _, c := range list {
		if r.engines[c.Engine].breaker.open {
			open++
		}
	}
	testkit.That(t, open <= 2, "%d of 6 engines are ejected", open)
}

// Guards against an engine that accepts requests and never answers. They fail only at
// their timeout; until then it looks idle and would attract ever more.
func TestSilentEngineGetsNoMoreRequests(t *testing.T) {
	r, list := testRouter(), testCandidates(4)
	r.RecordFirstToken(start, "e1", "m", 0)
	now := start
	sent := 0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		choice, _ := r.Pick(now, testQuery, list)
		r.RecordStart(now, choice.Engine, "m", nil)
		if choice.Engine == "e0" {
			sent++
			continue
		}
		r.RecordFirstToken(now, choice.Engine, "m", 300*time.Millisecond)
		r.RecordFinish(now, choice.Engine, Result{OK: true, TimeToFirstToken: 300 * time.Millisecond})
	}
	testkit.That(t, sent <= 6, "%d requests went to the silent engine", sent)
}

// TestOwnDomainIsPreferred checks that requests stay in the VM's own failure domain
// while it has free capacity.
func TestOwnDomainIsPreferred(t *testing.T) {
	r, list := testRouter(), testCandidates(8)
	for i := range 4 {
		list[i].Domain = "b"
	}
	other := func(counts map[string]int) int { return counts["e0"] + counts["e1"] + counts["e2"] + counts["e3"] }
	testkit.Equal(t, "of 100, requests sent to another domain while the own one is idle", other(pickAndFinish(r, start, list, 100, sameLatency)), 0)
	for i := 4; i < 8; i++ {
		list[i].PeersInFlight = 6
	}
	got := other(pickAndFinish(r, start, list, 100, sameLatency))
	testkit.That(t, got >= 80, "own domain overloaded: only %d of 100 went to the other domain", got)
}

// TestRequestsOverFairShareLeaveReserve checks that a customer above its fair share
// leaves the reserve to the others.
func TestRequestsOverFairShareLeaveReserve(t *testing.T) {
	r, list := testRouter(), testCandidates(5)
	for i := range list {
		list[i].PeersInFlight = 7
	}
	query := testQuery
	query.OverFairShare = true
	testkit.That(t, !r.CanPick(start, query, list), "5 slots of 40 are free, reserve %d, and a request over the fair share takes one", PoolReserve(40))
	testkit.That(t, r.CanPick(start, testQuery, list), "the reserve is withheld from all customers")
	list[0].PeersInFlight = 5
	testkit.That(t, r.CanPick(start, query, list), "7 slots of 40 are free, reserve %d, and a request over the fair share gets none", PoolReserve(40))
	// An adapter's second engine is idle; its first must still keep its part of the
	// reserve.
	list[0].PeersInFlight, list[1].PeersInFlight = 6, 0
	for range 20 {
		got, _ := r.Pick(start, query, list[:2])
		testkit.Need(t, got.Engine == list[1].Engine, "a request over the fair share takes one of the last slots of %s beside an idle engine", got.Engine)
	}
}

// TestPickReturnsUsableEngine checks with random candidates that Pick returns only
// usable engines with a free slot, and that it finds one if a trusted one exists.
func TestPickReturnsUsableEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		list := testCandidates(rapid.IntRange(0, 8).Draw(t, "engines"))
		query := testQuery
		query.Exclude = map[string]bool{}
		available := 0
		for i := range list {
			c := &list[i]
			c.Ready = rapid.Bool().Draw(t, "ready")
			c.Leaving = rapid.Bool().Draw(t, "leaving")
			c.Role = rapid.SampledFrom([]string{"", "both", "prefill", roleDecode}).Draw(t, "role")
			c.PeersInFlight = rapid.IntRange(0, 9).Draw(t, "peers")
			query.Exclude[c.Engine] = rapid.Bool().Draw(t, "excluded")
			failRequests(r, start, c.Engine, rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "failures"))
			if isUsable(query, c) && r.FreeSlots(start, *c) > 0 {
				available++
			}
		}
		choice, ok := r.Pick(start, query, list)
		testkit.Need(t, ok || available <= 0, "%d engines have free slots, none picked", available)
		for _, c := range list {
			testkit.Need(t, c.Engine != choice.Engine || isUsable(query, &c) && c.PeersInFlight < c.Slots, "picked %+v", c)
		}
	})
}

// BenchmarkPick measures one choice among a pool's candidates, by a router that has
// state of all engines and the maximum number of prefixes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []struct {
		name                string
		candidates, engines int
	}{{"today", 20, 24}, {"between", 100, 1_000}, {"planned", 500, 10_000}} {
		b.Run(size.name, func(b *testing.B) {
			r, list := testRouter(), testCandidates(size.engines)
			for i := range list {
				list[i].Domain = fmt.Sprint("d", i%3)
				list[i].LoadKnown, list[i].Running, list[i].LoadReportedAt = true, i%6, start
				r.RecordStart(start, list[i].Engine, "m", nil)
			}
			for i := range uint64(DefaultMaxPrefixes) {
				r.ApplyCacheEvent(list[i%20].Engine, "m", i, false)
			}
			prompt := HashPrefixes("m", make([]byte, 16*PrefixBlockSize))
			r.RecordStart(start, "e3", "m", prompt)
			query := Query{Unit: "m", Pool: "m", Domain: "d1", Prefixes: prompt}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := r.Pick(start, query, list[:size.candidates]); !ok {
					b.Fatal("none")
				}
			}
		})
	}
}

// Guards against an engine of three that resets a third of its requests at once while its
// health checks pass. That opens no breaker, and the engine looks idle because it fails
// quickly: without the failure rate it gets a third of all requests. It must get few, and
// its full share again once it answers.
func TestUnreliableEngineGetsFewRequests(t *testing.T) {
	r := testRouter()
	now := start
	list := testCandidates(3)
	simulate := func(seconds int, failsEvery int) (toFirst, lost int) {
		type request struct {
			engine string
			until  time.Time
		}
		var running []request
		sent := 0
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			kept := running[:0]
			for _, q := range running {
				if now.Before(q.until) {
					kept = append(kept, q)
					continue
				}
				r.RecordFinish(now, q.engine, Result{OK: true, TimeToFirstToken: 30 * time.Millisecond})
			}
			running = kept
			choice, ok := r.Pick(now, testQuery, list)
			if !ok {
				continue
			}
			r.RecordStart(now, choice.Engine, "m", nil)
			if choice.Engine != "e0" {
				running = append(running, request{choice.Engine, now.Add(100 * time.Millisecond)})
				continue
			}
			sent++
			if failsEvery > 0 && sent%failsEvery == 0 {
				lost++
				r.RecordFinish(now, "e0", Result{Failed: true})
				continue
			}
			running = append(running, request{"e0", now.Add(100 * time.Millisecond)})
		}
		return sent, lost
	}
	toFirst, lost := simulate(10, 3)
	testkit.That(t, toFirst < 100 && lost < 35, "%d of 1000 requests to the unreliable engine, %d lost", toFirst, lost)
	simulate(20, 0)
	recovered, _ := simulate(10, 0)
	testkit.That(t, recovered > 2*toFirst, "%d of 1000 requests to it once it answers, %d before", recovered, toFirst)
}
