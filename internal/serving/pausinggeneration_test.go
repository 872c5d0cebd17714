package serving_test

import (
	"testing"
	"time"

	"bergamotreel/internal/standin/engineserver"
	"bergamotreel/refusal"
)

// Guards against a generation that is cut because its engine pauses for longer than the
// stall timeout, when no other engine can take it: the engine would have finished it.
func TestPausingGenerationIsNotCut(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(onlyAReady)
		b.expectAnswer("r", 40, atChunk(5, func() {
			b.Engine("a").SetFaults(engineserver.Faults{Frozen: true})
			time.AfterFunc(stallTimeout+time.Second, func() { b.Engine("a").SetFaults(engineserver.Faults{}) })
		}))
	})
}

// Guards against a caller that waits without bound for a generation whose engine hangs, when
// no other engine can take it.
func TestHungGenerationEnds(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.setCandidates(onlyAReady)
		begun := time.Now()
		b.expectRefusal("r", atChunk(5, func() { b.Engine("a").SetFaults(engineserver.Faults{Frozen: true}) }), refusal.CodeBackendFailed, refusal.RanMaybe)
		b.check(time.Since(begun) < 40*time.Second, "ended after %s", time.Since(begun))
	})
}
