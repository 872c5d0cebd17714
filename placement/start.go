package placement

import "time"

const (
	// otherDomain is how much longer a load may take in the demand's own failure
	// domain before another domain is taken: a replica near its routers still
	// serves them when the domains are cut off from each other.
	otherDomain = 2 * time.Second
	// busyEngine is what a full engine counts as: about one request's service.
	busyEngine = 5 * time.Second
	// evictTime is from a withdrawal to room: unload, status, append.
	evictTime = time.Second
)

// start brings one replica of the unit up: by a standby right, by a new grant,
// or by making room first. It tells whether something is under way.
func (r *round) start(u Unit, domain, reason string) bool {
	if r.wantStandby(u, domain, reason) {
		return true
	}
	if !r.mayGrow(u) {
		return false
	}
	if u.Base != "" && r.baseFirst(u, domain) {
		return true
	}
	best, ok := r.choose(u, domain)
	if !ok {
		return false
	}
	if best.need > 0 {
		return r.makeRoom(best, u)
	}
	return r.grant(best.engine, u, true, reason)
}

// wantStandby loads by a right that is there already.
func (r *round) wantStandby(u Unit, domain, reason string) bool {
	var best *place
	for i, at := range r.fleet.byUnit[u.Name] {
		if at.holding.Wanted || !r.standing(at) || !at.engine.usable() {
			continue
		}
		if best == nil || at.engine.Domain == domain && best.engine.Domain != domain {
			best = &r.fleet.byUnit[u.Name][i]
		}
	}
	return best != nil && r.want(*best, u, reason)
}

// want loads a right that is there, if the weight store has room for the load.
func (r *round) want(at place, u Unit, reason string) bool {
	remote := at.engine.tier(u.Checkpoint) == TierRemote
	if remote && !r.storeHasRoom() {
		return false
	}
	return r.propose(Decision{Kind: Want, Engine: at.engine.Name, Unit: u.Name, Customer: at.holding.Customer,
		Right: at.holding.Right, Wanted: true, Reason: reason, TimeToReady: r.expect(at.engine, u)}, u, remote)
}

// grant proposes a right, if the weight store has room for the load.
func (r *round) grant(fe *fleetEngine, u Unit, wanted bool, reason string) bool {
	d := Decision{Kind: Grant, Engine: fe.Name, Unit: u.Name, Customer: u.Customer, Wanted: wanted, Reason: reason}
	remote := wanted && fe.tier(u.Checkpoint) == TierRemote
	if remote && !r.storeHasRoom() {
		return false
	}
	if wanted {
		d.TimeToReady = r.expect(fe, u)
	}
	left := r.budgetOf(u.Customer)
	if !r.propose(d, u, remote) {
		return false
	}
	r.budget[u.Customer] = left - u.Bytes
	delete(r.p.room, u.Name)
	return true
}

// storeHasRoom tells whether one more load from the weight store would run at
// full speed.
func (r *round) storeHasRoom() bool {
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
	return r.p.starts.take(r.v.Now, r.v.Store.LoadsPerSecond)
}

// baseReady tells whether some usable engine can take the adapter.
func (r *round) baseReady(u Unit) bool {
	for _, at := range r.fleet.byUnit[u.Base] {
		if at.holding.Ready && r.standing(at) && r.allowed(at.engine, u) {
			return true
		}
	}
	return false
}

// baseFirst brings up one more of the base if no engine with it has slots to
// spare. It tells whether the adapter has to wait for it.
func (r *round) baseFirst(u Unit, domain string) bool {
	if _, ok := r.sparestBase(u); ok {
		return false
	}
	return r.startBase(u, domain) || !r.baseReady(u) || r.serves(u.Name)
}

// sparestBase is the least busy engine that could take the adapter, if it has
// slots to spare.
func (r *round) sparestBase(u Unit) (*fleetEngine, bool) {
	var best *fleetEngine
	for _, at := range r.fleet.byUnit[u.Base] {
		if !at.holding.Ready || !r.standing(at) || !r.allowed(at.engine, u) || r.busy(at.engine) {
			continue
		}
		if best == nil || at.engine.streams < best.streams {
			best = at.engine
		}
	}
	return best, best != nil
}

// serves tells whether a replica of the unit is ready.
func (r *round) serves(unit string) bool {
	ready, _ := r.counts(unit)
	return ready > 0
}

// startBase brings up the model that an adapter needs first.
func (r *round) startBase(u Unit, domain string) bool {
	if ready, coming := r.counts(u.Base); coming > 0 {
		return ready == 0
	}
	base, ok := r.baseUnit(u)
	return ok && r.start(base, domain, "base of "+u.Name)
}

// baseUnit finds whose contract the base can be charged to: the adapter's own
// customer's, else that of whoever holds it already.
func (r *round) baseUnit(u Unit) (Unit, bool) {
	if base, ok := r.unit(u.Base, u.Customer); ok {
		return base, true
	}
	for _, base := range r.own(u.Base) {
		return base, true
	}
	for _, at := range r.fleet.byUnit[u.Base] {
		if base, ok := r.unit(u.Base, at.holding.Customer); ok {
			return base, true
		}
	}
	return Unit{}, false
}

