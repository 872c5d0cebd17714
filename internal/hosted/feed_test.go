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
			testkit.That(t, !n.backendsFeed.IsStale(n.config.BootClock()) && !n.configurationFeed.IsStale(n.config.BootClock()), "%s reads for itself", vm)
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
