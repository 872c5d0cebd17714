package placement

import (
	"sort"
	"time"
)

// withdrawFailedLoads withdraws the rights of loads that failed or stalled. It runs
// before the load is tried on another engine, so that the new replica never exceeds
// the allowed number.
func (r *round) withdrawFailedLoads() {
	seen := make(map[replicaKey]bool)
	for _, u := range r.heldUnits {
		for _, rep := range r.fleet.byUnit[u.Name] {
			h := rep.holding
			if h.Customer != u.Customer || h.Ready || !r.isActive(rep) || !h.Wanted {
				continue
			}
			k := replicaKey{rep.engine.Name, h.Unit}
			seen[k] = true
			since, ok := r.p.loadingSince[k]
			if !ok {
				r.p.loadingSince[k] = r.v.Now
				since = r.v.Now
			}
			if h.Failed || r.v.Now.Sub(since) > r.loadTimeout(rep.engine, u) {
				r.p.avoidUntil[k] = r.v.Now.Add(r.p.cfg.LoadFailureBackoff)
				r.withdraw(rep, "load failed or stalled")
			}
		}
	}
	for k := range r.p.loadingSince {
		if !seen[k] {
			delete(r.p.loadingSince, k)
		}
	}
}

// loadTimeout returns the time after which a load of the unit counts as stalled.
func (r *round) loadTimeout(fe *fleetEngine, u Unit) time.Duration {
	expected := time.Duration(r.p.cfg.LoadTimeoutFactor * float64(r.expectedLoadTime(fe, u)))
	return max(expected, r.p.cfg.MinLoadTimeout)
}

// drainEngines moves units off leaving engines. The replacement is started before
// the withdrawal if the contract allows one more replica, and after it otherwise.
func (r *round) drainEngines() {
	for _, u := range r.heldUnits {
		for _, rep := range r.replicasOf(u) {
			if !rep.engine.Leaving || rep.holding.Withdrawn {
				continue
			}
			ready, loading := r.countReadyAndLoading(u.Name)
			if rep.holding.Wanted && ready+loading == 0 && r.isStillNeeded(u, rep) {
				r.start(u, rep.engine.Domain, "engine "+rep.engine.Name+" leaves")
			}
			r.withdrawWithAdapters(u, rep, "engine leaves")
		}
	}
}

// isStillNeeded reports whether the replica is in use, required by a contract or
// within its keep time.
func (r *round) isStillNeeded(u Unit, rep replica) bool {
	if rep.holding.Streams > 0 || u.MinReplicas > 0 || r.demandByUnit[u.Name] != nil {
		return true
	}
	return r.idleTime(rep.holding) < r.keepTime(u, rep.engine)
}

// replicasOf returns the customer's rights for the unit in a stable order.
func (r *round) replicasOf(u Unit) []replica {
	var out []replica
	for _, rep := range r.fleet.byUnit[u.Name] {
		if rep.holding.Customer == u.Customer {
			out = append(out, rep)
		}
	}
	if len(out) > 1 {
		sort.Slice(out, func(a, b int) bool { return out[a].engine.Name < out[b].engine.Name })
	}
	return out
}

// meetContracts keeps each contract's minimum of replicas loaded and its standby
// rights granted in each failure domain.
func (r *round) meetContracts() {
	for _, u := range r.v.Units {
		if u.MinReplicas == 0 && u.StandbyPerDomain == 0 {
			continue
		}
		for n := r.countWanted(u); n < u.MinReplicas; n++ {
			if !r.start(u, r.domainWithFewestRights(u), "contract's minimum") {
				break
			}
		}
		if u.StandbyPerDomain > 0 {
			r.grantStandbys(u)
		}
	}
}

// countWanted counts the unit's replicas that serve, load or that a pending
// decision will load.
func (r *round) countWanted(u Unit) int {
	n := 0
	for _, rep := range r.fleet.byUnit[u.Name] {
		h := rep.holding
		if h.Customer == u.Customer && h.Wanted && r.isActive(rep) && !rep.engine.Leaving {
			n++
		}
	}
	for k, d := range r.p.pending {
		if k.unit == u.Name && d.wanted && d.customer == u.Customer {
			n++
		}
	}
	return n
}

// countRightsByDomain returns the failure domains with usable engines in a stable
// order, and the number of the unit's rights in each, pending grants included.
func (r *round) countRightsByDomain(u Unit) ([]string, map[string]int) {
	rights := make(map[string]int)
	var names []string
	for _, fe := range r.fleet.sortedEngines {
		if !fe.isUsable() {
			continue
		}
		if _, ok := rights[fe.Domain]; !ok {
			rights[fe.Domain] = 0
			names = append(names, fe.Domain)
		}
	}
	sort.Strings(names)
	for _, rep := range r.replicasOf(u) {
		if _, ok := rights[rep.engine.Domain]; ok && r.isActive(rep) {
			rights[rep.engine.Domain]++
		}
	}
	for k, d := range r.p.pending {
		if fe := r.fleet.engines[k.engine]; k.unit == u.Name && d.kind == Grant && fe != nil {
			rights[fe.Domain]++
		}
	}
	return names, rights
}

