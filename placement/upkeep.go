package placement

import (
	"sort"
	"time"
)

// watchLoads gives up loads that failed or stall: the right is withdrawn first,
// so the load tried elsewhere is never a replica too many.
func (r *round) watchLoads() {
	seen := make(map[placeKey]bool)
	for _, u := range r.placed {
		for _, at := range r.fleet.byUnit[u.Name] {
			h := at.holding
			if h.Customer != u.Customer || h.Ready || !r.standing(at) || !h.Wanted {
				continue
			}
			k := placeKey{at.engine.Name, h.Unit}
			seen[k] = true
			since, ok := r.p.loading[k]
			if !ok {
				r.p.loading[k] = r.v.Now
				since = r.v.Now
			}
			if h.Failed || r.v.Now.Sub(since) > r.stallAfter(at.engine, u) {
				r.p.avoid[k] = r.v.Now.Add(r.p.cfg.LoadFailureBackoff)
				r.withdraw(at, "load failed or stalled")
			}
		}
	}
	for k := range r.p.loading {
		if !seen[k] {
			delete(r.p.loading, k)
		}
	}
}

func (r *round) stallAfter(fe *fleetEngine, u Unit) time.Duration {
	expected := time.Duration(r.p.cfg.LoadTimeoutFactor * float64(r.expect(fe, u)))
	return max(expected, r.p.cfg.MinLoadTimeout)
}

// drain moves the units off leaving engines: the replacement first where the
// contract allows one more replica, else the withdrawal first.
func (r *round) drain() {
	for _, u := range r.placed {
		for _, at := range r.holdingsOf(u) {
			if !at.engine.Leaving || at.holding.Withdrawn {
				continue
			}
			ready, coming := r.counts(u.Name)
			if at.holding.Wanted && ready+coming == 0 && r.stillNeeded(u, at) {
				r.start(u, at.engine.Domain, "engine "+at.engine.Name+" leaves")
			}
			r.withdrawWithAdapters(u, at, "engine leaves")
		}
	}
}

// stillNeeded tells whether the unit would be kept where it is.
func (r *round) stillNeeded(u Unit, at place) bool {
	if at.holding.Streams > 0 || u.MinReplicas > 0 || r.waits[u.Name] != nil {
		return true
	}
	return r.idleFor(at.holding) < r.keepTime(u, at.engine)
}

// holdingsOf are the customer's rights for the unit, in a stable order.
func (r *round) holdingsOf(u Unit) []place {
	var out []place
	for _, at := range r.fleet.byUnit[u.Name] {
		if at.holding.Customer == u.Customer {
			out = append(out, at)
		}
	}
	if len(out) > 1 {
		sort.Slice(out, func(a, b int) bool { return out[a].engine.Name < out[b].engine.Name })
	}
	return out
}

// holdContract keeps the contract's minimum of replicas loaded and its standby
// rights in each failure domain.
func (r *round) holdContract() {
	for _, u := range r.v.Units {
		if u.MinReplicas == 0 && u.StandbyPerDomain == 0 {
			continue
		}
		for n := r.wanted(u); n < u.MinReplicas; n++ {
			if !r.start(u, r.emptiestDomain(u), "contract's minimum") {
				break
			}
		}
		if u.StandbyPerDomain > 0 {
			r.holdStandby(u)
		}
	}
}

