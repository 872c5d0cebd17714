package node

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/vmlist"
)

// snapshotWriterKey is the rendezvous key that selects the writer of snapshots.
const snapshotWriterKey = "duty/snapshots"

// liveVMs returns the entry VMs that are live and not leaving, including this one.
func (n *Node) liveVMs() []string {
	var live []string
	if !n.isStopping() {
		live = append(live, n.config.VM)
	}
	for _, p := range n.gossip.ActivePeers() {
		live = append(live, p.VM)
	}
	slices.Sort(live)
	return live
}

// chooseVM returns the live entry VM that is responsible for the task named by key. VMs
// that see each other agree on it. If two VMs disagree, that only adds log appends;
// safety does not depend on it.
func (n *Node) chooseVM(key string) string {
	return rendezvous.Pick(key, n.liveVMs())
}

func (n *Node) isChosen(key string) bool { return n.chooseVM(key) == n.config.VM }

func (n *Node) writesSnapshots() bool { return n.isChosen(snapshotWriterKey) }

// startupPeerTimeouts is for how many peer timeouts after its start an entry VM leaves
// engines to listed VMs that have not sent a digest yet.
const startupPeerTimeouts = 2

// pendingVMs returns the listed entry VMs that may not have sent a digest yet. Without
// them, an entry VM that starts slightly before the others takes their engines. Engines
// of its own failure domain then change keepers again after handoverDelay and have no
// keeper in between. Engines of another domain stay with it, so that if that domain is
// cut off, no VM in it can load units by the rights granted in advance for this case.
func (n *Node) pendingVMs() []vmlist.VM {
	if time.Since(n.started) >= startupPeerTimeouts*n.config.PeerTimeout {
		return nil
	}
	return slices.DeleteFunc(n.fleet.VMs(vmlist.KindEntry), func(vm vmlist.VM) bool { return vm.Leaving })
}

func (n *Node) domainOf(engine string) string {
	e, _ := n.fleet.Engine(engine)
	return e.VM.Domain
}

func (n *Node) isIncarnationAlive(incarnation string) bool {
	if incarnation == n.config.Incarnation {
		return true
	}
	return slices.ContainsFunc(n.gossip.LiveDigests(), func(d entryvm.Digest) bool { return d.Incarnation == incarnation })
}

// applyVMList passes a VM list to the keeper, which derives from it which departed VMs
// can no longer have messages in flight. Entry VMs and services are named by their ID,
// engines by their address.
func (n *Node) applyVMList(now time.Time, list vmlist.List) {
	for _, vm := range list.VMs {
		if vm.Kind == vmlist.KindEntry {
			n.roster.recordSeen(now, vm.ID, vm.Address)
		}
	}
	names := make([]string, 0, len(list.VMs))
	for _, vm := range list.VMs {
		if vm.Kind == vmlist.KindEngine {
			names = append(names, vm.Address)
			continue
		}
		names = append(names, vm.ID)
	}
	n.keeper.ApplyList(now, list.Version, names)
}

// otherVMAddresses returns the addresses of all other entry VMs that are on the VM list
// or send digests.
func (n *Node) otherVMAddresses() []string {
	addresses := make(map[string]bool)
	for _, vm := range n.fleet.VMs(vmlist.KindEntry) {
		if vm.ID != n.config.VM {
			addresses[vm.Address] = true
		}
	}
	for _, d := range n.gossip.LiveDigests() {
		addresses[d.Address] = true
	}
	out := make([]string, 0, len(addresses))
	for address := range addresses {
		out = append(out, address)
	}
	return out
}
