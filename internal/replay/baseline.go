package replay

import (
	"math/rand/v2"
	"time"

	"bergamotreel/placement"
)

// baselineDecider is a policy that a user could script: it loads on the engine
// with the most free memory, evicts the least recently used replica and unloads
// after a fixed time.
type baselineDecider struct {
	// keepAlive is fixed; with 0 a unit stays loaded until it is evicted.
	keepAlive time.Duration
	// independentRouters makes every router load for itself.
	independentRouters bool
	rng                *rand.Rand
	// lastProposed is when a load was last proposed, by unit and owners.
	lastProposed map[proposalKey]time.Duration
}

type proposalKey struct {
	unit   int
	owners uint32
}

// proposalRetryInterval is the least time between two proposals for the same
// unit and owners, within which the first one takes effect or fails.
const proposalRetryInterval = time.Second

func newBaselineDecider(keepAlive time.Duration, independentRouters bool, seed uint64) *baselineDecider {
	return &baselineDecider{rng: rand.New(rand.NewPCG(seed, 5)), keepAlive: keepAlive, independentRouters: independentRouters, lastProposed: make(map[proposalKey]time.Duration)}
}

func (b *baselineDecider) recordRequest(*unit, time.Time)                  {}
func (b *baselineDecider) recordLoad(*unit, placement.Tier, time.Duration) {}

func (b *baselineDecider) plan(s *sim, side int) []proposal {
	var out []proposal
	out = append(out, b.proposeContractRights(s, side)...)
	for _, vm := range s.routers {
		if vm.reclaimed || s.sideOf(vm.domain) != side {
			continue
		}
		owners := allRouters
		if b.independentRouters {
			owners = vm.ownerBit()
		}
		for _, d := range s.routerDemand(vm) {
			out = append(out, b.loadIfNeeded(s, side, d, owners)...)
		}
	}
	if b.keepAlive > 0 {
		out = append(out, b.proposeExpiredUnloads(s, side)...)
	}
	return out
}

// proposeContractRights proposes the minimum replicas and standby rights that
// the contract asks of every policy.
func (b *baselineDecider) proposeContractRights(s *sim, side int) []proposal {
	var out []proposal
	for _, u := range s.units {
		held := len(s.replicas[u.id])
		if held >= s.contractRights(u) {
			continue
		}
		p := b.proposeLoad(s, side, u, allRouters)
		for i := range p {
			if p[i].Kind == placement.Grant {
				p[i].Wanted = held < u.minReplicas
			}
		}
		out = append(out, p...)
	}
	return out
}

// loadIfNeeded proposes a load of the unit unless it is ready or loading. It
// proposes a further replica when one is ready and the oldest request has waited
// for placement.DefaultMaxWaitBeforeScaleUp.
func (b *baselineDecider) loadIfNeeded(s *sim, side int, d placement.Demand, owners uint32) []proposal {
	u := s.unitsByName[d.Unit]
	ready, loading := 0, 0
	for _, r := range s.replicas[u.id] {
		switch {
		case r.withdrawn || !r.wanted || r.engine.reclaimed || s.sideOf(r.engine.domain) != side || r.owners&owners == 0:
		case r.ready:
			ready++
		default:
			loading++
		}
	}
	waitTime := u.maxWait - d.EarliestDeadline.Sub(s.currentTime())
	if loading > 0 || ready > 0 && waitTime < placement.DefaultMaxWaitBeforeScaleUp {
		return nil
	}
	return b.proposeLoad(s, side, u, owners)
}

// proposeLoad proposes a load of the unit by a standby right, else on the engine
// with the most free memory. If no engine has room it proposes to evict the least
// recently used replicas.
func (b *baselineDecider) proposeLoad(s *sim, side int, u *unit, owners uint32) []proposal {
	k := proposalKey{u.id, owners}
	if proposedAt, ok := b.lastProposed[k]; ok && s.now-proposedAt < proposalRetryInterval {
		return nil
	}
	proposer := s.planningRouter(u, side)
	decision := func(kind placement.DecisionKind, e *engine, name string, right uint64) proposal {
		return proposal{proposer: proposer, owners: owners, Decision: placement.Decision{
			Kind: kind, Engine: e.name, Unit: name, Right: right, Wanted: kind != placement.Withdraw}}
	}
	for _, r := range s.replicas[u.id] {
		if !r.wanted && !r.withdrawn && !r.engine.reclaimed && s.sideOf(r.engine.domain) == side {
			b.lastProposed[k] = s.now
			return []proposal{decision(placement.Want, r.engine, u.name, r.right)}
		}
	}
	if owners == allRouters && len(s.replicas[u.id]) >= u.maxReplicas {
		return nil
	}
	e := b.mostFreeEngine(s, side, u)
	if owners != allRouters {
		e = b.randomEngine(s, side, u)
	}
	if e != nil {
		b.lastProposed[k] = s.now
		return []proposal{decision(placement.Grant, e, u.name, 0)}
	}
	var out []proposal
	victims := b.leastRecentlyUsedVictims(s, side, u)
	if len(victims) == 0 && u.base != nil {
		// No engine with the base model has room: load one more replica of it.
		b.lastProposed[k] = s.now
		return b.proposeLoad(s, side, u.base, owners)
	}
	for _, r := range victims {
		out = append(out, decision(placement.Withdraw, r.engine, r.unit.name, r.right))
	}
	if len(out) > 0 {
		b.lastProposed[k] = s.now
	}
	return out
}

