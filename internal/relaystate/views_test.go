package relaystate

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/testkit"
)

// randomView changes some VMs of a list: they join, leave, restart or keep other shards.
func randomView(random *rand.Rand, view []entryvm.VMView) []entryvm.VMView {
	byAddress := make(map[string]entryvm.VMView)
	for _, v := range view {
		byAddress[v.Address] = v
	}
	for range random.Intn(5) {
		address := fmt.Sprint("10.0.0.", random.Intn(30))
		v, known := byAddress[address]
		switch {
		case !known:
			byAddress[address] = entryvm.VMView{VM: address, Address: address, Domain: "d", Incarnation: "1", Capacity: 7}
		case random.Intn(3) == 0:
			delete(byAddress, address)
		case random.Intn(2) == 0:
			v.Incarnation += "x"
			byAddress[address] = v
		default:
			v.KeptShards, v.Leaving = []int{random.Intn(9)}, random.Intn(2) == 0
			byAddress[address] = v
		}
	}
	var out []entryvm.VMView
	for _, v := range byAddress {
		out = append(out, v)
	}
	slices.SortFunc(out, CompareViews)
	return out
}

// Guards against a difference that turns a view into another one than the sender has.
func TestPatchedViewEqualsSenderView(t *testing.T) {
	random := rand.New(rand.NewSource(3))
	var history ViewHistory
	var view []entryvm.VMView
	for range 2000 {
		view = randomView(random, view)
		history.Add(ViewVersion(view), view)
		at := random.Intn(len(history))
		changed, removed := DiffViews(history[at].vms, view)
		patched := PatchView(history[at].vms, changed, removed)
		testkit.Need(t, ViewVersion(patched) == ViewVersion(view), "patched %v, want %v", patched, view)
		testkit.Need(t, len(history) <= maxViewVersions, "%d versions kept", len(history))
	}
	_, kept := history.VMsAt(history[0].version)
	testkit.That(t, kept, "the oldest kept version is not found")
	_, kept = history.VMsAt(12345)
	testkit.That(t, !kept, "an unknown version is found")
}
