package node_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/internal/standin/faults"
)

// keeperOf returns the keeper of an engine according to the operators' status.
func (s *system) keeperOf(address string) string {
	report, err := s.node("v-b1").Operators().Status(s.ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, e := range report.Engines {
		if e.Name == address {
			return e.Keeper
		}
	}
	return ""
}

// An engine starts draining while the log and the VM list are down, so that only its own
// status shows it. Its keeper reports this to the other entry VMs. If the keeper dies or
// is cut off from them at the same time, they query the engine themselves. After a few
// seconds no VM sends it new requests.
func TestDrainingEngineWithUnreachableKeeper(t *testing.T) {
	for name, fail := range map[string]func(s *system, keeper string){
		"well": func(*system, string) {},
		"dead": func(s *system, keeper string) { s.node(keeper).kill() },
		"cut":  func(s *system, keeper string) { s.mesh.setIsolated(keeper, true) },
	} {
		t.Run(name, func(t *testing.T) {
			runVariants(t, true, pairContract(), func(s *system) {
				time.Sleep(20 * time.Second)
				draining := s.readyEngine("pair")
				keeper := s.keeperOf(draining)
				s.list.Faults().Set(faults.Settings{Outage: true})
				s.log.Faults().Set(faults.Settings{Outage: true})
				s.engines.Engine(draining).SetDraining(true)
				fail(s, keeper)
				time.Sleep(3200 * time.Millisecond)
				for i := range 20 {
					at, prompt := allVMs[i%4], fmt.Sprint("new", i)
					if at == keeper {
						continue
					}
					if a := s.generate(at, "pair", prompt, 4); !a.isComplete("pair", prompt, 4) {
						s.errorf("request %d: %q, %v", i, a.text, a.err)
					}
				}
				if n := s.requestsSentTo(draining); n > 0 {
					s.errorf("the draining engine got %d new requests", n)
				}
			}, listOnly)
		})
	}
}
