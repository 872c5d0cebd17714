package serving_test

import (
	"testing"
	"time"

	"bergamotreel/internal/standin/engineserver"
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
