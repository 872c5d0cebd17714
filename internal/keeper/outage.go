package keeper

import (
	"context"
	"time"

	"bergamotreel/state"
)

// outageLoadTTL is how long a unit that was loaded without a record stays after its
// last waiting request: requests come in bursts, and a load costs seconds.
const outageLoadTTL = 5 * time.Minute

// updateOutageUnits records which units to load by standby rights while the log is
// unreachable. Once it is reachable again, these units are proposed as wanted.
func (k *Keeper) updateOutageUnits(ctx context.Context) {
	waiting := k.config.OutageDemand()
	if waiting == nil {
		k.proposeOutageUnits(ctx)
		return
	}
	until := time.Now().Add(outageLoadTTL)
	k.mu.Lock()
	for unit := range waiting {
		k.outageUnits[unit] = until
	}
	k.mu.Unlock()
	if len(waiting) > 0 {
		k.wakeWorkers()
	}
}

// currentOutageUnits returns the units to load by standby rights now.
func (k *Keeper) currentOutageUnits() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return unexpired(k.outageUnits, time.Now())
}

func (k *Keeper) proposeOutageUnits(ctx context.Context) {
	units := k.currentOutageUnits()
	session := k.Session()
	if len(units) == 0 || session == 0 {
		return
	}
	for _, p := range k.outageProposals(units, session) {
		k.propose(ctx, p)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.outageUnits)
}

func (k *Keeper) outageProposals(units map[string]bool, session state.SessionID) []state.Proposal {
	var proposals []state.Proposal
	k.config.Control.View(func(s *state.State) {
		for _, address := range s.EnginesKeptBy(session) {
			for unit, right := range s.RightsOf(address) {
				if units[unit] && !right.Wanted && right.Withdrawn == 0 {
					proposals = append(proposals, state.Proposal{SetWanted: &state.SetWanted{
						Engine: address, Keeper: s.Engines[address].Keeper, Unit: unit, Right: right.Granted, Wanted: true,
					}})
				}
			}
		}
	})
	return proposals
}
