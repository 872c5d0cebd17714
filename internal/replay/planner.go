package replay

import (
	"fmt"
	"time"

	"bergamotreel/placement"
)

// plannerDecider runs the daemon's placement: a Planner on each router, each for
// its share of the units.
type plannerDecider struct {
	s        *sim
	cfg      placement.Config
	planners []*placement.Planner
	fleets   [2]*placement.Fleet
	units    []placement.Unit
	lastPlan []time.Duration
	// unitsByRouter are the units by the router that plans them, for each side.
	// unitsMembership is the membershipVersion they were computed for.
	unitsByRouter   [2]map[int][]placement.Unit
	unitsMembership [2]int
}

// fullPlanInterval is how often a planner without waiting requests plans; one with
// waiting requests plans every time.
const fullPlanInterval = idlePlanInterval

func newPlannerDecider(s *sim, cfg placement.Config, dropHistory bool) *plannerDecider {
	p := &plannerDecider{s: s, cfg: cfg, lastPlan: make([]time.Duration, len(s.routers))}
	p.resetHistory()
	for _, u := range s.units {
		p.units = append(p.units, newPlacementUnit(u))
	}
	for i := range p.fleets {
		p.fleets[i] = placement.NewFleet()
	}
	if dropHistory {
		s.at(s.measuredStart, p.resetHistory)
	}
	return p
}

// resetHistory drops all history, as if every VM had been replaced.
func (p *plannerDecider) resetHistory() {
	p.planners = nil
	for range p.s.routers {
		p.planners = append(p.planners, placement.NewPlanner(p.cfg))
	}
}

func newPlacementUnit(u *unit) placement.Unit {
	p := placement.Unit{Name: u.name, Checkpoint: u.name, Customer: u.customer, Bytes: u.replicaBytes,
		MaxReplicas: u.maxReplicas, MinReplicas: u.minReplicas, StandbyPerDomain: u.standbyPerDomain,
		MaxWait: u.maxWait, Priority: u.priority}
	if u.base != nil {
		p.Base = u.base.name
	}
	return p
}

func (p *plannerDecider) recordRequest(u *unit, now time.Time) {
	p.planners[p.s.planningRouter(u, 0).id].RecordRequest(u.name, now)
}

func (p *plannerDecider) recordLoad(u *unit, tier placement.Tier, took time.Duration) {
	p.planners[p.s.planningRouter(u, 0).id].RecordLoad(u.name, tier, took)
}

func (p *plannerDecider) plan(s *sim, side int) []proposal {
	p.refreshFleet(side)
	waiting := s.waitingDemand(side)
	units := p.assignUnits(side)
	demand := make(map[int][]placement.Demand)
	for _, d := range waiting {
		vm := s.planningRouter(s.unitsByName[d.Unit], side)
		demand[vm.id] = append(demand[vm.id], d)
	}
	var out []proposal
	for _, vm := range s.routers {
		if len(units[vm.id]) == 0 {
			continue
		}
		if len(demand[vm.id]) == 0 && s.now-p.lastPlan[vm.id] < fullPlanInterval {
			continue
		}
		p.lastPlan[vm.id] = s.now
		v := placement.View{Now: s.currentTime(), LocalDomain: domainName(vm.domain), Fleet: p.fleets[side], Units: units[vm.id],
			Demand: demand[vm.id], Store: s.storeStatus(), LookupUnit: p.lookupUnit, LookupDemand: findDemand(waiting)}
		for _, d := range p.planners[vm.id].Plan(v) {
			out = append(out, proposal{Decision: d, proposer: vm, owners: allRouters})
		}
	}
	return out
}

func (p *plannerDecider) assignUnits(side int) map[int][]placement.Unit {
	if p.unitsByRouter[side] != nil && p.unitsMembership[side] == p.s.membershipVersion {
		return p.unitsByRouter[side]
	}
	units := make(map[int][]placement.Unit)
	for i, u := range p.s.units {
		vm := p.s.planningRouter(u, side)
		units[vm.id] = append(units[vm.id], p.units[i])
	}
	p.unitsByRouter[side], p.unitsMembership[side] = units, p.s.membershipVersion
	return units
}

