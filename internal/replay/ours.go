package replay

import (
	"fmt"
	"time"

	"bergamotreel/placement"
)

// ours is the daemon's placement: a Planner on each router, each for its share
// of the units.
type ours struct {
	s        *sim
	cfg      placement.Config
	planners []*placement.Planner
	fleets   [2]*placement.Fleet
	units    []placement.Unit
	idle     []time.Duration
	// shares are the units by the router that plans them, for each side; made
	// again when the membership changes.
	shares    [2]map[int][]placement.Unit
	sharesFor [2]int
}

// fullPlanInterval is how often a planner looks at all its units; in between it
// looks at those that requests wait for.
const fullPlanInterval = idleTick

func newOurs(s *sim, cfg placement.Config, fresh bool) *ours {
	o := &ours{s: s, cfg: cfg, idle: make([]time.Duration, len(s.routers))}
	o.reset()
	for _, u := range s.units {
		o.units = append(o.units, planUnit(u))
	}
	for i := range o.fleets {
		o.fleets[i] = placement.NewFleet()
	}
	if fresh {
		s.at(s.measured, o.reset)
	}
	return o
}

// reset forgets all history, as after a replacement of every VM.
func (o *ours) reset() {
	o.planners = nil
	for range o.s.routers {
		o.planners = append(o.planners, placement.NewPlanner(o.cfg))
	}
}

func planUnit(u *unit) placement.Unit {
	p := placement.Unit{Name: u.name, Checkpoint: u.name, Customer: u.customer, Bytes: u.replica,
		MaxReplicas: u.maxReplicas, MinReplicas: u.minReplicas, StandbyPerDomain: u.standby,
		MaxWait: u.maxWait, Priority: u.priority}
	if u.base != nil {
		p.Base = u.base.name
	}
	return p
}

func (o *ours) used(u *unit, now time.Time) {
	o.planners[o.s.planner(u, 0).id].RecordRequest(u.name, now)
}

func (o *ours) loaded(u *unit, tier placement.Tier, took time.Duration) {
	o.planners[o.s.planner(u, 0).id].RecordLoad(u.name, tier, took)
}

func (o *ours) plan(s *sim, side int) []proposal {
	o.refresh(side)
	waiting := s.demand(side)
	units := o.share(side)
	demand := make(map[int][]placement.Demand)
	for _, d := range waiting {
		at := s.planner(s.byName[d.Unit], side)
		demand[at.id] = append(demand[at.id], d)
	}
	var out []proposal
	for _, at := range s.routers {
		if len(units[at.id]) == 0 {
			continue
		}
		if len(demand[at.id]) == 0 && s.now-o.idle[at.id] < fullPlanInterval {
			continue
		}
		o.idle[at.id] = s.now
		v := placement.View{Now: s.time(), LocalDomain: domainName(at.domain), Fleet: o.fleets[side], Units: units[at.id],
			Demand: demand[at.id], Store: s.storeView(), LookupUnit: o.lookup, LookupDemand: findDemand(waiting)}
		for _, d := range o.planners[at.id].Plan(v) {
			out = append(out, proposal{Decision: d, proposer: at, owners: allRouters})
		}
	}
	return out
}

func (o *ours) share(side int) map[int][]placement.Unit {
	if o.shares[side] != nil && o.sharesFor[side] == o.s.membership {
		return o.shares[side]
	}
	units := make(map[int][]placement.Unit)
	for i, u := range o.s.units {
		at := o.s.planner(u, side)
		units[at.id] = append(units[at.id], o.units[i])
	}
	o.shares[side], o.sharesFor[side] = units, o.s.membership
	return units
}

func (o *ours) lookup(_, name string) (placement.Unit, bool) {
	u := o.s.byName[name]
	if u == nil {
		return placement.Unit{}, false
	}
	return o.units[u.id], true
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

// refresh brings the changed engines to the planners' index.
func (o *ours) refresh(side int) {
	for _, e := range o.s.engines {
		if !e.dirty {
			continue
		}
		for i, fleet := range o.fleets {
			if e.gone && len(e.replicas) == 0 {
				fleet.Remove(e.name)
			} else {
				fleet.Set(o.engineView(e, i))
			}
		}
		e.dirty = false
	}
}

func (o *ours) engineView(e *engine, side int) placement.Engine {
	reachable := o.s.side(e.domain) == side && !e.gone
	out := placement.Engine{Name: e.name, Domain: domainName(e.domain), MemoryBytes: e.memory, Slots: e.slots,
		Running: e.running, Reachable: reachable, HasKeeper: true, Cached: e.cachedTiers()}
	for _, r := range e.replicas {
		h := placement.Holding{Unit: r.unit.name, Customer: r.unit.customer, Checkpoint: r.unit.name, Bytes: r.unit.replica,
			Wanted: r.wanted, Ready: r.ready, Withdrawn: r.withdrawn, Streams: r.streams - e.onAdapters(r.unit), Right: r.right, LastUsed: epoch.Add(r.lastUsed)}
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

// onAdapters is the requests on the adapters of a base: they count as use of the
// base here, but not in what the planner is told.
func (e *engine) onAdapters(base *unit) int {
	n := 0
	for _, r := range e.replicas {
		if r.unit.base == base {
			n += r.streams
		}
	}
	return n
}

func (e *engine) cachedTiers() map[string]placement.Tier {
	if e.cachedAt != nil {
		return e.cachedAt
	}
	e.cachedAt = make(map[string]placement.Tier, e.disk.order.Len())
	for u := range e.disk.at {
		e.cachedAt[u.name] = placement.TierDisk
	}
	for u := range e.ram.at {
		e.cachedAt[u.name] = placement.TierMemory
	}
	return e.cachedAt
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// demand is what waits at the routers of a side.
func (s *sim) demand(side int) []placement.Demand {
	var out []placement.Demand
	if s.totalWaiting() == 0 {
		return nil
	}
	for _, at := range s.routers {
		if at.gone || s.side(at.domain) != side {
			continue
		}
		out = append(out, s.demandAt(at)...)
	}
	return out
}

func (s *sim) demandAt(at *router) []placement.Demand {
	out := at.queue.demand(s.time())
	for i := range out {
		out[i].Domain = domainName(at.domain)
	}
	return out
}

func (s *sim) storeView() placement.StoreStatus {
	running := len(s.store.waiting) + len(s.store.active)
	return placement.StoreStatus{MaxConcurrentLoads: StoreAtOnce, LoadsPerSecond: StoreLoadsPerSecond, Running: running}
}
