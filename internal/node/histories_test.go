package node_test

import (
	"fmt"
	"testing"
	"time"
)

// A clerk asks every 40 s all morning, so the model is kept between the calls.
// Then each entry VM in turn is killed, or stopped, and started again, as in a
// roll-out: whoever plans the model has just started. A planner without history
// lets an idle replica go after 10 s; each clerk would wait for a load again.
func TestHistoryOutlivesItsPlanners(t *testing.T) {
	for _, planned := range []bool{true, false} {
		inSystem(t, true, text(1), func(s *system) {
			calls := 0
			call := func() {
				calls++
				vm := allVMs[calls%len(allVMs)]
				if a := s.ask(vm, "clerk", "x", 4); a.err != nil {
					s.errorf("call %d at %s: %v", calls, vm, a.err)
				}
			}
			for range 30 {
				time.Sleep(40 * time.Second)
				call()
			}
			before := s.loads("clerk")
			for i, vm := range allVMs {
				if planned {
					s.stop(s.node(vm))
				} else {
					s.node(vm).kill()
					<-s.node(vm).done
				}
				time.Sleep(10 * time.Second)
				s.start(vm, fmt.Sprint(vm, "-", i))
				time.Sleep(30 * time.Second)
				call()
			}
			for range 5 {
				time.Sleep(40 * time.Second)
				call()
			}
			if after := s.loads("clerk"); after != before {
				t.Errorf("planned %v: %d loads before the roll-out, %d after", planned, before, after)
			}
		})
	}
}
