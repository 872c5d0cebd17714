package routing_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
)

// Guards against an engine that gets all that waited at once when its rest ends, and against
// one that is never tried again.
func TestOneRequestAfterARest(t *testing.T) {
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	now := time.Unix(1000, 0)
	candidates := []routing.Candidate{{Engine: "e", Slots: 4, Ready: true}}
	picks := func(why string, want bool) {
		t.Helper()
		_, ok := r.Pick(now, routing.Query{Unit: "u", Pool: "u"}, candidates)
		testkit.Equal(t, why, ok, want)
	}
	start := func() { r.RecordStart(now, "e", "u", nil) }
	start()
	r.StartCooldown("e", now.Add(3*time.Second))
	r.StartCooldown("e", now.Add(2*time.Second)) // an earlier answer that came later
	r.RecordFinish(now, "e", routing.Result{NotRun: true})
	until, resting := r.EarliestCooldownEnd(now, routing.Query{Unit: "u"}, candidates)
	testkit.That(t, resting && until.Equal(now.Add(3*time.Second)), "rests until %s, %v", until, resting)
	now = now.Add(2900 * time.Millisecond)
	picks("within its rest", false)
	testkit.That(t, r.UnavailableEngines(now)["e"], "not sick within its rest")
	now = now.Add(200 * time.Millisecond)
	picks("after it", true)
	start()
	picks("while one is on its way", false)
	now = now.Add(1500 * time.Millisecond)
	picks("while one gets no answer for long", true)
	r.RecordFinish(now, "e", routing.Result{NotRun: true})
	now = now.Add(time.Second)
	picks("after that was turned away without a time", true)
	start()
	r.RecordFirstToken(now, "e", "u", time.Millisecond)
	picks("once one is served", true)
	start()
	picks("a second one", true)
	testkit.That(t, !r.UnavailableEngines(now)["e"], "still sick")
}

// Guards against a unit that is taken for unavailable though one of its engines does not rest.
func TestRestingIsOfAllEngines(t *testing.T) {
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	now := time.Unix(1000, 0)
	candidates := []routing.Candidate{{Engine: "a", Slots: 4, Ready: true}, {Engine: "b", Slots: 4, Ready: true}, {Engine: "c", Slots: 4}}
	r.StartCooldown("a", now.Add(3*time.Second))
	_, resting := r.EarliestCooldownEnd(now, routing.Query{}, candidates)
	testkit.That(t, !resting, "b does not rest")
	r.StartCooldown("b", now.Add(2*time.Second))
	until, resting := r.EarliestCooldownEnd(now, routing.Query{}, candidates)
	testkit.That(t, resting && until.Equal(now.Add(2*time.Second)), "the first ends at %s, %v", until, resting)
	_, resting = r.EarliestCooldownEnd(now, routing.Query{}, nil)
	testkit.That(t, !resting, "nobody has the unit")
}

// Guards against an engine that gets nothing after its rest, as others look less busy.
func TestEngineIsTriedAfterItsRest(t *testing.T) {
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	now := time.Unix(1000, 0)
	candidates := []routing.Candidate{{Engine: "a", Slots: 8, Ready: true}, {Engine: "b", Slots: 8, Ready: true}}
	r.StartCooldown("a", now.Add(time.Second))
	now = now.Add(2 * time.Second)
	for i := range 50 {
		choice, ok := r.Pick(now, routing.Query{Unit: "u", Pool: "u"}, candidates)
		testkit.Need(t, ok, "no engine for request %d", i)
		if choice.Engine == "a" {
			return
		}
		r.RecordStart(now, choice.Engine, "u", nil)
		now = now.Add(100 * time.Millisecond)
		r.RecordFinish(now, choice.Engine, routing.Result{OK: true})
	}
	t.Error("none of 50 requests went to the engine that had rested")
}