// randomEngine returns a random engine that has room or holds the unit already:
// an independent router does not know which engines the others have chosen.
func (b *baselineDecider) randomEngine(s *sim, side int, u *unit) *engine {
	var candidates []*engine
	for _, e := range s.engines {
		held := e.replicaOf(u)
		if held != nil && !held.withdrawn && s.sideOf(e.domain) == side && !e.reclaimed || b.canHost(s, side, e, u) && e.freeBytes() >= u.replicaBytes {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[b.rng.IntN(len(candidates))]
}

// canHost reports whether the engine could hold the unit if it had room.
func (b *baselineDecider) canHost(s *sim, side int, e *engine, u *unit) bool {
	if e.reclaimed || s.sideOf(e.domain) != side || e.memory < u.replicaBytes || e.replicaOf(u) != nil {
		return false
	}
	// A user dedicates the engines that were bought for booking to the booking
	// models and loads everything else on the other engines.
	if (u.customer == booking) != e.forBooking {
		return false
	}
	if u.base == nil {
		return true
	}
	base := e.replicaOf(u.base)
	return base != nil && base.ready && !base.withdrawn
}

func (b *baselineDecider) mostFreeEngine(s *sim, side int, u *unit) *engine {
	var best *engine
	for _, e := range s.engines {
		if !b.canHost(s, side, e, u) || e.freeBytes() < u.replicaBytes {
			continue
		}
		if best == nil || e.freeBytes() > best.freeBytes() {
			best = e
		}
	}
	return best
}

// leastRecentlyUsedVictims returns the idle replicas to evict for the unit, on
// the engine where the most recently used of them has been idle for longest.
func (b *baselineDecider) leastRecentlyUsedVictims(s *sim, side int, u *unit) []*replica {
	var best []*replica
	var bestNewest time.Duration
	for _, e := range s.engines {
		if !b.canHost(s, side, e, u) {
			continue
		}
		victims, newest, ok := b.victimsOn(s, e, u)
		if ok && (best == nil || newest < bestNewest) {
			best, bestNewest = victims, newest
		}
	}
	return best
}

// victimsOn returns the least recently used idle replicas on the engine whose
// memory makes room for the unit, and when the last of them was used. It reports
// false if evicting all of them is not enough.
func (b *baselineDecider) victimsOn(s *sim, e *engine, u *unit) ([]*replica, time.Duration, bool) {
	missing := u.replicaBytes - e.freeBytes()
	var out []*replica
	newest := time.Duration(0)
	chosen := make(map[*replica]bool)
	for missing > 0 {
		var oldest *replica
		for _, r := range e.replicas {
			if chosen[r] || !b.isEvictable(s, r) || r.unit == u.base {
				continue
			}
			if oldest == nil || r.lastUsed < oldest.lastUsed {
				oldest = r
			}
		}
		if oldest == nil {
			return nil, 0, false
		}
		chosen[oldest] = true
		missing -= oldest.unit.replicaBytes
		newest = max(newest, oldest.lastUsed)
		out = append(out, oldest)
	}
	return out, newest, true
}

// isEvictable reports whether the replica is idle and may be unloaded: it has no
// standby contract, is not one of the minimum replicas and has no adapters on it.
func (b *baselineDecider) isEvictable(s *sim, r *replica) bool {
	if r.streams > 0 || r.withdrawn || !r.ready || r.unit.standbyPerDomain > 0 {
		return false
	}
	if r.unit.minReplicas > 0 && len(s.replicas[r.unit.id]) <= r.unit.minReplicas {
		return false
	}
	for _, other := range r.engine.replicas {
		if other.unit.base == r.unit && !other.withdrawn {
			return false
		}
	}
	return true
}

// proposeExpiredUnloads proposes to unload the replicas that were idle for the keep-alive.
func (b *baselineDecider) proposeExpiredUnloads(s *sim, side int) []proposal {
	var out []proposal
	for _, e := range s.engines {
		if e.reclaimed || s.sideOf(e.domain) != side {
			continue
		}
		for _, r := range e.replicas {
			if !b.isEvictable(s, r) || s.now-max(r.lastUsed, r.readySince) < b.keepAlive {
				continue
			}
			out = append(out, proposal{proposer: s.planningRouter(r.unit, side), owners: r.owners, Decision: placement.Decision{
				Kind: placement.Withdraw, Engine: e.name, Unit: r.unit.name, Right: r.right}})
		}
	}
	return out
}
