package planner

import (
	"maps"
	"time"

	"bergamotreel/internal/fleet"
	"bergamotreel/placement"
	"bergamotreel/state"
)

// silentTimeout is how long an engine without a new status is kept in full if it
// holds nothing that is planned here: longer than any decision is in flight and
// than an engine takes to restart. In fleets above digest.DefaultTopology.MaxFlatVMs
// most engines are polled more rarely (see node.Node.remotePollRate), so that a VM
// keeps in full only those that it polled in the last minute, 240 of 10,000.
const silentTimeout = time.Minute

func isSilent(now time.Time, e fleet.Engine) bool { return now.Sub(e.SeenAt) >= silentTimeout }

// moveToSilent reduces an engine to what the policy needs of silent ones. Its loads
// no longer count, because this VM does not know whether they run.
func (p *Planner) moveToSilent(s *state.State, cached *cachedEngine) {
	c, address := p.cache, cached.VM.Address
	previous, _ := c.fleet.Engine(address)
	c.loadsInFlight -= countLoading(previous)
	p.dropRemovedRights(address, previous, nil)
	out := placement.Engine{Name: address}
	if recorded := s.Engines[address]; recorded != nil {
		out.MemoryBytes = recorded.MemoryBytes
		for _, r := range recorded.Rights {
			out.Holdings = append(out.Holdings, placement.Holding{
				Unit: r.Unit, Customer: r.Customer, Wanted: r.Wanted, Withdrawn: r.Withdrawn != 0,
			})
		}
	}
	c.fleet.SetSilent(out)
	cached.dropped = true // its queued recheck is skipped
	delete(c.engines, address)
}

// reloadSilent reads the silent engines that the plan may need again: those whose
// rights changed, and those with a unit that is now planned here. It runs before
// the plan, because the fleet's lock must not be taken under the control state's.
func (p *Planner) reloadSilent(share Share) {
	c := p.cache
	p.mu.Lock()
	p.config.Control.View(func(s *state.State) { c.applyChanges(s, share) })
	p.mu.Unlock()
	for address := range c.reloads {
		c.readEngine(address, p.config.LookupEngine)
		c.dirty[address] = struct{}{}
	}
	clear(c.reloads)
}

// applyChanges applies the changes of contracts and rights in the control state.
func (c *cache) applyChanges(s *state.State, share Share) {
	changes, cursor := s.ChangesSince(c.cursor)
	c.cursor = cursor
	for _, address := range changes.Engines {
		c.markChanged(address)
	}
	if changes.All {
		for address := range c.engines {
			c.markChanged(address)
		}
		for address := range c.fleet.SilentEngines() {
			c.markChanged(address)
		}
	}
	c.ownUnits.refresh(s, changes, share)
	if c.ownUnits.sorted == nil {
		c.updatePlannedUnits()
	}
}

func (c *cache) markChanged(address string) {
	c.dirty[address] = struct{}{}
	if c.fleet.IsSilent(address) {
		c.reloads[address] = struct{}{}
	}
}

// updatePlannedUnits finds the engines that hold units planned here, after these units
// changed.
func (c *cache) updatePlannedUnits() {
	planned := make(map[string]bool)
	for _, u := range c.ownUnits.list() {
		planned[u.Name] = true
		if u.Base != "" {
			planned[u.Base] = true
		}
	}
	if maps.Equal(planned, c.plannedUnits) {
		return
	}
	c.plannedUnits = planned
	for address, units := range c.fleet.SilentEngines() {
		for unit := range units {
			if planned[unit] {
				c.reloads[address] = struct{}{}
			}
		}
	}
	for address, cached := range c.engines {
		if cached.holdsPlannedUnit || !cached.reachable {
			c.dirty[address] = struct{}{}
		}
	}
}

func holdsAny(rights map[string]*state.Right, units map[string]bool) bool {
	for unit := range rights {
		if units[unit] {
			return true
		}
	}
	return false
}
