package hosted

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bergamotreel/internal/streamversions"
	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// listVersions lists one backend server of each version.
func (w *testCluster) listVersions(versions ...string) {
	for i, version := range versions {
		w.registry.put(registry.Backend{ID: fmt.Sprint("i-", version), Service: testService, Address: fmt.Sprint("at-", version),
			Domain: fmt.Sprint("d", i%spreadDomainCount), Slots: 8, Version: version})
	}
}

// withVersionedFleet runs a test on VMs that have read the list of backend servers of the versions.
func withVersionedFleet(t *testing.T, vms int, versions []string, run func(w *testCluster, vms []string)) {
	withTestCluster(t, func(w *testCluster) {
		w.registry.configuration = testContract("m1")
		w.assignSpreadShards()
		w.listVersions(versions...)
		var names []string
		for i := range vms {
			names = append(names, w.bootSpreadFirst(i))
		}
		time.Sleep(8 * time.Second)
		run(w, names)
	})
}

// expectVersion checks what a VM finds out about a stream; an empty version stands for a refusal.
func (w *testCluster) expectVersion(vm string, stream streamversion.Stream, want string) {
	w.Helper()
	w.mu.Lock()
	n := w.nodes[vm]
	w.mu.Unlock()
	got, refused := n.FindStreamVersion(w.Context(), stream)
	testkit.That(w, got.Version == want && (refused != nil) == (want == ""), "%s: %+v is of version %q, %v; want %q", vm, stream, got.Version, refused, want)
}

func testStream(request string) streamversion.Stream {
	return streamversion.Stream{Workspace: "w", Service: testService, Request: request}
}

// Guards against a stream that goes on at another software version, or not at all, because the VM that
// began it was killed, or one of the VMs that keep its version, or its failure domain is cut off; and against
// versions that another workspace or service learns.
func TestVersionOfStreamIsFoundAtOtherVMs(t *testing.T) {
	for _, vms := range []int{4, 9, 30} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withVersionedFleet(t, vms, []string{"v1", "v2"}, func(w *testCluster, names []string) {
				const streams = 40
				for i := range streams {
					w.nodes[names[3]].RecordStream(testStream(fmt.Sprint(i)), streamversion.Origin{Version: []string{"v1", "v2"}[i%2]})
				}
				time.Sleep(50 * time.Millisecond)
				w.setDomainsPartitioned(true)
				for i := range streams {
					w.expectVersion(names[0], testStream(fmt.Sprint(i)), []string{"v1", "v2"}[i%2]) // of the same domain
				}
				w.setDomainsPartitioned(false)
				w.kill(names[3])
				for i := range streams {
					w.expectVersion(names[1+i%2], testStream(fmt.Sprint(i)), []string{"v1", "v2"}[i%2])
				}
				w.expectVersion(names[1], testStream("unknown"), "")
				w.expectVersion(names[1], testStream(""), "")
				w.expectVersion(names[1], streamversion.Stream{Workspace: "other", Service: testService, Request: "0"}, "")
			})
		})
	}
}

// Guards against refusing streams that began before a second software version was listed.
func TestVersionOfStreamBegunBeforeARelease(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
		w.expectVersion(names[1], testStream(""), "v1") // one version needs no name
		w.nodes[names[3]].RecordStream(testStream("1"), streamversion.Origin{Version: "v1"})
		time.Sleep(5 * time.Second)
		w.listVersions("v2")
		time.Sleep(3 * time.Second)
		w.kill(names[3])
		w.expectVersion(names[1], testStream("1"), "v1")
		w.expectVersion(names[1], testStream("other"), "")
		w.registry.drop("i-v1")
		time.Sleep(streamversion.TTL + time.Second)
		w.expectVersion(names[1], testStream("other"), "v2") // nothing of v1 can be taken up any more
	})
}

// Guards against a VM that has just started and takes the versions that it sees for all that
// streams have begun at.
func TestRestartedVMAsksForFormerVersions(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1", "v2"}, func(w *testCluster, names []string) {
		w.registry.drop("i-v1")
		time.Sleep(3 * time.Second)
		w.kill(names[3])
		time.Sleep(time.Second)
		w.bootSpread(3)
		time.Sleep(5 * time.Second)
		w.expectVersion(names[3], testStream("unknown"), "")
		time.Sleep(streamversion.TTL)
		w.expectVersion(names[3], testStream("unknown"), "v2")
	})
}

