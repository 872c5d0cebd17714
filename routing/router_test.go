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

// testCandidates are ready engines e0, e1, … of domain a with 8 slots each.
func testCandidates(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Engine: fmt.Sprint("e", i), Domain: "a", Slots: 8, Ready: true})
	}
	return list
}

func testRouter() *Router { return New(Config{}, rand.New(rand.NewSource(1))) }

var testQuery = Query{Unit: "m", Pool: "m", Domain: "a"}

// picks counts the engines of n picks, each finished at once with a first token
// after took.
func picks(r *Router, now time.Time, list []Candidate, n int, took func(engine string) time.Duration) map[string]int {
	counts := map[string]int{}
	for range n {
		choice, ok := r.Pick(now, testQuery, list)
		if !ok {
			continue
		}
		counts[choice.Engine]++
		r.RecordStart(now, choice.Engine, "m", nil)
		r.RecordFinish(now, choice.Engine, Result{OK: true, TimeToFirstToken: took(choice.Engine)})
	}
	return counts
}

func evenly(string) time.Duration { return 300 * time.Millisecond }

func fail(r *Router, now time.Time, engine string, times int) {
	for range times {
		r.RecordStart(now, engine, "m", nil)
		r.RecordFinish(now, engine, Result{Failed: true})
	}
}

// Free corrects a report of two seconds ago by what this VM did since, and never
// goes below what it and its peers know to run.
func TestFreeCorrectsLateReport(t *testing.T) {
	r := testRouter()
	for range 3 {
		r.RecordStart(start, "e", "m", nil)
	}
	report := start.Add(time.Second)
	now := start.Add(3 * time.Second)
	c := Candidate{Engine: "e", Slots: 16, Ready: true, LoadKnown: true, Running: 5, Queued: 1, LoadReportedAt: report}
	check := func(step string, want int) {
		t.Helper()
		testkit.Equal(t, step+": free slots", r.FreeSlots(now, c), want)
	}
	check("as reported", 10)
	r.RecordStart(now, "e", "m", nil)
	r.RecordStart(now, "e", "m", nil)
	check("two more of ours", 8)
	for range 4 {
		r.RecordFinish(now, "e", Result{OK: true})
	}
	check("four of ours ended", 12)
	c.PeersInFlight = 11
	check("peers know of more", 4)
	r.RecordFinish(now, "e", Result{NotRun: true})
	check("it has just refused one", 0)
	c.LoadReportedAt = now.Add(time.Millisecond)
	c.Running, c.Queued, c.PeersInFlight = 5, 1, 0
	check("it has reported since", 10)
}

// An engine fails all its requests. Three callers meet it, then it gets none,
// then single probes, and all again once a probe works.
func TestBreakerOpensAndCloses(t *testing.T) {
	r, list := testRouter(), testCandidates(4)
	for i := 1; i < len(list); i++ {
		list[i].PeersInFlight = 4 // e0 would draw all
	}
	fail(r, start, "e0", failuresInRow)
	testkit.Equal(t, "requests to the failing engine", picks(r, start, list, 100, evenly)["e0"], 0)
	testkit.Equal(t, "slots free behind an open breaker", r.FreeSlots(start, list[0]), 0)
	now := start.Add(2 * openFirst)
	got := r.Breaker(now, "e0")
	testkit.Need(t, got == BreakerHalfOpen, "breaker is %s", got)
	r.RecordStart(now, "e0", "m", nil)
	testkit.Equal(t, "requests beside the probe", picks(r, now, list, 100, evenly)["e0"], 0)
	r.RecordFinish(now, "e0", Result{Failed: true})
	testkit.Equal(t, "the breaker after a failed probe", r.Breaker(now.Add(openFirst), "e0"), BreakerOpen)
	now = now.Add(4 * openFirst)
	r.RecordStart(now, "e0", "m", nil)
	r.RecordFinish(now, "e0", Result{OK: true, TimeToFirstToken: time.Second})
	testkit.Equal(t, "the breaker after a probe that worked", r.Breaker(now, "e0"), BreakerClosed)
}

// All engines fail: more likely the network or the requests are at fault. With
// all ejected nobody would be served even after it has passed.
func TestNeverAllEjected(t *testing.T) {
	r, list := testRouter(), testCandidates(3)
	for _, c := range list {
		fail(r, start, c.Engine, 5)
	}
	_, ok := r.Pick(start, testQuery, list)
	testkit.That(t, ok, "no engine picked with all breakers open")
}

// One engine of six brings its first token ten times later than the others. It
// answers, so nothing fails, but its callers wait. It is ejected, probed, and
// taken back once it is quick.
func TestSlowOutlierIsEjected(t *testing.T) {
	r, list := testRouter(), testCandidates(6)
	slow := func(engine string) time.Duration {
		if engine == "e0" {
			return 3 * time.Second
		}
		return 300 * time.Millisecond
	}
	now, sick, well := start, 0, 0
	for second := range 180 {
		now = now.Add(time.Second)
		switch {
		case second < 10: // it is found out
			picks(r, now, list, 20, slow)
		case second < 60:
			sick += picks(r, now, list, 20, slow)["e0"]
		case second < 120: // it is found out to be well
			picks(r, now, list, 20, evenly)
		default:
			well += picks(r, now, list, 20, evenly)["e0"]
		}
	}
	testkit.That(t, sick <= 10, "%d of 1000 requests went to the slow engine", sick)
	testkit.That(t, well >= 100, "only %d of 1200 went to the engine that is quick again", well)
}

