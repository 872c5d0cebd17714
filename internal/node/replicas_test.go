package node_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
)

var allVMs = []string{"v-a1", "v-a2", "v-b1", "v-b2"}

// burst asks for the model at every entry VM at once.
func (s *system) burst(model string, each int) []answer {
	var group sync.WaitGroup
	answers := make([]answer, len(allVMs)*each)
	for i := range answers {
		group.Go(func() {
			answers[i] = s.ask(allVMs[i%len(allVMs)], model, fmt.Sprint(model, i), 8)
		})
	}
	group.Wait()
	return answers
}

// A burst for one sleeping model arrives at all routers at once. Each of them
// misses the model, but one planner decides: one replica, one load. Were each
// router to load on its own, there would be up to four.
func TestBurstForASleepingModelIsOneLoad(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		for i, a := range s.burst("clerk", 5) {
			if !a.whole("clerk", fmt.Sprint("clerk", i), 8) {
				s.errorf("request %d: %q, %v", i, a.text, a.err)
			}
		}
		if n := s.loads("clerk"); n != 1 {
			s.errorf("%d loads, want 1", n)
		}
		s.checkMemory()
	}, ownLoads)
}

// The keeper of the engine is frozen between deciding on a load and sending the
// order. Its session expires, another VM becomes keeper, the model is loaded,
// and then the frozen one thaws and sends its late order. The caller is
// answered, and no second replica appears, whether the engine checks fencing
// tokens or ignores them: rights belong to the engine, and stay counted until
// no former keeper can send.
func TestLateOrderOfAFrozenKeeperMakesNoReplica(t *testing.T) {
	for _, checks := range []bool{true, false} {
		inSystem(t, checks, text(1), func(s *system) {
			s.node("v-a2").gate.freeze()
			s.node("v-b2").gate.freeze()
			a := s.ask("v-a1", "clerk", "hello", 8)
			if !a.whole("clerk", "hello", 8) {
				s.errorf("answer %q, %v", a.text, a.err)
			}
			time.Sleep(20 * time.Second)
			s.node("v-a2").gate.open()
			s.node("v-b2").gate.open()
			time.Sleep(20 * time.Second)
			if n := s.mostReplicas("clerk"); n > 1 {
				s.errorf("%d replicas at one time, 1 was decided", n)
			}
			s.checkMemory()
		})
	}
}

// A night job streams a summary for two minutes, and nobody else asks for its
// model meanwhile. The model is not idle; it must not be let go under the stream,
// or the next caller waits for a load although the model was in use all the time.
func TestLongStreamKeepsItsModel(t *testing.T) {
	inSystem(t, true, text(1), func(s *system) {
		const tokens = 12_000 // 10 ms each
		if a := s.ask("v-a1", "clerk", "season", tokens); !a.whole("clerk", "season", tokens) {
			s.errorf("the long stream: %d bytes, %v", len(a.text), a.err)
		}
		s.ask("v-b1", "clerk", "next", 4)
		testkit.Equal(s.t, "loads", s.loads("clerk"), 1)
	})
}
