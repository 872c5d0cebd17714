package node

import (
	"slices"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/vmlist"
)

// snapshotDuty is the key by which the writer of snapshots is chosen.
const snapshotWriterKey = "duty/snapshots"

// liveVMs are the entry VMs that are there and not leaving, this one included.
func (n *Node) liveVMs() []string {
	var live []string
	if !n.isStopping() {
		live = append(live, n.config.VM)
	}
	for _, p := range n.gossip.Present() {
		live = append(live, p.VM)
	}
	slices.Sort(live)
	return live
}

// chosen is the live entry VM that normally does what the key names. VMs that
// see each other agree on it; two that don't cost appends, never safety.
func (n *Node) chooseVM(key string) string {
	return rendezvous.Pick(key, n.liveVMs())
}

func (n *Node) isChosen(key string) bool { return n.chooseVM(key) == n.config.VM }

func (n *Node) writesSnapshots() bool { return n.isChosen(snapshotWriterKey) }

// settleTimeouts is for how many heartbeat timeouts after the start an entry VM
// waits to hear the others before it takes engines that are theirs.
const startupPeerTimeouts = 2

// awaited are the listed entry VMs that may not have been heard yet. Failure: an
// entry VM that started a moment before the others took their engines. Those of
// its own failure domain changed hands again handOverAfter later, and had no
// keeper for a moment. Those of another domain it kept; once that domain was cut
// off, nobody in it could load by the rights that had been granted ahead for that.
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
	return slices.ContainsFunc(n.gossip.Live(), func(d entryvm.Digest) bool { return d.Incarnation == incarnation })
}

// listed hands a VM list to the keeper, which tells from it whose messages have
// died out. Entry VMs are named by their ID and engines by their address.
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

// otherVMs are the addresses of all other entry VMs, listed or heard.
func (n *Node) otherVMAddresses() []string {
	addresses := make(map[string]bool)
	for _, vm := range n.fleet.VMs(vmlist.KindEntry) {
		if vm.ID != n.config.VM {
			addresses[vm.Address] = true
		}
	}
	for _, d := range n.gossip.Live() {
		addresses[d.Address] = true
	}
	out := make([]string, 0, len(addresses))
	for address := range addresses {
		out = append(out, address)
	}
	return out
}
