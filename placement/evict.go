package placement

import (
	"sort"
	"time"
)

// victim is a holding that could make room, with the adapters on it.
type victim struct {
	places []place
	bytes  int64
	// value is the expected cost of loading it again, per second of not having
	// it, in seconds of cold start; density is that per byte.
	value, density float64
}

// findVictims chooses what to give up on the candidate's engine: the least
// (chance to be wanted × cost to load again) per byte first. It returns the
// harm in seconds of expected cold start.
func (r *round) findVictims(c *candidate, u Unit) (float64, bool) {
	need := c.need - c.engine.leaving - r.pendingWithdrawals(c.engine)
	if need <= 0 {
		return 0, true
	}
	options := r.evictable(c.engine, u)
	sort.SliceStable(options, func(a, b int) bool { return options[a].density < options[b].density })
	harm := 0.0
	for _, v := range options {
		if need <= 0 {
			break
		}
		need -= v.bytes
		harm += v.value
		c.victims = append(c.victims, v.places...)
	}
	return harm, need <= 0
}

func (r *round) pendingWithdrawals(fe *fleetEngine) int64 {
	bytes := int64(0)
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Withdraw {
			bytes += d.bytes
		}
	}
	return bytes
}

// evictable lists what may be given up on the engine for the unit.
func (r *round) evictable(fe *fleetEngine, u Unit) []victim {
	var out []victim
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		if h.Unit == u.Base || !r.mayEvict(fe, h) {
			continue
		}
		v := victim{places: []place{{fe, h}}, bytes: h.Bytes, value: r.valueOf(fe, h)}
		if fe.adapters[h.Unit] > 0 && !r.addAdapters(&v, fe, h.Unit) {
			continue
		}
		v.density = v.value / float64(v.bytes)
		out = append(out, v)
	}
	return out
}

// addAdapters joins the adapters on a base to the victim: they cannot stay
// without it. It answers false if one of them must stay.
func (r *round) addAdapters(v *victim, fe *fleetEngine, base string) bool {
	for i := range fe.Holdings {
		h := &fe.Holdings[i]
		if h.Base != base || h.Withdrawn {
			continue
		}
		if !r.mayEvict(fe, h) {
			return false
		}
		// Adapters go first: a base is not unloaded under them.
		v.places = append([]place{{fe, h}}, v.places...)
		v.bytes += h.Bytes
		v.value += r.valueOf(fe, h)
	}
	return true
}

// scalePatience is how many times MinIdleBeforeEviction a victim must have been idle to
// make room for a further replica of a unit that is served already: one
// customer's burst must not cost the others their replicas.
const scalePatience = 3

// setPatience sets how long victims for the unit must have been idle.
func (r *round) setPatience(u Unit) {
	r.patience = 0
	if r.serves(u.Name) {
		r.patience = scalePatience * r.p.cfg.MinIdleBeforeEviction
	}
}

// mayEvict is false for what runs, loads, is waited for or is promised by
// contract, and for what was used within MinIdleBeforeEviction or patience: units that take turns would
// otherwise evict each other on every request.
func (r *round) mayEvict(fe *fleetEngine, h *Holding) bool {
	if h.Withdrawn || h.Streams > 0 || h.Wanted && !h.Ready || r.promised(h) {
		return false
	}
	if _, under := r.p.pending[placeKey{fe.Name, h.Unit}]; under || r.adapterComing(fe, h.Unit) {
		return false
	}
	if _, waits := r.demandFor(h.Unit); waits {
		return false
	}
	return r.idleFor(h) >= max(r.patience, r.p.cfg.MinIdleBeforeEviction)
}

// adapterComing tells whether a grant of an adapter on the base is under way.
func (r *round) adapterComing(fe *fleetEngine, base string) bool {
	for k, d := range r.p.pending {
		if k.engine == fe.Name && d.kind == Grant && d.base == base {
			return true
		}
	}
	return false
}

// promised tells whether the contract's minimum or standby rights need the
// holding.
func (r *round) promised(h *Holding) bool {
	u, ok := r.unit(h.Unit, h.Customer)
	if !ok || u.MinReplicas == 0 && u.StandbyPerDomain == 0 {
		return false
	}
	wanted := r.fleet.silentWanted(h.Unit, h.Customer)
	for _, at := range r.fleet.byUnit[h.Unit] {
		if at.holding.Customer == h.Customer && at.holding.Wanted && r.standing(at) {
			wanted++
		}
	}
	return u.StandbyPerDomain > 0 || wanted <= u.MinReplicas
}

// lruFloor keeps the guess of an unknown unit's chance finite.
const lruFloor = time.Minute

// valueOf is the chance a second that the holding is wanted, times the seconds
// to load it again. A unit of another planner is judged by its idle time alone.
func (r *round) valueOf(fe *fleetEngine, h *Holding) float64 {
	idle := max(r.idleFor(h), 0)
	chance := 1 / (idle + lruFloor).Seconds()
	if history := r.p.histories[h.Unit]; history != nil {
		chance = history.gaps.hazard(idle, &r.p.all)
	}
	return chance * r.p.loads.expect(Unit{Name: h.Unit, Base: h.Base, Bytes: h.Bytes}, TierMemory).Seconds() * evictHorizon.Seconds()
}

// evictHorizon is how far ahead the loss of a victim is counted: about as long
// as the unit that takes its place stays.
const evictHorizon = 5 * time.Minute

// makeRoom withdraws the victims and keeps the room for the unit.
func (r *round) makeRoom(c candidate, u Unit) bool {
	for _, at := range c.victims {
		r.withdraw(at, "room for "+u.Name)
	}
	r.p.room[u.Name] = reservation{engine: c.engine.Name, bytes: u.Bytes, until: r.v.Now.Add(roomTerm)}
	return true
}

// withdraw ends a right; the engine lets the streams on it finish.
func (r *round) withdraw(at place, reason string) bool {
	h := at.holding
	if h.Withdrawn {
		return false
	}
	return r.propose(Decision{Kind: Withdraw, Engine: at.engine.Name, Unit: h.Unit, Customer: h.Customer,
		Right: h.Right, Reason: reason}, Unit{Bytes: h.Bytes, Base: h.Base}, false)
}
