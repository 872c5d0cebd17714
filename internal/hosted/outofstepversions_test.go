package hosted

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/internal/streamversions"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// outOfStepFleets are the numbers of VMs at which VMs that are out of step are tried; the last one is a fleet that
// exchanges reports through relays.
var outOfStepFleets = []int{4, 30, 75}

func (r vmRegistry) ServedVersions(ctx context.Context) (registry.ServedVersions, registry.Cursor, error) {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return registry.ServedVersions{}, 0, err
	}
	return r.fakeRegistry.ServedVersions(ctx)
}

func (r vmRegistry) RecordServedVersions(ctx context.Context, versions map[string][]string, at registry.Cursor) (registry.Cursor, error) {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return 0, err
	}
	return r.fakeRegistry.RecordServedVersions(ctx, versions, at)
}

func (r vmRegistry) Streams(ctx context.Context, from registry.Cursor) ([]registry.StreamRecord, registry.Cursor, error) {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return nil, from, err
	}
	if err := r.delayRead(ctx); err != nil {
		return nil, from, err
	}
	return r.fakeRegistry.Streams(ctx, from)
}

func (r vmRegistry) RecordStreams(ctx context.Context, records []registry.StreamRecord) (registry.Cursor, error) {
	if err := r.failIfUnreachable(ctx, 0); err != nil {
		return 0, err
	}
	return r.fakeRegistry.RecordStreams(ctx, records)
}

// delayRead waits for readLatency. It fails if the changes are no longer kept for the VM.
func (r vmRegistry) delayRead(ctx context.Context) error {
	r.mu.Lock()
	lost, latency := r.lostHistory[r.vm], r.readLatency
	delete(r.lostHistory, r.vm)
	r.mu.Unlock()
	if lost {
		return registry.ErrHistoryLost
	}
	if !pause.For(ctx, latency) {
		return registry.ErrUnavailable
	}
	return nil
}

// setReadLatency sets the duration of a read of the list's changes.
func (f *fakeRegistry) setReadLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readLatency = latency
}

// confirmingReadCount returns the number of reads of the list's changes so far that don't wait for any.
func (f *fakeRegistry) confirmingReadCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmingReads
}

// cutFromRegistry has the registry answer none of the VMs' reads and records.
func (w *testCluster) cutFromRegistry(vms ...string) {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	for _, vm := range vms {
		w.registry.partitionedReaders[vm] = true
	}
}

// loseHistory has the registry answer a VM's next read of changes that they are no longer kept.
func (w *testCluster) loseHistory(vm string) {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	w.registry.lostHistory[vm] = true
}

// vmsOfDomain returns the VMs of a failure domain.
func (w *testCluster) vmsOfDomain(domain string) (vms []string) {
	for vm, n := range w.nodes {
		if n.config.Domain == domain {
			vms = append(vms, vm)
		}
	}
	return vms
}

// nonKeeper returns a VM of the second failure domain that keeps no streams for others, if there is one.
func (w *testCluster) nonKeeper(names []string) string {
	for i := 1; i < len(names); i += spreadDomainCount {
		if !w.nodes[names[i]].members.keepsStreams(time.Now()) {
			return names[i]
		}
	}
	return names[1]
}

// takeUp takes streams up at a VM. It returns how many go on at each version, "" for refused ones.
func (w *testCluster) takeUp(vm string, requests ...string) map[string]int {
	versions := make(map[string]int)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, request := range requests {
		calls.Go(func() {
			origin, _ := w.nodes[vm].FindStreamVersion(w.Context(), testStream(request))
			mu.Lock()
			defer mu.Unlock()
			versions[origin.Version]++
		})
	}
	calls.Wait()
	return versions
}

// unknownStreams returns names of streams that nobody knows.
func unknownStreams(count int) (requests []string) {
	for i := range count {
		requests = append(requests, fmt.Sprint("unknown-", i))
	}
	return requests
}

