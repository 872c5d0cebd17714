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
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/service"
)

// received is a caller's end of an answer.
type received struct{ status int }

func (r *received) Begin(status int, _ http.Header, _ int64) { r.status = status }
func (r *received) Begun() bool                              { return r.status != 0 }
func (r *received) Write([]byte) error                       { return nil }

// ask sends a request for a model, or MODEL/ADAPTER, and returns how long its answer
// took, or the error.
func ask(n *Node, unit string, patience time.Duration) (time.Duration, error) {
	return askAs(n, "", unit, patience)
}

// askAs is ask with an API key.
func askAs(n *Node, key, unit string, patience time.Duration) (time.Duration, error) {
	begun := time.Now()
	grant, err := n.Authorize("h", "/x", key)
	if err != nil {
		return 0, err
	}
	model, adapter, _ := strings.Cut(unit, "/")
	var got received
	err = n.Relay(context.Background(), caller.RelayRequest{
		RelayHead: caller.RelayHead{ID: "id", Model: model, Adapter: adapter}, Grant: grant, Service: testService,
		Forward: service.Forward{RequestID: "id", Header: http.Header{"Model": {unit}}},
		Arrived: begun, GiveUp: begun.Add(patience), BeginBy: begun.Add(patience),
	}, &got)
	return time.Since(begun), err
}

// A rare model that no engine holds is asked for at a VM that neither plans nor keeps
// an engine: it is loaded in place of the model that is asked for least, and the
// request is answered.
func TestRareModelIsSwappedIn(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "rare")
		w.registry.deal("a")
		w.engines.statusLag = 100 * time.Millisecond
		w.list(w.engines.add("e1", "m1", "m2"), "rare")
		w.list(w.engines.add("e2", "m3", "m4"))
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, m := range []string{"m1", "m3", "m4"} {
			testkit.Value(ask(b, m, time.Second))(w)
		}
		took := testkit.Value(ask(b, "rare", 5*time.Second))(w)
		testkit.That(w, took < 1500*time.Millisecond, "took %s", took)
		took = testkit.Value(ask(b, "m2", 5*time.Second))(w)
		testkit.That(w, took > fakeLoadTime, "m2 was not the one that gave way: its answer took %s", took)
		w.checkQuiet()
	})
}

// Engines that have gone dark are still listed, and empty: the cheapest places for
// whatever has none. A model must get another place all the same, and soon.
func TestDarkEnginesAreLeftAlone(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "rare")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		for i := range 8 {
			e := w.engines.add(fmt.Sprint("dark", i))
			e.unresponsive = true
			w.list(e)
		}
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		took := testkit.Value(ask(b, "rare", 20*time.Second))(w)
		testkit.That(w, took < 13*time.Second, "took %s", took)
	})
}

// Each adapter that is asked for is loaded at once, and with all places taken the one
// that was not used for longest gives way.
func TestAdaptersTakeTurns(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1"))
		w.boot("a", true)
		b := w.boot("b", true)
		time.Sleep(3 * time.Second)
		for _, adapter := range []string{"a1", "a2", "a3", "a1", "a1"} {
			took := testkit.Value(ask(b, "m1/"+adapter, time.Second))(w)
			testkit.That(w, took < 100*time.Millisecond, "%s took %s", adapter, took)
			time.Sleep(400 * time.Millisecond)
		}
		testkit.That(w, len(w.engines.all["at-e1"].models["m1"]) == 2, "holds %v", w.engines.all["at-e1"].models)
		w.checkQuiet()
	})
}

// An engine's status is from the middle of a load: it counts the order and lacks the
// model. Taken as it is, the keeper would find room for another one.
func TestStatusInTheMiddleOfAnOrder(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.list(w.engines.add("e1", "m1"))
		a := w.boot("a", true)
		time.Sleep(time.Second)
		e := a.keeper.engine("e1")
		middle := engine.Status{Orders: 1, Ordering: true, Units: []engine.Unit{{Unit: "m1", Phase: engine.PhaseReady}}}
		testkit.That(w, !a.keeper.take(e, middle) && !e.known, "taken from the middle of an order")
		done := engine.Status{Orders: 1, Units: append(middle.Units, engine.Unit{Unit: "m2", Phase: engine.PhaseReady})}
		testkit.That(w, a.keeper.take(e, done) && e.known, "not taken after it")
		testkit.That(w, !a.keeper.fits(testService, e, entryvm.SwapArgs{Load: "m3"}), "room for a third model")
		testkit.That(w, a.keeper.fits(testService, e, entryvm.SwapArgs{Load: "m3", Unload: []string{"m1"}}), "no room in place of one")
		testkit.That(w, !a.keeper.fits(testService, e, entryvm.SwapArgs{Load: "m9"}), "room for a model of unknown size")
		testkit.That(w, !a.keeper.take(e, engine.Status{Orders: 0}), "an older status is taken")
	})
}

// Orders get no answer and are carried out seconds later, behind newer ones. An engine
// that loads what fits by now and what was ordered then crashes: the late ones must be
// refused.
func TestLateOrdersOverfillNothing(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3", "m4", "m5")
		w.registry.deal("a")
		w.engines.statusLag = 150 * time.Millisecond
		w.list(w.engines.add("e1", "m1", "m2"))
		a := w.boot("a", true)
		time.Sleep(3 * time.Second)
		e := w.engines.all["at-e1"]
		for round, m := range []string{"m3", "m4", "m5", "m1", "m2", "m3"} {
			w.engines.mu.Lock()
			e.orderDelay = time.Duration(round%2) * 3 * time.Second
			w.engines.mu.Unlock()
			go func() { _, _ = ask(a, m, 4*time.Second) }()
			time.Sleep(1700 * time.Millisecond)
		}
		w.engines.mu.Lock()
		e.orderDelay = 0
		w.engines.mu.Unlock()
		time.Sleep(5 * time.Second)
		_, err := ask(a, "m4", 8*time.Second)
		testkit.OK(w, err)
		w.checkQuiet()
	})
}

