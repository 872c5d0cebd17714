package planner

import (
	"slices"
	"time"
)

const (
	// unitsRemembered is of how many units the uses are remembered, those apart that
	// are planned here, held by an engine or told by another planner: all units of
	// a fleet of hundreds of VMs, and 3 MB. Failure: a VM hears of uses of
	// ever more units, and 39,000 histories would take a fifth of its memory.
	maxUnitHistories = 4096
	// taughtFor is how long after its last use a unit's history is kept for the
	// planner that told it: a day, as histories are of habits by the day.
	importedHistoryTTL = 24 * time.Hour
)

// forgetUnits forgets the units used longest ago once there are too many. Call
// with mu held.
func (p *Planner) dropOldHistories(now time.Time, share Share) {
	if len(p.lastUsed) <= maxUnitHistories {
		return
	}
	var units []string
	for unit, at := range p.lastUsed {
		if now.Sub(at) >= importedHistoryTTL {
			delete(p.importedUnits, unit)
		}
		if !p.importedUnits[unit] && !share.OwnsUnit(unit) && !p.cache.fleet.IsHeld(unit) {
			units = append(units, unit)
		}
	}
	slices.SortFunc(units, func(a, b string) int { return p.lastUsed[a].Compare(p.lastUsed[b]) })
	// A quarter more, so that this is seldom done.
	surplus := len(p.lastUsed) - maxUnitHistories*3/4
	for _, unit := range units[:min(len(units), surplus)] {
		delete(p.lastUsed, unit)
		delete(p.usedUnits, unit)
		p.policy.DropHistory(unit)
	}
}
