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

// assumedRequestDuration is how long after its arrival a request is assumed to run.
// It exceeds the duration of a typical answer of 400 tokens at 80 ms each. Longer
// requests are reported through RecordRunning.
const assumedRequestDuration = 40 * time.Second

// maxStatusAge is how old an engine's newest status may be for new grants.
const maxStatusAge = 10 * time.Second

// buildView updates the cache and returns the snapshot that a plan is based on.
func (p *Planner) buildView(s *state.State, in planInput) placement.View {
	p.updateCache(s, in)
	v := placement.View{
		Now: in.now, LocalDomain: p.config.Domain, Store: p.config.StoreStatus(),
		Fleet:           p.cache.fleet,
		Units:           p.cache.ownUnits.list(),
		RemainingBudget: func(customer string) int64 { return remainingBudget(s, customer) },
		LookupUnit:      func(customer, unit string) (placement.Unit, bool) { return lookupUnit(s, customer, unit) },
	}
	v.Store.Running = p.cache.loadsInFlight
	byUnit := make(map[string]placement.Demand)
	for _, d := range in.demand {
		if earlier, ok := byUnit[d.Unit]; !ok || d.EarliestDeadline.Before(earlier.EarliestDeadline) {
			byUnit[d.Unit] = d
		}
		if in.share.OwnsUnit(d.Unit) {
			v.Demand = append(v.Demand, d)
		}
	}
	v.LookupDemand = func(unit string) (placement.Demand, bool) {
		d, ok := byUnit[unit]
		return d, ok
	}
	return v
}

// updateCache applies all changes to the cache.
func (p *Planner) updateCache(s *state.State, in planInput) {
	c := p.cache
	c.applyChanges(s, in.share)
	if in.hasUsage {
		p.applyEngineUse(in)
	}
	p.applyUnitUse(in)
	for _, cached := range in.noLongerInUse {
		p.refreshUsage(in.now, cached)
	}
	// Sorted, because the policy learns measured load times in this order.
	for _, address := range slices.Sorted(maps.Keys(c.dirty)) {
		p.rebuildEngine(in.now, s, address)
	}
	clear(c.dirty)
	clear(c.removed)
}

// applyEngineUse updates which engines have running requests and which are
// unhealthy.
func (p *Planner) applyEngineUse(in planInput) {
	c := p.cache
	c.usageRound++
	previous := c.runningEngines
	c.runningEngines = make([]*cachedEngine, 0, len(in.running))
	for address, running := range in.running {
		if cached := c.engines[address]; cached != nil {
			cached.usageRound = c.usageRound
			c.runningEngines = append(c.runningEngines, cached)
			p.setRunning(in.now, cached, running)
		}
	}
	for _, cached := range previous {
		if cached.usageRound != c.usageRound {
			p.setRunning(in.now, cached, 0)
		}
	}
	for address := range in.unhealthy {
		if !c.unhealthy[address] {
			c.dirty[address] = struct{}{}
		}
	}
	for address := range c.unhealthy {
		if !in.unhealthy[address] {
			c.dirty[address] = struct{}{}
		}
	}
	c.unhealthy = in.unhealthy
}

func (p *Planner) setRunning(now time.Time, cached *cachedEngine, running int) {
	if cached.running != running {
		cached.running = running
		p.refreshUsage(now, cached)
	}
}

// applyUnitUse updates the units that were used since the last plan. A unit in
// steady use is updated only once per usageInterval, because hundreds of engines
// may hold it.
func (p *Planner) applyUnitUse(in planInput) {
	maps.DeleteFunc(p.lastRunning, func(_ string, at time.Time) bool { return in.now.Sub(at) >= assumedRequestDuration })
	for unit, immediate := range p.usedUnits {
		if !immediate && !in.hasUsage {
			continue
		}
		delete(p.usedUnits, unit)
		at := p.lastUsed[unit]
		p.cache.fleet.UpdateHolderUsage(unit, func(e *placement.Engine) {
			for i := range e.Holdings {
				if h := &e.Holdings[i]; h.Unit == unit {
					h.LastUsed = at
				}
			}
			p.setUsage(in.now, p.cache.engines[e.Name], e)
		})
	}
}

