package placement

import "time"

// round holds the inputs and intermediate results of one Plan call.
type round struct {
	p         *Planner
	v         View
	fleet     *Fleet
	decisions []Decision
	// units maps a name to the View's units of that name: one for each customer
	// that has it. indexUnits fills it.
	units map[string][]Unit
	// adapterBases contains the models that the View's adapters are based on.
	// indexUnits fills it.
	adapterBases map[string]bool
	// remainingBudget is the memory that each customer's contract still allows,
	// pending grants deducted.
	remainingBudget map[string]int64
	// minVictimIdle is the least idle time of a victim; see setMinVictimIdle.
	minVictimIdle time.Duration
	// unreserved caches the results of unreservedMemory.
	unreserved map[*fleetEngine]int64
	// largestMemory caches the result of largestEngineMemory; 0 means not yet
	// computed.
	largestMemory int64
	// demand is the View's demand grouped by unit, most urgent first.
	demand []unitDemand
	// demandByUnit points into demand.
	demandByUnit map[string]*unitDemand
	// heldUnits are the View's units that have a right on any engine. Upkeep
	// looks at these alone, as most units have none.
	heldUnits []Unit
}

// findHeldUnits fills heldUnits.
func (r *round) findHeldUnits() {
	for _, u := range r.v.Units {
		if len(r.fleet.byUnit[u.Name]) > 0 {
			r.heldUnits = append(r.heldUnits, u)
			r.p.units[u.Name] = u
		}
	}
}

func newRound(p *Planner, v View) *round {
	r := &round{p: p, v: v, fleet: v.Fleet, remainingBudget: make(map[string]int64)}
	if r.fleet == nil {
		r.fleet = fleetOf(v)
	}
	r.demand, r.demandByUnit = groupDemand(v.Demand)
	return r
}

// indexUnits fills units and adapterBases on first use: most plans need neither.
func (r *round) indexUnits() {
	if r.units != nil {
		return
	}
	r.units = make(map[string][]Unit, len(r.v.Units))
	r.adapterBases = make(map[string]bool)
	for _, u := range r.v.Units {
		r.units[u.Name] = append(r.units[u.Name], u)
		if u.Base != "" {
			r.adapterBases[u.Base] = true
		}
	}
}

// unitsNamed returns the View's units of that name, one for each customer that
// has it.
func (r *round) unitsNamed(name string) []Unit {
	r.indexUnits()
	return r.units[name]
}

// hasAdapters reports whether the model is the base of one of the View's
// adapters.
func (r *round) hasAdapters(name string) bool {
	r.indexUnits()
	return r.adapterBases[name]
}

// expirePending drops pending decisions whose effect the View shows or whose
// ProposalTimeout has passed, as when another proposal was applied first or the
// log is down. It also drops expired reservations and backoffs.
func (r *round) expirePending() {
	for k, d := range r.p.pending {
		if r.isVisible(k, d) || r.v.Now.Sub(d.proposedAt) >= r.p.cfg.ProposalTimeout {
			delete(r.p.pending, k)
		}
	}
	for unit, res := range r.p.reservations {
		if !r.v.Now.Before(res.until) {
			delete(r.p.reservations, unit)
		}
	}
	for k, until := range r.p.avoidUntil {
		if !r.v.Now.Before(until) {
			delete(r.p.avoidUntil, k)
		}
	}
}

// isVisible reports whether the View shows the effect of a pending decision.
func (r *round) isVisible(k replicaKey, d pendingDecision) bool {
	fe := r.fleet.engines[k.engine]
	if fe == nil {
		return true
	}
	h := fe.findHolding(k.unit)
	switch d.kind {
	case Grant:
		return h != nil
	case Want:
		return h == nil || h.Withdrawn || h.Wanted
	case Unwant:
		return h == nil || h.Withdrawn || !h.Wanted
	default:
		return h == nil || h.Withdrawn
	}
}

