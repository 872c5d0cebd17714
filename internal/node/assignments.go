package node

import (
	"slices"
	"sync"

	"bergamotreel/internal/gossip"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/vmlist"
)

// assignmentCache caches which engines this VM should keep until the inputs of the
// assignment change. Hashing all engines at each tick of the keeper takes a third of a
// core with 3,400 VMs and 10,000 engines.
type assignmentCache struct {
	mu       sync.Mutex
	known    bool
	inputs   assignmentInputs
	assigned []string
}

// assignmentInputs holds everything that the assignment depends on.
type assignmentInputs struct {
	// listVersion is the result of fleet.Fleet.ListingVersion.
	listVersion uint64
	activePeers []gossip.Peer
	// pendingVMs holds the result of Node.pendingVMs.
	pendingVMs []vmlist.VM
}

func (i assignmentInputs) equal(other assignmentInputs) bool {
	return i.listVersion == other.listVersion && slices.Equal(i.activePeers, other.activePeers) && slices.Equal(i.pendingVMs, other.pendingVMs)
}

// get returns the assigned engines. It calls compute if the inputs have changed.
func (c *assignmentCache) get(inputs assignmentInputs, compute func() []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || !c.inputs.equal(inputs) {
		c.known, c.inputs, c.assigned = true, inputs, compute()
	}
	return slices.Clone(c.assigned)
}

// assignedEngines returns the engines that this VM should keep. An engine is kept by a
// VM of its own failure domain if there is one, so that a domain that is cut off can
// still load units.
func (n *Node) assignedEngines() []string {
	if n.isStopping() {
		return nil
	}
	inputs := assignmentInputs{n.fleet.ListingVersion(), n.gossip.ActivePeers(), n.pendingVMs()}
	return n.assignments.get(inputs, func() []string { return n.computeAssignment(inputs) })
}

func (n *Node) computeAssignment(inputs assignmentInputs) []string {
	live := []string{n.config.VM}
	for _, p := range inputs.activePeers {
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

// eligibleKeepers returns, by failure domain, the entry VMs that may keep its engines:
// those that are active and those that may not have sent a digest yet.
func (n *Node) eligibleKeepers(inputs assignmentInputs) map[string][]string {
	domains := map[string][]string{n.config.Domain: {n.config.VM}}
	isActive := make(map[string]bool)
	for _, p := range inputs.activePeers {
		domains[p.Domain] = append(domains[p.Domain], p.VM)
		isActive[p.VM] = true
	}
	for _, vm := range inputs.pendingVMs {
		if !isActive[vm.ID] && vm.ID != n.config.VM {
			domains[vm.Domain] = append(domains[vm.Domain], vm.ID)
		}
	}
	return domains
}
