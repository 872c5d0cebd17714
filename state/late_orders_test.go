package state_test

import (
	"flag"
	"testing"
)

var worlds = flag.Int("worlds", 2000, "schedules of TestLateOrders")

const worldSteps = 600

// runWorld runs one schedule to its end or to the first broken promise.
func runWorld(seed uint64, twin twin) (*world, string) {
	w := newWorld(seed, twin)
	for range worldSteps {
		if broken := w.step(); broken != "" {
			return w, broken
		}
	}
	return w, ""
}

// TestLateOrdersBreakNoPromise: a caller must never cause a replica that was not
// decided, nor an engine that runs out of memory. Keepers are paused between
// deciding and sending an order, lose their lease meanwhile, die, and their
// orders arrive when another keeper has already withdrawn the unit; appends land
// late or twice, and leases are called expired at any time. What engines really
// hold stays within what was decided, on engines that check tokens or don't.
func TestLateOrdersBreakNoPromise(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	for seed := range uint64(*worlds) {
		w, broken := runWorld(seed, twin{})
		if broken != "" {
			t.Fatalf("seed %d: %s", seed, broken)
		}
		for what, n := range w.applied {
			total[what] += n
		}
	}
	t.Log(total)
	for _, what := range []string{"proposals", "orders", "refused orders"} {
		if total[what] < *worlds/2 {
			t.Errorf("%s: only %d, the schedules prove little", what, total[what])
		}
	}
}

// TestNaiveTwinsBreakOnLateOrders runs the same schedules with one safeguard
// taken out each time: freeing a right at the lease's expiry while a paused
// keeper may still send; freeing it before the engine has unloaded; engines that
// forget the highest token; a keeper that orders on after it proposed to give
// the engine back, until it folds that; and one that takes an unload's answer for
// Gone though a former keeper's last load came after it and before that keeper
// was settled. Each must break a promise, else the schedules above would prove
// nothing.
func TestNaiveTwinsBreakOnLateOrders(t *testing.T) {
	t.Parallel()
	for _, naive := range []struct {
		name string
		twin twin
		// from is the first seed, so that a rare breach is found soon.
		from uint64
	}{
		{"settle at expiry", twin{settleAtExpiry: true}, 0},
		{"gone at withdraw", twin{goneAtWithdraw: true}, 0},
		{"forget tokens", twin{forgetTokens: true}, 0},
		{"order after its word", twin{orderAfterWord: true}, 900},
		{"answer before settling", twin{answerBeforeSettling: true}, 3400},
	} {
		seed, broken := naive.from, ""
		for ; seed < naive.from+2000 && broken == ""; seed++ {
			_, broken = runWorld(seed, naive.twin)
		}
		t.Logf("%s: %q after %d schedules", naive.name, broken, seed-naive.from)
		if broken == "" {
			t.Errorf("%s breaks nothing", naive.name)
		}
	}
}
