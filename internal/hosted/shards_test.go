package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// The registry takes the shards away from a VM without a word while both others' words
// reach it; then it deals them back, twice. No two VMs order an engine in turns, and
// requests for rare models are served all the time.
func TestShardsDealtAnew(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		for round, vm := range []string{"b", "a", "b", "b", "a"} {
			w.registry.deal(vm)
			time.Sleep(700 * time.Millisecond)
			w.registry.deal(vm)
			for _, m := range []string{"m1", "m2", "m3"} {
				_, err := ask([]*Node{a, b}[round%2], m, 9*time.Second)
				testkit.OK(w, err)
			}
		}
		w.checkQuiet()
	})
}

// The owner of an engine is cut off from the other VMs and from the registry, and goes
// on giving orders for as long as its last join counts. Its successor can't ask it, and
// waits until it must have stopped.
func TestOwnerCutOffWithOrders(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.cut["a"] = true
		w.mu.Unlock()
		w.registry.mu.Lock()
		w.registry.cutOff["a"] = true
		w.registry.mu.Unlock()
		w.registry.deal("b")
		go func() {
			for i := range 20 {
				_, _ = ask(a, []string{"m3", "m1", "m2"}[i%3], time.Second)
			}
		}()
		took := testkit.Value(ask(b, "m3", 20*time.Second))(w)
		testkit.That(w, took < 12*time.Second, "taken over after %s", took)
		time.Sleep(6 * time.Second)
		w.checkQuiet()
	})
}

// A VM records itself as the owner of an engine and stops for half a second. The former
// owner, which may act on its last join for four, goes on ordering until it is asked.
// Its last order counts from its answer: counted from the record, the new owner's first
// order came half a second too early.
func TestOwnerSuspendedBeforeItAsks(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		w.releaseDelay = 500 * time.Millisecond
		w.registry.mu.Lock()
		w.registry.cutOff["a"] = true
		w.registry.mu.Unlock()
		w.registry.deal("b")
		for i := range 40 {
			_, _ = ask(a, fmt.Sprint("m1/a", i), 50*time.Millisecond)
		}
		_ = testkit.Value(ask(b, "m3", 20*time.Second))(w)
		w.checkQuiet()
	})
}

// Four VMs start together, and each has to record that it owns a shard; a record fails if
// another one was made since the last were read. Engines get no orders before, so all
// must get through soon, and not by trying in step.
func TestOwnersStartTogether(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1")
		w.registry.latency = 8 * time.Millisecond
		vms := []string{"a", "b", "c", "d"}
		for shard, vm := range vms {
			w.registry.holder[shard] = vm
		}
		for _, vm := range vms {
			w.boot(vm, true)
		}
		time.Sleep(2300 * time.Millisecond)
		w.eachNode(func(vm string, n *Node) {
			testkit.That(w, len(n.activeShards()) == 1, "%s owns %v", vm, n.activeShards())
		})
		testkit.That(w, w.registry.conflicts <= 3, "%d records failed", w.registry.conflicts)
	})
}

// A VM is killed and starts again at once: the shards are its own still, and it need
// not wait for itself.
func TestOwnerRestarts(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		w.boot("a", true)
		w.boot("b", true)
		time.Sleep(6 * time.Second)
		w.kill("a")
		a := w.boot("a", false)
		time.Sleep(200 * time.Millisecond)
		took := testkit.Value(ask(a, "m3", 8*time.Second))(w)
		testkit.That(w, took < 4*time.Second, "took %s", took)
		w.checkQuiet()
	})
}

// A VM takes an engine over and is killed a moment later, before or after it has recorded
// that nobody else can give orders. Its next process finds the record of one that still
// waited, asks whom that one waited for, and goes on. It once waited for as long as a lost
// owner may act, and so did all requests for models that had to be loaded.
func TestOwnerIsKilledRightAfterItTookOver(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			inWorld(t, func(w *world) {
				w.registry.configuration = testContract("m1", "m2", "m3")
				w.registry.deal("a")
				w.list(w.engines.add("e1", "m1", "m2"))
				w.boot("a", true)
				w.boot("b", true)
				time.Sleep(6 * time.Second)
				w.registry.deal("b")
				w.awaitOwner("b")
				time.Sleep(after)
				w.kill("b")
				b := w.boot("b", false)
				time.Sleep(200 * time.Millisecond)
				took := testkit.Value(ask(b, "m3", 12*time.Second))(w)
				testkit.That(w, took < 4*time.Second, "took %s", took)
				w.checkQuiet()
			})
		})
	}
}

// awaitOwner waits until a VM has recorded itself as the owner of all shards.
func (w *world) awaitOwner(vm string) {
	owned := func() bool {
		w.registry.mu.Lock()
		defer w.registry.mu.Unlock()
		list := w.registry.owners["d"]
		for _, o := range list {
			if o.VM != vm {
				return false
			}
		}
		return len(list) == testShards
	}
	for limit := time.Now().Add(10 * time.Second); !owned(); time.Sleep(100 * time.Microsecond) {
		testkit.Need(w, time.Now().Before(limit), "%s is not recorded", vm)
	}
}

// All VMs lose power; one is back a second and a half before another, and is dealt that
// one's shards meanwhile. Asked while it is away, the former owner does not tell; asked
// again once it is back, it does, and its engines get orders again.
func TestFormerOwnerIsBackLater(t *testing.T) {
	inWorld(t, func(w *world) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.deal("a")
		w.list(w.engines.add("e1", "m1", "m2"))
		w.boot("a", true)
		w.boot("b", true)
		time.Sleep(6 * time.Second)
		w.kill("a")
		w.kill("b")
		w.registry.deal("b")
		b := w.boot("b", false)
		time.Sleep(1500 * time.Millisecond)
		w.boot("a", false)
		took := testkit.Value(ask(b, "m3", 12*time.Second))(w)
		testkit.That(w, took < 5*time.Second, "took %s", took)
		w.checkQuiet()
	})
}
