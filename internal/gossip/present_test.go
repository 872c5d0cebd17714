package gossip

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/entryvm"
)

// An entry VM that says it leaves still runs requests, so it is heard; but no duty
// may be given to it, or nobody would do it once the VM has gone.
func TestLeavingVMIsNotPresent(t *testing.T) {
	v := view{live: []entryvm.Digest{{VM: "b", Address: "b:1"}, {VM: "leaving", Leaving: true}}}
	v.findPresent()
	if diff := cmp.Diff([]Peer{{VM: "b", Address: "b:1"}}, v.present); diff != "" {
		t.Error(diff)
	}
}
