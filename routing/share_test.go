package routing_test

import (
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
)

// Guards against a VM that gets no slot of overloaded engines for as long as the overload lasts:
// the VMs whose requests end use the slots again before it learns that they are free.
func TestShareOfOverloadedEngines(t *testing.T) {
	now := time.Unix(100, 0)
	full := []routing.Candidate{{Engine: "one", Slots: 8, Ready: true, PeersInFlight: 8, Sharers: 5}, {Engine: "two", Slots: 8, Ready: true, PeersInFlight: 9, Sharers: 5}}
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	used := 0
	for ; r.CanPick(now, routing.Query{Pool: "p"}, full); used++ {
		choice, _ := r.Pick(now, routing.Query{Pool: "p"}, full)
		r.RecordStart(now, choice.Engine, "p", nil)
	}
	testkit.Equal(t, "used slots of 16 for five VMs", used, 3)
	r.RecordFinish(now, "one", routing.Result{OK: true, Pool: "p"})
	testkit.That(t, r.CanPick(now, routing.Query{Pool: "p"}, full), "less than its share")
	for i := range full {
		full[i].Sharers = 0
	}
	testkit.That(t, !r.CanPick(now, routing.Query{Pool: "p"}, full), "a slot of full engines although the number of VMs is unknown")
}

// Guards against a VM that keeps the slots which are left over as overloaded engines are divided among
// VMs: the others never get more than their share rounded down.
func TestLeftOverSlotsAreSharedByTurns(t *testing.T) {
	const turns, slots, sharers = 600, 8, 6
	full := []routing.Candidate{{Engine: "one", Slots: slots, Ready: true, PeersInFlight: slots, Sharers: sharers}}
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	used := 0
	for turn := range turns {
		now := time.Unix(100+int64(turn), 0)
		inFlight := 0
		for ; r.CanPick(now, routing.Query{Pool: "p"}, full); inFlight++ {
			r.RecordStart(now, "one", "p", nil)
		}
		testkit.That(t, inFlight == slots/sharers || inFlight == slots/sharers+1, "%d slots of %d for %d VMs", inFlight, slots, sharers)
		used += inFlight
		for range inFlight {
			r.RecordFinish(now, "one", routing.Result{OK: true, Pool: "p"})
		}
	}
	share := float64(used) / turns
	testkit.That(t, share > 0.95*slots/sharers && share < 1.05*slots/sharers, "%.2f slots on average", share)
}
