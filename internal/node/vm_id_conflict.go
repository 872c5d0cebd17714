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
	// unlistedStopDelay is how long an older process keeps running if the VM list has a
	// different address for its ID. A younger process that is not listed either stops
	// before that, so the two never both stop.
	unlistedStopDelay = time.Minute
	// listedStopDelay is how long a younger process keeps running if the VM list has its
	// address. An older process at another address has stopped by then, so if the
	// duplicate still runs, both processes advertise the same address.
	listedStopDelay = 3 * time.Minute
)

// watchDuplicate stops this process if another one runs with the same VM ID and takes
// precedence. Requests that run here end as in a planned shutdown; see Superseded.
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

// shouldStop reports whether this process stops in favor of the duplicate. If the two
// have different addresses, the one with the address on the VM list stays; otherwise the
// younger one stops. At most one of the two stops.
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

// listedAddress returns this VM's address on the VM list.
func (n *Node) listedAddress() (address string, listed bool) {
	for _, vm := range n.fleet.VMs(vmlist.KindEntry) {
		if vm.ID == n.config.VM {
			return vm.Address, true
		}
	}
	return "", false
}

// Superseded returns a channel that is closed once another process takes over this VM's
// ID. The caller should then begin a planned shutdown; running requests continue.
func (n *Node) Superseded() <-chan struct{} { return n.superseded }

func (n *Node) isSuperseded() bool {
	select {
	case <-n.superseded:
		return true
	default:
		return false
	}
}
