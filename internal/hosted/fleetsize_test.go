package hosted

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

// withSpreadCluster runs a test with VMs that are spread over the failure domains.
func withSpreadCluster(t *testing.T, vms int, run func(w *testCluster, names []string)) {
	withTestCluster(t, func(w *testCluster) {
		w.domains = spreadDomainCount
		w.registry.configuration = testContract("m1")
		w.assignSpreadShards()
		var names []string
		for i := range vms {
			names = append(names, w.bootSpread(i))
		}
		time.Sleep(15 * time.Second)
		run(w, names)
	})
}

// Guards against a VM that keeps its part of the fleet's bounds long after it is gone, and against one that
// loses its record while the registry is away or restored from an older copy.
func TestRecordsFollowTheVMsThatRun(t *testing.T) {
	withSpreadCluster(t, 9, func(w *testCluster, names []string) {
		checkLapsed := func(when string, want, wantLapsed int) {
			t.Helper()
			w.registry.mu.Lock()
			defer w.registry.mu.Unlock()
			lapsed := 0
			for _, record := range w.registry.vms {
				if record.Lapsed {
					lapsed++
				}
			}
			testkit.Equal(t, "VMs that renew their records "+when, len(w.registry.vms)-lapsed, want)
			testkit.Equal(t, "VMs with lapsed records "+when, lapsed, wantLapsed)
		}
		check := func(when string, want int) { t.Helper(); checkLapsed(when, want, 0) }
		check("after the start", 9)
		older := w.registry.snapshot()
		clear(older.vms)
		w.registry.restore(older)
		time.Sleep(15 * time.Second)
		check("after a restore", 9)
		w.registry.setUnavailable(true)
		time.Sleep(2 * time.Minute)
		w.registry.setUnavailable(false)
		time.Sleep(5 * time.Second)
		check("after an outage", 9)
		w.kill(names[8])
		time.Sleep(time.Minute)
		checkLapsed("after one is gone", 8, 1)
		testkit.Equal(t, "VMs of its domain that renew their records", w.nodes[names[2]].fleetSize.renewed()["d2"], 2)
		time.Sleep(5 * time.Minute)
		check("long after one is gone", 8)
	})
}

// Guards against calls of the registry that grow faster than the fleet.
func TestOneVMOfADomainReadsTheRecords(t *testing.T) {
	for _, vms := range []int{9, 30} {
		withSpreadCluster(t, vms, func(w *testCluster, _ []string) {
			time.Sleep(15 * time.Second)
			readsBefore, renewalsBefore := w.registry.vmCalls()
			time.Sleep(time.Minute)
			reads, renewals := w.registry.vmCalls()
			reads, renewals = reads-readsBefore, renewals-renewalsBefore
			testkit.That(t, renewals <= 6*vms, "%d VMs renewed their records %d times in a minute", vms, renewals)
			testkit.That(t, reads >= spreadDomainCount && reads <= 4*6*spreadDomainCount, "%d VMs read the records %d times in a minute", vms, reads)
			t.Log(fmt.Sprint(vms, " VMs: ", reads, " reads, ", renewals, " renewals"))
		})
	}
}
