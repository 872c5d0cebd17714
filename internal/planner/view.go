package planner

import (
	"maps"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/placement"
	"bergamotreel/state"
)

// usedLately is how long after a request's arrival its stream counts as running:
// beyond the usual answer of 400 tokens at 80 ms.
const usedLately = 40 * time.Second

// reachableFor is how old an engine's newest status may be for new grants.
const reachableFor = 10 * time.Second

// view builds the snapshot that a plan is made over.
func (p *Planner) view(now time.Time, s *state.State, engines []fleet.Engine, loads map[string]engineLoad,
	demand []placement.Demand,
) placement.View {
	v := placement.View{
		Now: now, Self: p.config.Domain, Store: p.config.Store(),
		Budget: func(customer string) int64 { return budget(s, customer) },
		Lookup: func(customer, unit string) (placement.Unit, bool) { return lookup(s, customer, unit) },
	}
	p.forget(engines)
	for _, e := range engines {
		v.Engines = append(v.Engines, p.engine(now, s, e, loads[e.VM.Address]))
	}
	for _, published := range s.Contracts {
		if published.Contract == nil {
			continue
		}
		for _, unit := range published.Contract.Units() {
			if p.mine(unit.Name) {
				v.Units = append(v.Units, planned(unit))
			}
		}
	}
	v.Store.Running = loading(v.Engines)
	byUnit := make(map[string]placement.Demand)
	for _, d := range demand {
		if known, ok := byUnit[d.Unit]; !ok || d.Deadline.Before(known.Deadline) {
			byUnit[d.Unit] = d
		}
		if p.mine(d.Unit) {
			v.Demand = append(v.Demand, d)
		}
	}
	v.Waiting = func(unit string) (placement.Demand, bool) {
		d, ok := byUnit[unit]
		return d, ok
	}
	return v
}

func budget(s *state.State, customer string) int64 {
	published := s.Contracts[customer]
	if published == nil || published.Contract == nil {
		return 0
	}
	return published.Contract.MemoryBytes - s.CustomerBytes(customer)
}

func lookup(s *state.State, customer, name string) (placement.Unit, bool) {
	published := s.Contracts[customer]
	if published == nil || published.Contract == nil {
		return placement.Unit{}, false
	}
	unit, ok := published.Contract.FindUnit(name)
	return planned(unit), ok
}

func planned(u contract.Unit) placement.Unit {
	return placement.Unit{
		Name: u.Name, Base: u.Base, Checkpoint: u.Checkpoint, Customer: u.Customer, Bytes: u.MemoryBytes,
		MaxReplicas: u.MaxReplicas, MinReplicas: u.MinReplicas, StandbyPerDomain: u.StandbyPerDomain,
		MaxWait: u.MaxWait, Priority: u.Priority,
	}
}

// loading counts the loads that take from the weight store now, as agreed in the
// log: so each planner sees those of the others before an engine reports them.
func loading(engines []placement.Engine) int {
	n := 0
	for _, e := range engines {
		for _, h := range e.Holdings {
			if h.Wanted && !h.Ready && !h.Withdrawn {
				n++
			}
		}
	}
	return n
}

func (p *Planner) engine(now time.Time, s *state.State, e fleet.Engine, load engineLoad) placement.Engine {
	agreed := s.Engines[e.VM.Address]
	out := placement.Engine{
		Name: e.VM.Address, Domain: e.VM.Domain, Slots: e.Status.Slots,
		Leaving:   e.Leaving(),
		Reachable: e.Reachable && now.Sub(e.SeenAt) < reachableFor,
		Sick:      load.sick,
		Cached:    cached(e.Status.Cached),
	}
	if agreed == nil {
		return out
	}
	out.Kept = agreed.KeeperSession != 0
	out.MemoryBytes = agreed.MemoryBytes
	out.Running = load.streams
	for _, right := range agreed.Rights {
		out.Holdings = append(out.Holdings, p.holding(now, e, right, load.streams))
	}
	return out
}

func (p *Planner) holding(now time.Time, e fleet.Engine, right *state.Right, streams int) placement.Holding {
	h := placement.Holding{
		Unit: right.Unit, Base: right.Base, Customer: right.Customer, Checkpoint: right.Checkpoint, Bytes: right.Bytes,
		Wanted: right.Wanted, Ready: e.Holds(right.Unit), Withdrawn: right.Withdrawn != 0,
		LastUsed: p.lastUsed[right.Unit], Right: uint64(right.Granted),
	}
	key := holding{engine: e.VM.Address, unit: right.Unit}
	if !h.Ready {
		delete(p.ready, key)
		p.loading.watch(key, now, h, sight{
			tier: tierOf(e, right.Checkpoint), incarnation: e.Status.Incarnation,
			loading: phaseOf(e, right.Unit) == engine.PhaseLoading,
		})
		return h
	}
	// Its own units only: of the others the policy does not know the size.
	if load, ended := p.loading.end(key, now, right.Bytes); ended && p.mine(right.Unit) {
		p.policy.Loaded(right.Unit, load.tier, load.took)
	}
	if p.ready[key].IsZero() {
		p.ready[key] = now
	}
	h.ReadySince = p.ready[key]
	// What runs is known by engine only, so it counts for the units that were used
	// lately. Counted for each unit used since it became ready, one busy unit would
	// keep all others on its engine loaded for good. An unload waits at the engine
	// for streams that are longer than that.
	if now.Sub(h.LastUsed) < usedLately {
		h.Streams = streams
	}
	return h
}

// forget drops what is known of engines that are gone.
func (p *Planner) forget(engines []fleet.Engine) {
	there := make(map[string]bool, len(engines))
	for _, e := range engines {
		there[e.VM.Address] = true
	}
	gone := func(key holding) bool { return !there[key.engine] }
	maps.DeleteFunc(p.ready, func(key holding, _ time.Time) bool { return gone(key) })
	p.loading.forget(gone)
}

func phaseOf(e fleet.Engine, unit string) engine.Phase {
	for _, u := range e.Status.Units {
		if u.Unit == unit {
			return u.Phase
		}
	}
	return ""
}

func tierOf(e fleet.Engine, checkpoint string) placement.Tier {
	if tier, ok := e.Status.Cached[checkpoint]; ok {
		return placement.Tier(tier)
	}
	return placement.TierRemote
}

func cached(tiers map[string]engine.Tier) map[string]placement.Tier {
	out := make(map[string]placement.Tier, len(tiers))
	for checkpoint, tier := range tiers {
		out[checkpoint] = placement.Tier(tier)
	}
	return out
}
