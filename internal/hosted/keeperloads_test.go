package hosted

import (
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// An engine's status says 0.3 s late that a load is done. Requests for rare models, which
// follow each other on an engine, waited that much longer for each swap: 0.9 s for a load
// of 0.5 s.
func TestLoadFromACopyIsForeseen(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4")
		w.registry.deal("a")
		w.engines.statusLag = 200 * time.Millisecond
		w.list(w.engines.add("e1", "m1", "m2"), "m1", "m2", "m3", "m4")
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, m := range []string{"m3", "m4", "m1", "m2"} {
			took := testkit.Value(ask(b, m, 5*time.Second))(w)
			testkit.That(w, took < fakeLoadTime+200*time.Millisecond, "%s took %s", m, took)
			time.Sleep(2500 * time.Millisecond)
		}
		testkit.Equal(w, "turned away", w.turnedAway, 0)
		w.checkQuiet()
	})
}

// An engine loads more slowly than it should: what was taken for loaded is not, and
// requests for it are turned away. That is taken back, and the next loads are waited for:
// no request for their models is turned away.
func TestLoadThatTakesLonger(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4")
		w.registry.deal("a")
		w.engines.statusLag = 200 * time.Millisecond
		e := w.engines.add("e1", "m1", "m2")
		e.extraLoadTime = 2 * time.Second
		w.list(e, "m1", "m2", "m3", "m4")
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		_, _ = ask(b, "m3", 8*time.Second)
		time.Sleep(3 * time.Second)
		_ = testkit.Value(ask(b, "m3", time.Second))(w)
		before := w.turnedAway
		testkit.That(w, before > 0, "nothing was turned away: the load was not foreseen")
		took := testkit.Value(ask(b, "m4", 8*time.Second))(w)
		testkit.That(w, took > e.extraLoadTime && took < e.extraLoadTime+2*time.Second, "m4 took %s", took)
		testkit.Equal(w, "turned away for m4", w.turnedAway, before)
		w.checkQuiet()
	})
}

// Reports take longer than a swap's first half second, as in a large fleet. The planner
// took an engine for free whose keeper had just begun a swap there, planned the next one
// on it, and again, each time refused; the model that it was for had other places.
func TestSwapUnderWayIsKnownWithoutReports(t *testing.T) {
	inWorld(t, func(w *world) {
		models := []string{"m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8"}
		w.registry.configuration = testContract(models...)
		for i := range 2 {
			e := w.engines.add([]string{"e1", "e2"}[i], models[2*i], models[2*i+1])
			e.extraLoadTime = time.Second
			w.list(e, models...)
		}
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(2 * time.Second)
		keeper := map[bool]string{true: "b", false: "a"}[a.members.isPlanner(time.Now())]
		w.registry.deal(keeper)
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		w.reportDelay = 900 * time.Millisecond
		w.mu.Unlock()
		for range 3 {
			for _, m := range models {
				go func() { _, _ = ask(b, m, 6*time.Second) }()
				time.Sleep(500 * time.Millisecond)
			}
		}
		time.Sleep(6 * time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		testkit.That(w, w.swapsRefused <= swapsRefusedMost, "%d swaps were refused", w.swapsRefused)
	})
}

// swapsRefusedMost is how many swaps may be refused: of news that crosses an order.
const swapsRefusedMost = 3
