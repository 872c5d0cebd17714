package node_test

import (
	"fmt"
	"testing"
	"time"
)

// Request histories must survive the restart of planners. A model is requested every 40 s
// and therefore stays loaded between the requests. Then each entry VM in turn is killed,
// or stopped, and started again as in a rollout, so that every planner has just started.
// A planner without history unloads an idle replica after 10 s, and each request would
// wait for a load.
func TestHistoriesSurvivePlannerRestarts(t *testing.T) {
	for _, planned := range []bool{true, false} {
		runVariants(t, true, baseContract(1), func(s *system) {
			calls := 0
			call := func() {
				calls++
				vm := allVMs[calls%len(allVMs)]
				if a := s.generate(vm, "clerk", "x", 4); a.err != nil {
					s.errorf("call %d at %s: %v", calls, vm, a.err)
				}
			}
			for range 30 {
				time.Sleep(40 * time.Second)
				call()
			}
			before := s.countLoads("clerk")
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
			if after := s.countLoads("clerk"); after != before {
				t.Errorf("planned %v: %d loads before the rollout, %d after", planned, before, after)
			}
		})
	}
}
