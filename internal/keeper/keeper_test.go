package keeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/engine"
	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/internal/testkit"
	"bergamotreel/state"
)

// lateMS is how late an order is that its keeper has given up: past orderTimeout,
// and between two ticks of keepers and of the bed, so that it shows for a while.
const lateMS = 8130

// The keeper's process dies. Another VM takes its engine after the session's
// term and goes on with the model that is loaded there: no second load. A
// withdrawn right is freed at once where the engine checks tokens; where not,
// only once the dead VM has been off the list for a message's lifetime.
func TestTakeoverOfADeadKeeper(t *testing.T) {
	onBoth(t, func(b *bed, checks bool) {
		b.grant("e", "m")
		time.Sleep(5 * time.Second)
		b.vms["a"].stop()
		b.until(15*time.Second, "takeover", func() bool { return b.keeperOf("e") == "b" })
		b.mustHold("e", "m:ready")
		b.withdraw("m")
		if checks {
			if took := b.untilGone("m"); took > 3*time.Second {
				b.Errorf("freed after %v", took)
			}
			return
		}
		time.Sleep(20 * time.Second)
		if b.agreed("e").Rights["m"] == nil {
			b.Error("freed while the former keeper may still send")
		}
		b.leave("a")
		if took := b.untilGone("m"); took < timing.MessageLifetime {
			b.Errorf("freed %v after the VM left the list", took)
		}
	})
}

// Records of other engines, sessions and contracts come all the time: none of
// them names this engine. Failure: each batch of records had every engine asked by
// its keeper; in a large fleet that was without a pause. A grant is acted on at
// once all the same.
func TestNewsOfOthersWakesNoWorker(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		time.Sleep(5 * time.Second)
		b.sets(func() { b.asked = 0 })
		for range 40 {
			_, _ = b.vms["b"].control.Propose(b.ctx, state.Proposal{EngineRemove: &state.EngineRemove{Engine: "other"}})
			time.Sleep(250 * time.Millisecond)
		}
		b.sets(func() {
			if b.asked > 6 {
				b.Errorf("asked %d times within 10 s", b.asked)
			}
		})
		b.grant("e", "m")
		b.until(100*time.Millisecond, "load begun", func() bool { return b.holds("e") != "" })
	})
}

// An engine restarts empty, dies at the end of a load, or its load fails: what
// is wanted there is loaded again.
func TestLoadsAgain(t *testing.T) {
	for name, fault := range map[string]func(*engineserver.Engine){
		"restart":  func(e *engineserver.Engine) { time.Sleep(5 * time.Second); e.Restart() },
		"dies":     func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{DieWhileLoading: true}) },
		"failure":  func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{FailLoads: []string{"m"}}) },
		"unsent":   func(e *engineserver.Engine) { e.Crash() },
		"thaw":     func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{Frozen: true}) },
		"no reply": func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{LoseOrderAnswers: 2}) },
	} {
		onBothIn(t, name, func(b *bed, _ bool) {
			e := b.engines.Engine("e")
			b.grant("e", "m")
			fault(e)
			time.Sleep(10 * time.Second)
			e.SetFaults(engineserver.Faults{})
			e.Start()
			time.Sleep(15 * time.Second)
			b.mustHold("e", "m:ready")
		})
	}
}

// A load order is on its way for longer than its keeper waits, and arrives after
// the right was withdrawn and unloaded. An engine that checks tokens refuses it;
// on one that ignores them the right stays counted until the order cannot arrive
// any more. Naive twin: free the right once the engine shows no unit.
func TestLateLoadAfterItsWithdrawal(t *testing.T) {
	for name, naive := range map[string]bool{"keeper": false, "naive twin": true} {
		onBothIn(t, name, func(b *bed, checks bool) {
			b.expected = naive
			b.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: lateMS})
			b.grant("e", "m")
			time.Sleep(5200 * time.Millisecond)
			b.withdraw("m")
			if naive {
				time.Sleep(500 * time.Millisecond)
				e := b.agreed("e")
				if e.Rights["m"] != nil && b.holds("e") == "" {
					b.propose("a", state.Proposal{ConfirmUnload: &state.ConfirmUnload{
						Engine: "e", Keeper: e.Keeper, Unit: "m", Right: e.Rights["m"].Granted,
					}})
				}
			}
			took := b.untilGone("m")
			if !naive && !checks && took < timing.MessageLifetime-time.Second {
				b.Errorf("freed %v after the withdrawal", took)
			}
			time.Sleep(20 * time.Second)
			if !naive {
				b.mustHold("e", "")
			}
		})
	}
}

