package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/relaystate"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/service"
)

// responseRecorder is the caller's side of a response.
type responseRecorder struct{ status int }

func (r *responseRecorder) WriteHead(status int, _ http.Header, _ int64) { r.status = status }
func (r *responseRecorder) HasBegun() bool                               { return r.status != 0 }
func (r *responseRecorder) HasCallerLeft() bool                          { return false }
func (r *responseRecorder) Write([]byte) error                           { return nil }

// sendRequest sends a request for a model, or MODEL/ADAPTER, and returns how long its
// response took, or the error.
func sendRequest(n *Node, unit string, patience time.Duration) (time.Duration, error) {
	return sendRequestAs(n, "", unit, patience)
}

// sendRequestAs sends a request like sendRequest, with an API key.
func sendRequestAs(n *Node, key, unit string, patience time.Duration) (time.Duration, error) {
	startedAt := time.Now()
	grant, err := n.Authorize("h", "/x", key)
	if err != nil {
		return 0, err
	}
	model, adapter, _ := strings.Cut(unit, "/")
	var got responseRecorder
	err = n.Relay(context.Background(), caller.RelayRequest{
		RelayHead: caller.RelayHead{ID: "id", Model: model, Adapter: adapter}, Grant: grant, Service: testService,
		ForwardRequest: service.ForwardRequest{RequestID: "id", Header: http.Header{"Model": {unit}}},
		Arrived:        startedAt, AnswerDeadline: startedAt.Add(patience), BeginDeadline: startedAt.Add(patience),
	}, &got)
	return time.Since(startedAt), err
}

// A request for a rare model that no engine holds arrives at a VM that neither plans nor
// keeps an engine. The model must replace the one that is requested least, and the request
// must be answered.
func TestRareModelIsSwappedIn(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "rare")
		w.registry.assignAllShards("a")
		w.engines.statusLag = 100 * time.Millisecond
		w.listEngine(w.engines.add("e1", "m1", "m2"), "rare")
		w.listEngine(w.engines.add("e2", "m3", "m4"))
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, m := range []string{"m1", "m3", "m4"} {
			testkit.Value(sendRequest(b, m, time.Second))(w)
		}
		took := testkit.Value(sendRequest(b, "rare", 5*time.Second))(w)
		testkit.That(w, took < 1500*time.Millisecond, "took %s", took)
		took = testkit.Value(sendRequest(b, "m2", 5*time.Second))(w)
		testkit.That(w, took > fakeLoadTime, "m2 was not the one that gave way: its answer took %s", took)
		w.checkHandoverGap()
	})
}

// Unresponsive engines are still listed, and empty, so they look like the cheapest
// places for a model. The model must be loaded on another engine, and soon.
func TestUnresponsiveEnginesAreAvoided(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "rare")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		for i := range 8 {
			e := w.engines.add(fmt.Sprint("dark", i))
			e.unresponsive = true
			w.listEngine(e)
		}
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		took := testkit.Value(sendRequest(b, "rare", 20*time.Second))(w)
		testkit.That(w, took < 13*time.Second, "took %s", took)
	})
}

// Each requested adapter must be loaded at once; with all slots taken it replaces the
// least recently used one.
func TestAdapterEviction(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, adapter := range []string{"a1", "a2", "a3", "a1", "a1"} {
			took := testkit.Value(sendRequest(b, "m1/"+adapter, time.Second))(w)
			testkit.That(w, took < 100*time.Millisecond, "%s took %s", adapter, took)
			time.Sleep(400 * time.Millisecond)
		}
		testkit.That(w, len(w.engines.all["at-e1"].models["m1"]) == 2, "holds %v", w.engines.all["at-e1"].models)
		w.checkHandoverGap()
	})
}

// An engine's status from the middle of a load counts the order but lacks the model. If
// it were applied, the keeper would see free memory for another model.
func TestStatusDuringOrderIsRejected(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.listEngine(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(time.Second)
		e := a.keeper.getOrCreateEngine("e1")
		middle := engine.Status{AcceptedOrders: 1, OrderInFlight: true, Units: []engine.Unit{{Unit: "m1", Phase: engine.PhaseReady}}}
		testkit.That(w, !a.keeper.applyStatus(e, middle) && !e.statusKnown, "taken from the middle of an order")
		done := engine.Status{AcceptedOrders: 1, Units: append(middle.Units, engine.Unit{Unit: "m2", Phase: engine.PhaseReady})}
		testkit.That(w, a.keeper.applyStatus(e, done) && e.statusKnown, "not taken after it")
		testkit.That(w, !a.keeper.canFitLoad(testService, e, entryvm.SwapArgs{Load: "m3"}), "memory for a third model")
		testkit.That(w, a.keeper.canFitLoad(testService, e, entryvm.SwapArgs{Load: "m3", Unload: []string{"m1"}}), "no memory in place of one")
		testkit.That(w, !a.keeper.canFitLoad(testService, e, entryvm.SwapArgs{Load: "m9"}), "memory for a model of unknown size")
		testkit.That(w, !a.keeper.applyStatus(e, engine.Status{AcceptedOrders: 0}), "an older status is taken")
	})
}

