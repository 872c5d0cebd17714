package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/pause"
	"bergamotreel/vmlist"
)

const (
	duplicateCheckInterval = time.Second
	// concedeAfter is for how long an older process whose address is not the VM
	// list's goes on: a younger one that isn't listed either stops first, so that
	// never both do.
	unlistedStopDelay = time.Minute
	// concedeLast is for how long a younger process goes on though the VM list has
	// its address: an older one elsewhere has stopped by then. What is left is two
	// that advertise one address.
	listedStopDelay = 3 * time.Minute
)

// watchRival stops this process if another one runs under its name and has the
// better claim to it. What runs here ends as at a planned stop; see Superseded.
func (n *Node) watchDuplicate(ctx context.Context) {
	pause.Every(ctx, duplicateCheckInterval, func(ctx context.Context) {
		now := time.Now()
		duplicate, found := n.keeper.FindDuplicate(now)
		if !found || n.isSuperseded() {
			return
		}
		address, listed := n.listedAddress()
		if !shouldStop(duplicate.IsOlder, listed, address == n.config.PeersAddress, now.Sub(duplicate.FirstSeen)) {
			return
		}
		n.config.Logger.Error("another process runs with this [vm] id: this one shuts down",
			zap.String("incarnation", n.config.Incarnation), zap.String("other", duplicate.Incarnation),
			zap.Bool("other_older", duplicate.IsOlder), zap.String("peers_address", n.config.PeersAddress), zap.String("vm_list", address))
		n.supersedeOnce.Do(func() { close(n.superseded) })
		n.keeper.Stop(ctx)
	})
}

// concedes tells whether a process gives way. The VM list's address decides where
// it differs between the two; else the younger one stops. At most one does.
func shouldStop(duplicateOlder, listed, sameAddress bool, duplicateFor time.Duration) bool {
	switch {
	case duplicateOlder && listed && sameAddress:
		return duplicateFor >= listedStopDelay
	case duplicateOlder:
		return true
	default:
		return listed && !sameAddress && duplicateFor >= unlistedStopDelay
	}
}

// ownListing is this VM's address on the VM list.
func (n *Node) listedAddress() (address string, listed bool) {
	for _, vm := range n.fleet.VMs(vmlist.KindEntry) {
		if vm.ID == n.config.VM {
			return vm.Address, true
		}
	}
	return "", false
}

// Superseded is closed once another process has the better claim to this VM's
// name. Shut down as planned then: requests that run here aren't touched.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

func (n *Node) isSuperseded() bool {
	select {
	case <-n.superseded:
		return true
	default:
		return false
	}
}