// Half of the pool slows down under load. Ejecting all of those would only load
// the rest more.
func TestSlowPoolIsNotEjected(t *testing.T) {
	r, list, open := testRouter(), testCandidates(6), 0
	took := func(engine string) time.Duration {
		return map[bool]time.Duration{true: 9, false: 1}[engine <= "e2"] * time.Second
	}
	for second := range 60 {
		picks(r, start.Add(time.Duration(second)*time.Second), list, 20, took)
	}
	for _, c := range list {
		if r.engines[c.Engine].breaker.open {
			open++
		}
	}
	testkit.That(t, open <= 2, "%d of 6 engines are ejected", open)
}

// An engine takes requests and never answers. They fail only at their longest
// wait; till then it looks idle and would draw ever more.
func TestSilentEngineGetsNoMore(t *testing.T) {
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

// Requests stay in the own failure domain while it has room.
func TestOwnDomainFirst(t *testing.T) {
	r, list := testRouter(), testCandidates(8)
	for i := range 4 {
		list[i].Domain = "b"
	}
	other := func(counts map[string]int) int { return counts["e0"] + counts["e1"] + counts["e2"] + counts["e3"] }
	testkit.Equal(t, "of 100, those that left an idle domain", other(picks(r, start, list, 100, evenly)), 0)
	for i := 4; i < 8; i++ {
		list[i].PeersInFlight = 6
	}
	got := other(picks(r, start, list, 100, evenly))
	testkit.That(t, got >= 80, "only %d of 100 left an overloaded domain", got)
}

// A customer above its fair share leaves the reserve to the others.
func TestSurplusLeavesReserve(t *testing.T) {
	r, list := testRouter(), testCandidates(5)
	for i := range list {
		list[i].PeersInFlight = 7
	}
	query := testQuery
	query.Surplus = true
	testkit.That(t, !r.CanPick(start, query, list), "5 slots of 40 are free, reserve %d, and surplus use takes one", PoolReserve(40))
	testkit.That(t, r.CanPick(start, testQuery, list), "the reserve is kept from all")
	list[0].PeersInFlight = 5
	testkit.That(t, r.CanPick(start, query, list), "7 slots of 40 are free, reserve %d, and surplus use gets none", PoolReserve(40))
	// An adapter's second engine is idle: its first must still keep its part.
	list[0].PeersInFlight, list[1].PeersInFlight = 6, 0
	for range 20 {
		got, _ := r.Pick(start, query, list[:2])
		testkit.Need(t, got.Engine == list[1].Engine, "surplus use takes the last slots of %s beside an idle engine", got.Engine)
	}
}

// Whatever the candidates look like, Pick returns a usable one with a free slot,
// and finds one whenever there is one that is trusted.
func TestPickReturnsUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{}, rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed"))))
		list := testCandidates(rapid.IntRange(0, 8).Draw(t, "engines"))
		query := testQuery
		query.Exclude = map[string]bool{}
		some := 0
		for i := range list {
			c := &list[i]
			c.Ready = rapid.Bool().Draw(t, "ready")
			c.Leaving = rapid.Bool().Draw(t, "leaving")
			c.Role = rapid.SampledFrom([]string{"", "both", "prefill", roleDecode}).Draw(t, "role")
			c.PeersInFlight = rapid.IntRange(0, 9).Draw(t, "peers")
			query.Exclude[c.Engine] = rapid.Bool().Draw(t, "excluded")
			fail(r, start, c.Engine, rapid.SampledFrom([]int{0, 0, 1, 3}).Draw(t, "failures"))
			if usable(query, c) && r.FreeSlots(start, *c) > 0 {
				some++
			}
		}
		choice, ok := r.Pick(start, query, list)
		testkit.Need(t, ok || some <= 0, "%d engines have room, none picked", some)
		for _, c := range list {
			testkit.Need(t, c.Engine != choice.Engine || usable(query, &c) && c.PeersInFlight < c.Slots, "picked %+v", c)
		}
	})
}

// BenchmarkPick is one choice among one pool's candidates, by a router that knows
// all engines and as many prefixes as it may.
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

// One of three engines resets a third of its requests at once, its health is good. That
// opens no breaker, and as it fails quickly it looks idle: without a memory of its
// failures it drew a third of all requests. It must get few, and its share again once it
// answers.
func TestUnreliableEngineGetsFew(t *testing.T) {
	r := testRouter()
	now := start
	list := testCandidates(3)
	play := func(seconds int, failsEvery int) (toFirst, lost int) {
		type open struct {
			engine string
			until  time.Time
		}
		var running []open
		sent := 0
		for range seconds * 100 {
			now = now.Add(10 * time.Millisecond)
			still := running[:0]
			for _, o := range running {
				if now.Before(o.until) {
					still = append(still, o)
					continue
				}
				r.RecordFinish(now, o.engine, Result{OK: true, TimeToFirstToken: 30 * time.Millisecond})
			}
			running = still
			choice, ok := r.Pick(now, testQuery, list)
			if !ok {
				continue
			}
			r.RecordStart(now, choice.Engine, "m", nil)
			if choice.Engine != "e0" {
				running = append(running, open{choice.Engine, now.Add(100 * time.Millisecond)})
				continue
			}
			sent++
			if failsEvery > 0 && sent%failsEvery == 0 {
				lost++
				r.RecordFinish(now, "e0", Result{Failed: true})
				continue
			}
			running = append(running, open{"e0", now.Add(100 * time.Millisecond)})
		}
		return sent, lost
	}
	toFirst, lost := play(10, 3)
	testkit.That(t, toFirst < 100 && lost < 35, "%d of 1000 requests to the unreliable engine, %d lost", toFirst, lost)
	play(20, 0)
	again, _ := play(10, 0)
	testkit.That(t, again > 2*toFirst, "%d of 1000 requests to it once it answers, %d before", again, toFirst)
}
