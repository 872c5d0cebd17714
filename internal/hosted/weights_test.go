package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// listWeights lists one engine of one software version for each version of a model's weights.
func (w *testCluster) listWeights(weights ...int64) {
	for i, version := range weights {
		w.registry.put(registry.Backend{ID: fmt.Sprint("i-", version), Service: testService, Address: fmt.Sprint("at-", version),
			Domain: fmt.Sprint("d", i%spreadDomainCount), Slots: 8, Version: "v1", Models: []registry.Held{{Model: "m1", Weights: version}}})
	}
}

func testModelStream(request string) streamversion.Stream {
	return streamversion.Stream{Workspace: "w", Service: testService, Model: "m1", Request: request}
}

// expectWeights checks what a VM finds out about a stream; 0 stands for a refusal.
func (w *testCluster) expectWeights(vm, request string, want int64) {
	w.Helper()
	got, refused := w.nodes[vm].FindStreamVersion(w.Context(), testModelStream(request))
	testkit.That(w, got.Weights == want && (refused != nil) == (want == 0), "%s: %s is of %+v, %v; want weights %d", vm, request, got, refused, want)
}

// countStreamRecords returns how many records of streams the registry holds.
func (w *testCluster) countStreamRecords() int {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	return len(w.registry.streams.records)
}

// Guards against streams that go on with other weights, or not at all, after the VM that began them was killed while their
// model is renewed, and after all VMs were; and against records of streams while the model has one version of weights.
func TestWeightsOfStreamAreFoundAtOtherVMs(t *testing.T) {
	withVersionedFleet(t, 4, nil, func(w *testCluster, names []string) {
		w.listWeights(1)
		time.Sleep(3 * time.Second)
		w.nodes[names[3]].RecordStream(testModelStream("before"), streamversion.Origin{Version: "v1", Weights: 1})
		time.Sleep(3 * time.Second)
		testkit.Equal(w, "records while the model has one version", w.countStreamRecords(), 0)
		w.listWeights(1, 2)
		time.Sleep(3 * time.Second)
		for i := range 20 {
			w.nodes[names[3]].RecordStream(testModelStream(fmt.Sprint(i)), streamversion.Origin{Version: "v1", Weights: int64(1 + i%2)})
		}
		time.Sleep(500 * time.Millisecond)
		w.kill(names[3])
		check := func() {
			w.expectWeights(names[1], "before", 1)
			for i := range 20 {
				w.expectWeights(names[1+i%2], fmt.Sprint(i), int64(1+i%2))
			}
			w.expectWeights(names[1], "unknown", 0)
		}
		check()
		testkit.That(w, w.countStreamRecords() > 0, "no records while the model has two versions")
		w.killAll(names[:3], 0)
		w.startAll(names[:3])
		check()
		w.registry.drop("i-1")
		time.Sleep(streamversion.TTL + 3*time.Second)
		w.expectWeights(names[1], "unknown", 2)
	})
}

// Guards against a stream that goes on with the weights of a model that was renewed while all VMs were killed.
func TestModelRenewedWhileAllVMsWereKilled(t *testing.T) {
	withVersionedFleet(t, 4, nil, func(w *testCluster, names []string) {
		w.listWeights(1)
		time.Sleep(streamversion.TTL + 3*time.Second)
		w.expectWeights(names[1], "unknown", 1)
		w.killAll(names, 0)
		w.registry.drop("i-1")
		w.listWeights(2)
		w.startAll(names)
		w.expectWeights(names[1], "unknown", 0)
		time.Sleep(streamversion.TTL + 3*time.Second)
		w.expectWeights(names[1], "unknown", 2)
	})
}

// Guards against a stream that goes on with listed weights though a stream of its model began with others that no entry
// names yet.
func TestWeightsThatNoEntryNames(t *testing.T) {
	withVersionedFleet(t, 4, nil, func(w *testCluster, names []string) {
		w.listWeights(1)
		time.Sleep(streamversion.TTL + 3*time.Second)
		w.nodes[names[3]].RecordStream(testModelStream("1"), streamversion.Origin{Version: "v1", Weights: 2})
		time.Sleep(100 * time.Millisecond)
		w.expectWeights(names[1], "unknown", 0) // its VM is asked
		w.kill(names[3])
		w.expectWeights(names[1], "1", 2)
	})
}
