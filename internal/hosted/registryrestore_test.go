package hosted

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// countUsing returns the number of VMs that consider a backend server usable.
func (w *testCluster) countUsing(id string) int {
	return w.countVMs(func(n *Node) bool {
		b, listed := n.backends.get(id)
		return listed && !b.Leaving
	})
}

// countInEpoch returns the number of VMs that have read the list of backend servers in an
// epoch.
func (w *testCluster) countInEpoch(epoch uint64) int {
	return w.countVMs(func(n *Node) bool {
		cursor, known := n.backendsFeed.Position()
		return known && registry.EpochOf(uint64(cursor)) == epoch
	})
}

// Guards against VMs that revert to the older state of a registry restored from a copy: a
// new backend server is lost, one that left gets requests again, or an older configuration
// comes into force.
func TestRestoredRegistryRevertsNothing(t *testing.T) {
	for _, vms := range []int{3, 8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withEngineCluster(t, vms, 4, func(b *engineCluster) {
				older := b.registry.snapshot()
				leaving, _ := b.nodes["a"].backends.get("e1")
				leaving.Backend.Leaving = true
				b.registry.put(leaving.Backend)
				b.registry.drop("e2")
				b.startEngine("d0") // e5
				newer := *b.registry.configuration
				newer.Version++
				b.registry.setConfiguration(&newer)
				time.Sleep(5 * time.Second)
				testkit.Equal(t, "VMs that use the new one before", b.countUsing("e5"), vms)
				b.registry.setUnavailable(true)
				time.Sleep(400 * time.Millisecond)
				b.registry.restore(older)
				b.registry.setUnavailable(false)
				restored, known := time.Now(), time.Duration(0)
				for time.Since(restored) < 2*time.Second {
					if known == 0 && b.countInEpoch(1) == vms {
						known = time.Since(restored)
						b.Logf("all VMs in the new epoch after %s", known)
					}
					if time.Since(restored) > time.Second { // its writers write again
						b.registry.put(leaving.Backend)
						b.registry.drop("e2")
						if e5, ok := b.nodes["a"].backends.get("e5"); ok {
							b.registry.put(e5.Backend)
						}
					}
					testkit.Equal(t, "VMs that use the leaving one", b.countUsing("e1"), 0)
					testkit.Equal(t, "VMs that use the removed one", b.countUsing("e2"), 0)
					testkit.Equal(t, "VMs that use the new one", b.countUsing("e5"), vms)
					testkit.Equal(t, "VMs with the newer configuration", b.countVMs(func(n *Node) bool { return n.configurationVersion() == newer.Version }), vms)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				testkit.Equal(t, "VMs that use the new one in the end", b.countUsing("e5"), vms)
				testkit.Equal(t, "VMs that use the removed one in the end", b.countUsing("e2"), 0)
				testkit.Equal(t, "VMs in the new epoch", b.countInEpoch(1), vms)
			})
		})
	}
}

// Guards against two VMs that send orders to an engine, each by an acknowledgement of another
// epoch, against fencing tokens that decrease, and against engines that get no orders for
// long. The owner was recorded after the copy was made; after the restore the owner is the
// same, another one, or another one while the last one is partitioned from all others.
func TestRestoredRegistryHasOneOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// ownerChanges is set if the copy assigns the shards to another VM, ownerPartitioned
		// if the owner is partitioned; maxRecovery bounds the time until an order has loaded
		// a model.
		ownerChanges, ownerPartitioned bool
		maxRecovery                    time.Duration
	}{
		{"the same owner", false, false, 2 * time.Second},
		{"another owner", true, false, 12 * time.Second},
		{"another owner, the last one partitioned", true, true, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				w.registry.configuration = testContract("m1", "m2", "m3")
				w.registry.assignAllShards("a")
				e1 := w.engines.add("e1", "m1", "m2")
				w.listEngine(e1, "m1", "m2", "m3")
				a, b := w.boot("a", true), w.boot("b", true)
				time.Sleep(5 * time.Second)
				_, err := sendRequest(a, "m3", 5*time.Second)
				testkit.OK(w, err)
				older := w.registry.snapshot()
				w.registry.assignAllShards("b")
				time.Sleep(5 * time.Second)
				if !c.ownerChanges {
					older.assignedVM = w.registry.snapshot().assignedVM // assigned to b, whose record is lost
				}
				for _, m := range []string{"m1", "m2", "m3"} {
					_, err := sendRequest(a, m, 5*time.Second)
					testkit.OK(w, err)
				}
				if c.ownerPartitioned {
					w.mu.Lock()
					w.isolated["b"] = true
					w.mu.Unlock()
					w.setJoinsBlocked("b", true)
					w.registry.partitionedReaders["b"] = true
					go func() {
						for i := range 20 {
							_, _ = sendRequest(b, []string{"m1", "m2", "m3"}[i%3], time.Second)
						}
					}()
				}
				w.registry.restore(older)
				time.Sleep(time.Second) // each VM joins within it
				w.listEngine(e1, "m1", "m2", "m3")
				time.Sleep(200 * time.Millisecond)
				missing := "m1"
				for _, m := range []string{"m1", "m2", "m3"} {
					if !a.backends.hasModel(testService, m) {
						missing = m
					}
				}
				startedAt := time.Now()
				for err = errors.New("not asked"); err != nil && time.Since(startedAt) < c.maxRecovery; time.Sleep(50 * time.Millisecond) {
					_, err = sendRequest(a, missing, c.maxRecovery)
				}
				testkit.That(w, err == nil, "%s after %s: %v", missing, time.Since(startedAt), err)
				w.Logf("%s: ordered and answered %s after the restore", c.name, time.Since(startedAt)+1200*time.Millisecond)
				time.Sleep(8 * time.Second)
				w.checkHandoverGap()
			})
		})
	}
}