// Orders get no answer and arrive seconds later, behind newer ones. An engine that
// executed both would exceed its memory and crash: the late ones must be refused.
func TestLateOrdersRespectCapacity(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "m5")
		w.registry.assignAllShards("a")
		w.engines.statusLag = 150 * time.Millisecond
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		a := w.boot("a", true)
		time.Sleep(3 * time.Second)
		e := w.engines.all["at-e1"]
		for round, m := range []string{"m3", "m4", "m5", "m1", "m2", "m3"} {
			w.engines.mu.Lock()
			e.orderDelay = time.Duration(round%2) * 3 * time.Second
			w.engines.mu.Unlock()
			go func() { _, _ = sendRequest(a, m, 4*time.Second) }()
			time.Sleep(1700 * time.Millisecond)
		}
		w.engines.mu.Lock()
		e.orderDelay = 0
		w.engines.mu.Unlock()
		time.Sleep(5 * time.Second)
		_, err := sendRequest(a, "m4", 8*time.Second)
		testkit.OK(w, err)
		w.checkHandoverGap()
	})
}

// A VM starts while the registry is unavailable: it must get the configuration and the
// backend servers from another VM, and serve the loaded models.
func TestStartDuringOutage(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setUnavailable(true)
		b := w.boot("b", false)
		_, err := b.Authorize("h", "/x", "")
		testkit.That(w, err != nil && b.Ready() != nil, "ready before it knows anything")
		time.Sleep(2 * time.Second)
		testkit.OK(w, b.Ready())
		testkit.Value(sendRequest(b, "m1", time.Second))(w)
	})
}

// Guards against VMs that all request a large configuration from the same VM, over a slow
// link, and give up and start again before it has arrived.
func TestLargeConfigurationFromPeers(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1"))
		w.uplinkBytesPerSecond = 1_250_000
		vms := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
		for _, vm := range vms {
			w.boot(vm, true)
		}
		time.Sleep(3 * time.Second)
		w.registry.mu.Lock()
		for _, vm := range vms[1:] {
			w.registry.partitionedReaders[vm] = true
		}
		next := *w.registry.configuration
		next.Version, next.Source = 2, make([]byte, 1_000_000)
		w.registry.configuration = &next
		w.registry.mu.Unlock()
		time.Sleep(10 * time.Second)
		w.eachNode(func(vm string, n *Node) {
			testkit.That(w, n.configurationVersion() == 2, "%s has version %d in force", vm, n.configurationVersion())
		})
	})
}

// While the registry is unavailable all entries expire; the servers still run and
// register again within two seconds of its return. No VM may remove them meanwhile. A
// server that isn't registered by then is removed, and one whose entry expires later is
// removed at once.
func TestEntriesLapseDuringOutage(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.assignAllShards("a")
		for _, id := range []string{"e1", "e2", "e3"} {
			w.listEngine(w.engines.add(id, "m1"))
		}
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		count := func() int { return len(a.Candidates(unitName(testService, "m1", ""))) }
		w.registry.setUnavailable(true)
		time.Sleep(3 * time.Second)
		for _, id := range []string{"e1", "e2", "e3"} {
			w.registry.drop(id)
		}
		w.registry.setUnavailable(false)
		time.Sleep(1500 * time.Millisecond)
		testkit.Equal(w, "just after the return", count(), 3)
		w.listEngine(w.engines.all["at-e1"])
		w.listEngine(w.engines.all["at-e2"])
		time.Sleep(2 * time.Second)
		testkit.Equal(w, "once they had time to be back", count(), 2)
		w.registry.drop("e2")
		time.Sleep(time.Second)
		testkit.Equal(w, "after one lapsed", count(), 1)
	})
}

// The history of changes is lost together with the removal of an entry: the whole list
// must be read again, without the removed entry.
func TestHistoryLost(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.listEngine(w.engines.add("e1", "m1"))
		w.listEngine(w.engines.add("e2", "m1"))
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.mu.Lock()
		w.registry.historyLost = true
		delete(w.registry.backends, "e1")
		w.registry.mu.Unlock()
		time.Sleep(time.Second)
		got := a.Candidates(unitName(testService, "m1", ""))
		testkit.That(w, len(got) == 1 && got[0].Engine == "e2", "got %+v", got)
	})
}

