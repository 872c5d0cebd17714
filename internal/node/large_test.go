package node_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bergamotreel/vmlist"
)

// An operator publishes to a fleet of 24 entry VMs, where one VM hears only those
// of its own group and sums of the others. Status must show the change in force
// on all of them within seconds, or a publish would wait in vain.
func TestChangeInForceShowsInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, true)
		for i := 3; i <= 12; i++ {
			for _, domain := range []string{"a", "b"} {
				name := fmt.Sprint("v-", domain, i)
				s.list.Put(vmlist.VM{ID: name, Kind: vmlist.KindEntry, Address: name, Domain: domain})
				s.start(name, name)
			}
		}
		s.ready()
		published := s.publish("v-a1", "c1", text(1), 0)
		time.Sleep(8 * time.Second)
		report, err := s.node("v-a1").Operators().Status(s.ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, vm := range report.VMs {
			if !vm.InForce(published.Revision) {
				t.Errorf("%s is shown at offset %d, the change is at %d", vm.ID, vm.Applied, published.Revision.Offset())
			}
		}
	})
}
