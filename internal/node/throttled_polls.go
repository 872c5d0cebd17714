package node

import (
	"context"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// In a fleet divided into groups, an entry VM receives engine reports only from the
// keepers of its own group and queries all other engines itself. The poll rates limit
// these queries, in total per second. One query with its answer takes 1 KB including
// headers (docs/measures/idle.sh, 9 VMs with 24 and 72 engines). With 3,400 VMs, the
// digests of an average VM take 18 KB/s of its 24 KB/s.
const (
	largeFleetPollRate  = 4
	mediumFleetPollRate = 16
	// maxMediumFleetVMs is the number of other live VMs below which mediumFleetPollRate
	// applies. The digests of such a fleet take less than 14 KB/s per VM.
	maxMediumFleetVMs = 100
	// plannedPollInterval is how often this VM looks up the holders of the units that it
	// plans.
	plannedPollInterval = 20 * time.Second
)

// remotePollRate implements fleet.Config.MaxRemotePollRate. It returns the maximum
// number of queries per second to engines whose keepers send no digests to this VM, and
// 0 for no limit.
func (n *Node) remotePollRate() float64 {
	switch {
	case !n.gossip.HasGroups():
		return 0
	case n.gossip.KnownVMCount() < maxMediumFleetVMs:
		return mediumFleetPollRate
	default:
		return largeFleetPollRate
	}
}

// watchPlannedEngines gives the engines that hold units planned by this VM priority
// over other engines that other VMs keep. Otherwise a planner that gets no status of an
// engine for 10 s considers the engine unreachable and its units not loaded.
func (n *Node) watchPlannedEngines(ctx context.Context) {
	pause.Every(ctx, plannedPollInterval, func(context.Context) {
		if !n.gossip.HasGroups() {
			return
		}
		now := time.Now()
		for _, address := range n.plannedUnitHolders() {
			n.fleet.LookupForRequest(address, now)
		}
	})
}

func (n *Node) plannedUnitHolders() []string {
	var holders []string
	engines, share := n.fleet.VMs(vmlist.KindEngine), n.planners.currentShare()
	n.control.View(func(s *state.State) {
		for _, vm := range engines {
			for unit := range s.RightsOf(vm.Address) {
				if share.OwnsUnit(unit) {
					holders = append(holders, vm.Address)
					break
				}
			}
		}
	})
	return holders
}