// Guards against streams that go on at another software version at a VM that is out of step during a release, and
// against refusals while one version serves though a VM reaches the registry or another VM that does.
func TestStreamsTakenUpAtVMOutOfStep(t *testing.T) {
	for name, c := range map[string]struct {
		cut func(w *testCluster, vm string)
		// reachesRegistry is whether the VM reaches the registry, also through others; knowsStreams whether it learns
		// the versions of streams that begin elsewhere.
		reachesRegistry, knowsStreams bool
	}{
		"cut from registry and VMs": {func(w *testCluster, vm string) { w.cutFromRegistry(vm); w.setIsolated(vm, true) }, false, false},
		"cut from registry":         {func(w *testCluster, vm string) { w.cutFromRegistry(vm) }, true, true},
		"cut from VMs":              {func(w *testCluster, vm string) { w.setIsolated(vm, true) }, true, true},
		"domain cut off": {func(w *testCluster, vm string) {
			w.cutFromRegistry(w.vmsOfDomain(w.nodes[vm].config.Domain)...)
			w.setDomainsPartitioned(true)
		}, false, false},
		"history lost": {func(w *testCluster, vm string) { w.loseHistory(vm) }, true, true},
	} {
		for _, vms := range outOfStepFleets {
			t.Run(fmt.Sprint(name, ", ", vms, " VMs"), func(t *testing.T) {
				withVersionedFleet(t, vms, []string{"v1"}, func(w *testCluster, names []string) {
					const streams = 40
					vm := w.nonKeeper(names)
					w.nodes[vm].RecordStream(testStream("own"), streamversion.Origin{Version: "v1"})
					c.cut(w, vm)
					time.Sleep(300 * time.Millisecond)
					w.takeUp(vm, unknownStreams(streams)...)
					time.Sleep(500 * time.Millisecond) // those that are refused come back
					before := w.takeUp(vm, unknownStreams(streams)...)
					testkit.That(w, before[""] == streams || c.reachesRegistry && before["v1"] == streams, "before the release: %v", before)
					testkit.That(w, !c.reachesRegistry || before["v1"] == streams, "before the release: %v", before)
					w.listVersions("v1", "v2")
					time.Sleep(3 * time.Second)
					w.beginStreams(names[2:3], "s", streams, "v2")
					time.Sleep(300 * time.Millisecond)
					var requests []string
					for i := range streams {
						requests = append(requests, fmt.Sprint("s", i))
					}
					after := w.takeUp(vm, requests...)
					testkit.That(w, after["v1"] == 0 && (!c.knowsStreams || after["v2"] == streams), "streams of v2: %v", after)
					w.expectVersion(vm, testStream("own"), "v1")
					w.expectVersion(vm, testStream("unknown"), "")
				})
			})
		}
	}
}

// Guards against streams that are refused as long as the registry is slow though one version serves, and against
// callers that wait for one that has stopped answering.
func TestStreamsTakenUpWhileTheRegistryIsSlow(t *testing.T) {
	for _, latency := range []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 10 * time.Second} {
		withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
			const streams, rounds, maxFirstWait = 40, 3, streamversions.FindTimeout + time.Second
			w.registry.setReadLatency(latency)
			time.Sleep(3 * time.Second)
			for round := range rounds {
				begun := time.Now()
				got := w.takeUp(names[1], unknownStreams(streams)...)
				took := time.Since(begun)
				if latency <= time.Second {
					testkit.That(w, got["v1"] == streams && took <= latency+150*time.Millisecond, "%s: %v in %s", latency, got, took)
				} else {
					testkit.That(w, got[""] == streams && (took <= streamversions.FindTimeout+50*time.Millisecond || round == 0 && took <= maxFirstWait+50*time.Millisecond), "%s: %v in %s", latency, got, took)
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
}

// Guards against the same at a VM of a large fleet whose list only relays confirm.
func TestStreamsTakenUpAwayFromRelaysWhileTheRegistryIsSlow(t *testing.T) {
	withVersionedFleet(t, 30, []string{"v1"}, func(w *testCluster, names []string) {
		const streams, latency = 40, 300 * time.Millisecond
		w.registry.setReadLatency(latency)
		time.Sleep(3 * time.Second)
		vm, begun := w.nonKeeper(names), time.Now()
		testkit.Need(w, !w.nodes[vm].members.keepsStreams(begun), "%s is a relay", vm)
		got := w.takeUp(vm, unknownStreams(streams)...)
		took := time.Since(begun)
		testkit.That(w, got["v1"] == streams && took <= latency+150*time.Millisecond, "%v in %s", got, took)
	})
}

// Guards against calls of the registry that grow with the streams that are taken up.
func TestRegistryCallsOfManyUnknownStreams(t *testing.T) {
	for _, vms := range outOfStepFleets {
		withVersionedFleet(t, vms, []string{"v1"}, func(w *testCluster, names []string) {
			const streams, gap = 500, 4 * time.Millisecond
			for _, request := range []string{"named-", ""} {
				before, quietBefore := w.registry.confirmingReadCount(), w.registry.streamsCalls()
				var calls sync.WaitGroup
				for i := range streams {
					name := request
					if name != "" {
						name += fmt.Sprint(i)
					}
					calls.Go(func() { w.expectVersion(names[i%vms], testStream(name), "v1") })
					time.Sleep(gap)
				}
				calls.Wait()
				reads := w.registry.confirmingReadCount() - before
				t.Logf("%d VMs, %q: %d reads of the list, %d calls on streams", vms, request, reads, w.registry.streamsCalls()-quietBefore)
				readers := vms
				if vms > maxFullMeshPeers {
					readers = spreadDomainCount * relaysPerDomain
				}
				maxReads := readers * int((streams*gap+time.Second)/(100*time.Millisecond))
				testkit.That(w, reads <= min(streams, maxReads), "%d reads", reads)
			}
		})
	}
}

// Guards against a version that is forgotten between the request of a caller and the answers about its stream.
func TestVersionForgottenWhileTheRegistryIsSlow(t *testing.T) {
	withVersionedFleet(t, 1, []string{"v1", "v2"}, func(w *testCluster, names []string) {
		w.registry.setReadLatency(700 * time.Millisecond)
		w.registry.drop("i-v1")
		for w.nodes[names[0]].backends.count() > 1 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(streamversion.TTL - 100*time.Millisecond)
		w.expectVersion(names[0], testStream("unknown"), "")
		time.Sleep(200 * time.Millisecond)
		w.expectVersion(names[0], testStream("unknown"), "v2")
	})
}
