package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/registry"
	"bergamotreel/routing/streamversion"
)

// killAll kills the VMs, one after another.
func (w *testCluster) killAll(names []string, gap time.Duration) {
	for _, vm := range names {
		w.kill(vm)
		time.Sleep(gap)
	}
}

// startAll starts VMs that were killed, and waits until they know each other.
func (w *testCluster) startAll(names []string) {
	for i := range names {
		w.bootSpread(i)
	}
	time.Sleep(3 * time.Second)
}

// beginStreams begins streams at all VMs in turns, at the versions in turns.
func (w *testCluster) beginStreams(names []string, prefix string, count int, versions ...string) {
	for i := range count {
		w.nodes[names[i%len(names)]].RecordStream(testStream(fmt.Sprint(prefix, i)), streamversion.Origin{Version: versions[i%len(versions)]})
	}
}

// expectStreams checks what VMs find out about the streams of beginStreams.
func (w *testCluster) expectStreams(names []string, prefix string, count int, versions ...string) {
	w.Helper()
	for i := range count {
		w.expectVersion(names[(i+1)%len(names)], testStream(fmt.Sprint(prefix, i)), versions[i%len(versions)])
	}
}

// Guards against streams that nobody can take up after all VMs were killed while engines of two software
// versions serve, and against ones that others learn of.
func TestVersionsOfStreamsOutliveAllVMs(t *testing.T) {
	for _, vms := range []int{1, 4, 30, 75} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withVersionedFleet(t, vms, []string{"v1", "v2"}, func(w *testCluster, names []string) {
				w.beginStreams(names, "s", 40, "v1", "v2")
				time.Sleep(300 * time.Millisecond)
				w.killAll(names, 0)
				w.startAll(names)
				w.expectStreams(names, "s", 40, "v1", "v2")
				w.expectVersion(names[0], testStream("unknown"), "")
				w.expectVersion(names[0], testStream(""), "")
				w.expectVersion(names[0], streamversion.Stream{Workspace: "other", Service: testService, Request: "s0"}, "")
				w.expectVersion(names[0], streamversion.Stream{Workspace: "w", Service: "other", Request: "s0"}, "")
			})
		})
	}
}

// Guards against streams that go on at the only version that serves after all VMs were killed, though another
// one served before.
func TestFormerVersionsOutliveAllVMs(t *testing.T) {
	for name, change := range map[string]struct {
		before []string
		change func(w *testCluster)
		// known is whether the streams were recorded.
		known bool
	}{
		"release while killed":      {[]string{"v1"}, func(w *testCluster) { w.registry.drop("i-v1"); w.listVersions("v1.1") }, false},
		"rollback while killed":     {[]string{"v1", "v1.1"}, func(w *testCluster) { w.registry.drop("i-v1.1") }, true},
		"old one left while killed": {[]string{"v1", "v1.1"}, func(w *testCluster) { w.registry.drop("i-v1") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			withVersionedFleet(t, 4, change.before, func(w *testCluster, names []string) {
				w.beginStreams(names, "s", 12, change.before...)
				time.Sleep(300 * time.Millisecond)
				w.killAll(names, 0)
				change.change(w)
				w.startAll(names)
				if change.known {
					w.expectStreams(names, "s", 12, change.before...)
				} else {
					w.expectStreams(names, "s", 12, "")
				}
				w.expectVersion(names[1], testStream("unknown"), "")
				w.expectVersion(names[1], testStream(""), "")
				w.killAll(names, 0) // again, before the former version is forgotten
				w.startAll(names)
				w.expectVersion(names[2], testStream("unknown"), "")
				time.Sleep(3 * streamversion.TTL)
				w.expectVersion(names[2], testStream("unknown"), w.onlyVersion())
			})
		})
	}
}

// onlyVersion returns the only version that is listed.
func (w *testCluster) onlyVersion() string {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	testkit.Need(w, len(w.registry.backends) == 1, "%d backend servers", len(w.registry.backends))
	for _, b := range w.registry.backends {
		return b.Version
	}
	return ""
}

// Guards against a version that served, left and came back, after which streams of the one in between go on at
// it.
func TestVersionThatComesBackBeforeAllVMsAreKilled(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
		w.beginStreams(names, "old", 8, "v1")
		w.listVersions("v1.1")
		w.registry.drop("i-v1")
		time.Sleep(2 * time.Second)
		w.beginStreams(names, "between", 8, "v1.1")
		time.Sleep(300 * time.Millisecond)
		w.listVersions("v1")
		w.registry.drop("i-v1.1")
		time.Sleep(300 * time.Millisecond)
		w.killAll(names, 0)
		w.startAll(names)
		w.expectStreams(names, "old", 8, "v1")
		w.expectStreams(names, "between", 8, "v1.1")
		w.expectVersion(names[0], testStream("unknown"), "")
	})
}