// propose adds the decision to the plan unless another one for the same unit on
// the same engine is pending. It reports whether it did.
func (r *round) propose(d Decision, u Unit, remote bool) bool {
	k := replicaKey{d.Engine, d.Unit}
	if _, ok := r.p.pending[k]; ok {
		return false
	}
	r.p.pending[k] = pendingDecision{kind: d.Kind, proposedAt: r.v.Now, bytes: u.Bytes, base: u.Base, customer: d.Customer, wanted: d.Wanted, remote: remote}
	if d.Wanted {
		r.p.units[u.Name] = u
	}
	r.decisions = append(r.decisions, d)
	return true
}

// freeMemory returns the memory left on the engine after pending grants and
// after the reservations of all units but the given one.
func (r *round) freeMemory(fe *fleetEngine, unit string) int64 {
	free := fe.freeBytes
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Grant {
			free -= d.bytes
		}
	}
	for other, res := range r.p.reservations {
		if res.engine == fe.Name && other != unit {
			free -= res.bytes
		}
	}
	return free
}

// isActive reports whether the right is not withdrawn and no withdrawal of it is
// pending.
func (r *round) isActive(rep replica) bool {
	if rep.holding.Withdrawn {
		return false
	}
	d, ok := r.p.pending[replicaKey{rep.engine.Name, rep.holding.Unit}]
	return !ok || d.kind != Withdraw
}

// remainingBudgetOf returns the memory that the customer's contract still allows,
// pending grants deducted.
func (r *round) remainingBudgetOf(customer string) int64 {
	remaining, ok := r.remainingBudget[customer]
	if ok {
		return remaining
	}
	remaining = int64(1) << 62
	if r.v.RemainingBudget != nil {
		remaining = r.v.RemainingBudget(customer)
	}
	for _, d := range r.p.pending {
		if d.kind == Grant && d.customer == customer {
			remaining -= d.bytes
		}
	}
	r.remainingBudget[customer] = remaining
	return remaining
}

// countReplicas counts the customer's rights for the unit, including pending
// grants and withdrawn rights that have not ended yet.
func (r *round) countReplicas(unit, customer string) int {
	n := 0
	for _, rep := range r.fleet.byUnit[unit] {
		if rep.holding.Customer == customer {
			n++
		}
	}
	for k, d := range r.p.pending {
		if k.unit == unit && d.kind == Grant && d.customer == customer {
			n++
		}
	}
	return n
}

// canAddReplica reports whether the contract allows one more replica.
func (r *round) canAddReplica(u Unit) bool {
	return r.countReplicas(u.Name, u.Customer) < u.MaxReplicas && r.remainingBudgetOf(u.Customer) >= u.Bytes
}

// findUnit finds a customer's unit in the View, then through View.LookupUnit.
func (r *round) findUnit(name, customer string) (Unit, bool) {
	for _, u := range r.unitsNamed(name) {
		if u.Customer == customer {
			return u, true
		}
	}
	if r.v.LookupUnit == nil {
		return Unit{}, false
	}
	return r.v.LookupUnit(customer, name)
}

// demandFor returns the most urgent demand for a unit of any planner.
func (r *round) demandFor(unit string) (Demand, bool) {
	if d := r.demandByUnit[unit]; d != nil {
		return d.mostUrgent(), true
	}
	if r.v.LookupDemand == nil {
		return Demand{}, false
	}
	return r.v.LookupDemand(unit)
}

// expectedLoadTime returns the expected load time of the unit on the engine, from
// the tier where the engine has its checkpoint.
func (r *round) expectedLoadTime(fe *fleetEngine, u Unit) time.Duration {
	return r.p.loads.expectedTime(u, fe.tier(u.Checkpoint))
}

// idleTime returns how long the holding has been unused.
func (r *round) idleTime(h *Holding) time.Duration {
	if h.Streams > 0 {
		return 0
	}
	return r.v.Now.Sub(h.lastActive())
}

// lastActive returns the time of the last use or of becoming ready, whichever is
// later.
func (h *Holding) lastActive() time.Time {
	if h.ReadySince.After(h.LastUsed) {
		return h.ReadySince
	}
	return h.LastUsed
}
