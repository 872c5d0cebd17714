package placement

import (
	"sort"
	"time"
)

// victim is a holding that can be evicted, with the adapters based on it.
type victim struct {
	replicas []replica
	bytes    int64
	// expectedCost is the expected cost of loading it again, in seconds of cold
	// start; costPerByte is expectedCost divided by bytes.
	expectedCost, costPerByte float64
}

// findVictims chooses the holdings to evict on the candidate's engine, lowest
// (probability of use × cost to load again) per byte first. It returns their cost
// in expected seconds of cold start, and whether they free enough memory.
func (r *round) findVictims(c *candidate, u Unit) (float64, bool) {
	need := c.bytesToFree - c.engine.withdrawnBytes - r.pendingWithdrawnBytes(c.engine)
	if need <= 0 {
		return 0, true
	}
	options := r.evictableHoldings(c.engine, u)
	sort.SliceStable(options, func(a, b int) bool { return options[a].costPerByte < options[b].costPerByte })
	cost := 0.0
	for _, v := range options {
		if need <= 0 {
			break
		}
		need -= v.bytes
		cost += v.expectedCost
		c.victims = append(c.victims, v.replicas...)
	}
	return cost, need <= 0
}

// pendingWithdrawnBytes returns the memory that pending withdrawals will free on
// the engine.
func (r *round) pendingWithdrawnBytes(fe *fleetEngine) int64 {
	bytes := int64(0)
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Withdraw {
			bytes += d.bytes
		}
	}
	return bytes
}

// evictableHoldings returns the holdings that may be evicted from the engine for
// the unit.
func (r *round) evictableHoldings(fe *fleetEngine, u Unit) []victim {
	var out []victim
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		if h.Unit == u.Base || !r.canEvict(fe, h) {
			continue
		}
		v := victim{replicas: []replica{{fe, h}}, bytes: h.Bytes, expectedCost: r.expectedReloadCost(fe, h)}
		if fe.adaptersByBase[h.Unit] > 0 && !r.addAdapters(&v, fe, h.Unit) {
			continue
		}
		v.costPerByte = v.expectedCost / float64(v.bytes)
		out = append(out, v)
	}
	return out
}

// addAdapters adds the adapters on a base to the victim, as they cannot run
// without it. It returns false if one of them must not be evicted.
func (r *round) addAdapters(v *victim, fe *fleetEngine, base string) bool {
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		if h.Base != base || h.Withdrawn {
			continue
		}
		if !r.canEvict(fe, h) {
			return false
		}
		// Adapters are withdrawn first: a base cannot be unloaded while they use it.
		v.replicas = append([]replica{{fe, h}}, v.replicas...)
		v.bytes += h.Bytes
		v.expectedCost += r.expectedReloadCost(fe, h)
	}
	return true
}

// scaleUpIdleFactor is how many times MinIdleBeforeEviction a victim must have
// been idle to be evicted for a further replica of a unit that already has a ready
// one. It keeps one customer's burst from evicting the replicas of others.
const scaleUpIdleFactor = 3

// setMinVictimIdle sets how long victims for the unit must have been idle.
func (r *round) setMinVictimIdle(u Unit) {
	r.minVictimIdle = 0
	if r.hasReadyReplica(u.Name) {
		r.minVictimIdle = scaleUpIdleFactor * r.p.cfg.MinIdleBeforeEviction
	}
}

// canEvict reports whether the holding may be evicted. It is false if requests run
// on it or wait for it, if it loads or a decision on it is pending, if a contract
// requires it, and if it was used within MinIdleBeforeEviction or minVictimIdle:
// units that are used in turn would otherwise evict each other on every request.
func (r *round) canEvict(fe *fleetEngine, h *Holding) bool {
	if h.Withdrawn || h.Streams > 0 || h.Wanted && !h.Ready || r.isRequiredByContract(h) {
		return false
	}
	if _, isPending := r.p.pending[replicaKey{fe.Name, h.Unit}]; isPending || r.isAdapterPending(fe, h.Unit) {
		return false
	}
	if _, isAwaited := r.demandFor(h.Unit); isAwaited {
		return false
	}
	return r.idleTime(h) >= max(r.minVictimIdle, r.p.cfg.MinIdleBeforeEviction)
}

// isAdapterPending reports whether a grant of an adapter on the base is pending.
func (r *round) isAdapterPending(fe *fleetEngine, base string) bool {
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Grant && d.base == base {
			return true
		}
	}
	return false
}

// isRequiredByContract reports whether the contract's minimum of replicas or its
// standby rights need the holding.
func (r *round) isRequiredByContract(h *Holding) bool {
	u, ok := r.findUnit(h.Unit, h.Customer)
	if !ok || u.MinReplicas == 0 && u.StandbyPerDomain == 0 {
		return false
	}
	wanted := r.fleet.countSilentWanted(h.Unit, h.Customer)
	for _, rep := range r.fleet.byUnit[h.Unit] {
		if rep.holding.Customer == h.Customer && rep.holding.Wanted && r.isActive(rep) {
			wanted++
		}
	}
	return u.StandbyPerDomain > 0 || wanted <= u.MinReplicas
}

// minAssumedIdle bounds the assumed rate of arrivals for a unit without history.
const minAssumedIdle = time.Minute

// expectedReloadCost returns the cost of evicting the holding in expected seconds
// of cold start: the probability per second that it is used, times the seconds to
// load it again, times evictionHorizon. For a unit of another planner the
// probability is derived from its idle time alone.
func (r *round) expectedReloadCost(fe *fleetEngine, h *Holding) float64 {
	idle := max(r.idleTime(h), 0)
	rate := 1 / (idle + minAssumedIdle).Seconds()
	if history := r.p.histories[h.Unit]; history != nil {
		rate = history.gaps.hazard(idle, &r.p.allGaps)
	}
	return rate * r.p.loads.expectedTime(Unit{Name: h.Unit, Base: h.Base, Bytes: h.Bytes}, TierMemory).Seconds() * evictionHorizon.Seconds()
}

// evictionHorizon is the time over which the loss of a victim is counted: about as
// long as the unit that replaces it stays.
const evictionHorizon = 5 * time.Minute

// makeRoom withdraws the candidate's victims and reserves the memory for the unit.
func (r *round) makeRoom(c candidate, u Unit) bool {
	for _, rep := range c.victims {
		r.withdraw(rep, "room for "+u.Name)
	}
	r.p.reservations[u.Name] = reservation{engine: c.engine.Name, bytes: u.Bytes, until: r.v.Now.Add(reservationTTL)}
	return true
}

// withdraw proposes to end a right. The engine lets the streams on it finish.
func (r *round) withdraw(rep replica, reason string) bool {
	h := rep.holding
	if h.Withdrawn {
		return false
	}
	return r.propose(Decision{Kind: Withdraw, Engine: rep.engine.Name, Unit: h.Unit, Customer: h.Customer,
		Right: h.Right, Reason: reason}, Unit{Bytes: h.Bytes, Base: h.Base}, false)
}