// The entry of an engine is older than its keeper's update: a heartbeat must not bring
// back a model that is being unloaded, nor remove one that was just loaded. Once the
// keeper's updates expire, the entry applies.
func TestKeeperUpdateOverridesEntry(t *testing.T) {
	table := newBackendTable(zap.NewNop())
	now := time.Now()
	entry := func(models ...string) []registry.Change {
		b := registry.Backend{ID: "e", Service: "s", IsEngine: true}
		for _, m := range models {
			b.Models = append(b.Models, registry.Held{Model: m})
		}
		return []registry.Change{{ID: "e", Backend: &b}}
	}
	holds := func(want string) {
		t.Helper()
		b, _ := table.get("e")
		var got []string
		for _, m := range []string{"m1", "m2", "m3"} {
			if _, ok := b.loadedModels[m]; ok {
				got = append(got, m)
			}
		}
		testkit.Equal(t, "models", strings.Join(got, " "), want)
	}
	table.applyChanges(now, entry("m1", "m2"))
	holds("m1 m2")
	table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 1, Swapping: true, Models: []entryvm.EngineModel{{Model: "m1"}}})
	holds("m1")
	table.applyChanges(now, entry("m1", "m2"))
	holds("m1")
	table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 2, Models: []entryvm.EngineModel{{Model: "m1"}, {Model: "m3"}}})
	table.applyEngineUpdate(now, "a", entryvm.EngineUpdate{ID: "e", Version: 1})
	holds("m1 m3")
	table.sweep(now.Add(relaystate.UpdateTTL + time.Second))
	holds("m1 m2")
}

// A VM loses its engines for a moment, or is killed and restarted, and drops their state;
// then it changes the models of one of them. The other VMs must apply its updates at once.
// Guards against updates that look older than those from before, which each further report
// would keep fresh, so that for tens of seconds requests go to engines without their model.
func TestKeeperUpdateAfterStateLoss(t *testing.T) {
	for _, how := range []string{"loses its lease", "is killed"} {
		t.Run(how, func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				w.registry.configuration = testContract("m1", "m2", "m3", "m4")
				w.registry.assignAllShards("a")
				w.listEngine(w.engines.add("e1", "m1", "m2"))
				a, b := w.boot("a", true), w.boot("b", true)
				time.Sleep(3 * time.Second)
				for _, m := range []string{"m3", "m4", "m3", "m4", "m1"} {
					_ = testkit.Value(sendRequest(a, m, 5*time.Second))(w)
					time.Sleep(2500 * time.Millisecond)
				}
				if how == "is killed" {
					w.kill("a")
					a = w.boot("a", false)
					time.Sleep(3 * time.Second)
				} else {
					w.setJoinsBlocked("a", true)
					time.Sleep(4500 * time.Millisecond)
					w.setJoinsBlocked("a", false)
					time.Sleep(2 * time.Second)
				}
				for _, m := range []string{"m2", "m3"} {
					_ = testkit.Value(sendRequest(a, m, 9*time.Second))(w)
					time.Sleep(2500 * time.Millisecond)
				}
				engine := w.engines.all["at-e1"]
				for _, m := range []string{"m1", "m2", "m3", "m4"} {
					_, held := engine.models[m]
					testkit.That(w, b.backends.hasModel(testService, m) == held, "%s is on the engine: %v; the other VM thinks %v", m, held, !held)
				}
			})
		})
	}
}

// A configuration is never replaced by an older one, whatever its source.
func TestConfigurationNeverReverts(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.configuration.Version = 7
		a := w.boot("a", true)
		time.Sleep(time.Second)
		old := testContract("m1")
		old.Version = 6
		a.applyConfiguration(old, "test")
		testkit.Equal(w, "version", a.configurationVersion(), 7)
	})
}

// A read that waits for changes and started while a change was being recorded is answered
// only at the end of its wait. The change must still be in force in time.
func TestConfigurationInForceAfterMissedNews(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.configuration.Version = 7
		a := w.boot("a", true)
		for version := uint64(8); version < 30; version++ {
			time.Sleep(time.Duration(version) * 97 * time.Millisecond)
			next := testContract("m1")
			next.Version = version
			w.registry.mu.Lock()
			w.registry.configuration = next
			w.registry.mu.Unlock()
			time.Sleep(a.config.MaxApplyDelay)
			testkit.Equal(w, "version in force", a.configurationVersion(), version)
		}
	})
}
