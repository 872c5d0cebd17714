package placement

import "time"

const (
	// otherDomainPenalty is how much longer a load may take in the demand's own
	// failure domain before another domain is preferred. A replica in the routers'
	// domain still serves them when the domains are partitioned from each other.
	otherDomainPenalty = 2 * time.Second
	// busyEnginePenalty is the cost of a full engine, about the service time of one
	// request. It is scaled by the share of slots in use.
	busyEnginePenalty = 5 * time.Second
	// evictionDelay is the time from a withdrawal to free memory: the unload, the
	// engine's status report and the append to the log.
	evictionDelay = time.Second
)

// start starts one replica of the unit: by loading a standby right, by a new grant,
// or by evicting others first. It reports whether it took such a step.
func (r *round) start(u Unit, domain, reason string) bool {
	if r.loadStandby(u, domain, reason) {
		return true
	}
	if !r.canAddReplica(u) {
		return false
	}
	if u.Base != "" && r.startBaseIfNeeded(u, domain) {
		return true
	}
	best, ok := r.chooseEngine(u, domain)
	if !ok {
		return false
	}
	if best.bytesToFree > 0 {
		return r.makeRoom(best, u)
	}
	return r.proposeGrant(best.engine, u, true, reason)
}

// loadStandby loads the unit of a standby right, preferably in the given domain.
func (r *round) loadStandby(u Unit, domain, reason string) bool {
	var best *replica
	for i, rep := range r.fleet.byUnit[u.Name] {
		if rep.holding.Wanted || !r.isActive(rep) || !rep.engine.isUsable() {
			continue
		}
		if best == nil || rep.engine.Domain == domain && best.engine.Domain != domain {
			best = &r.fleet.byUnit[u.Name][i]
		}
	}
	return best != nil && r.proposeWant(*best, u, reason)
}

// proposeWant proposes to load the unit of an existing right, if the weight store
// has capacity for the load.
func (r *round) proposeWant(rep replica, u Unit, reason string) bool {
	remote := rep.engine.tier(u.Checkpoint) == TierRemote
	if remote && !r.admitStoreLoad() {
		return false
	}
	return r.propose(Decision{Kind: Want, Engine: rep.engine.Name, Unit: u.Name, Customer: rep.holding.Customer,
		Right: rep.holding.Right, Wanted: true, Reason: reason, TimeToReady: r.expectedLoadTime(rep.engine, u)}, u, remote)
}

// proposeGrant proposes a new right, if the weight store has capacity for the load.
func (r *round) proposeGrant(fe *fleetEngine, u Unit, wanted bool, reason string) bool {
	d := Decision{Kind: Grant, Engine: fe.Name, Unit: u.Name, Customer: u.Customer, Wanted: wanted, Reason: reason}
	remote := wanted && fe.tier(u.Checkpoint) == TierRemote
	if remote && !r.admitStoreLoad() {
		return false
	}
	if wanted {
		d.TimeToReady = r.expectedLoadTime(fe, u)
	}
	remaining := r.remainingBudgetOf(u.Customer)
	if !r.propose(d, u, remote) {
		return false
	}
	r.remainingBudget[u.Customer] = remaining - u.Bytes
	delete(r.p.reservations, u.Name)
	return true
}

// admitStoreLoad reports whether one more load from the weight store may start now
// and would run at full speed. It takes a token of the start limit.
func (r *round) admitStoreLoad() bool {
	if r.v.Store.MaxConcurrentLoads > 0 {
		running := r.v.Store.Running
		for _, d := range r.p.pending {
			if d.remote {
				running++
			}
		}
		if running >= r.v.Store.MaxConcurrentLoads {
			return false
		}
	}
	return r.p.loadStarts.take(r.v.Now, r.v.Store.LoadsPerSecond)
}

// hasReadyBase reports whether some engine has the adapter's base ready and can
// take the adapter.
func (r *round) hasReadyBase(u Unit) bool {
	for _, rep := range r.fleet.byUnit[u.Base] {
		if rep.holding.Ready && r.isActive(rep) && r.canPlace(rep.engine, u) {
			return true
		}
	}
	return false
}

