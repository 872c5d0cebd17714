package serving_test

import (
	"testing"
	"time"
)

// Guards against a caller that reads slowly being taken for a silent engine.
func TestSlowReaderOfGenerationIsNotSilence(t *testing.T) {
	runScenario(t, nil, func(b *testbed) {
		b.expectAnswer("r", 40, atChunk(5, func() { time.Sleep(stallTimeout + time.Second) }))
		onA, onB := b.runCounts("r")
		b.check(onA+onB == 1, "ran %d times", onA+onB)
	})
}