// A standby right was unloaded and is wanted again; that load is under way when
// the right is withdrawn. The earlier unload's answer proves nothing of the load
// after it: an engine that checks tokens needs one at the withdrawal's.
func TestUnloadFromBeforeTheWithdrawalProvesNothing(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		b.grant("e", "m")
		time.Sleep(5 * time.Second)
		b.want("m", false)
		time.Sleep(2 * time.Second)
		b.mustHold("e", "")
		b.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: lateMS})
		b.want("m", true)
		time.Sleep(5200 * time.Millisecond)
		b.withdraw("m")
		b.untilGone("m")
		time.Sleep(10 * time.Second)
		b.mustHold("e", "")
	})
}

// The naive twin gives all orders the token of its own keeper's grant: its late
// load is obeyed behind its own unload, though the engine checks tokens.
func TestNaiveTwinWithOneTokenFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		e := b.engine("e", true)
		for _, action := range []engine.Action{engine.ActionUnload, engine.ActionLoad} {
			order := engine.Order{Token: 7, Action: action, Unit: "m", Checkpoint: "m:v1", Bytes: gigabyte}
			testkit.Value(e.Order(b.ctx, order))(t)
		}
		b.mustHold("e", "m:loading")
	})
}

// The right is withdrawn while the load runs: the load is broken off and the
// right freed, also where the load does not come to an end.
func TestWithdrawWhileLoading(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		b.engines.Engine("e").SetFaults(engineserver.Faults{StallLoads: []string{"m"}})
		b.grant("e", "m")
		time.Sleep(5 * time.Second)
		b.mustHold("e", "m:loading")
		b.withdraw("m")
		if took := b.untilGone("m"); took > 3*time.Second {
			b.Errorf("freed after %v", took)
		}
		b.mustHold("e", "")
	})
}

// An engine holds a unit that nobody has a right to, and another one of an older
// checkpoint than granted: both are unloaded, the granted one is loaded.
func TestUnloadsWhatNobodyGranted(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		e := b.engines.Engine("e")
		high := engine.Token(b.agreed("e").Keeper)
		for _, unit := range []string{"stray", "m"} {
			order := engine.Order{Token: high, Action: engine.ActionLoad, Unit: unit, Checkpoint: "m:v0", Bytes: gigabyte}
			if unit == "m" {
				b.grant("e", "m")
			}
			if _, err := e.Order(b.ctx, order); err != nil {
				b.Log(unit, err)
			}
		}
		time.Sleep(8 * time.Second)
		b.mustHold("e", "m:ready")
		if status, _ := e.Status(b.ctx); status.Units[0].Checkpoint != "m:v1" {
			b.Errorf("holds checkpoint %s", status.Units[0].Checkpoint)
		}
	})
}

// A session is ended by another VM while an order of it is under way. Its owner
// must not call it settled before that order has died out: Gone would then free
// what the order may still load.
func TestSessionLostWhileAnOrderIsUnderWay(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		b.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: 14000})
		b.grant("e", "m")
		time.Sleep(100 * time.Millisecond)
		b.sets(func() { b.vms["a"].keeps = nil })
		var lost state.Session
		b.vms["b"].control.View(func(s *state.State) { lost = *s.Sessions[s.Engines["e"].KeeperSession] })
		b.propose("b", state.Proposal{SessionExpire: &state.SessionExpire{
			Session: lost.ID, LastRenewal: lost.LastRenewal,
		}})
		b.until(5*time.Second, "takeover", func() bool { return b.keeperOf("e") == "b" })
		b.withdraw("m")
		b.untilGone("m")
		time.Sleep(20 * time.Second)
		b.mustHold("e", "")
	})
}

// A VM stops in good order: its engine has another keeper at once, without
// waiting for the session's term. With a load order still without an answer the
// engine changes hands just as fast, but the session is not settled.
func TestStopGivesEnginesBack(t *testing.T) {
	for name, delayMS := range map[string]int64{"idle": 0, "order under way": 1000, "order in doubt": lateMS} {
		doubt := delayMS > orderTimeout.Milliseconds()
		onBothIn(t, name, func(b *bed, _ bool) {
			if delayMS > 0 {
				b.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: delayMS})
				b.grant("e", "m")
				time.Sleep(100 * time.Millisecond)
			}
			b.vms["a"].keeper.Stop(b.ctx)
			took := b.until(time.Minute, "takeover", func() bool { return b.keeperOf("e") == "b" })
			if took > 2*time.Second {
				b.Errorf("taken over after %v", took)
			}
			unsettled := 0
			b.vms["b"].control.View(func(s *state.State) { unsettled = len(s.Sessions) - 1 })
			testkit.Equal(b, fmt.Sprint(unsettled, " sessions unsettled"), unsettled > 0, doubt)
		})
	}
}

