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

// knows counts the VMs that take a backend server for usable.
func (w *world) knows(id string) int {
	return w.count(func(n *Node) bool {
		b, listed := n.backends.get(id)
		return listed && !b.Leaving
	})
}

// inEpoch counts the VMs that have read the list of backend servers in an epoch.
func (w *world) inEpoch(epoch uint64) int {
	return w.count(func(n *Node) bool {
		cursor, known := n.changes.position()
		return known && registry.Epoch(uint64(cursor)) == epoch
	})
}

// Guards against a registry that came back from an older copy and takes the VMs back with
// it: what had come is lost, what had left gets requests again, an older configuration is
// in force.
func TestRestoredRegistryRevertsNothing(t *testing.T) {
	for _, vms := range []int{3, 8, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			inEngineBed(t, vms, 4, func(b *engineBed) {
				older := b.registry.copy()
				leaving, _ := b.nodes["a"].backends.get("e1")
				leaving.Backend.Leaving = true
				b.registry.put(leaving.Backend)
				b.registry.drop("e2")
				b.startEngine("d0") // e5
				newer := *b.registry.configuration
				newer.Version++
				b.registry.configure(&newer)
				time.Sleep(5 * time.Second)
				testkit.Equal(t, "VMs that use the new one before", b.knows("e5"), vms)
				b.registry.setAway(true)
				time.Sleep(400 * time.Millisecond)
				b.registry.restore(older)
				b.registry.setAway(false)
				restored, known := time.Now(), time.Duration(0)
				for time.Since(restored) < 2*time.Second {
					if known == 0 && b.inEpoch(1) == vms {
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
					testkit.Equal(t, "VMs that use what leaves", b.knows("e1"), 0)
					testkit.Equal(t, "VMs that use what is gone", b.knows("e2"), 0)
					testkit.Equal(t, "VMs that use the new one", b.knows("e5"), vms)
					testkit.Equal(t, "VMs with the newer configuration", b.count(func(n *Node) bool { return n.configurationVersion() == newer.Version }), vms)
					time.Sleep(50 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				testkit.Equal(t, "VMs that use the new one in the end", b.knows("e5"), vms)
				testkit.Equal(t, "VMs that use what is gone in the end", b.knows("e2"), 0)
				testkit.Equal(t, "VMs in the new epoch", b.inEpoch(1), vms)
			})
		})
	}
}

// Guards against two VMs that order an engine, each by an acknowledgement of another
// epoch, against fencing tokens that go back, and against engines without orders for long:
// the owner was recorded after the copy was made, and is the same again, another one, or
// cut off from everybody.
func TestRestoredRegistryHasOneOwner(t *testing.T) {
	for _, c := range []struct {
		name string
		// moves is whether the copy gives the shards to another VM, cut whether the owner is
		// cut off; within bounds the time until a model is loaded by an order.
		moves, cut bool
		within     time.Duration
	}{
		{"the same owner", false, false, 2 * time.Second},
		{"another owner", true, false, 12 * time.Second},
		{"another owner, the last one cut off", true, true, 12 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.registry.configuration = testContract("m1", "m2", "m3")
				w.registry.deal("a")
				e1 := w.engines.add("e1", "m1", "m2")
				w.list(e1, "m1", "m2", "m3")
				a, b := w.boot("a", true), w.boot("b", true)
				time.Sleep(5 * time.Second)
				_, err := ask(a, "m3", 5*time.Second)
				testkit.OK(w, err)
				older := w.registry.copy()
				w.registry.deal("b")
				time.Sleep(5 * time.Second)
				if !c.moves {
					older.holder = w.registry.copy().holder // b's, though its record is gone
				}
				for _, m := range []string{"m1", "m2", "m3"} {
					_, err := ask(a, m, 5*time.Second)
					testkit.OK(w, err)
				}
				if c.cut {
					w.mu.Lock()
					w.cut["b"] = true
					w.mu.Unlock()
					w.cutFromGroup("b", true)
					w.registry.unreachable["b"] = true
					go func() {
						for i := range 20 {
							_, _ = ask(b, []string{"m1", "m2", "m3"}[i%3], time.Second)
						}
					}()
				}
				w.registry.restore(older)
				time.Sleep(time.Second) // each has joined since
				w.list(e1, "m1", "m2", "m3")
				time.Sleep(200 * time.Millisecond)
				missing := "m1"
				for _, m := range []string{"m1", "m2", "m3"} {
					if !a.backends.hasModel(testService, m) {
						missing = m
					}
				}
				begun := time.Now()
				for err = errors.New("not asked"); err != nil && time.Since(begun) < c.within; time.Sleep(50 * time.Millisecond) {
					_, err = ask(a, missing, c.within)
				}
				testkit.That(w, err == nil, "%s after %s: %v", missing, time.Since(begun), err)
				w.Logf("%s: ordered and answered %s after the restore", c.name, time.Since(begun)+1200*time.Millisecond)
				time.Sleep(8 * time.Second)
				w.checkQuiet()
			})
		})
	}
}

