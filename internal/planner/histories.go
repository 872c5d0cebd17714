package planner

import (
	"slices"
	"time"
)

const (
	// maxUnitHistories bounds the units whose use is remembered, apart from those
	// that are planned here, held by an engine or sent by another planner. It
	// covers all units of a fleet of hundreds of VMs and takes 3 MB. Without a
	// bound, a VM receives reports of ever more units, and 39,000 histories would
	// take a fifth of its memory.
	maxUnitHistories = 4096
	// importedHistoryTTL is how long after the unit's last use an imported history
	// is kept: a day, because histories describe daily patterns.
	importedHistoryTTL = 24 * time.Hour
)

// dropOldHistories drops the units used longest ago once there are too many. The
// caller must hold mu.
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
	// Drops a quarter of the limit in addition, so that this runs rarely.
	excess := len(p.lastUsed) - maxUnitHistories*3/4
	for _, unit := range units[:min(len(units), excess)] {
		delete(p.lastUsed, unit)
		delete(p.usedUnits, unit)
		p.policy.DropHistory(unit)
	}
}
