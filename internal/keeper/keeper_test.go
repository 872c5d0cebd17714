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

// lateOrderDelayMS is the delay of an order that its keeper has given up: beyond
// orderTimeout, and between two ticks of the keepers and of the monitor, so that
// its effect is visible for a while.
const lateOrderDelayMS = 8130

// The keeper's process crashes. Another VM takes its engine over after the
// session's term and keeps the model that is loaded there, without a second load. A
// withdrawn right is freed immediately if the engine checks tokens; otherwise only
// when the crashed VM has been off the VM list for a message's lifetime.
func TestTakeoverAfterKeeperCrash(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, checksTokens bool) {
		tc.grant("e", "m")
		time.Sleep(5 * time.Second)
		tc.vms["a"].stop()
		tc.waitFor(15*time.Second, "takeover", func() bool { return tc.keeperOf("e") == "b" })
		tc.requireHeld("e", "m:ready")
		tc.withdraw("m")
		if checksTokens {
			if took := tc.waitForRemoval("m"); took > 3*time.Second {
				tc.Errorf("freed after %v", took)
			}
			return
		}
		time.Sleep(20 * time.Second)
		if tc.recorded("e").Rights["m"] == nil {
			tc.Error("freed while the former keeper may still send")
		}
		tc.removeFromList("a")
		if took := tc.waitForRemoval("m"); took < testLease.MessageLifetime {
			tc.Errorf("freed %v after the VM left the list", took)
		}
	})
}

// Records about other engines, sessions and contracts arrive continuously. If each
// batch of them had every engine polled by its keeper, the engines of a large fleet
// would be polled without a pause. A grant must still be acted on immediately.
func TestUnrelatedRecordsDoNotPollEngines(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		time.Sleep(5 * time.Second)
		tc.withLock(func() { tc.statusCalls = 0 })
		for range 40 {
			_, _ = tc.vms["b"].control.Propose(tc.ctx, state.Proposal{EngineRemove: &state.EngineRemove{Engine: "other"}})
			time.Sleep(250 * time.Millisecond)
		}
		tc.withLock(func() {
			if tc.statusCalls > 6 {
				tc.Errorf("polled %d times within 10 s", tc.statusCalls)
			}
		})
		tc.grant("e", "m")
		tc.waitFor(100*time.Millisecond, "load started", func() bool { return tc.heldUnits("e") != "" })
	})
}

// An engine restarts empty, crashes at the end of a load, or its load fails: units
// wanted there must be loaded again.
func TestWantedUnitIsReloadedAfterFault(t *testing.T) {
	for name, fault := range map[string]func(*engineserver.Engine){
		"restart":  func(e *engineserver.Engine) { time.Sleep(5 * time.Second); e.Restart() },
		"crash":    func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{CrashWhileLoading: true}) },
		"failure":  func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{FailLoads: []string{"m"}}) },
		"unsent":   func(e *engineserver.Engine) { e.Crash() },
		"thaw":     func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{Frozen: true}) },
		"no reply": func(e *engineserver.Engine) { e.SetFaults(engineserver.Faults{LoseOrderAnswers: 2}) },
	} {
		runForEachEngineKind(t, name, func(tc *testCluster, _ bool) {
			e := tc.engines.Engine("e")
			tc.grant("e", "m")
			fault(e)
			time.Sleep(10 * time.Second)
			e.SetFaults(engineserver.Faults{})
			e.Start()
			time.Sleep(15 * time.Second)
			tc.requireHeld("e", "m:ready")
		})
	}
}

// A load order is in flight for longer than its keeper waits, and arrives after the
// right was withdrawn and the unit unloaded. An engine that checks tokens refuses
// it; on one that ignores them the right stays counted until the order can no
// longer arrive. The faulty variant frees the right as soon as the engine shows no
// unit.
func TestLateLoadAfterWithdrawal(t *testing.T) {
	for name, faulty := range map[string]bool{"keeper": false, "faulty variant": true} {
		runForEachEngineKind(t, name, func(tc *testCluster, checksTokens bool) {
			tc.violationExpected = faulty
			tc.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: lateOrderDelayMS})
			tc.grant("e", "m")
			time.Sleep(5200 * time.Millisecond)
			tc.withdraw("m")
			if faulty {
				time.Sleep(500 * time.Millisecond)
				e := tc.recorded("e")
				if e.Rights["m"] != nil && tc.heldUnits("e") == "" {
					tc.propose("a", state.Proposal{ConfirmUnload: &state.ConfirmUnload{
						Engine: "e", Keeper: e.Keeper, Unit: "m", Right: e.Rights["m"].Granted,
					}})
				}
			}
			took := tc.waitForRemoval("m")
			if !faulty && !checksTokens && took < testLease.MessageLifetime-time.Second {
				tc.Errorf("freed %v after the withdrawal", took)
			}
			time.Sleep(20 * time.Second)
			if !faulty {
				tc.requireHeld("e", "")
			}
		})
	}
}

