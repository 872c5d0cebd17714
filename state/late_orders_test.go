package state_test

import (
	"flag"
	"testing"
)

var scheduleCount = flag.Int("worlds", 2000, "number of schedules of TestLateOrdersKeepLimits")

const simulationSteps = 600

// runSimulation runs one schedule to its end or to the first violation.
func runSimulation(seed uint64, variant variant) (*simulation, string) {
	sim := newSimulation(seed, variant)
	for range simulationSteps {
		if violation := sim.step(); violation != "" {
			return sim, violation
		}
	}
	return sim, ""
}

// TestLateOrdersKeepLimits guards against replicas beyond the contract's limit and
// against engines that run out of memory because of late orders. Keepers are paused
// between deciding and sending an order, lose their lease meanwhile or die, and their
// orders arrive after another keeper has withdrawn the unit. Records are appended late
// or twice, and sessions are expired at any time. The units that engines hold must
// stay within the limits, on engines that check tokens and on those that don't.
func TestLateOrdersKeepLimits(t *testing.T) {
	t.Parallel()
	total := map[string]int{}
	for seed := range uint64(*scheduleCount) {
		sim, violation := runSimulation(seed, variant{})
		if violation != "" {
			t.Fatalf("seed %d: %s", seed, violation)
		}
		for what, n := range sim.counts {
			total[what] += n
		}
	}
	t.Log(total)
	for _, what := range []string{"proposals", "orders", "refused orders"} {
		if total[what] < *scheduleCount/2 {
			t.Errorf("%s: only %d, too few for the schedules to be meaningful", what, total[what])
		}
	}
}

// TestFaultyVariantsFailOnLateOrders runs the same schedules with one safeguard
// removed at a time: a session is settled when it expires, while its paused keeper may
// still send; a right is freed before the engine has unloaded; engines forget the
// highest token; a keeper sends orders after it proposed to release the engine, until
// it applies the release; a keeper accepts an unload's answer as proof although a
// former keeper's last load may have arrived after it, before that keeper was settled.
// Each variant must violate a limit, or the schedules would not exercise the safeguard.
func TestFaultyVariantsFailOnLateOrders(t *testing.T) {
	t.Parallel()
	for _, faulty := range []struct {
		name    string
		variant variant
		// firstSeed lets a rare violation be found soon.
		firstSeed uint64
	}{
		{"settle at expiry", variant{settleAtExpiry: true}, 0},
		{"confirm unload at withdraw", variant{confirmUnloadAtWithdraw: true}, 0},
		{"forget tokens", variant{forgetTokens: true}, 0},
		{"order after release", variant{orderAfterRelease: true}, 900},
		{"accept answer before settling", variant{acceptAnswerBeforeSettling: true}, 3400},
	} {
		seed, violation := faulty.firstSeed, ""
		for ; seed < faulty.firstSeed+2000 && violation == ""; seed++ {
			_, violation = runSimulation(seed, faulty.variant)
		}
		t.Logf("%s: %q after %d schedules", faulty.name, violation, seed-faulty.firstSeed)
		if violation == "" {
			t.Errorf("%s violates no limit", faulty.name)
		}
	}
}
