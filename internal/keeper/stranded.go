package keeper

import (
	"context"
	"time"

	"bergamotreel/state"
)

// strandedKeep is how long a unit that was loaded without a record stays after
// its last waiting request: requests come in bursts, and a load costs seconds.
const strandedKeep = 5 * time.Minute

// loadStranded notes which units to load by standby rights while the log is out
// of reach. Once it answers again, what was loaded so is proposed as wanted.
func (k *Keeper) loadStranded(ctx context.Context) {
	waiting := k.config.OutageDemand()
	if waiting == nil {
		k.proposeStranded(ctx)
		return
	}
	until := time.Now().Add(strandedKeep)
	k.mu.Lock()
	for unit := range waiting {
		k.stranded[unit] = until
	}
	k.mu.Unlock()
	if len(waiting) > 0 {
		k.wakeAll()
	}
}

// strandedUnits are the units to load by standby rights now.
func (k *Keeper) strandedUnits() map[string]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return running(k.stranded, time.Now())
}

func (k *Keeper) proposeStranded(ctx context.Context) {
	units := k.strandedUnits()
	session := k.Session()
	if len(units) == 0 || session == 0 {
		return
	}
	for _, p := range k.strandedWants(units, session) {
		k.propose(ctx, p)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	clear(k.stranded)
}

func (k *Keeper) strandedWants(units map[string]bool, session state.SessionID) []state.Proposal {
	var wants []state.Proposal
	k.config.Control.View(func(s *state.State) {
		for _, address := range s.EnginesKeptBy(session) {
			for unit, right := range s.RightsOf(address) {
				if units[unit] && !right.Wanted && right.Withdrawn == 0 {
					wants = append(wants, state.Proposal{SetWanted: &state.SetWanted{
						Engine: address, Keeper: s.Engines[address].Keeper, Unit: unit, Right: right.Granted, Wanted: true,
					}})
				}
			}
		}
	})
	return wants
}
