package node_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/internal/standin/faults"
	"bergamotreel/refusal"
)

// Most entry VMs are cut off from the log. The one that is not runs a booking and
// dies before its caller has the answer; then the log goes down, and the VM list
// drops the dead VM. The caller repeats the booking elsewhere. Nobody who is left
// knows of it; to be told "not run" would have it booked twice.
func TestDeadVMMayHaveBooked(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		time.Sleep(20 * time.Second)
		for _, vm := range []string{"v-a1", "v-a2", "v-b1"} {
			s.node(vm).view.Cut()
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
			s.errorf("told %v, but it ran", refused)
		}
	}, unknownIsNo)
}

// The entry VMs of one failure domain start a little before those of the other,
// which neither reach the log nor are heard yet; one of the early two is not heard
// either. Each engine must be kept in its own domain all the same: a domain that is
// cut off later loads only by its own keepers. And each must be taken once, by its
// own keeper: changing hands it would have none for a moment.
func TestEarlyStarterLeavesOthersEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		for _, late := range []bool{true, false} {
			s.mesh.separate("v-b2", late)
			for _, vm := range []string{"v-a1", "v-a2"} {
				s.mesh.separate(vm, late)
				s.node(vm).view.Faults().Set(faults.Settings{Outage: late})
			}
			time.Sleep(4 * time.Second)
		}
		s.ready()
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
