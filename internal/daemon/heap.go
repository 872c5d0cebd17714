package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
)

const (
	// heapFloor is how many bytes the heap may reach before the first collection
	// follows the last. An idle entry VM holds 3 to 5 MB, so that Go's default had
	// it collect each few seconds, on all processors; a VM has 128 MB for control.
	heapFloor = 32 << 20
	// defaultPercent is Go's own growth between collections, for larger heaps.
	defaultPercent = 100
	// liveMetric is what the newest collection left.
	liveMetric = "/gc/heap/live:bytes"
	// gcVariable is the operator's own setting, which is left alone.
	gcVariable = "GOGC"
)

// heapFloorOnce is for a process that runs several entry VMs.
var heapFloorOnce sync.Once

// sentinel is garbage from the start: each collection frees one.
type sentinel struct{ _ [16]byte }

// keepHeapFloor sets after each collection how far the heap may grow until the
// next: to heapFloor, or by Go's default where that is more.
func keepHeapFloor() {
	if os.Getenv(gcVariable) != "" {
		return
	}
	sample := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(sample)
	debug.SetGCPercent(gcPercent(sample[0].Value.Uint64()))
	runtime.AddCleanup(&sentinel{}, func(struct{}) { keepHeapFloor() }, struct{}{})
}

// gcPercent is the growth that takes a heap of so many live bytes to the floor.
func gcPercent(live uint64) int {
	if live == 0 || live >= heapFloor/2 {
		return defaultPercent
	}
	return int((heapFloor - live) * 100 / live)
}