// One engine hangs and answers nothing: the others of the same keeper are served.
func TestStuckEngineStopsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.engine("e", true).SetFaults(engineserver.Faults{Frozen: true})
		b.engine("f", true)
		b.start("b", "e", "f")
		time.Sleep(3 * time.Second)
		b.publish()
		b.grant("f", "m")
		time.Sleep(5 * time.Second)
		b.mustHold("f", "m:ready")
	})
}

// The keeper dies. The VM that is chosen to end its session keeps no engine, or
// is cut off from the log: the engine must change hands all the same.
func TestTakeoverWhoeverIsChosenToEndTheSession(t *testing.T) {
	for name, cut := range map[string]bool{"keeps no engine": false, "cut off": true} {
		onBothIn(t, name, func(b *bed, _ bool) {
			c := b.start("c")
			b.sets(func() { b.chosen = "c" })
			time.Sleep(3 * time.Second)
			if cut {
				c.view.Cut()
			}
			b.vms["a"].stop()
			limit := timing.Term + 2*time.Second
			if cut {
				limit += settleGrace
			}
			b.until(limit, "takeover", func() bool { return b.keeperOf("e") == "b" })
		})
	}
}

// The keeper is cut off from the log and does not learn that another VM took its
// engine over; both send orders by what they know. An engine that checks tokens
// obeys the newer one alone. On one that ignores them the old keeper loads again
// what the new one unloads: it stays counted until the old one has heard.
func TestTwoKeepersAtOnce(t *testing.T) {
	onBoth(t, func(b *bed, checks bool) {
		b.grant("e", "m")
		time.Sleep(5 * time.Second)
		b.vms["a"].view.Cut()
		b.until(20*time.Second, "takeover", func() bool { return b.keeperOf("e") == "b" })
		b.withdraw("m")
		time.Sleep(20 * time.Second)
		testkit.Equal(b, "right counted", b.agreed("e").Rights["m"] != nil, !checks)
		b.vms["a"].view.Heal()
		b.untilGone("m")
		time.Sleep(20 * time.Second)
		b.mustHold("e", "")
	})
}

// Another VM should keep the engine from now on, because it is back in the
// engine's failure domain. The engine changes hands without a new load, and the
// former keeper, which goes on living, holds up nothing: its orders there were
// answered.
func TestHandsOverAnEngine(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		b.grant("e", "m")
		time.Sleep(5 * time.Second)
		b.sets(func() { b.vms["a"].keeps = nil })
		took := b.until(time.Minute, "handed over", func() bool { return b.keeperOf("e") == "b" })
		if took < handOverAfter {
			b.Errorf("handed over after %v", took)
		}
		time.Sleep(5 * time.Second)
		b.mustHold("e", "m:ready")
		testkit.Equal(b, "loads", b.engines.Engine("e").Records().Loads["m"], 1)
		b.withdraw("m")
		if took := b.untilGone("m"); took > 3*time.Second {
			b.Errorf("freed after %v", took)
		}
	})
}

// A keeper proposes to give an engine back, settled; the answer is lost and
// the record lands late. Meanwhile the engine is its to keep
// again, and a model is granted there. No order may go out under the old keeper:
// the record says that none will, and on its word a unit that a late order
// brought back would be freed.
func TestNothingIsSentOnceAGiveBackIsProposed(t *testing.T) {
	onBoth(t, func(b *bed, _ bool) {
		b.sets(func() { b.vms["a"].keeps, b.giveBackLate = nil, 3*time.Second })
		b.until(time.Minute, "proposed", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.givenBack
		})
		b.sets(func() { b.vms["a"].keeps = []string{"e"} })
		before := b.agreed("e").Keeper
		b.grant("e", "n")
		for standing := true; standing; time.Sleep(10 * time.Millisecond) {
			loads := b.engines.Engine("e").Records().Loads["n"]
			e := b.agreed("e")
			standing = e.Keeper == before && e.KeeperSession != 0
			if standing && loads != 0 {
				b.Fatal("an order went out after the give-back was proposed")
			}
		}
		b.sets(func() { b.giveBackLate = 0 })
		b.until(time.Minute, "loaded by the next keeper", func() bool { return b.holds("e") == "n:ready" })
	})
}
