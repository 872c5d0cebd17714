package node_test

import (
	"testing"
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
			s.nodes[vm].view.Cut()
		}
		if _, err := s.book("v-b2", "key"); err != nil {
			s.t.Fatal(err)
		}
		s.nodes["v-b2"].kill()
		<-s.nodes["v-b2"].done
		s.log.Faults().Set(faults.Settings{Outage: true})
		s.list.Remove("v-b2")
		time.Sleep(30 * time.Second)
		_, err := s.book("v-a1", "key")
		if refused := refusal.From(err); refused.Ran != refusal.RanMaybe {
			s.t.Errorf("told %v, but it ran", refused)
		}
	})
}
