package node

import (
	"testing"
	"time"
)

// Of two processes with the same VM ID, exactly one stops: the one whose address is not
// on the VM list, or the younger one if the VM list does not tell them apart.
func TestExactlyOneDuplicateStops(t *testing.T) {
	type listing struct{ listed, same bool }
	listings := []listing{{false, false}, {true, false}, {true, true}}
	for _, older := range listings {
		for _, younger := range listings {
			stops := ""
			for duplicateFor := time.Duration(0); duplicateFor < 10*time.Minute && stops == ""; duplicateFor += time.Second {
				if shouldStop(false, older.listed, older.same, duplicateFor) {
					stops += "older"
				}
				if shouldStop(true, younger.listed, younger.same, duplicateFor) {
					stops += "younger"
				}
			}
			want := "younger"
			if younger.same && older.listed && !older.same {
				want = "older"
			}
			if stops != want {
				t.Errorf("older %v, younger %v: %q stops, want %s", older, younger, stops, want)
			}
		}
	}
}
