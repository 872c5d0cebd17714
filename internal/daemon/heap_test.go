package daemon

import "testing"

// A small heap grows to the floor, whatever the percentage; a large one by Go's
// default, so that it never takes more memory than without the floor.
func TestHeapFloor(t *testing.T) {
	for _, live := range []uint64{0, 1 << 20, 4 << 20, heapFloor/2 - 1, heapFloor / 2, 100 << 20} {
		target := live + live*uint64(gcPercent(live))/100
		if target > max(heapFloor, 2*live) || live > 0 && target < heapFloor*99/100 {
			t.Errorf("%d live bytes grow to %d", live, target)
		}
	}
}
