package node

import (
	"slices"
	"sync"

	"bergamotreel/internal/gossip"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/vmlist"
)

// keepIndex remembers which engines this VM should keep, for as long as its
// grounds are the same. Hashing them anew at each tick of the keeper took a third
// of a core among 3,400 VMs and 10,000 engines.
type assignmentCache struct {
	mu       sync.Mutex
	known    bool
	inputs   assignmentInputs
	assigned []string
}

// keepGrounds is all that the choice depends on.
type assignmentInputs struct {
	// listing is fleet.Fleet.Listing.
	listVersion  uint64
	presentPeers []gossip.Peer
	// awaited are the listed entry VMs that may not have been heard yet.
	pendingVMs []vmlist.VM
}

func (g assignmentInputs) equal(other assignmentInputs) bool {
	return g.listVersion == other.listVersion && slices.Equal(g.presentPeers, other.presentPeers) && slices.Equal(g.pendingVMs, other.pendingVMs)
}

// get returns the engines; choose is called where the grounds have changed.
func (k *assignmentCache) get(inputs assignmentInputs, compute func() []string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.known || !k.inputs.equal(inputs) {
		k.known, k.inputs, k.assigned = true, inputs, compute()
	}
	return slices.Clone(k.assigned)
}

// keeps returns the engines that this VM should keep: each engine is kept in its
// own failure domain where an entry VM lives there, so that a cut-off domain
// can go on loading.
func (n *Node) assignedEngines() []string {
	if n.isStopping() {
		return nil
	}
	inputs := assignmentInputs{n.fleet.Listing(), n.gossip.Present(), n.pendingVMs()}
	return n.assignments.get(inputs, func() []string { return n.computeAssignment(inputs) })
}

func (n *Node) computeAssignment(inputs assignmentInputs) []string {
	live := []string{n.config.VM}
	for _, p := range inputs.presentPeers {
		live = append(live, p.VM)
	}
	domains := n.eligibleKeepers(inputs)
	var assigned []string
	for _, vm := range n.fleet.VMs(vmlist.KindEngine) {
		eligible := domains[vm.Domain]
		if len(eligible) == 0 {
			eligible = live
		}
		if rendezvous.Pick(vm.Address, eligible) == n.config.VM {
			assigned = append(assigned, vm.Address)
		}
	}
	slices.Sort(assigned)
	return assigned
}

// keepersByDomain are the entry VMs of each failure domain that should keep its
// engines: those that are there, and those that may not have been heard yet.
func (n *Node) eligibleKeepers(inputs assignmentInputs) map[string][]string {
	domains := map[string][]string{n.config.Domain: {n.config.VM}}
	heard := make(map[string]bool)
	for _, p := range inputs.presentPeers {
		domains[p.Domain] = append(domains[p.Domain], p.VM)
		heard[p.VM] = true
	}
	for _, vm := range inputs.pendingVMs {
		if !heard[vm.ID] && vm.ID != n.config.VM {
			domains[vm.Domain] = append(domains[vm.Domain], vm.ID)
		}
	}
	return domains
}
