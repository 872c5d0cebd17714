package planner

import (
	"maps"
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/internal/fleet"
	"bergamotreel/placement"
	"bergamotreel/state"
)

// usedLately is how long after a request's arrival its stream counts as running:
// beyond the usual answer of 400 tokens at 80 ms. A longer one is told (Busy).
const usedLately = 40 * time.Second

// reachableFor is how old an engine's newest status may be for new grants.
const reachableFor = 10 * time.Second

// view brings the cache up to date and makes of it the snapshot that a plan is
// made over.
func (p *Planner) view(s *state.State, n news) placement.View {
	p.update(s, n)
	v := placement.View{
		Now: n.now, LocalDomain: p.config.Domain, Store: p.config.StoreStatus(),
		Fleet:           p.cache.fleet,
		Units:           p.cache.units.list(),
		RemainingBudget: func(customer string) int64 { return budget(s, customer) },
		LookupUnit:      func(customer, unit string) (placement.Unit, bool) { return lookup(s, customer, unit) },
	}
	v.Store.Running = p.cache.loading
	byUnit := make(map[string]placement.Demand)
	for _, d := range n.demand {
		if known, ok := byUnit[d.Unit]; !ok || d.Deadline.Before(known.Deadline) {
			byUnit[d.Unit] = d
		}
		if n.share.OwnsUnit(d.Unit) {
			v.Demand = append(v.Demand, d)
		}
	}
	v.LookupDemand = func(unit string) (placement.Demand, bool) {
		d, ok := byUnit[unit]
		return d, ok
	}
	return v
}

// update takes all changes into the cache.
func (p *Planner) update(s *state.State, n news) {
	v := p.cache
	v.takeChanges(s, n.share)
	if n.useRead {
		p.takeUse(n)
	}
	p.takeUsed(n)
	for _, known := range n.aged {
		p.touch(n.now, known)
	}
	// In order, as the load times seen are learned in that order.
	for _, address := range slices.Sorted(maps.Keys(v.dirty)) {
		p.remake(n.now, s, address)
	}
	clear(v.dirty)
	clear(v.lost)
}

// takeUse takes in which engines are busy or sick.
func (p *Planner) takeUse(n news) {
	v := p.cache
	v.looks++
	before := v.busy
	v.busy = make([]*seenEngine, 0, len(n.running))
	for address, running := range n.running {
		if known := v.engines[address]; known != nil {
			known.look = v.looks
			v.busy = append(v.busy, known)
			p.setRunning(n.now, known, running)
		}
	}
	for _, known := range before {
		if known.look != v.looks {
			p.setRunning(n.now, known, 0)
		}
	}
	for address := range n.sick {
		if !v.sick[address] {
			v.dirty[address] = struct{}{}
		}
	}
	for address := range v.sick {
		if !n.sick[address] {
			v.dirty[address] = struct{}{}
		}
	}
	v.sick = n.sick
}

func (p *Planner) setRunning(now time.Time, known *seenEngine, running int) {
	if known.running != running {
		known.running = running
		p.touch(now, known)
	}
}

// takeUsed takes in which units were used since the last plan. A unit in steady
// use is looked at every useEvery only: hundreds of engines may hold it.
func (p *Planner) takeUsed(n news) {
	maps.DeleteFunc(p.busy, func(_ string, at time.Time) bool { return n.now.Sub(at) >= usedLately })
	for unit, atOnce := range p.used {
		if !atOnce && !n.useRead {
			continue
		}
		delete(p.used, unit)
		at := p.lastUsed[unit]
		p.cache.fleet.UpdateHolderUsage(unit, func(e *placement.Engine) {
			for i := range e.Holdings {
				if h := &e.Holdings[i]; h.Unit == unit {
					h.LastUsed = at
				}
			}
			p.noteUse(n.now, p.cache.engines[e.Name], e)
		})
	}
}

// touch notes how an engine is used now.
func (p *Planner) touch(now time.Time, known *seenEngine) {
	p.cache.fleet.UpdateUsage(known.VM.Address, func(e *placement.Engine) { p.noteUse(now, known, e) })
}

func (p *Planner) noteUse(now time.Time, known *seenEngine, e *placement.Engine) {
	if known == nil {
		return // about to be removed
	}
	e.Running = known.running
	for i := range e.Holdings {
		p.countStreams(now, &e.Holdings[i], known.running)
	}
	p.schedule(known, e.Holdings)
}

// countStreams sets how many requests run on a holding.
//
// What runs is known by engine only, so it counts for the units that were used
// lately. Counted for each unit used since it became ready, one busy unit would
// keep all others on its engine loaded for good.
func (p *Planner) countStreams(now time.Time, h *placement.Holding, running int) {
	h.Streams = 0
	if h.Ready && now.Before(p.countsUntil(h)) {
		h.Streams = running
	}
}

