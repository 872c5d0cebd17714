package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// The registry reassigns the shards from a VM to another and back several times, without
// notice, while the VMs reach each other. Two VMs must never send orders to an engine
// alternately, and requests for rare models must be served throughout.
func TestShardsReassigned(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		for round, vm := range []string{"b", "a", "b", "b", "a"} {
			w.registry.assignAllShards(vm)
			time.Sleep(700 * time.Millisecond)
			w.registry.assignAllShards(vm)
			for _, m := range []string{"m1", "m2", "m3"} {
				_, err := sendRequest([]*Node{a, b}[round%2], m, 9*time.Second)
				testkit.OK(w, err)
			}
		}
		w.checkHandoverGap()
	})
}

// The owner of an engine is partitioned from the other VMs and from the registry, and goes
// on sending orders while its last join is valid. Its successor can't request a release
// and must wait until the owner has stopped.
func TestPartitionedOwnerStopsOrdering(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.isolated["a"] = true
		w.mu.Unlock()
		w.registry.mu.Lock()
		w.registry.partitionedMembers["a"] = true
		w.registry.mu.Unlock()
		w.registry.assignAllShards("b")
		go func() {
			for i := range 20 {
				_, _ = sendRequest(a, []string{"m3", "m1", "m2"}[i%3], time.Second)
			}
		}()
		took := testkit.Value(sendRequest(b, "m3", 20*time.Second))(w)
		testkit.That(w, took < 12*time.Second, "taken over after %s", took)
		time.Sleep(6 * time.Second)
		w.checkHandoverGap()
	})
}

// Guards against a first order that is sent too early by a VM that is suspended for half a
// second between its record as owner and its release request. The former owner, whose
// last join is valid for four seconds, sends orders until that request, so the age of its
// last order must count from its answer, not from the record.
func TestOwnerSuspendedBeforeRelease(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		a, b := w.boot("a", true), w.boot("b", true)
		time.Sleep(3 * time.Second)
		w.releaseDelay = 500 * time.Millisecond
		w.registry.mu.Lock()
		w.registry.partitionedMembers["a"] = true
		w.registry.mu.Unlock()
		w.registry.assignAllShards("b")
		for i := range 40 {
			_, _ = sendRequest(a, fmt.Sprint("m1/a", i), 50*time.Millisecond)
		}
		_ = testkit.Value(sendRequest(b, "m3", 20*time.Second))(w)
		w.checkHandoverGap()
	})
}

// Four VMs start together, and each has to record that it owns a shard; a record conflicts
// if another was written since the last read. Engines get no orders before that, so all
// records must succeed soon, without retries in step.
func TestConcurrentOwnershipRecords(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.registry.latency = 8 * time.Millisecond
		vms := []string{"a", "b", "c", "d"}
		for shard, vm := range vms {
			w.registry.assignedVM[shard] = vm
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

// A VM is killed and restarted at once: it still owns its shards and must not wait for
// its former process.
func TestRestartedOwnerKeepsShards(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		w.boot("a", true)
		w.boot("b", true)
		time.Sleep(6 * time.Second)
		w.kill("a")
		a := w.boot("a", false)
		time.Sleep(200 * time.Millisecond)
		took := testkit.Value(sendRequest(a, "m3", 8*time.Second))(w)
		testkit.That(w, took < 4*time.Second, "took %s", took)
		w.checkHandoverGap()
	})
}

// A VM takes an engine over and is killed a moment later, before or after it has recorded
// that no other VM can send orders. Its next process must ask the owner that the killed one
// waited for. Guards against a wait for as long as a lost owner may act, which delays all
// requests for models that have to be loaded.
func TestOwnerKilledAfterTakeover(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			withTestCluster(t, func(w *testCluster) {
				w.registry.configuration = testContract("m1", "m2", "m3")
				w.registry.assignAllShards("a")
				w.listEngine(w.engines.add("e1", "m1", "m2"))
				w.boot("a", true)
				w.boot("b", true)
				time.Sleep(6 * time.Second)
				w.registry.assignAllShards("b")
				w.waitForOwner("b")
				time.Sleep(after)
				w.kill("b")
				b := w.boot("b", false)
				time.Sleep(200 * time.Millisecond)
				took := testkit.Value(sendRequest(b, "m3", 12*time.Second))(w)
				testkit.That(w, took < 4*time.Second, "took %s", took)
				w.checkHandoverGap()
			})
		})
	}
}

// waitForOwner waits until a VM is recorded as the owner of all shards.
func (w *testCluster) waitForOwner(vm string) {
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

// All VMs lose power; one is back a second and a half before another, whose shards it is
// assigned meanwhile. The release request must be repeated: the former owner answers only
// once it is back, and until then its engines get no orders.
func TestFormerOwnerReturnsAfterSuccessor(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1", "m2", "m3")
		w.registry.assignAllShards("a")
		w.listEngine(w.engines.add("e1", "m1", "m2"))
		w.boot("a", true)
		w.boot("b", true)
		time.Sleep(6 * time.Second)
		w.kill("a")
		w.kill("b")
		w.registry.assignAllShards("b")
		b := w.boot("b", false)
		time.Sleep(1500 * time.Millisecond)
		w.boot("a", false)
		took := testkit.Value(sendRequest(b, "m3", 12*time.Second))(w)
		testkit.That(w, took < 5*time.Second, "took %s", took)
		w.checkHandoverGap()
	})
}
