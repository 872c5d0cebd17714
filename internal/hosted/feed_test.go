package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
)

// bootLargeDomain boots a domain in which one VM reads the registry for all, and returns
// that VM.
func (w *testCluster) bootLargeDomain() (reader string) {
	w.registry.configuration = testContract("m1")
	w.registry.assignAllShards("a")
	w.listEngine(w.engines.add("e1", "m1"))
	for _, vm := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		w.boot(vm, true)
	}
	time.Sleep(5 * time.Second)
	for _, n := range w.nodes {
		reader = n.members.reader(time.Now())
	}
	return reader
}

// eachNode calls f with every running VM.
func (w *testCluster) eachNode(f func(vm string, n *Node)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for vm, n := range w.nodes {
		f(vm, n)
	}
}

// Registry calls cost money and are limited. Eight VMs that each read for themselves make
// 52 reads per second of this fake; with one VM that reads for all it is 19.
func TestOneVMReadsRegistryForDomain(t *testing.T) {
	withTestCluster(t, func(w *testCluster) {
		w.bootLargeDomain()
		before := w.registry.reads
		time.Sleep(20 * time.Second)
		perSecond := float64(w.registry.reads-before) / 20
		// The fake answers a waiting read for changes after a tenth of its wait.
		testkit.That(t, perSecond < 25, "%v reads a second", perSecond)
		w.eachNode(func(vm string, n *Node) {
			testkit.That(t, !n.backendsFeed.isStale(n.config.BootClock()) && !n.configurationFeed.isStale(n.config.BootClock()), "%s reads for itself", vm)
		})
	})
}

// A configuration is accepted and a backend server starts to leave just as the domain's
// reader dies, or is partitioned from the registry or from the other VMs. All other VMs must
// apply both changes within the limits.
func TestChangesApplyInTimeWhenReaderFails(t *testing.T) {
	for _, failure := range []string{"nothing", "killed", "partitioned from the registry", "partitioned from the VMs"} {
		for _, delay := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprint(failure, " ", delay), func(t *testing.T) {
				withTestCluster(t, func(w *testCluster) { w.testReaderFailure(failure, delay) })
			})
		}
	}
}

func (w *testCluster) testReaderFailure(failure string, delay time.Duration) {
	reader := w.bootLargeDomain()
	testkit.Need(w, reader != "", "no VM reads for all")
	time.Sleep(delay)
	switch failure {
	case "killed":
		w.kill(reader)
	case "partitioned from the registry":
		w.registry.mu.Lock()
		w.registry.partitionedReaders[reader] = true
		w.registry.mu.Unlock()
	case "partitioned from the VMs":
		w.mu.Lock()
		w.isolated[reader] = true
		w.mu.Unlock()
	}
	w.registry.mu.Lock()
	next := *w.registry.configuration
	next.Version, next.Source = 2, []byte("two")
	w.registry.configuration = &next
	w.registry.mu.Unlock()
	w.registry.put(registry.Backend{ID: "e1", Service: testService, Address: "at-e1", Domain: "d", Slots: 8, IsEngine: true, Leaving: true})
	time.Sleep(2 * time.Second)
	w.eachNode(func(vm string, n *Node) {
		if vm == reader && failure != "nothing" {
			return
		}
		b, _ := n.backends.get("e1")
		testkit.That(w, n.configurationVersion() == 2, "%s has version %d in force", vm, n.configurationVersion())
		testkit.That(w, b.Leaving, "%s does not know that the backend server is leaving", vm)
	})
}

// Guards against changes that arrive from the registry and from another VM, out of order
// or twice, and undo newer ones.
func TestFeedRejectsOutOfOrderChanges(t *testing.T) {
	var applied []string
	apply := func(list []registry.Change) {
		for _, c := range list {
			applied = append(applied, c.ID)
		}
	}
	batch := func(from, to registry.Cursor, ids ...string) changeBatch {
		out := changeBatch{from: from, to: to}
		for _, id := range ids {
			out.list = append(out.list, registry.Change{ID: id})
		}
		return out
	}
	var f feed
	testkit.That(t, !f.applyBatch(batch(0, 1, "x"), apply), "changes are applied before the whole topic was read")
	f.reset(3, true)
	testkit.That(t, f.applyBatch(batch(3, 5, "d", "e"), apply), "the next changes are rejected")
	testkit.That(t, !f.applyBatch(batch(3, 4, "d"), apply), "older changes are applied after newer ones")
	testkit.That(t, !f.applyBatch(batch(6, 7, "g"), apply), "a batch after a gap is applied")
	testkit.That(t, f.applyBatch(batch(3, 6, "d", "e", "f"), apply), "a batch that overlaps known changes is rejected")
	testkit.Equal(t, "applied", fmt.Sprint(applied), "[d e d e f]")
	since, ok := f.since(5)
	testkit.That(t, ok && since.from <= 5 && since.to == 6 && since.list[len(since.list)-1].ID == "f", "got %+v, %v", since, ok)
	_, ok = f.since(2)
	testkit.That(t, !ok, "changes that are no longer kept were returned")
	_, ok = f.since(9)
	testkit.That(t, !ok, "changes after a future cursor were returned")
}

// A read that waited its full time without changes confirms that nothing changed until its
// end. A read that comes back early without changes, as from a registry that restarts,
// confirms only the time at which it started; counted as a full wait, it hid changes until
// after their limit.
func TestEarlyEmptyReadConfirmsNothing(t *testing.T) {
	const start, wait = 10 * time.Second, 700 * time.Millisecond
	for _, read := range []struct {
		name    string
		took    time.Duration
		changed bool
		want    time.Duration
	}{
		{"full wait without changes", wait + 4*time.Millisecond, false, start + wait},
		{"early without changes", 70 * time.Millisecond, false, start},
		{"with changes", 70 * time.Millisecond, true, start},
		{"with changes at its end", wait + 4*time.Millisecond, true, start},
	} {
		testkit.Equal(t, read.name, readKnownUntil(start, start+read.took, wait, read.changed), read.want)
	}
}
