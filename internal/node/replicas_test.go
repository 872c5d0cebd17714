package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var allVMs = []string{"v-a1", "v-a2", "v-b1", "v-b2"}

// burst requests the model at every entry VM at once.
func (s *system) burst(model string, each int) []answer {
	var group sync.WaitGroup
	answers := make([]answer, len(allVMs)*each)
	for i := range answers {
		group.Go(func() {
			answers[i] = s.generate(allVMs[i%len(allVMs)], model, fmt.Sprint(model, i), 8)
		})
	}
	group.Wait()
	return answers
}

// A burst for a model that is not loaded arrives at all routers at once, and none of
// them finds a replica. A single planner must decide on one replica and one load. If
// each router loaded the model by itself, there would be up to four.
func TestBurstLoadsModelOnce(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		for i, a := range s.burst("clerk", 5) {
			if !a.isComplete("clerk", fmt.Sprint("clerk", i), 8) {
				s.errorf("request %d: %q, %v", i, a.text, a.err)
			}
		}
		if n := s.countLoads("clerk"); n != 1 {
			s.errorf("%d loads, want 1", n)
		}
		s.checkMemory()
	}, uncoordinatedLoads)
}

// Keepers are frozen between deciding on a load and sending the order. Their sessions
// expire, other VMs become keepers, the model is loaded, and then the frozen VMs
// continue and send late orders. The caller must be answered and no second replica may
// appear, whether or not the engine checks fencing tokens: rights belong to the engine
// and stay counted until no former keeper can send.
func TestLateOrderOfFrozenKeeperAddsNoReplica(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		runVariants(t, checksTokens, baseContract(1), func(s *system) {
			s.node("v-a2").gate.freeze()
			s.node("v-b2").gate.freeze()
			a := s.generate("v-a1", "clerk", "hello", 8)
			if !a.isComplete("clerk", "hello", 8) {
				s.errorf("answer %q, %v", a.text, a.err)
			}
			time.Sleep(20 * time.Second)
			s.node("v-a2").gate.unfreeze()
			s.node("v-b2").gate.unfreeze()
			time.Sleep(20 * time.Second)
			if n := s.maxReplicasOf("clerk"); n > 1 {
				s.errorf("%d replicas at one time, 1 was decided", n)
			}
			s.checkMemory()
		})
	}
}

// A request streams for two minutes, and no other request for its model arrives
// meanwhile. The model is in use, so it must not be unloaded; otherwise the next caller
// waits for a load.
func TestModelStaysLoadedDuringLongStream(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		const tokens = 12_000 // 10 ms each
		if a := s.generate("v-a1", "clerk", "season", tokens); !a.isComplete("clerk", "season", tokens) {
			s.errorf("the long stream: %d bytes, %v", len(a.text), a.err)
		}
		s.generate("v-b1", "clerk", "next", 4)
		testkit.Equal(s.t, "loads", s.countLoads("clerk"), 1)
	})
}
