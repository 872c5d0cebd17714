package hosted

import (
	"cmp"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"bergamotreel/admission"
	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
)

// hasWorkspaceOver reports whether a workspace is beyond its share by a VM's view.
func hasWorkspaceOver(n *Node) (over bool) {
	n.serving.WithLockedState(func(a *admission.Controller, _ *routing.Router) { over = a.CountWorkspacesOver(time.Now()) > 0 })
	return over
}

// Guards against a burst that not all VMs know of within two seconds, in a small fleet and in one with relays,
// and against VMs that forget it, or stop serving, when relays end, the registry is unavailable or returns
// in an older state, reports are slow and a VM reaches no other one though they reach it. It also checks that revoking a waiting workspace's key leaves no
// request unanswered, and that all VMs learn of the end of the burst.
func TestBurstOfWorkspaceIsKnownToAllVMs(t *testing.T) {
	for _, vms := range []int{8, 30} {
		withTestCluster(t, func(w *testCluster) {
			w.load = LoadPolicies{FairWorkspaces: true}
			w.bootFleet(vms)
			both := newWorkspaceConfiguration(2, map[string][]string{"hot": {"hot key"}, "calm": {"calm key"}}, unlimitedQuota)
			both.Contract.Routes[0].TargetLatency = 20 * time.Second // no attempt is replaced meanwhile
			w.registry.setConfiguration(both)
			for i := range 8 {
				w.listEngine(w.engines.add(fmt.Sprint("m1 engine ", i), "m1"))
			}
			time.Sleep(3 * time.Second)
			older := w.registry.snapshot()
			w.answerGate = make(chan struct{})
			var answered atomic.Int32
			send := func(vm, key string) {
				w.running.Go(func() {
					_, _ = sendRequestAs(w.nodes[vm], key, "m1", 20*time.Second)
					answered.Add(1)
				})
			}
			for i := range 4 {
				send(fmt.Sprint("v", i+2), "calm key")
			}
			for range 90 {
				send("b", "hot key")
			}
			// The VM that reaches no other one goes by its own usage once its relay's sum has expired.
			isAware := func(n *Node) bool { return n.config.VM != "v3" && hasWorkspaceOver(n) }
			took := w.waitForVMs(4*time.Second, "know of the burst", vms, hasWorkspaceOver)
			t.Logf("%d VMs know of the burst after %v", vms, took)
			testkit.That(t, took <= 2*time.Second, "%d VMs know of the burst after %v", vms, took)
			w.registry.setUnavailable(true)
			w.reportDelay, w.mute = 300*time.Millisecond, "v3"
			w.kill(cmp.Or(w.leadRelay("d2"), "v2"))
			time.Sleep(3 * time.Second)
			testkit.Equal(t, "VMs that know of the burst during failures", w.countVMs(isAware), vms-2)
			w.registry.setUnavailable(false)
			w.restore(older, nil, nil)
			time.Sleep(time.Second)
			w.registry.setConfiguration(newWorkspaceConfiguration(3, map[string][]string{"calm": {"calm key"}}, unlimitedQuota))
			time.Sleep(2500 * time.Millisecond)
			testkit.Equal(t, "VMs that know of the burst after the revocation", w.countVMs(isAware), vms-2)
			close(w.answerGate)
			w.waitForVMs(9*time.Second, "know of the end", vms-1, func(n *Node) bool { return !hasWorkspaceOver(n) })
			time.Sleep(10 * time.Second)
			_, err := sendRequestAs(w.nodes["v3"], "calm key", "m1", time.Second)
			testkit.OK(w, err)
			testkit.Equal(t, "ended requests", answered.Load(), 94)
		})
	}
}