// A standby right was unloaded and is wanted again; its load is in flight when the
// right is withdrawn. The answer to the earlier unload proves nothing about the
// later load: an engine that checks tokens needs an unload with the withdrawal's
// token.
func TestUnloadBeforeWithdrawalDoesNotConfirmIt(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		tc.grant("e", "m")
		time.Sleep(5 * time.Second)
		tc.setWanted("m", false)
		time.Sleep(2 * time.Second)
		tc.requireHeld("e", "")
		tc.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: lateOrderDelayMS})
		tc.setWanted("m", true)
		time.Sleep(5200 * time.Millisecond)
		tc.withdraw("m")
		tc.waitForRemoval("m")
		time.Sleep(10 * time.Second)
		tc.requireHeld("e", "")
	})
}

// A faulty variant that gives all orders the token of its keeper's grant: its late
// load is obeyed after its own unload, although the engine checks tokens.
func TestOrdersWithOneTokenFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		e := tc.addEngine("e", true)
		for _, action := range []engine.Action{engine.ActionUnload, engine.ActionLoad} {
			order := engine.Order{Token: 7, Action: action, Unit: "m", Checkpoint: "m:v1", Bytes: gigabyte}
			testkit.Value(e.Order(tc.ctx, order))(t)
		}
		tc.requireHeld("e", "m:loading")
	})
}

// The right is withdrawn during the load: the load is cancelled and the right
// freed, even if the load never finishes.
func TestWithdrawWhileLoading(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		tc.engines.Engine("e").SetFaults(engineserver.Faults{StallLoads: []string{"m"}})
		tc.grant("e", "m")
		time.Sleep(5 * time.Second)
		tc.requireHeld("e", "m:loading")
		tc.withdraw("m")
		if took := tc.waitForRemoval("m"); took > 3*time.Second {
			tc.Errorf("freed after %v", took)
		}
		tc.requireHeld("e", "")
	})
}

// An engine holds a unit that has no right, and another one with an older
// checkpoint than granted: both are unloaded, and the granted one is loaded.
func TestUnloadsUnitsWithoutARight(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		e := tc.engines.Engine("e")
		token := engine.Token(tc.recorded("e").Keeper)
		for _, unit := range []string{"stray", "m"} {
			order := engine.Order{Token: token, Action: engine.ActionLoad, Unit: unit, Checkpoint: "m:v0", Bytes: gigabyte}
			if unit == "m" {
				tc.grant("e", "m")
			}
			if _, err := e.Order(tc.ctx, order); err != nil {
				tc.Log(unit, err)
			}
		}
		time.Sleep(8 * time.Second)
		tc.requireHeld("e", "m:ready")
		if status, _ := e.Status(tc.ctx); status.Units[0].Checkpoint != "m:v1" {
			tc.Errorf("holds checkpoint %s", status.Units[0].Checkpoint)
		}
	})
}

// A session is ended by another VM while one of its orders is in flight. Its owner
// must not settle it before that order can no longer arrive: ConfirmUnload would
// then free what the order may still load.
func TestSessionLostWithOrderInFlight(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		tc.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: 14000})
		tc.grant("e", "m")
		time.Sleep(100 * time.Millisecond)
		tc.withLock(func() { tc.vms["a"].assigned = nil })
		var lost state.Session
		tc.vms["b"].control.View(func(s *state.State) { lost = *s.Sessions[s.Engines["e"].KeeperSession] })
		tc.propose("b", state.Proposal{SessionExpire: &state.SessionExpire{
			Session: lost.ID, LastRenewal: lost.LastRenewal,
		}})
		tc.waitFor(5*time.Second, "takeover", func() bool { return tc.keeperOf("e") == "b" })
		tc.withdraw("m")
		tc.waitForRemoval("m")
		time.Sleep(20 * time.Second)
		tc.requireHeld("e", "")
	})
}

// A VM stops gracefully: its engine has another keeper immediately, without waiting
// for the session's term. With an unanswered load order the engine changes its
// keeper just as fast, but the session is not settled.
func TestStopReleasesEngines(t *testing.T) {
	for name, delayMS := range map[string]int64{"idle": 0, "order in flight": 1000, "unanswered order": lateOrderDelayMS} {
		pending := delayMS > orderTimeout.Milliseconds()
		runForEachEngineKind(t, name, func(tc *testCluster, _ bool) {
			if delayMS > 0 {
				tc.engines.Engine("e").SetFaults(engineserver.Faults{DelayOrders: 1, DelayOrdersMS: delayMS})
				tc.grant("e", "m")
				time.Sleep(100 * time.Millisecond)
			}
			tc.vms["a"].keeper.Stop(tc.ctx)
			took := tc.waitFor(time.Minute, "takeover", func() bool { return tc.keeperOf("e") == "b" })
			if took > 2*time.Second {
				tc.Errorf("taken over after %v", took)
			}
			unsettled := 0
			tc.vms["b"].control.View(func(s *state.State) { unsettled = len(s.Sessions) - 1 })
			testkit.Equal(tc, fmt.Sprint(unsettled, " sessions unsettled"), unsettled > 0, pending)
		})
	}
}

