package node

import (
	"testing"
	"time"
)

// Two processes of one name never both stop: the VM list's address decides, and
// where it is no help the younger one goes.
func TestExactlyOneDuplicateStops(t *testing.T) {
	type place struct{ listed, same bool }
	places := []place{{false, false}, {true, false}, {true, true}}
	for _, older := range places {
		for _, younger := range places {
			stops := ""
			for contested := time.Duration(0); contested < 10*time.Minute && stops == ""; contested += time.Second {
				if shouldStop(false, older.listed, older.same, contested) {
					stops += "older"
				}
				if shouldStop(true, younger.listed, younger.same, contested) {
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
