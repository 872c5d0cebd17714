package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/refusal"
)

// All entry VMs but one are cut off from the log. That one runs a booking and dies,
// then the log goes down, and the VM list drops the dead VM. The caller repeats the
// booking elsewhere. No remaining VM knows of the booking. The refusal must not say "not
// run", or the caller would book a second time.
func TestDeadVMMakesOutcomeUnknown(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		time.Sleep(20 * time.Second)
		for _, vm := range []string{"v-a1", "v-a2", "v-b1"} {
			s.node(vm).logView.Disconnect()
		}
		if _, err := s.book("v-b2", "key"); err != nil {
			s.t.Fatal(err)
		}
		s.node("v-b2").kill()
		<-s.node("v-b2").done
		s.log.Faults().Set(faults.Settings{Outage: true})
		s.list.Remove("v-b2")
		time.Sleep(30 * time.Second)
		_, err := s.book("v-a1", "key")
		if refused := refusal.FromError(err); refused.Ran != refusal.RanMaybe {
			s.errorf("refused with %v, but it ran", refused)
		}
	}, unknownIsNotRun)
}

// Two entry VMs of one failure domain start shortly before those of the other, which
// neither reach the log nor exchange digests yet. One of the early VMs does not
// exchange digests either. Each engine must still get its keeper from its own domain,
// because a domain that is cut off later loads only through its own keepers. Each
// engine must also be acquired only once: between two keepers it would have none for a
// moment.
func TestEarlyVMTakesNoEngineOfPendingVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		for _, late := range []bool{true, false} {
			s.mesh.setIsolated("v-b2", late)
			for _, vm := range []string{"v-a1", "v-a2"} {
				s.mesh.setIsolated(vm, late)
				s.node(vm).logView.Faults().Set(faults.Settings{Outage: late})
			}
			time.Sleep(4 * time.Second)
		}
		s.waitReady()
		time.Sleep(20 * time.Second)
		report, err := s.node("v-b1").Operators().Status(s.ctx)
		if err != nil || len(report.Engines) != 4 {
			t.Fatalf("%d engines, %v", len(report.Engines), err)
		}
		for _, e := range report.Engines {
			domain := e.Name[len("engine-"):][:1]
			if len(e.Keeper) < 3 || e.Keeper[2:3] != domain || e.Domain != domain {
				t.Errorf("%s in domain %q is kept by %q", e.Name, e.Domain, e.Keeper)
			}
		}
		if taken := s.countRecords("control", 1)["KeeperAcquire"]; taken != 4 {
			t.Errorf("the four engines were taken %d times", taken)
		}
	})
}