// startBaseIfNeeded starts one more replica of the base if all engines with it are
// busy. It reports whether the adapter has to wait.
func (r *round) startBaseIfNeeded(u Unit, domain string) bool {
	if _, ok := r.leastBusyBase(u); ok {
		return false
	}
	return r.startBase(u, domain) || !r.hasReadyBase(u) || r.hasReadyReplica(u.Name)
}

// leastBusyBase returns the least busy engine with a ready base that can take the
// adapter, or false if there is none that is not busy.
func (r *round) leastBusyBase(u Unit) (*fleetEngine, bool) {
	var best *fleetEngine
	for _, rep := range r.fleet.byUnit[u.Base] {
		if !rep.holding.Ready || !r.isActive(rep) || !r.canPlace(rep.engine, u) || r.isBusy(rep.engine) {
			continue
		}
		if best == nil || rep.engine.streams < best.streams {
			best = rep.engine
		}
	}
	return best, best != nil
}

// hasReadyReplica reports whether a replica of the unit is ready and serving.
func (r *round) hasReadyReplica(unit string) bool {
	ready, _ := r.countReadyAndLoading(unit)
	return ready > 0
}

// startBase starts a replica of the adapter's base unless one is loading. It
// reports whether the adapter has to wait for it.
func (r *round) startBase(u Unit, domain string) bool {
	if ready, loading := r.countReadyAndLoading(u.Base); loading > 0 {
		return ready == 0
	}
	base, ok := r.findBaseUnit(u)
	return ok && r.start(base, domain, "base of "+u.Name)
}

// findBaseUnit returns the base under the contract that it is charged to: that of
// the adapter's customer, else that of a customer of this planner's who has the
// base, else that of a customer who has a right for it.
func (r *round) findBaseUnit(u Unit) (Unit, bool) {
	if base, ok := r.findUnit(u.Base, u.Customer); ok {
		return base, true
	}
	for _, base := range r.unitsNamed(u.Base) {
		return base, true
	}
	for _, rep := range r.fleet.byUnit[u.Base] {
		if base, ok := r.findUnit(u.Base, rep.holding.Customer); ok {
			return base, true
		}
	}
	return Unit{}, false
}

// candidate is an engine that could take a unit, with the cost of choosing it.
type candidate struct {
	engine *fleetEngine
	// bytesToFree is the memory to free first. victims are the rights to withdraw
	// for it, as far as earlier withdrawals do not free it already.
	bytesToFree int64
	victims     []replica
	// cost is the time until the unit is ready plus the costs of eviction and of
	// keeping the unit there, in seconds.
	cost float64
}

// chooseEngine returns the engine with the lowest cost for the unit: the load time
// from where the checkpoint is cached, the time and cost of evictions, and the
// failure domain. Among equals it takes the fullest engine, to keep large free
// blocks for large models.
//
// A base of adapters is placed with memory for adapters left, if need be by
// eviction. Without that memory a replica can serve no adapter, so it is accepted
// only if no replica of the base is ready yet.
func (r *round) chooseEngine(u Unit, domain string) (candidate, bool) {
	r.setMinVictimIdle(u)
	if !r.hasAdapters(u.Name) {
		return r.cheapestEngine(u, domain, false)
	}
	best, found := r.cheapestEngine(u, domain, true)
	if found || r.hasReadyReplica(u.Name) {
		return best, found
	}
	return r.cheapestEngine(u, domain, false)
}