// refreshUsage updates the usage of an engine in the cache.
func (p *Planner) refreshUsage(now time.Time, cached *cachedEngine) {
	p.cache.fleet.UpdateUsage(cached.VM.Address, func(e *placement.Engine) { p.setUsage(now, cached, e) })
}

func (p *Planner) setUsage(now time.Time, cached *cachedEngine, e *placement.Engine) {
	if cached == nil {
		return // about to be removed
	}
	e.Running = cached.running
	for i := range e.Holdings {
		p.setRunningRequests(now, &e.Holdings[i], cached.running)
	}
	p.scheduleRecheck(cached, e.Holdings)
}

// setRunningRequests sets how many requests run on a holding.
//
// Running requests are known by engine only, so they count for every unit that was
// used recently. If they counted for each unit used since it became ready, one busy
// unit would keep all others on its engine loaded indefinitely.
func (p *Planner) setRunningRequests(now time.Time, h *placement.Holding, running int) {
	h.Streams = 0
	if h.Ready && now.Before(p.inUseUntil(h)) {
		h.Streams = running
	}
}

// inUseUntil returns until when the requests that run on its engine count for the
// holding.
func (p *Planner) inUseUntil(h *placement.Holding) time.Time {
	at := h.LastUsed
	if running := p.lastRunning[h.Unit]; running.After(at) {
		at = running
	}
	return at.Add(assumedRequestDuration)
}

func (p *Planner) scheduleRecheck(cached *cachedEngine, holdings []placement.Holding) {
	cached.inUseUntil = time.Time{}
	for i := range holdings {
		until := p.inUseUntil(&holdings[i])
		if holdings[i].Streams > 0 && (cached.inUseUntil.IsZero() || until.Before(cached.inUseUntil)) {
			cached.inUseUntil = until
		}
	}
	p.cache.scheduleRecheck(cached)
}

// rebuildEngine recomputes an engine's entry in the cache.
func (p *Planner) rebuildEngine(now time.Time, s *state.State, address string) {
	c := p.cache
	previous, _ := c.fleet.Engine(address)
	cached := c.engines[address]
	if cached == nil && c.fleet.IsSilent(address) && !c.removed[address] {
		c.reloads[address] = struct{}{} // it changed after reloadSilent
		return
	}
	if cached == nil {
		c.loadsInFlight -= countLoading(previous)
		c.fleet.Remove(address)
		p.dropRemovedRights(address, previous, nil)
		return
	}
	cached.holdsPlannedUnit = holdsAny(s.RightsOf(address), c.plannedUnits)
	if isSilent(now, cached.Engine) && !cached.holdsPlannedUnit {
		p.moveToSilent(s, cached)
		return
	}
	e := p.buildEngine(now, s, cached.Engine, cached.running, c.unhealthy[address])
	cached.reachable = e.Reachable
	p.dropRemovedRights(address, previous, e.Holdings)
	c.fleet.SetEngine(e)
	p.recordPhases(now, &e)
	c.loadsInFlight += countLoading(e) - countLoading(previous)
	p.scheduleRecheck(cached, e.Holdings)
}

// readySince returns since when a unit is ready on an engine according to the
// cache, or now if the cache does not have it as ready.
func (p *Planner) readySince(now time.Time, key holdingKey) time.Time {
	previous, _ := p.cache.fleet.Engine(key.engine)
	for i := range previous.Holdings {
		if h := &previous.Holdings[i]; h.Unit == key.unit && h.Ready {
			return h.ReadySince
		}
	}
	return now
}

// dropRemovedRights drops the load and the phase of each right that an engine no
// longer has.
func (p *Planner) dropRemovedRights(address string, previous placement.Engine, holdings []placement.Holding) {
	for i := range previous.Holdings {
		unit := previous.Holdings[i].Unit
		if slices.ContainsFunc(holdings, func(h placement.Holding) bool { return h.Unit == unit }) {
			continue
		}
		key := holdingKey{engine: address, unit: unit}
		p.loads.drop(key)
		delete(p.phases, key)
	}
}

