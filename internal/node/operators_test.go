package node_test

import (
	"errors"
	"testing"
	"time"

	"bergamotreel/operator"
)

// An entry VM that starts while the log is unreachable has no state. It must answer
// operators that it is unavailable, not that there are no contracts.
func TestOperatorCallsFailBeforeState(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		s.log.View("late").Disconnect()
		s.mesh.setIsolated("late", true)
		late := s.start("late", "late")
		time.Sleep(5 * time.Second)
		o := late.Operators()
		_, contracts := o.Contracts(s.ctx)
		_, contract := o.Contract(s.ctx, "trinidad")
		_, history := o.History(s.ctx, "trinidad")
		for call, err := range map[string]error{"contracts": contracts, "contract": contract, "history": history} {
			if !errors.Is(err, operator.ErrUnavailable) {
				s.t.Errorf("%s: %v", call, err)
			}
		}
	})
}

// The status from any entry VM covers all of them: the contract version in force on each,
// the refusals by all VMs, and the VMs marked as leaving on the VM list. It contains no
// departed VMs.
func TestStatusCoversAllVMs(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		for range 3 {
			s.generate("v-a1", "nosuch", "p", 4)
		}
		s.generate("v-b1", "nosuch", "p", 4)
		s.list.MarkLeaving("v-a2")
		s.node("v-b2").kill()
		s.list.Remove("v-b2")
		time.Sleep(10 * time.Second)
		report, err := s.node("v-b1").Operators().Status(s.ctx)
		if err != nil || len(report.VMs) != 3 {
			s.t.Fatalf("%d VMs, %v", len(report.VMs), err)
		}
		for _, vm := range report.VMs {
			if vm.NewestContract != report.Contracts[0].Version || vm.Missing || vm.Leaving != (vm.ID == "v-a2") {
				s.t.Errorf("%+v, want version %d", vm, report.Contracts[0].Version)
			}
		}
		if len(report.Refusals) != 1 || report.Refusals[0].Count != 4 {
			s.t.Errorf("refusals %v", report.Refusals)
		}
	})
}