// countsUntil is until when what runs on its engine counts for the holding.
func (p *Planner) countsUntil(h *placement.Holding) time.Time {
	at := h.LastUsed
	if busy := p.busy[h.Unit]; busy.After(at) {
		at = busy
	}
	return at.Add(usedLately)
}

func (p *Planner) schedule(known *seenEngine, holdings []placement.Holding) {
	known.countUntil = time.Time{}
	for i := range holdings {
		until := p.countsUntil(&holdings[i])
		if holdings[i].Streams > 0 && (known.countUntil.IsZero() || until.Before(known.countUntil)) {
			known.countUntil = until
		}
	}
	p.cache.schedule(known)
}

// remake makes an engine of the cache anew.
func (p *Planner) remake(now time.Time, s *state.State, address string) {
	v := p.cache
	before, _ := v.fleet.Engine(address)
	known := v.engines[address]
	if known == nil && v.fleet.IsSilent(address) && !v.lost[address] {
		v.back[address] = struct{}{} // it changed after readBack
		return
	}
	if known == nil {
		v.loading -= loading(before)
		v.fleet.Remove(address)
		p.forget(address, before, nil)
		return
	}
	known.needed = holdsAny(s.RightsOf(address), v.needed)
	if silent(now, known.Engine) && !known.needed {
		p.leaveOut(s, known)
		return
	}
	e := p.engine(now, s, known.Engine, known.running, v.sick[address])
	known.reachable = e.Reachable
	p.forget(address, before, e.Holdings)
	v.fleet.Set(e)
	p.noteStages(now, &e)
	v.loading += loading(e) - loading(before)
	p.schedule(known, e.Holdings)
}

// readySince is since when a unit is ready on an engine, by the cache so far.
func (p *Planner) readySince(now time.Time, key holding) time.Time {
	before, _ := p.cache.fleet.Engine(key.engine)
	for i := range before.Holdings {
		if h := &before.Holdings[i]; h.Unit == key.unit && h.Ready {
			return h.ReadySince
		}
	}
	return now
}

// forget drops what is known of the rights that an engine no longer has.
func (p *Planner) forget(address string, before placement.Engine, holdings []placement.Holding) {
	for i := range before.Holdings {
		unit := before.Holdings[i].Unit
		if slices.ContainsFunc(holdings, func(h placement.Holding) bool { return h.Unit == unit }) {
			continue
		}
		key := holding{engine: address, unit: unit}
		p.loading.forget(key)
		delete(p.stages, key)
	}
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

func reachable(now time.Time, e fleet.Engine) bool {
	return e.Reachable && now.Sub(e.SeenAt) < reachableFor
}

// loading counts the engine's loads from the weight store.
func loading(e placement.Engine) int {
	n := 0
	for i := range e.Holdings {
		if h := &e.Holdings[i]; h.Wanted && !h.Ready && !h.Withdrawn {
			n++
		}
	}
	return n
}

// engine is an engine as the policy sees it. Its holdings are sorted, so that
// equal engines make equal plans.
func (p *Planner) engine(now time.Time, s *state.State, e fleet.Engine, running int, sick bool) placement.Engine {
	agreed := s.Engines[e.VM.Address]
	out := placement.Engine{
		Name: e.VM.Address, Domain: e.VM.Domain, Slots: e.Status.Slots,
		Leaving:   e.Leaving(),
		Reachable: reachable(now, e),
		Unhealthy: sick,
		Cached:    cached(e.Status.Cached),
		Running:   running,
	}
	if agreed == nil {
		return out
	}
	out.HasKeeper = agreed.KeeperSession != 0
	out.MemoryBytes = agreed.MemoryBytes
	out.Holdings = make([]placement.Holding, 0, len(agreed.Rights))
	for _, unit := range slices.Sorted(maps.Keys(agreed.Rights)) {
		out.Holdings = append(out.Holdings, p.holding(now, e, agreed.Rights[unit], running))
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
		p.loading.watch(key, now, h, sight{
			tier: tierOf(e, right.Checkpoint), incarnation: e.Status.Incarnation,
			loading: phaseOf(e, right.Unit) == engine.PhaseLoading,
		})
		return h
	}
	// Its own units only: of the others the policy does not know the size.
	if load, ended := p.loading.end(key, now, right.Bytes); ended && p.mine(right.Unit) {
		p.policy.RecordLoad(right.Unit, load.tier, load.took)
	}
	h.ReadySince = p.readySince(now, key)
	p.countStreams(now, &h, streams)
	return h
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