func (p *plannerDecider) lookupUnit(_, name string) (placement.Unit, bool) {
	u := p.s.unitsByName[name]
	if u == nil {
		return placement.Unit{}, false
	}
	return p.units[u.id], true
}

func findDemand(waiting []placement.Demand) func(string) (placement.Demand, bool) {
	return func(unit string) (placement.Demand, bool) {
		for _, d := range waiting {
			if d.Unit == unit {
				return d, true
			}
		}
		return placement.Demand{}, false
	}
}

// refreshFleet updates the changed engines in the planners' fleets.
func (p *plannerDecider) refreshFleet(side int) {
	for _, e := range p.s.engines {
		if !e.dirty {
			continue
		}
		for i, fleet := range p.fleets {
			if e.reclaimed && len(e.replicas) == 0 {
				fleet.Remove(e.name)
			} else {
				fleet.SetEngine(p.newPlacementEngine(e, i))
			}
		}
		e.dirty = false
	}
}

func (p *plannerDecider) newPlacementEngine(e *engine, side int) placement.Engine {
	reachable := p.s.sideOf(e.domain) == side && !e.reclaimed
	out := placement.Engine{Name: e.name, Domain: domainName(e.domain), MemoryBytes: e.memory, Slots: e.slots,
		Running: e.running, Reachable: reachable, HasKeeper: true, Cached: e.checkpointTiers()}
	for _, r := range e.replicas {
		h := placement.Holding{Unit: r.unit.name, Customer: r.unit.customer, Checkpoint: r.unit.name, Bytes: r.unit.replicaBytes,
			Wanted: r.wanted, Ready: r.ready, Withdrawn: r.withdrawn, Streams: r.streams - e.adapterStreams(r.unit), Right: r.right, LastUsed: epoch.Add(r.lastUsed)}
		if r.ready {
			h.ReadySince = epoch.Add(r.readySince)
		}
		if r.unit.base != nil {
			h.Base = r.unit.base.name
		}
		out.Holdings = append(out.Holdings, h)
	}
	return out
}

// adapterStreams returns the number of requests on the adapters of a base model.
// The replay counts them as streams of the base too, the planner's view does not.
func (e *engine) adapterStreams(base *unit) int {
	n := 0
	for _, r := range e.replicas {
		if r.unit.base == base {
			n += r.streams
		}
	}
	return n
}

func (e *engine) checkpointTiers() map[string]placement.Tier {
	if e.tierByCheckpoint != nil {
		return e.tierByCheckpoint
	}
	e.tierByCheckpoint = make(map[string]placement.Tier, e.diskCache.order.Len())
	for u := range e.diskCache.elements {
		e.tierByCheckpoint[u.name] = placement.TierDisk
	}
	for u := range e.memoryCache.elements {
		e.tierByCheckpoint[u.name] = placement.TierMemory
	}
	return e.tierByCheckpoint
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// waitingDemand returns the waiting requests at the routers of a side.
func (s *sim) waitingDemand(side int) []placement.Demand {
	var out []placement.Demand
	if s.totalWaiting() == 0 {
		return nil
	}
	for _, vm := range s.routers {
		if vm.reclaimed || s.sideOf(vm.domain) != side {
			continue
		}
		out = append(out, s.routerDemand(vm)...)
	}
	return out
}

func (s *sim) routerDemand(vm *router) []placement.Demand {
	out := vm.queue.demand(s.currentTime())
	for i := range out {
		out[i].Domain = domainName(vm.domain)
	}
	return out
}

func (s *sim) storeStatus() placement.StoreStatus {
	running := len(s.store.waiting) + len(s.store.active)
	return placement.StoreStatus{MaxConcurrentLoads: MaxConcurrentLoads, LoadsPerSecond: StoreLoadsPerSecond, Running: running}
}