// domainWithFewestRights returns the failure domain with the fewest rights for the
// unit, so that replicas are spread over the domains.
func (r *round) domainWithFewestRights(u Unit) string {
	names, rights := r.countRightsByDomain(u)
	best := ""
	for _, name := range names {
		if best == "" || rights[name] < rights[best] {
			best = name
		}
	}
	return best
}

// grantStandbys grants the unit's missing standby rights in each failure domain.
func (r *round) grantStandbys(u Unit) {
	names, rights := r.countRightsByDomain(u)
	for _, name := range names {
		for n := rights[name]; n < u.StandbyPerDomain && r.canAddReplica(u); n++ {
			c, ok := r.chooseEngineInDomain(u, name)
			if !ok {
				break
			}
			if c.bytesToFree > 0 {
				r.makeRoom(c, u)
				break
			}
			r.proposeGrant(c.engine, u, false, "standby in "+name)
		}
	}
	r.preloadStandby(u)
}

// preloadStandby loads the unit of one standby right while no requests wait for a
// load. The right takes the memory in any case, so loading costs no more, and a
// failure domain that is partitioned then has a replica that is ready.
func (r *round) preloadStandby(u Unit) {
	if !r.p.cfg.Preload || len(r.v.Demand) > 0 {
		return
	}
	for _, rep := range r.replicasOf(u) {
		if rep.holding.Wanted || !r.isActive(rep) || !rep.engine.isUsable() {
			continue
		}
		if rep.engine.tier(u.Checkpoint) == TierRemote && r.v.Store.Running > 0 {
			continue
		}
		r.proposeWant(rep, u, "standby kept warm")
		return
	}
}

// chooseEngineInDomain is chooseEngine within one failure domain, without memory
// left for adapters.
func (r *round) chooseEngineInDomain(u Unit, domain string) (candidate, bool) {
	r.setMinVictimIdle(u)
	var best candidate
	found := false
	for _, fe := range r.fleet.sortedEngines {
		if fe.Domain != domain || !r.canPlace(fe, u) {
			continue
		}
		c, ok := r.evaluateEngine(fe, u, domain, false)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// release withdraws a replica that is not needed. If the contract requires its
// right as a standby, the unit is only unloaded, or kept if Preload is on.
func (r *round) release(u Unit, rep replica, reason string) {
	if u.StandbyPerDomain > 0 {
		_, rights := r.countRightsByDomain(u)
		if rights[rep.engine.Domain] <= u.StandbyPerDomain {
			if r.p.cfg.Preload {
				return
			}
			r.propose(Decision{Kind: Unwant, Engine: rep.engine.Name, Unit: u.Name, Customer: u.Customer,
				Right: rep.holding.Right, Reason: reason}, u, false)
			return
		}
	}
	r.withdrawWithAdapters(u, rep, reason)
}

// releaseIdle releases replicas that were idle for longer than their unit's keep
// time.
func (r *round) releaseIdle() {
	for _, u := range r.heldUnits {
		wanted := -1
		for _, rep := range r.replicasOf(u) {
			h := rep.holding
			if !h.Ready || !r.isActive(rep) || !h.Wanted || h.Streams > 0 || rep.engine.adaptersByBase[u.Name] > 0 || r.isAdapterPending(rep.engine, u.Name) {
				continue
			}
			keep := r.keepTime(u, rep.engine)
			if r.isOnlyStaged(h) {
				keep = r.p.cfg.MinKeepAlive
			}
			if r.idleTime(h) < keep || r.demandByUnit[u.Name] != nil || r.isPreloadHeld(u.Name) {
				continue
			}
			if wanted < 0 {
				wanted = r.countWanted(u)
			}
			if wanted <= u.MinReplicas {
				break
			}
			wanted--
			r.release(u, rep, "idle")
		}
	}
}

// isPreloadHeld reports whether a preload of the unit still waits for its wake-up.
func (r *round) isPreloadHeld(unit string) bool {
	h := r.p.histories[unit]
	return h != nil && r.v.Now.Before(h.preloadHeldUntil)
}

// keepTime returns how long to keep the unit on the engine after its last use.
func (r *round) keepTime(u Unit, fe *fleetEngine) time.Duration {
	return r.p.keepTime(u, fe.MemoryBytes, r.fleet.tierAfterUnload(u.Checkpoint), r.v.Now)
}
