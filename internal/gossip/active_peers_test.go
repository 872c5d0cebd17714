package gossip

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/entryvm"
)

// A leaving entry VM still runs requests, so its digest counts as live. No task may
// be assigned to it: nobody would do it once the VM has gone.
func TestLeavingVMIsNotActive(t *testing.T) {
	v := view{live: []entryvm.Digest{{VM: "b", Address: "b:1"}, {VM: "leaving", Leaving: true}}}
	v.findActivePeers()
	if diff := cmp.Diff([]Peer{{VM: "b", Address: "b:1"}}, v.activePeers); diff != "" {
		t.Error(diff)
	}
}
