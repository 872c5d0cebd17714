package node

import (
	"context"
	"time"

	"bergamotreel/internal/pause"
	"bergamotreel/state"
	"bergamotreel/vmlist"
)

// In a fleet cut into groups an entry VM hears the keepers of its own group only.
// It asks the other engines itself, this many a second together. One question
// takes 1 KB both ways with its headers (docs/measures/idle.sh, 9 VMs with 24 and
// 72 engines); the digests of a mean node take 18 of the 24 KB/s among 3,400.
const (
	largeFleetPollRate  = 4
	mediumFleetPollRate = 16
	// mediumVMs is up to how many entry VMs a fleet counts as medium: its digests
	// take under 14 KB/s.
	maxMediumFleetVMs = 100
	// plannedEvery is how often the holders of the own units are looked up.
	plannedPollInterval = 20 * time.Second
)

// askTurns implements fleet.Config.Turns.
func (n *Node) unheardEnginePollRate() float64 {
	switch {
	case !n.gossip.Large():
		return 0
	case n.gossip.VMs() < maxMediumFleetVMs:
		return mediumFleetPollRate
	default:
		return largeFleetPollRate
	}
}

// watchPlanned has the holders of the units that this VM plans asked before the
// rest of the engines kept by other VMs. Failure: a planner that doesn't hear from
// an engine for 10 s takes it for out of reach, and its units for not loaded.
func (n *Node) watchPlannedEngines(ctx context.Context) {
	pause.Every(ctx, plannedPollInterval, func(context.Context) {
		if !n.gossip.Large() {
			return
		}
		now := time.Now()
		for _, address := range n.plannedUnitHolders() {
			n.fleet.Use(address, now)
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