// Guards against the loss of the quarantine if the registry loses its quarantine records
// in a restore and all VMs are killed afterwards.
func TestRestoredRegistryKeepsTheQuarantine(t *testing.T) {
	withEngineCluster(t, 8, 18, func(b *engineCluster) {
		older := b.registry.snapshot()
		for i := range 3 {
			b.sendCrashingAfter(time.Duration(i)*time.Second, b.vms[i])
		}
		b.inFlight.Wait()
		time.Sleep(4 * time.Second)
		b.registry.restore(older)
		time.Sleep(4 * time.Second)
		b.restartAll()
		b.sendCrashingAfter(5*time.Second, b.vms[4])
		b.inFlight.Wait()
		testkit.Equal(t, "sendings to engines", len(b.crashSentAt), 3)
	})
}

var restoreSeeds = flag.Int64("restore.seeds", 24, "how many seeds of random restores are run")

// Guards against two VMs that send orders to an engine, tokens that decrease and models that
// no VM loads any more. Random restores coincide with reassigned shards, with killed and
// partitioned VMs, and with a kill of all VMs.
func TestRandomRegistryRestores(t *testing.T) {
	for seed := range *restoreSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) { w.runRandomRestores(rand.New(rand.NewSource(seed)), 2+int(seed%3)) })
		})
	}
}

func (w *testCluster) runRandomRestores(rng *rand.Rand, vms int) {
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	names := []string{"a", "b", "c", "e"}[:vms]
	w.registry.configuration = testContract(models...)
	w.registry.assignAllShards("a")
	engines := []*fakeEngine{w.engines.add("e1", "m1", "m2"), w.engines.add("e2", "m3")}
	for _, e := range engines {
		w.listEngine(e, models...)
	}
	for _, vm := range names {
		w.boot(vm, true)
	}
	time.Sleep(3 * time.Second)
	older := w.registry.snapshot()
	for range 60 {
		vm := names[rng.Intn(vms)]
		switch rng.Intn(9) {
		case 0:
			older = w.registry.snapshot()
		case 1, 2:
			w.restore(older, engines, models)
			older = w.registry.snapshot()
		case 3, 4:
			w.registry.assignAllShards(vm)
		case 5:
			w.setJoinsBlocked(vm, rng.Intn(2) == 0)
		case 6:
			w.mu.Lock()
			w.isolated[vm] = rng.Intn(2) == 0
			w.mu.Unlock()
		case 7:
			w.kill(vm)
			w.boot(vm, false)
		case 8:
			if rng.Intn(4) == 0 {
				for _, vm := range names {
					w.kill(vm)
				}
				for _, vm := range names {
					w.boot(vm, false)
				}
			}
		}
		for range 4 {
			w.mu.Lock()
			n := w.nodes[names[rng.Intn(vms)]]
			w.mu.Unlock()
			model := models[rng.Intn(len(models))]
			go func() { _, _ = sendRequest(n, model, 3*time.Second) }()
		}
		time.Sleep(time.Duration(rng.Intn(1500)) * time.Millisecond)
	}
	w.mu.Lock()
	clear(w.isolated)
	w.mu.Unlock()
	for _, vm := range names {
		w.setJoinsBlocked(vm, false)
	}
	w.registry.assignAllShards("a")
	for _, e := range engines {
		w.listEngine(e, models...)
	}
	time.Sleep(15 * time.Second)
	for _, model := range models {
		_, err := sendRequest(w.nodes["b"], model, 12*time.Second)
		testkit.That(w, err == nil, "%s is not served afterwards: %v", model, err)
	}
	w.checkHandoverGap()
}

// restore restores the registry from a copy; its other writers then write again.
func (w *testCluster) restore(older registrySnapshot, engines []*fakeEngine, models []string) {
	w.registry.restore(older)
	for _, e := range engines {
		w.listEngine(e, models...)
	}
}