// One engine hangs and answers nothing: the others of the same keeper are still
// served.
func TestUnresponsiveEngineDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		tc.addEngine("e", true).SetFaults(engineserver.Faults{Frozen: true})
		tc.addEngine("f", true)
		tc.startVM("b", "e", "f")
		time.Sleep(3 * time.Second)
		tc.publish()
		tc.grant("f", "m")
		time.Sleep(5 * time.Second)
		tc.requireHeld("f", "m:ready")
	})
}

// The keeper crashes. The VM that is chosen to end its session keeps no engine, or
// is cut off from the log: the engine must still change its keeper.
func TestTakeoverWithInactiveSettler(t *testing.T) {
	for name, cut := range map[string]bool{"keeps no engine": false, "cut off": true} {
		runForEachEngineKind(t, name, func(tc *testCluster, _ bool) {
			c := tc.startVM("c")
			tc.withLock(func() { tc.settler = "c" })
			time.Sleep(3 * time.Second)
			if cut {
				c.view.Disconnect()
			}
			tc.vms["a"].stop()
			limit := testLease.Term + 2*time.Second
			if cut {
				limit += settleGracePeriod
			}
			tc.waitFor(limit, "takeover", func() bool { return tc.keeperOf("e") == "b" })
		})
	}
}

// The keeper is cut off from the log and does not learn that another VM took its
// engine over; both send orders by what they know. An engine that checks tokens
// obeys only the newer one. On one that ignores tokens the old keeper reloads what
// the new one unloads: the right stays counted until the old keeper has learned of
// the takeover.
func TestCutOffKeeperAndItsSuccessor(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, checksTokens bool) {
		tc.grant("e", "m")
		time.Sleep(5 * time.Second)
		tc.vms["a"].view.Disconnect()
		tc.waitFor(20*time.Second, "takeover", func() bool { return tc.keeperOf("e") == "b" })
		tc.withdraw("m")
		time.Sleep(20 * time.Second)
		testkit.Equal(tc, "right still counted", tc.recorded("e").Rights["m"] != nil, !checksTokens)
		tc.vms["a"].view.Heal()
		tc.waitForRemoval("m")
		time.Sleep(20 * time.Second)
		tc.requireHeld("e", "")
	})
}

// The engine is assigned to another VM, because that one is back in the engine's
// failure domain. The engine changes its keeper without a new load, and the former
// keeper, which keeps running, blocks nothing: its orders there were answered.
func TestHandoverOfEngine(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		tc.grant("e", "m")
		time.Sleep(5 * time.Second)
		tc.withLock(func() { tc.vms["a"].assigned = nil })
		took := tc.waitFor(time.Minute, "handed over", func() bool { return tc.keeperOf("e") == "b" })
		if took < handoverDelay {
			tc.Errorf("handed over after %v", took)
		}
		time.Sleep(5 * time.Second)
		tc.requireHeld("e", "m:ready")
		testkit.Equal(tc, "loads", tc.engines.Engine("e").Records().LoadCounts["m"], 1)
		tc.withdraw("m")
		if took := tc.waitForRemoval("m"); took > 3*time.Second {
			tc.Errorf("freed after %v", took)
		}
	})
}

// A keeper proposes to release an engine as settled; the answer is lost and the
// record is applied late. Meanwhile the engine is assigned to it again, and a model
// is granted there. No order may be sent under the old keeper: the record states
// that none will be, and because of it a unit that a late order loaded would be
// freed.
func TestNoOrdersAfterReleaseIsProposed(t *testing.T) {
	forEachEngineKind(t, func(tc *testCluster, _ bool) {
		tc.withLock(func() { tc.vms["a"].assigned, tc.releaseDelay = nil, 3*time.Second })
		tc.waitFor(time.Minute, "proposed", func() bool {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			return tc.releaseProposed
		})
		tc.withLock(func() { tc.vms["a"].assigned = []string{"e"} })
		before := tc.recorded("e").Keeper
		tc.grant("e", "n")
		for unreleased := true; unreleased; time.Sleep(10 * time.Millisecond) {
			loads := tc.engines.Engine("e").Records().LoadCounts["n"]
			e := tc.recorded("e")
			unreleased = e.Keeper == before && e.KeeperSession != 0
			if unreleased && loads != 0 {
				tc.Fatal("an order was sent after the release was proposed")
			}
		}
		tc.withLock(func() { tc.releaseDelay = 0 })
		tc.waitFor(time.Minute, "loaded by the next keeper", func() bool { return tc.heldUnits("e") == "n:ready" })
	})
}
