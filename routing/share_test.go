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
	full := []routing.Candidate{{Engine: "one", Slots: 8, Ready: true, PeersInFlight: 8, HasShare: true}, {Engine: "two", Slots: 8, Ready: true, PeersInFlight: 9, HasShare: true}}
	r := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
	choice, ok := r.Pick(now, routing.Query{Pool: "p"}, full)
	testkit.That(t, ok, "no slot for a VM without a request in flight")
	r.RecordStart(now, choice.Engine, "p", nil)
	testkit.That(t, !r.CanPick(now, routing.Query{Pool: "p"}, full), "a second slot of full engines")
	r.RecordFinish(now, choice.Engine, routing.Result{NotRun: true, Pool: "p"})
	full[0].HasShare, full[1].HasShare = false, false
	testkit.That(t, !r.CanPick(now, routing.Query{Pool: "p"}, full), "a slot of full engines without a share")
}
