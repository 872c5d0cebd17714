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

// takeUp takes streams up at a VM. It returns how many go on at each version, "" for refused ones.
func (w *testCluster) takeUp(vm string, requests ...string) map[string]int {
	versions := make(map[string]int)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, request := range requests {
		calls.Go(func() {
			version, _ := w.nodes[vm].FindStreamVersion(w.Context(), testStream(request))
			mu.Lock()
			defer mu.Unlock()
			versions[version]++
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
