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

func TestUnitLoadsAnswersAndUnloads(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.start("a", engineserver.Options{})
		b.refuse("a", request("r0", "m", "hello", 3), engine.ErrNotLoaded)
		status := b.order("a", loadOrder(1, "m"), nil)
		testkit.That(b, len(status.Units) == 1 && status.Units[0].Phase == engine.PhaseLoading, "after the order: %v", status.Units)
		time.Sleep(loadTime + token)
		b.wantPhases("a", "m ready")
		r := request("r1", "m", "hello", 5)
		stream := b.generate("a", r)
		b.order("a", unloadOrder(2, "m"), nil)
		b.wantPhases("a", "m unloading")
		b.refuse("a", request("r2", "m", "hello", 3), engine.ErrNotLoaded)
		b.wantWhole(stream, r)
		b.wantPhases("a", "")
		testkit.Equal(b, "tier of the unloaded checkpoint", b.status("a").Cached["m.ckpt"], engine.TierMemory)
		ran := e.Records().RunCounts
		testkit.That(b, ran["r1"] == 1 && len(ran) == 1, "ran %v", ran)
	})
}

// The keeper sees a refusal, and the engine's memory stays within its size.
// One unit is loading and one waits for its stream to end while a third is
// ordered: all phases count, and the refusal is on record.
func TestMemoryOfAllPhasesCounts(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.start("a", engineserver.Options{MemoryBytes: 2*unitBytes + 1})
		b.load("a", "m1")
		stream := b.generate("a", request("r", "m1", "hello", 300))
		b.order("a", unloadOrder(2, "m1"), nil)
		b.order("a", loadOrder(3, "m2"), nil)
		b.wantPhases("a", "m1 unloading, m2 loading")
		b.order("a", loadOrder(4, "m3"), engine.ErrNoMemory)
		_, _, _ = read(stream)
		b.order("a", loadOrder(4, "m3"), nil)
		records := e.Records()
		testkit.That(b, records.NoMemoryRefusals == 1 && records.PeakMemory == 2*unitBytes, "%+v", records)
	})
}

func TestAdapterNeedsItsBase(t *testing.T) {
	onBoth(t, func(b bed) {
		b.start("a", engineserver.Options{})
		adapter := loadOrder(1, "lora")
		adapter.Base = "m"
		b.order("a", adapter, engine.ErrNotLoaded)
		b.load("a", "m")
		b.order("a", adapter, nil)
		b.order("a", unloadOrder(2, "m"), engine.ErrInUse)
		b.order("a", unloadOrder(2, "lora"), nil)
		b.order("a", unloadOrder(2, "m"), nil)
		b.wantPhases("a", "")
	})
}

// The former keeper sees an unknown outcome; its order arrives after the new
// keeper has unloaded the unit.
// An engine that checks tokens refuses it, so nothing comes back. One that
// ignores tokens obeys: this is the fault that the rights have to stand.
func TestLateOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		onBoth(t, func(b bed) {
			e := b.start("a", engineserver.Options{ChecksTokens: checks})
			e.SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: 5000})
			impatient, cancel := context.WithTimeout(b.Context(), time.Second)
			defer cancel()
			_, err := b.Order(impatient, "a", loadOrder(5, "m"))
			b.check(err, engine.ErrOutcomeUnknown)
			b.order("a", engine.Order{Token: 6, Action: engine.ActionFence}, nil)
			b.wantPhases("a", "")
			time.Sleep(time.Minute)
			want := map[bool]string{true: "", false: "m ready"}[checks]
			b.wantPhases("a", want)
			late := e.Records().Orders[1]
			testkit.That(b, late.Order.Unit == "m" && (late.Refusal != "") == checks, "late order: %+v", late)
			b.order("a", loadOrder(4, "m2"), map[bool]error{true: engine.ErrStaleToken}[checks])
		})
	}
}

// The keeper sees an unknown outcome though the load began.
// The answer is lost after the effect; the same order again changes nothing.
func TestLostOrderAnswer(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{LoseOrderAnswers: 1})
		b.order("a", loadOrder(1, "m"), engine.ErrOutcomeUnknown)
		b.wantPhases("a", "m loading")
		b.load("a", "m")
		b.wantPhases("a", "m ready")
		testkit.Equal(b, "loads", e.Records().LoadCounts["m"], 1)
	})
}

// The keeper sees timeouts while the engine is paused; what it sent meanwhile
// takes effect once the engine runs on.
func TestOrderToFrozenEngineTakesEffectAtTheThaw(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{Frozen: true})
		impatient, cancel := context.WithTimeout(b.Context(), time.Second)
		defer cancel()
		_, err := b.Order(impatient, "a", loadOrder(1, "m"))
		b.check(err, engine.ErrOutcomeUnknown)
		time.Sleep(time.Minute)
		e.SetFaults(engineserver.Faults{})
		time.Sleep(2 * loadTime)
		b.wantPhases("a", "m ready")
	})
}

// The caller sees a broken stream and the keeper an empty engine with a new
// incarnation: the engine dies at the end of a load.
// It keeps its highest token only if it promises to check tokens.
func TestEngineDiesWhileLoading(t *testing.T) {
	for _, checks := range []bool{true, false} {
		onBoth(t, func(b bed) {
			e := b.start("a", engineserver.Options{ChecksTokens: checks})
			b.load("a", "m1")
			before := b.status("a").Incarnation
			stream := b.generate("a", request("r", "m1", "hello", 1000))
			e.SetFaults(engineserver.Faults{CrashWhileLoading: true})
			b.order("a", loadOrder(9, "m2"), nil)
			_, _, err := read(stream)
			b.check(err, engine.ErrBrokenStream)
			time.Sleep(time.Minute)
			after := b.status("a")
			testkit.That(b, after.Incarnation != before && len(after.Units) == 0, "after the restart: %+v", after)
			testkit.Equal(b, fmt.Sprintf("token %d kept over the restart", after.HighestToken), after.HighestToken == 9, checks)
			_, err = b.Resume(b.Context(), "a", "r", 1)
			b.check(err, engine.ErrUnknownStream)
		})
	}
}

// The keeper sees no unit and the reason; the memory is free again.
func TestFailedLoad(t *testing.T) {
	onBoth(t, func(b bed) {
		e := b.start("a", engineserver.Options{})
		e.SetFaults(engineserver.Faults{FailLoads: []string{"m"}, StallLoads: []string{"m2"}})
		b.load("a", "m")
		b.load("a", "m2")
		b.wantPhases("a", "m2 loading")
		status := b.status("a")
		testkit.That(b, status.Failed["m"] != "", "%+v", status)
		e.SetFaults(engineserver.Faults{})
		b.load("a", "m")
		b.wantPhases("a", "m ready, m2 ready")
	})
}