// A machine starts while the registry is away: it learns configuration and backend
// servers from another VM, and serves what is loaded.
func TestStartDuringOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1"))
		w.boot("a", true)
		time.Sleep(2 * time.Second)
		w.registry.setAway(true)
		b := w.boot("b", false)
		_, err := b.Authorize("h", "/x", "")
		testkit.That(w, err != nil && b.Ready() != nil, "ready before it knows anything")
		time.Sleep(2 * time.Second)
		testkit.OK(w, b.Ready())
		testkit.Value(ask(b, "m1", time.Second))(w)
	})
}

// Guards against VMs that all ask the same one for a large configuration, over a small link,
// and give up and begin anew before it has come.
func TestLargeConfigurationFromPeers(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1"))
		w.uplink = 1_250_000
		vms := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
		for _, vm := range vms {
			w.boot(vm, true)
		}
		time.Sleep(3 * time.Second)
		w.registry.mu.Lock()
		for _, vm := range vms[1:] {
			w.registry.unreachable[vm] = true
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

// While the registry is away all entries lapse; the servers live, and are back two
// seconds after its return. Nobody may take the fleet for gone meanwhile. What is not
// back by then is gone, and what lapses later is gone at once.
func TestEntriesLapseDuringOutage(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.registry.deal("a")
		for _, id := range []string{"e1", "e2", "e3"} {
			w.list(w.engines.add(id, "m1"))
		}
		a := w.boot("a", true)
		time.Sleep(2 * time.Second)
		count := func() int { return len(a.Candidates(unitName(testService, "m1", ""))) }
		w.registry.setAway(true)
		time.Sleep(3 * time.Second)
		for _, id := range []string{"e1", "e2", "e3"} {
			w.registry.drop(id)
		}
		w.registry.setAway(false)
		time.Sleep(1500 * time.Millisecond)
		testkit.Equal(w, "just after the return", count(), 3)
		w.list(w.engines.all["at-e1"])
		w.list(w.engines.all["at-e2"])
		time.Sleep(2 * time.Second)
		testkit.Equal(w, "once they had time to be back", count(), 2)
		w.registry.drop("e2")
		time.Sleep(time.Second)
		testkit.Equal(w, "after one lapsed", count(), 1)
	})
}

// The history of changes is lost together with an entry's removal: the whole list is
// read again, and the removed one is gone.
func TestHistoryLost(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.list(w.engines.add("e1", "m1"))
		w.list(w.engines.add("e2", "m1"))
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

// The entry of an engine is older than what its keeper says: a model that is about to
// go must not come back with a heartbeat, nor one that was just loaded vanish. Once
// the keeper says nothing more, the entry counts.
func TestKeepersWordGoesFirst(t *testing.T) {
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
		testkit.Equal(t, "holds", strings.Join(got, " "), want)
	}
	table.applyChanges(now, entry("m1", "m2"))
	holds("m1 m2")
	table.applyKeeperStatus(now, "a", entryvm.EngineNews{ID: "e", Version: 1, Swapping: true, Models: []entryvm.EngineModel{{Model: "m1"}}})
	holds("m1")
	table.applyChanges(now, entry("m1", "m2"))
	holds("m1")
	table.applyKeeperStatus(now, "a", entryvm.EngineNews{ID: "e", Version: 2, Models: []entryvm.EngineModel{{Model: "m1"}, {Model: "m3"}}})
	table.applyKeeperStatus(now, "a", entryvm.EngineNews{ID: "e", Version: 1})
	holds("m1 m3")
	table.sweep(now.Add(keeperStatusTTL + time.Second))
	holds("m1 m2")
}

// A VM loses its engines for a moment, or is killed and starts again, and forgets what it
// knew of them; then it changes what one of them holds. The other VMs must believe it at
// once: they took its news for older than what it had told before, kept that fresh by
// each further report, and for tens of seconds sent requests where their model was gone.
func TestKeepersNewsAfterItForgot(t *testing.T) {
	for _, how := range []string{"loses its lease", "is killed"} {
		t.Run(how, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.registry.configuration = testContract("m1", "m2", "m3", "m4")
				w.registry.deal("a")
				w.list(w.engines.add("e1", "m1", "m2"))
				a, b := w.boot("a", true), w.boot("b", true)
				time.Sleep(3 * time.Second)
				for _, m := range []string{"m3", "m4", "m3", "m4", "m1"} {
					_ = testkit.Value(ask(a, m, 5*time.Second))(w)
					time.Sleep(2500 * time.Millisecond)
				}
				if how == "is killed" {
					w.kill("a")
					a = w.boot("a", false)
					time.Sleep(3 * time.Second)
				} else {
					w.cutFromGroup("a", true)
					time.Sleep(4500 * time.Millisecond)
					w.cutFromGroup("a", false)
					time.Sleep(2 * time.Second)
				}
				for _, m := range []string{"m2", "m3"} {
					_ = testkit.Value(ask(a, m, 9*time.Second))(w)
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

// A configuration never goes back, whoever brings an older one.
func TestConfigurationNeverReverts(t *testing.T) {
	inWorld(t, func(w *world) {
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

// A read that waits for news was begun while the change was being recorded, and is
// answered only at the end of its wait. The change must be in force in time all the same.
func TestConfigurationInForceAfterMissedNews(t *testing.T) {
	inWorld(t, func(w *world) {
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