func remainingBudget(s *state.State, customer string) int64 {
	published := s.Contracts[customer]
	if published == nil || published.Contract == nil {
		return 0
	}
	return published.Contract.MemoryBytes - s.CustomerBytes(customer)
}

func lookupUnit(s *state.State, customer, name string) (placement.Unit, bool) {
	published := s.Contracts[customer]
	if published == nil || published.Contract == nil {
		return placement.Unit{}, false
	}
	unit, ok := published.Contract.FindUnit(name)
	return placementUnit(unit), ok
}

func placementUnit(u contract.Unit) placement.Unit {
	return placement.Unit{
		Name: u.Name, Base: u.Base, Checkpoint: u.Checkpoint, Customer: u.Customer, Bytes: u.MemoryBytes,
		MaxReplicas: u.MaxReplicas, MinReplicas: u.MinReplicas, StandbyPerDomain: u.StandbyPerDomain,
		MaxWait: u.MaxWait, Priority: u.Priority,
	}
}

func isReachable(now time.Time, e fleet.Engine) bool {
	return e.Reachable && now.Sub(e.SeenAt) < maxStatusAge
}

// countLoading counts the engine's loads from the weight store.
func countLoading(e placement.Engine) int {
	n := 0
	for i := range e.Holdings {
		if h := &e.Holdings[i]; h.Wanted && !h.Ready && !h.Withdrawn {
			n++
		}
	}
	return n
}

// buildEngine converts an engine for the policy. Its holdings are sorted, so that
// equal engines lead to equal plans.
func (p *Planner) buildEngine(now time.Time, s *state.State, e fleet.Engine, running int, unhealthy bool) placement.Engine {
	recorded := s.Engines[e.VM.Address]
	out := placement.Engine{
		Name: e.VM.Address, Domain: e.VM.Domain, Slots: e.Status.Slots,
		Leaving:   e.IsLeaving(),
		Reachable: isReachable(now, e),
		Unhealthy: unhealthy,
		Cached:    placementTiers(e.Status.Cached),
		Running:   running,
	}
	if recorded == nil {
		return out
	}
	out.HasKeeper = recorded.KeeperSession != 0
	out.MemoryBytes = recorded.MemoryBytes
	out.Holdings = make([]placement.Holding, 0, len(recorded.Rights))
	for _, unit := range slices.Sorted(maps.Keys(recorded.Rights)) {
		out.Holdings = append(out.Holdings, p.buildHolding(now, e, recorded.Rights[unit], running))
	}
	return out
}

func (p *Planner) buildHolding(now time.Time, e fleet.Engine, right *state.Right, running int) placement.Holding {
	h := placement.Holding{
		Unit: right.Unit, Base: right.Base, Customer: right.Customer, Checkpoint: right.Checkpoint, Bytes: right.Bytes,
		Wanted: right.Wanted, Ready: e.HasReadyUnit(right.Unit), Withdrawn: right.Withdrawn != 0,
		LastUsed: p.lastUsed[right.Unit], Right: uint64(right.Granted),
	}
	key := holdingKey{engine: e.VM.Address, unit: right.Unit}
	if !h.Ready {
		p.loads.observe(key, now, h, loadReport{
			tier: tierOf(e, right.Checkpoint), incarnation: e.Status.Incarnation,
			loading: phaseOf(e, right.Unit) == engine.PhaseLoading,
		})
		return h
	}
	// Only units planned here: the policy does not know the size of the others.
	if load, ended := p.loads.finish(key, now, right.Bytes); ended && p.ownsUnit(right.Unit) {
		p.policy.RecordLoad(right.Unit, load.tier, load.duration)
	}
	h.ReadySince = p.readySince(now, key)
	p.setRunningRequests(now, &h, running)
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

func placementTiers(tiers map[string]engine.Tier) map[string]placement.Tier {
	out := make(map[string]placement.Tier, len(tiers))
	for checkpoint, tier := range tiers {
		out[checkpoint] = placement.Tier(tier)
	}
	return out
}
