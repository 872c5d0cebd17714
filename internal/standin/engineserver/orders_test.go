package engineserver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/testkit"
)

func TestLoadGenerateAndUnload(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.start("a", engineserver.Options{})
		b.wantGenerateError("a", newRequest("r0", "m", "hello", 3), engine.ErrNotLoaded)
		status := b.sendOrder("a", newLoadOrder(1, "m"), nil)
		testkit.That(b, len(status.Units) == 1 && status.Units[0].Phase == engine.PhaseLoading, "after the order: %v", status.Units)
		time.Sleep(loadTime + tokenTime)
		b.wantPhases("a", "m ready")
		r := newRequest("r1", "m", "hello", 5)
		stream := b.generate("a", r)
		b.sendOrder("a", newUnloadOrder(2, "m"), nil)
		b.wantPhases("a", "m unloading")
		b.wantGenerateError("a", newRequest("r2", "m", "hello", 3), engine.ErrNotLoaded)
		b.wantCompleteAnswer(stream, r)
		b.wantPhases("a", "")
		testkit.Equal(b, "tier of the unloaded checkpoint", b.status("a").Cached["m.ckpt"], engine.TierMemory)
		runCounts := e.Records().RunCounts
		testkit.That(b, runCounts["r1"] == 1 && len(runCounts) == 1, "ran %v", runCounts)
	})
}

// Guards against exceeding the engine's memory: a unit that is loading and one that
// is unloading until its stream ends both count, so a third load is refused and the
// refusal is recorded.
func TestMemoryLimitCountsUnitsOfAllPhases(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.start("a", engineserver.Options{MemoryBytes: 2*unitBytes + 1})
		b.loadUnit("a", "m1")
		stream := b.generate("a", newRequest("r", "m1", "hello", 300))
		b.sendOrder("a", newUnloadOrder(2, "m1"), nil)
		b.sendOrder("a", newLoadOrder(3, "m2"), nil)
		b.wantPhases("a", "m1 unloading, m2 loading")
		b.sendOrder("a", newLoadOrder(4, "m3"), engine.ErrNoMemory)
		_, _, _ = readToEnd(stream)
		b.sendOrder("a", newLoadOrder(4, "m3"), nil)
		records := e.Records()
		testkit.That(b, records.NoMemoryRefusals == 1 && records.PeakMemory == 2*unitBytes, "%+v", records)
	})
}

func TestAdapterRequiresItsBase(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		b.start("a", engineserver.Options{})
		adapter := newLoadOrder(1, "lora")
		adapter.Base = "m"
		b.sendOrder("a", adapter, engine.ErrNotLoaded)
		b.loadUnit("a", "m")
		b.sendOrder("a", adapter, nil)
		b.sendOrder("a", newUnloadOrder(2, "m"), engine.ErrInUse)
		b.sendOrder("a", newUnloadOrder(2, "lora"), nil)
		b.sendOrder("a", newUnloadOrder(2, "m"), nil)
		b.wantPhases("a", "")
	})
}

// An order of the former keeper arrives after the new keeper's fence order. An
// engine that checks tokens refuses it. One that ignores tokens loads the unit: the
// keepers' rights must tolerate this fault. The former keeper gets an unknown
// outcome.
func TestDelayedOrderWithOlderToken(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		runOnAllClients(t, func(b testbed) {
			e := b.start("a", engineserver.Options{ChecksTokens: checksTokens})
			e.SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: 5000})
			shortCtx, cancel := context.WithTimeout(b.Context(), time.Second)
			defer cancel()
			_, err := b.Order(shortCtx, "a", newLoadOrder(5, "m"))
			b.wantError(err, engine.ErrOutcomeUnknown)
			b.sendOrder("a", engine.Order{Token: 6, Action: engine.ActionFence}, nil)
			b.wantPhases("a", "")
			time.Sleep(time.Minute)
			want := map[bool]string{true: "", false: "m ready"}[checksTokens]
			b.wantPhases("a", want)
			delayed := e.Records().Orders[1]
			testkit.That(b, delayed.Order.Unit == "m" && (delayed.Refusal != "") == checksTokens, "late order: %+v", delayed)
			b.sendOrder("a", newLoadOrder(4, "m2"), map[bool]error{true: engine.ErrStaleToken}[checksTokens])
		})
	}
}

// The answer to an order is lost after the load began, so the keeper gets an
// unknown outcome. Sending the same order again must not start a second load.
func TestLostOrderAnswer(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{LoseOrderAnswers: 1})
		b.sendOrder("a", newLoadOrder(1, "m"), engine.ErrOutcomeUnknown)
		b.wantPhases("a", "m loading")
		b.loadUnit("a", "m")
		b.wantPhases("a", "m ready")
		testkit.Equal(b, "loads", e.Records().LoadCounts["m"], 1)
	})
}

// An order to a frozen engine times out for the keeper, but takes effect once the
// engine is no longer frozen.
func TestOrderToFrozenEngineTakesEffectAfterThaw(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{Frozen: true})
		shortCtx, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		_, err := b.Order(shortCtx, "a", newLoadOrder(1, "m"))
		b.wantError(err, engine.ErrOutcomeUnknown)
		time.Sleep(time.Minute)
		e.SetFaults(engineserver.Faults{})
		time.Sleep(2 * loadTime)
		b.wantPhases("a", "m ready")
	})
}

// The engine crashes at the end of a load: streams break, and it restarts without
// units and with a new incarnation. It keeps its highest token only if it promises
// to check tokens.
func TestEngineCrashesWhileLoading(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		runOnAllClients(t, func(b testbed) {
			e := b.start("a", engineserver.Options{ChecksTokens: checksTokens})
			b.loadUnit("a", "m1")
			before := b.status("a").Incarnation
			stream := b.generate("a", newRequest("r", "m1", "hello", 1000))
			e.SetFaults(engineserver.Faults{CrashWhileLoading: true})
			b.sendOrder("a", newLoadOrder(9, "m2"), nil)
			_, _, err := readToEnd(stream)
			b.wantError(err, engine.ErrBrokenStream)
			time.Sleep(time.Minute)
			after := b.status("a")
			testkit.That(b, after.Incarnation != before && len(after.Units) == 0, "after the restart: %+v", after)
			testkit.Equal(b, fmt.Sprintf("token %d kept over the restart", after.HighestToken), after.HighestToken == 9, checksTokens)
			_, err = b.Resume(b.Context(), "a", "r", 1)
			b.wantError(err, engine.ErrUnknownStream)
		})
	}
}

// A failed load leaves no unit, reports its reason and frees its memory; a stalled
// load stays in its phase until the fault ends.
func TestFailedAndStalledLoads(t *testing.T) {
	runOnAllClients(t, func(b testbed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{FailLoads: []string{"m"}, StallLoads: []string{"m2"}})
		b.loadUnit("a", "m")
		b.loadUnit("a", "m2")
		b.wantPhases("a", "m2 loading")
		status := b.status("a")
		testkit.That(b, status.Failed["m"] != "", "%+v", status)
		e.SetFaults(engineserver.Faults{})
		b.loadUnit("a", "m")
		b.wantPhases("a", "m ready, m2 ready")
	})
}
