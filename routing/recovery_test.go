package routing_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
)

// Guards against an engine that gets all waiting requests at once when its cooldown ends, and
// against one that is never tried again.
func TestSingleProbeAfterCooldown(t *testing.T) {
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
	r.StartCooldown("e", now.Add(2*time.Second)) // an earlier answer that arrives later
	r.RecordFinish(now, "e", routing.Result{NotRun: true})
	until, allCooling := r.EarliestCooldownEnd(now, routing.Query{Unit: "u"}, candidates)
	testkit.That(t, allCooling && until.Equal(now.Add(3*time.Second)), "cooldown until %s, %v", until, allCooling)
	now = now.Add(2900 * time.Millisecond)
	picks("during the cooldown", false)
	testkit.That(t, r.UnavailableEngines(now)["e"], "available during the cooldown")
	now = now.Add(200 * time.Millisecond)
	picks("after the cooldown", true)
	start()
	picks("while a probe is in flight", false)
	now = now.Add(1500 * time.Millisecond)
	picks("after the probe timeout", true)
	r.RecordFinish(now, "e", routing.Result{NotRun: true})
	now = now.Add(time.Second)
	picks("after the probe was refused without a new cooldown", true)
	start()
	r.RecordFirstToken(now, "e", "u", time.Millisecond)
	picks("after a probe was served", true)
	start()
	picks("a second request after that", true)
	testkit.That(t, !r.UnavailableEngines(now)["e"], "still unavailable")
}

// Guards against a unit that counts as unavailable although one of its engines has no
// cooldown.
func TestCooldownEndRequiresAllEngines(t *testing.T) {
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	now := time.Unix(1000, 0)
	candidates := []routing.Candidate{{Engine: "a", Slots: 4, Ready: true}, {Engine: "b", Slots: 4, Ready: true}, {Engine: "c", Slots: 4}}
	r.StartCooldown("a", now.Add(3*time.Second))
	_, allCooling := r.EarliestCooldownEnd(now, routing.Query{}, candidates)
	testkit.That(t, !allCooling, "b has no cooldown")
	r.StartCooldown("b", now.Add(2*time.Second))
	until, allCooling := r.EarliestCooldownEnd(now, routing.Query{}, candidates)
	testkit.That(t, allCooling && until.Equal(now.Add(2*time.Second)), "the first cooldown ends at %s, %v", until, allCooling)
	_, allCooling = r.EarliestCooldownEnd(now, routing.Query{}, nil)
	testkit.That(t, !allCooling, "no engine has the unit")
}

// Guards against an engine that gets no requests after its cooldown because others look less
// busy.
func TestEngineIsTriedAfterCooldown(t *testing.T) {
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
	t.Error("none of 50 requests went to the engine after its cooldown")
}