// wanted counts the unit's replicas that serve, load or are about to.
func (r *round) wanted(u Unit) int {
	n := 0
	for _, at := range r.fleet.byUnit[u.Name] {
		h := at.holding
		if h.Customer == u.Customer && h.Wanted && r.standing(at) && !at.engine.Leaving {
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

// domains are those with usable engines, in a stable order, with the unit's
// rights in each.
func (r *round) domains(u Unit) ([]string, map[string]int) {
	rights := make(map[string]int)
	var names []string
	for _, fe := range r.fleet.order {
		if !fe.usable() {
			continue
		}
		if _, ok := rights[fe.Domain]; !ok {
			rights[fe.Domain] = 0
			names = append(names, fe.Domain)
		}
	}
	sort.Strings(names)
	for _, at := range r.holdingsOf(u) {
		if _, ok := rights[at.engine.Domain]; ok && r.standing(at) {
			rights[at.engine.Domain]++
		}
	}
	for k, d := range r.p.pending {
		if fe := r.fleet.engines[k.engine]; k.unit == u.Name && d.kind == Grant && fe != nil {
			rights[fe.Domain]++
		}
	}
	return names, rights
}

// emptiestDomain spreads replicas over the failure domains.
func (r *round) emptiestDomain(u Unit) string {
	names, rights := r.domains(u)
	best := ""
	for _, name := range names {
		if best == "" || rights[name] < rights[best] {
			best = name
		}
	}
	return best
}

func (r *round) holdStandby(u Unit) {
	names, rights := r.domains(u)
	for _, name := range names {
		for n := rights[name]; n < u.StandbyPerDomain && r.mayGrow(u); n++ {
			c, ok := r.chooseIn(u, name)
			if !ok {
				break
			}
			if c.need > 0 {
				r.makeRoom(c, u)
				break
			}
			r.grant(c.engine, u, false, "standby in "+name)
		}
	}
	r.warmStandby(u)
}

// warmStandby loads a standby right ahead, where nothing waits for the store:
// the right's memory is taken anyway, so a loaded one costs no more, and a
// cut-off domain then need not load first.
func (r *round) warmStandby(u Unit) {
	if !r.p.cfg.Preload || len(r.v.Demand) > 0 {
		return
	}
	for _, at := range r.holdingsOf(u) {
		if at.holding.Wanted || !r.standing(at) || !at.engine.usable() {
			continue
		}
		if at.engine.tier(u.Checkpoint) == TierRemote && r.v.Store.Running > 0 {
			continue
		}
		r.want(at, u, "standby kept warm")
		return
	}
}

// chooseIn is choose within one failure domain.
func (r *round) chooseIn(u Unit, domain string) (candidate, bool) {
	r.setPatience(u)
	var best candidate
	found := false
	for _, fe := range r.fleet.order {
		if fe.Domain != domain || !r.allowed(fe, u) {
			continue
		}
		c, ok := r.weigh(fe, u, domain, false)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// release lets a replica go: a right that the contract wants kept ready as a
// standby is only unloaded.
func (r *round) release(u Unit, at place, reason string) {
	if u.StandbyPerDomain > 0 {
		_, rights := r.domains(u)
		if rights[at.engine.Domain] <= u.StandbyPerDomain {
			if r.p.cfg.Preload {
				return
			}
			r.propose(Decision{Kind: Unwant, Engine: at.engine.Name, Unit: u.Name, Customer: u.Customer,
				Right: at.holding.Right, Reason: reason}, u, false)
			return
		}
	}
	r.withdrawWithAdapters(u, at, reason)
}

// letGo gives replicas up that history no longer expects to be used.
func (r *round) letGo() {
	for _, u := range r.placed {
		wanted := -1
		for _, at := range r.holdingsOf(u) {
			h := at.holding
			if !h.Ready || !r.standing(at) || !h.Wanted || h.Streams > 0 || at.engine.adapters[u.Name] > 0 || r.adapterComing(at.engine, u.Name) {
				continue
			}
			keep := r.keepTime(u, at.engine)
			if r.onlyStaged(h) {
				keep = r.p.cfg.MinKeepAlive
			}
			if r.idleFor(h) < keep || r.waits[u.Name] != nil || r.held(u.Name) {
				continue
			}
			if wanted < 0 {
				wanted = r.wanted(u)
			}
			if wanted <= u.MinReplicas {
				break
			}
			wanted--
			r.release(u, at, "idle")
		}
	}
}

// held tells whether a preload still waits for its wake-up.
func (r *round) held(unit string) bool {
	h := r.p.histories[unit]
	return h != nil && r.v.Now.Before(h.holdUntil)
}

func (r *round) keepTime(u Unit, fe *fleetEngine) time.Duration {
	return r.p.keepTime(u, fe.MemoryBytes, r.fleet.tierAfterUnload(u.Checkpoint), r.v.Now)
}
