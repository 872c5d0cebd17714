package planner

import (
	"maps"
	"time"

	"bergamotreel/internal/fleet"
	"bergamotreel/placement"
	"bergamotreel/state"
)

// silentAfter is for how long an engine that is not heard is kept whole, if it
// holds nothing that is planned here: longer than any decision is under way, and
// than an engine's restart. Above 18 entry VMs most engines are asked more rarely
// (see node's turns), so that a VM keeps those that it asked in the last minute,
// 240 of 10,000, in place of all.
const silentAfter = time.Minute

func silent(now time.Time, e fleet.Engine) bool { return now.Sub(e.SeenAt) >= silentAfter }

// leaveOut keeps of an engine only what the policy asks of silent ones. Its loads
// count no more: nobody here knows whether they run.
func (p *Planner) leaveOut(s *state.State, known *seenEngine) {
	v, address := p.cache, known.VM.Address
	before, _ := v.fleet.Engine(address)
	v.loading -= loading(before)
	p.forget(address, before, nil)
	out := placement.Engine{Name: address}
	if agreed := s.Engines[address]; agreed != nil {
		out.MemoryBytes = agreed.MemoryBytes
		for _, r := range agreed.Rights {
			out.Holdings = append(out.Holdings, placement.Holding{
				Unit: r.Unit, Customer: r.Customer, Wanted: r.Wanted, Withdrawn: r.Withdrawn != 0,
			})
		}
	}
	v.fleet.SetSilent(out)
	known.gone = true // for the queue of rechecks
	delete(v.engines, address)
}

// readBack reads the silent engines that the plan may need again: those whose
// rights changed, and those with a unit that is now planned here. It is done ahead
// of the plan, as the fleet's lock is not taken under the fold's.
func (p *Planner) readBack(share Share) {
	v := p.cache
	p.mu.Lock()
	p.config.Control.View(func(s *state.State) { v.takeChanges(s, share) })
	p.mu.Unlock()
	for address := range v.back {
		v.read(address, p.config.LookupEngine)
		v.dirty[address] = struct{}{}
	}
	clear(v.back)
}

// takeChanges takes in which contracts and rights changed in the fold.
func (v *cache) takeChanges(s *state.State, share Share) {
	changes, cursor := s.ChangesSince(v.cursor)
	v.cursor = cursor
	for _, address := range changes.Engines {
		v.changed(address)
	}
	if changes.All {
		for address := range v.engines {
			v.changed(address)
		}
		for address := range v.fleet.SilentEngines() {
			v.changed(address)
		}
	}
	v.units.refresh(s, changes, share)
	if v.units.all == nil {
		v.takeNeeded()
	}
}

func (v *cache) changed(address string) {
	v.dirty[address] = struct{}{}
	if v.fleet.IsSilent(address) {
		v.back[address] = struct{}{}
	}
}

// takeNeeded looks for the engines that hold what is planned here now, after the
// own units changed.
func (v *cache) takeNeeded() {
	needed := make(map[string]bool)
	for _, u := range v.units.list() {
		needed[u.Name] = true
		if u.Base != "" {
			needed[u.Base] = true
		}
	}
	if maps.Equal(needed, v.needed) {
		return
	}
	v.needed = needed
	for address, units := range v.fleet.SilentEngines() {
		for unit := range units {
			if needed[unit] {
				v.back[address] = struct{}{}
			}
		}
	}
	for address, known := range v.engines {
		if known.needed || !known.reachable {
			v.dirty[address] = struct{}{}
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