// Guards against callers that wait for VMs which don't answer although their service has one software
// version, and against those that wait longer than the question may take.
func TestSilentVMsDelayOnlyUnknownStreams(t *testing.T) {
	for versions, maxWait := range map[string]time.Duration{"v1": 50 * time.Millisecond, "v1 v2": streamversions.FindTimeout + 50*time.Millisecond} {
		withVersionedFleet(t, 4, strings.Fields(versions), func(w *testCluster, names []string) {
			w.setIsolated(names[2], true)
			time.Sleep(3 * time.Second)
			begun := time.Now()
			want := map[bool]string{true: "v1"}[versions == "v1"]
			w.expectVersion(names[1], testStream("unknown"), want)
			testkit.That(t, time.Since(begun) <= maxWait, "%s: waited %s", versions, time.Since(begun))
			w.setIsolated(names[2], false)
		})
	}
}

// Guards against a VM that doesn't know a new software version yet, as the registry doesn't answer it, and
// takes its only one for that of a stream that began elsewhere.
func TestVersionOfStreamUnknownToAnOutdatedVM(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
		time.Sleep(streamversion.TTL)
		w.registry.mu.Lock()
		w.registry.partitionedReaders[names[1]] = true
		w.registry.mu.Unlock()
		time.Sleep(time.Second)
		w.listVersions("v1", "v2")
		for w.nodes[names[3]].backends.servesOnlyOtherVersions(testService, "v2") {
			time.Sleep(10 * time.Millisecond)
		}
		testkit.That(w, w.nodes[names[1]].backends.servesOnlyOtherVersions(testService, "v2"), "the VM is not outdated")
		w.nodes[names[3]].RecordStream(testStream("1"), streamversion.Origin{Version: "v2"})
		time.Sleep(50 * time.Millisecond)
		w.kill(names[3])
		w.expectVersion(names[1], testStream("1"), "v2")
		w.expectVersion(names[1], testStream("unknown"), "")
	})
}

// Guards against versions of streams that are lost because no other VM was there to keep them when the
// streams began.
func TestStreamsBegunWithoutOtherVMsAreSharedLater(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1", "v2"}, func(w *testCluster, names []string) {
		w.setIsolated(names[3], true)
		time.Sleep(5 * time.Second)
		w.nodes[names[3]].RecordStream(testStream("1"), streamversion.Origin{Version: "v2"})
		time.Sleep(time.Second)
		w.setIsolated(names[3], false)
		time.Sleep(5 * time.Second)
		w.kill(names[3])
		w.expectVersion(names[1], testStream("1"), "v2")
	})
}

// Guards against a list that counts as up to date though only a part of its changes was read.
func TestListIsUpToDateOnlyWithAllChanges(t *testing.T) {
	withVersionedFleet(t, 1, []string{"v1"}, func(w *testCluster, names []string) {
		w.registry.mu.Lock()
		w.registry.maxChanges = 1
		w.registry.mu.Unlock()
		n := w.nodes[names[0]]
		w.listVersions("v2", "v3", "v4")
		testkit.That(t, n.confirmBackends(w.Context()), "not confirmed")
		testkit.Equal(t, "backend servers", n.backends.count(), 4)
	})
}

// Guards against a stream that goes on at the only listed version while its own VM still asks the engine that began it
// for its start, and against callers that wait for long.
func TestStreamTakenUpBeforeItsVersionIsKnown(t *testing.T) {
	for verification, known := range map[time.Duration]bool{100 * time.Millisecond: true, time.Second: false} {
		withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
			stream, version := testStream("begun"), streamversion.UnlistedVersion("e", 2000)
			w.nodes[names[0]].ExpectStream(stream)
			time.AfterFunc(verification, func() { w.nodes[names[0]].RecordStream(stream, streamversion.Origin{Version: version}) })
			begun := time.Now()
			for _, vm := range names[:2] {
				w.expectVersion(vm, stream, map[bool]string{true: version}[known])
			}
			testkit.That(w, time.Since(begun) < time.Second, "waited for %s", time.Since(begun))
			time.Sleep(verification)
			for _, vm := range names[:2] {
				w.expectVersion(vm, stream, version)
			}
		})
	}
}
