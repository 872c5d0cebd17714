package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

const (
	// heapFloor is the heap size in bytes below which no collection starts. An idle entry
	// VM has 3 to 5 MB of live heap, which Go's default collects every few seconds on all
	// processors. A VM has 128 MB for control.
	heapFloor = 32 << 20
	// defaultPercent is the default of GOGC, which applies to larger heaps.
	defaultPercent = 100
	// liveHeapMetric is the size of the heap that survived the last collection.
	liveHeapMetric = "/gc/heap/live:bytes"
	// gcVariable is the operator's own setting, which takes precedence.
	gcVariable = "GOGC"
)

// heapFloorOnce starts keepHeapFloor once in a process that runs several entry VMs.
var heapFloorOnce sync.Once

// sentinel is never referenced, so that the next collection frees it and runs its cleanup.
type sentinel struct{ _ [16]byte }

// keepHeapFloor sets after each collection the heap size that starts the next one:
// heapFloor, or that of Go's default if it is larger.
func keepHeapFloor() {
	if os.Getenv(gcVariable) != "" {
		return
	}
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	debug.SetGCPercent(gcPercent(sample[0].Value.Uint64()))
	runtime.AddCleanup(&sentinel{}, func(struct{}) { keepHeapFloor() }, struct{}{})
}

// gcPercent returns the GOGC value at which a heap with the given live bytes grows to
// heapFloor, but at least defaultPercent.
func gcPercent(live uint64) int {
	if live == 0 || live >= heapFloor/2 {
		return defaultPercent
	}
	return int((heapFloor - live) * 100 / live)
}
