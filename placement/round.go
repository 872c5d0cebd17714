package placement

import "time"

// round is the work of one Plan.
type round struct {
	p     *Planner
	v     View
	fleet *Fleet
	out   []Decision
	// units are the View's by name: one for each customer that has it.
	units map[string][]Unit
	// carries tells which of the planner's own units and their bases carry
	// adapters.
	carries map[string]bool
	// budget is what is left of each customer's memory after this round.
	budget map[string]int64
	// patience is how long a victim must have been idle, at least.
	patience time.Duration
	// spare is the memory beside promised rights, by engine, once asked for.
	spare map[*fleetEngine]int64
	// largest is the memory of the largest engine, once asked for.
	largest int64
	// demand is the View's by unit, most urgent first.
	demand []unitDemand
	// waits finds demand by unit.
	waits map[string]*unitDemand
	// placed are the View's units that have a right anywhere: upkeep looks at
	// these alone, as most units sleep.
	placed []Unit
}

// findPlaced lists the units that have a right.
func (r *round) findPlaced() {
	for _, u := range r.v.Units {
		if len(r.fleet.byUnit[u.Name]) > 0 {
			r.placed = append(r.placed, u)
			r.p.units[u.Name] = u
		}
	}
}

func newRound(p *Planner, v View) *round {
	r := &round{p: p, v: v, fleet: v.Fleet, budget: make(map[string]int64)}
	if r.fleet == nil {
		r.fleet = fleetOf(v)
	}
	r.demand, r.waits = gather(v.Demand)
	return r
}

// index fills units and carries on first use: most plans ask for neither.
func (r *round) index() {
	if r.units != nil {
		return
	}
	r.units = make(map[string][]Unit, len(r.v.Units))
	r.carries = make(map[string]bool)
	for _, u := range r.v.Units {
		r.units[u.Name] = append(r.units[u.Name], u)
		if u.Base != "" {
			r.carries[u.Base] = true
		}
	}
}

// own are the View's units of that name, one for each customer that has it.
func (r *round) own(name string) []Unit {
	r.index()
	return r.units[name]
}

// carrier tells whether one of the View's adapters sits on the model.
func (r *round) carrier(name string) bool {
	r.index()
	return r.carries[name]
}

// settlePending drops decisions that show in the View by now, or that have had
// their time: they lost a race, or the log is down.
func (r *round) settlePending() {
	for k, d := range r.p.pending {
		if r.shows(k, d) || r.v.Now.Sub(d.at) >= r.p.cfg.ProposalTimeout {
			delete(r.p.pending, k)
		}
	}
	for unit, kept := range r.p.room {
		if !r.v.Now.Before(kept.until) {
			delete(r.p.room, unit)
		}
	}
	for k, until := range r.p.avoid {
		if !r.v.Now.Before(until) {
			delete(r.p.avoid, k)
		}
	}
}

func (r *round) shows(k placeKey, d pending) bool {
	fe := r.fleet.engines[k.engine]
	if fe == nil {
		return true
	}
	h := fe.holds(k.unit)
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

// propose emits the decision unless one for the same place is under way.
func (r *round) propose(d Decision, u Unit, remote bool) bool {
	k := placeKey{d.Engine, d.Unit}
	if _, ok := r.p.pending[k]; ok {
		return false
	}
	r.p.pending[k] = pending{kind: d.Kind, at: r.v.Now, bytes: u.Bytes, base: u.Base, customer: d.Customer, wanted: d.Wanted, remote: remote}
	if d.Wanted {
		r.p.units[u.Name] = u
	}
	r.out = append(r.out, d)
	return true
}

// free is the memory left on the engine once pending grants have landed and
// without the room that is being made for other units than unit.
func (r *round) free(fe *fleetEngine, unit string) int64 {
	free := fe.free
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Grant {
			free -= d.bytes
		}
	}
	for other, kept := range r.p.room {
		if kept.engine == fe.Name && other != unit {
			free -= kept.bytes
		}
	}
	return free
}

// standing tells whether the right is neither withdrawn nor about to be.
func (r *round) standing(at place) bool {
	if at.holding.Withdrawn {
		return false
	}
	d, ok := r.p.pending[placeKey{at.engine.Name, at.holding.Unit}]
	return !ok || d.kind != Withdraw
}

func (r *round) budgetOf(customer string) int64 {
	left, ok := r.budget[customer]
	if ok {
		return left
	}
	left = int64(1) << 62
	if r.v.RemainingBudget != nil {
		left = r.v.RemainingBudget(customer)
	}
	for _, d := range r.p.pending {
		if d.kind == Grant && d.customer == customer {
			left -= d.bytes
		}
	}
	r.budget[customer] = left
	return left
}

// replicas counts the customer's rights for the unit, pending ones included:
// withdrawn rights that are not yet gone count.
func (r *round) replicas(unit, customer string) int {
	n := 0
	for _, at := range r.fleet.byUnit[unit] {
		if at.holding.Customer == customer {
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

// mayGrow tells whether the contract allows one more replica.
func (r *round) mayGrow(u Unit) bool {
	return r.replicas(u.Name, u.Customer) < u.MaxReplicas && r.budgetOf(u.Customer) >= u.Bytes
}

// unit finds a customer's unit among the planner's own and then all others.
func (r *round) unit(name, customer string) (Unit, bool) {
	for _, u := range r.own(name) {
		if u.Customer == customer {
			return u, true
		}
	}
	if r.v.LookupUnit == nil {
		return Unit{}, false
	}
	return r.v.LookupUnit(customer, name)
}

// demandFor is the most urgent demand for any unit.
func (r *round) demandFor(unit string) (Demand, bool) {
	if d := r.waits[unit]; d != nil {
		return d.first(), true
	}
	if r.v.LookupDemand == nil {
		return Demand{}, false
	}
	return r.v.LookupDemand(unit)
}

func (r *round) expect(fe *fleetEngine, u Unit) time.Duration {
	return r.p.loads.expect(u, fe.tier(u.Checkpoint))
}

// idleFor is how long the holding has been without use.
func (r *round) idleFor(h *Holding) time.Duration {
	if h.Streams > 0 {
		return 0
	}
	return r.v.Now.Sub(h.lastActive())
}

// lastActive is the newest of its last use and its getting ready.
func (h *Holding) lastActive() time.Time {
	if h.ReadySince.After(h.LastUsed) {
		return h.ReadySince
	}
	return h.LastUsed
}