// candidate is an engine weighed for a unit.
type candidate struct {
	engine *fleetEngine
	// need is the memory to be freed first; victims would free it, unless it is
	// on its way already.
	need    int64
	victims []place
	// cost is the time until ready plus what the eviction costs, in seconds.
	cost float64
}

// choose picks the engine that has the unit ready soonest, all told: the load
// from where the checkpoint is cached, the time and harm of evicting, and the
// failure domain. Among equals it takes the fullest, to keep large holes for
// large models.
//
// A base of adapters gets room for them beside it, if need be by eviction. One
// without would serve no adapter: it is taken only where nothing serves yet.
func (r *round) choose(u Unit, domain string) (candidate, bool) {
	r.setPatience(u)
	if !r.carrier(u.Name) {
		return r.chooseWith(u, domain, false)
	}
	best, found := r.chooseWith(u, domain, true)
	if found || r.serves(u.Name) {
		return best, found
	}
	return r.chooseWith(u, domain, false)
}

func (r *round) chooseWith(u Unit, domain string, room bool) (candidate, bool) {
	var best candidate
	found := false
	consider := func(fe *fleetEngine) {
		if !r.allowed(fe, u) {
			return
		}
		c, ok := r.weigh(fe, u, domain, room)
		if ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	if u.Base == "" {
		for _, fe := range r.fleet.order {
			consider(fe)
		}
		return best, found
	}
	for _, at := range r.fleet.byUnit[u.Base] {
		if at.holding.Ready && r.standing(at) {
			consider(at.engine)
		}
	}
	return best, found
}

// holdCost is what the share of the engine costs while the unit is kept, in
// seconds of cold start: the same bytes are a smaller part of a larger engine.
// Rights that are held for good go to the smallest engine that fits instead:
// there they take no hole that a large model needs.
func (r *round) holdCost(fe *fleetEngine, u Unit) float64 {
	share := float64(u.Bytes) / float64(max(fe.MemoryBytes, 1))
	if u.StandbyPerDomain > 0 {
		return forGood.Seconds() * (1 - share)
	}
	held := r.p.cfg.MaxKeepAlive
	if u.MinReplicas == 0 {
		held = r.keepTime(u, fe)
	}
	return r.p.cfg.idleCost(share) * held.Seconds() / (r.p.cfg.ColdStartWeight * coldCostPerSecond)
}

// forGood weighs the size of the engine for rights that are held for good: a
// minute of a slower first load is nothing to them.
const forGood = time.Minute

// carriesAdapters tells whether the engine has a base of adapters.
func (r *round) carriesAdapters(fe *fleetEngine) bool {
	for i := range fe.Holdings {
		if r.carrier(fe.Holdings[i].Unit) {
			return true
		}
	}
	return false
}

// noAdapterRoom is what an engine without room beside a base for adapters counts
// as: such a replica helps no adapter, so a longer load elsewhere is better.
const noAdapterRoom = 20 * time.Second

// adapterRoom is the memory that is left beside a base for its adapters.
func adapterRoom(fe *fleetEngine) int64 { return fe.MemoryBytes / 16 }

// allowed tells whether the engine could take the unit if it had room.
func (r *round) allowed(fe *fleetEngine, u Unit) bool {
	if !fe.usable() || fe.MemoryBytes < u.Bytes || fe.holds(u.Name) != nil {
		return false
	}
	k := placeKey{fe.Name, u.Name}
	_, avoided := r.p.avoid[k]
	_, under := r.p.pending[k]
	return !avoided && !under
}

// weigh judges one engine; room asks for memory beside the unit for adapters.
func (r *round) weigh(fe *fleetEngine, u Unit, domain string, room bool) (candidate, bool) {
	c := candidate{engine: fe}
	free := r.free(fe, u.Name)
	ready := r.expect(fe, u)
	if fe.Domain != domain {
		ready += otherDomain
		if u.MinReplicas > 0 {
			// What is held for good is worth a slower first load.
			ready += forGood
		}
	}
	if fe.Slots > 0 {
		ready += time.Duration(float64(busyEngine) * float64(fe.streams) / float64(fe.Slots))
	}
	c.cost = ready.Seconds() + r.holdCost(fe, u)
	if u.Base == "" && r.carriesAdapters(fe) && free-u.Bytes < adapterRoom(fe) {
		c.cost += noAdapterRoom.Seconds()
	}
	wanted := u.Bytes
	if room {
		wanted += adapterRoom(fe)
	}
	if free < wanted {
		c.need = wanted - free
		harm, ok := r.findVictims(&c, u)
		if !ok {
			return c, false
		}
		c.cost += evictTime.Seconds() + harm
		return c, true
	}
	c.cost += 0.1 * float64(free-u.Bytes) / float64(fe.MemoryBytes)
	return c, true
}
