package node_test

import (
	"testing"
	"time"
)

// A second process is started with the VM ID and settings of a running entry VM. If both
// keep running, they expire each other's sessions, and engines change keepers every two
// seconds. Only the younger process must stop. A request that it receives while stopping
// gets its whole answer, and the older process then keeps its engines as before.
func TestYoungerDuplicateProcessStops(t *testing.T) {
	runVariants(t, true, baseContract(1), func(s *system) {
		first := s.node("v-a1")
		second := s.start("v-a1", "second")
		time.Sleep(20 * time.Second)
		if !first.Stats().HasDuplicateProcess || !second.Stats().HasDuplicateProcess {
			s.errorf("duplicate not detected: %+v, %+v", first.Stats(), second.Stats())
		}
		select {
		case <-second.Superseded():
		case <-first.Superseded():
			s.t.Fatal("the older process stopped")
		case <-time.After(5 * time.Minute):
			s.errorf("neither process stopped")
		}
		if a := s.generate("v-a1", "clerk", "late", 40); !a.isComplete("clerk", "late", 40) {
			s.errorf("%q, %v", a.text, a.err)
		}
		time.Sleep(time.Minute)
		got, other := first.Stats(), second.Stats()
		if !got.SessionHeld || got.HasDuplicateProcess || got.EnginesKept == 0 || other.SessionHeld || other.EnginesKept != 0 {
			s.errorf("first %+v, second %+v", got, other)
		}
		second.kill()
		<-second.done
	})
}