// Guards against VMs that take the versions they see for all that served while the registry doesn't say what
// served before, and against ones that don't ask again.
func TestFormerVersionsAreUnknownWhileTheRegistryIsSilent(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
		w.beginStreams(names, "s", 4, "v1")
		w.killAll(names, 0)
		w.registry.drop("i-v1")
		w.listVersions("v1.1")
		w.registry.setStreamsSilent(true)
		w.startAll(names)
		w.expectStreams(names, "s", 4, "")
		w.registry.setStreamsSilent(false)
		time.Sleep(3 * time.Second)
		w.expectStreams(names, "s", 4, "")
		time.Sleep(3 * streamversion.TTL)
		w.expectVersion(names[0], testStream("unknown"), "v1.1")
	})
}

// Guards against an older copy of the registry, restored while all VMs were killed, from which a version is
// missing that served.
func TestFormerVersionsInARegistryThatIsOlder(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1"}, func(w *testCluster, names []string) {
		older := w.registry.snapshot()
		w.listVersions("v1.1")
		time.Sleep(2 * time.Second)
		w.beginStreams(names, "s", 4, "v1.1")
		time.Sleep(300 * time.Millisecond)
		w.killAll(names, 0)
		w.registry.restore(older)
		w.startAll(names)
		w.expectStreams(names, "s", 4, "")
		w.expectVersion(names[1], testStream("unknown"), "")
	})
}

// Guards against streams that are lost because VMs are killed one after another, the one that records them first.
func TestVersionsOfStreamsOutliveVMsKilledInSeries(t *testing.T) {
	withVersionedFleet(t, 9, []string{"v1", "v2"}, func(w *testCluster, names []string) {
		for i, vm := range names {
			w.beginStreams(names[i:], fmt.Sprint("s", i, "-"), 10, "v1", "v2")
			time.Sleep(300 * time.Millisecond)
			w.kill(vm)
		}
		w.startAll(names)
		for i := range names {
			w.expectStreams(names, fmt.Sprint("s", i, "-"), 10, "v1", "v2")
		}
	})
}

// Guards against calls of the registry while a service has one version, and against many for a release.
func TestRegistryCallsForStreams(t *testing.T) {
	withVersionedFleet(t, 9, []string{"v1"}, func(w *testCluster, names []string) {
		before := w.registry.streamsCalls()
		testkit.That(t, before <= 3*spreadDomainCount, "%d calls at the first start", before)
		for i := range 10 {
			w.beginStreams(names, fmt.Sprint("one", i, "-"), 20, "v1")
			w.expectVersion(names[1], testStream("unknown"), "v1")
			time.Sleep(time.Second)
		}
		// A VM that is asked for an unknown stream reads once what served before it started.
		testkit.That(t, w.registry.streamsCalls()-before <= len(names), "%d calls while one version serves", w.registry.streamsCalls()-before)
		before = w.registry.streamsCalls()
		w.beginStreams(names, "quiet-", 20, "v1")
		time.Sleep(2 * streamversion.TTL)
		testkit.Equal(t, "calls while one version serves", w.registry.streamsCalls(), before)
		w.listVersions("v2")
		time.Sleep(5 * time.Second)
		w.registry.drop("i-v1")
		time.Sleep(4 * streamversion.TTL)
		testkit.That(t, w.registry.streamsCalls()-before <= 8*spreadDomainCount, "%d calls for a release", w.registry.streamsCalls()-before)
	})
}

// Guards against a stream of the last moment, which may be recorded or not, that goes on at another version, and
// against one of a service with one version that is refused because another service has two.
func TestStreamsOfTheLastMomentAndOfOtherServices(t *testing.T) {
	withVersionedFleet(t, 4, []string{"v1", "v2"}, func(w *testCluster, names []string) {
		w.registry.put(registry.Backend{ID: "i-other", Service: "other", Address: "at-other", Domain: "d0", Slots: 8, Version: "v1"})
		time.Sleep(3 * time.Second)
		for i := range 60 {
			w.nodes[names[i%4]].RecordStream(testStream(fmt.Sprint("last", i)), streamversion.Origin{Version: []string{"v1", "v2"}[i%2]})
			time.Sleep(5 * time.Millisecond)
		}
		w.killAll(names, 0)
		w.startAll(names)
		found := 0
		for i := range 60 {
			got, refused := w.nodes[names[i%4]].FindStreamVersion(w.Context(), testStream(fmt.Sprint("last", i)))
			testkit.That(w, got.Version == []string{"v1", "v2"}[i%2] || refused != nil, "stream %d of the last moment is of version %q", i, got.Version)
			if refused == nil {
				found++
			}
		}
		testkit.That(w, found >= 30, "%d of 60 streams of the last 0.3 s were recorded", found)
		w.expectVersion(names[1], streamversion.Stream{Service: "other", Request: "unknown"}, "v1")
		w.expectVersion(names[1], testStream("unknown"), "")
	})
}