// cheapestEngine returns the engine with the lowest cost. keepAdapterRoom leaves
// out engines that would have no memory left for adapters.
func (r *round) cheapestEngine(u Unit, domain string, keepAdapterRoom bool) (candidate, bool) {
	var best candidate
	found := false
	consider := func(fe *fleetEngine) {
		if !r.canPlace(fe, u) {
			return
		}
		c, ok := r.evaluateEngine(fe, u, domain, keepAdapterRoom)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	if u.Base == "" {
		for _, fe := range r.fleet.sortedEngines {
			consider(fe)
		}
		return best, found
	}
	for _, rep := range r.fleet.byUnit[u.Base] {
		if rep.holding.Ready && r.isActive(rep) {
			consider(rep.engine)
		}
	}
	return best, found
}

// holdingCost returns the cost of the share of the engine that the unit takes while
// it is kept, in seconds of cold start. The same number of bytes is a smaller share
// of a larger engine. Standby rights are held permanently and go to the smallest
// engine that fits instead, as there they take no memory that a large model needs.
func (r *round) holdingCost(fe *fleetEngine, u Unit) float64 {
	share := float64(u.Bytes) / float64(max(fe.MemoryBytes, 1))
	if u.StandbyPerDomain > 0 {
		return permanentHoldWeight.Seconds() * (1 - share)
	}
	held := r.p.cfg.MaxKeepAlive
	if u.MinReplicas == 0 {
		held = r.keepTime(u, fe)
	}
	return r.p.cfg.idleCost(share) * held.Seconds() / (r.p.cfg.ColdStartWeight * coldStartCostPerSecond)
}

// permanentHoldWeight weighs the choice of the engine for rights that are held
// permanently. A first load that is a minute slower does not matter to them.
const permanentHoldWeight = time.Minute

// hasAdapterBase reports whether the engine holds a base of adapters.
func (r *round) hasAdapterBase(fe *fleetEngine) bool {
	for i := range fe.Holdings {
		if r.hasAdapters(fe.Holdings[i].Unit) {
			return true
		}
	}
	return false
}

// noAdapterRoomPenalty is the cost of a placement that leaves too little memory for
// the adapters of a base on the engine. Such a base is of no use to them, so a
// longer load on another engine is better.
const noAdapterRoomPenalty = 20 * time.Second

// minAdapterRoom returns the memory to leave for adapters on an engine with a base.
func minAdapterRoom(fe *fleetEngine) int64 { return fe.MemoryBytes / 16 }

// canPlace reports whether the engine can take the unit once it has enough free
// memory.
func (r *round) canPlace(fe *fleetEngine, u Unit) bool {
	if !fe.isUsable() || fe.MemoryBytes < u.Bytes || fe.findHolding(u.Name) != nil {
		return false
	}
	k := replicaKey{fe.Name, u.Name}
	_, isAvoided := r.p.avoidUntil[k]
	_, isPending := r.p.pending[k]
	return !isAvoided && !isPending
}

// evaluateEngine computes the cost of placing the unit on the engine.
// keepAdapterRoom requires memory for adapters in addition to the unit's. It
// returns false if evictions cannot free enough memory.
func (r *round) evaluateEngine(fe *fleetEngine, u Unit, domain string, keepAdapterRoom bool) (candidate, bool) {
	c := candidate{engine: fe}
	free := r.freeMemory(fe, u.Name)
	timeToReady := r.expectedLoadTime(fe, u)
	if fe.Domain != domain {
		timeToReady += otherDomainPenalty
		if u.MinReplicas > 0 {
			// Rights that are held permanently stay in the domain at the price of a
			// slower first load.
			timeToReady += permanentHoldWeight
		}
	}
	if fe.Slots > 0 {
		timeToReady += time.Duration(float64(busyEnginePenalty) * float64(fe.streams) / float64(fe.Slots))
	}
	c.cost = timeToReady.Seconds() + r.holdingCost(fe, u)
	if u.Base == "" && r.hasAdapterBase(fe) && free-u.Bytes < minAdapterRoom(fe) {
		c.cost += noAdapterRoomPenalty.Seconds()
	}
	required := u.Bytes
	if keepAdapterRoom {
		required += minAdapterRoom(fe)
	}
	if free < required {
		c.bytesToFree = required - free
		evictionCost, ok := r.findVictims(&c, u)
		if !ok {
			return c, false
		}
		c.cost += evictionDelay.Seconds() + evictionCost
		return c, true
	}
	c.cost += 0.1 * float64(free-u.Bytes) / float64(fe.MemoryBytes)
	return c, true
}