// Guards against a fleet whose VMs were all killed after the registry had lost the records
// of what crashes engines.
func TestRestoredRegistryKeepsTheQuarantine(t *testing.T) {
	inEngineBed(t, 8, 18, func(b *engineBed) {
		older := b.registry.copy()
		for i := range 3 {
			b.sendCrashingAfter(time.Duration(i)*time.Second, b.vms[i])
		}
		b.open.Wait()
		time.Sleep(4 * time.Second)
		b.registry.restore(older)
		time.Sleep(4 * time.Second)
		b.restartAll()
		b.sendCrashingAfter(5*time.Second, b.vms[4])
		b.open.Wait()
		testkit.Equal(t, "sendings to engines", len(b.reached), 3)
	})
}

var restoreSeeds = flag.Int64("restore.seeds", 24, "how many seeds of random restores are run")

// Guards against two VMs that order an engine, tokens that go back and models that nobody
// loads any more: restores follow each other and meet moved shards, killed and cut off
// VMs, and one that is killed with all others.
func TestRestoresAtRandom(t *testing.T) {
	for seed := range *restoreSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inWorld(t, func(w *world) { w.restoreAtRandom(rand.New(rand.NewSource(seed)), 2+int(seed%3)) })
		})
	}
}

func (w *world) restoreAtRandom(rng *rand.Rand, vms int) {
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	names := []string{"a", "b", "c", "e"}[:vms]
	w.registry.configuration = testContract(models...)
	w.registry.deal("a")
	engines := []*fakeEngine{w.engines.add("e1", "m1", "m2"), w.engines.add("e2", "m3")}
	for _, e := range engines {
		w.list(e, models...)
	}
	for _, vm := range names {
		w.boot(vm, true)
	}
	time.Sleep(3 * time.Second)
	older := w.registry.copy()
	for range 60 {
		vm := names[rng.Intn(vms)]
		switch rng.Intn(9) {
		case 0:
			older = w.registry.copy()
		case 1, 2:
			w.restore(older, engines, models)
			older = w.registry.copy()
		case 3, 4:
			w.registry.deal(vm)
		case 5:
			w.cutFromGroup(vm, rng.Intn(2) == 0)
		case 6:
			w.mu.Lock()
			w.cut[vm] = rng.Intn(2) == 0
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
			go func() { _, _ = ask(n, model, 3*time.Second) }()
		}
		time.Sleep(time.Duration(rng.Intn(1500)) * time.Millisecond)
	}
	w.mu.Lock()
	clear(w.cut)
	w.mu.Unlock()
	for _, vm := range names {
		w.cutFromGroup(vm, false)
	}
	w.registry.deal("a")
	for _, e := range engines {
		w.list(e, models...)
	}
	time.Sleep(15 * time.Second)
	for _, model := range models {
		_, err := ask(w.nodes["b"], model, 12*time.Second)
		testkit.That(w, err == nil, "%s is not served afterwards: %v", model, err)
	}
	w.checkQuiet()
}

// restore has the registry come back from a copy; its other writers write again.
func (w *world) restore(older registryCopy, engines []*fakeEngine, models []string) {
	w.registry.restore(older)
	for _, e := range engines {
		w.list(e, models...)
	}
}
