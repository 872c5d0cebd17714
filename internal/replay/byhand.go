package replay

import (
	"math/rand/v2"
	"time"

	"bergamotreel/placement"
)

// byHand is what a user would script: load on the engine with the most free
// memory, evict the least recently used, unload after a fixed time.
type byHand struct {
	// keep is the fixed keep-alive; 0 keeps until evicted.
	keep time.Duration
	// eachRouter makes every router load for itself.
	eachRouter bool
	rng        *rand.Rand
	// asked is when a load was last proposed, by unit and router.
	asked map[askKey]time.Duration
}

type askKey struct {
	unit   int
	owners uint32
}

// askAgain is how long a proposal is given to show.
const askAgain = time.Second

func newByHand(keep time.Duration, eachRouter bool, seed uint64) *byHand {
	return &byHand{rng: rand.New(rand.NewPCG(seed, 5)), keep: keep, eachRouter: eachRouter, asked: make(map[askKey]time.Duration)}
}

func (b *byHand) used(*unit, time.Time)                       {}
func (b *byHand) loaded(*unit, placement.Tier, time.Duration) {}

func (b *byHand) plan(s *sim, side int) []proposal {
	var out []proposal
	out = append(out, b.holdContract(s, side)...)
	for _, at := range s.routers {
		if at.gone || s.side(at.domain) != side {
			continue
		}
		owners := allRouters
		if b.eachRouter {
			owners = at.bit()
		}
		for _, d := range s.demandAt(at) {
			out = append(out, b.serve(s, side, d, owners)...)
		}
	}
	if b.keep > 0 {
		out = append(out, b.timeOut(s, side)...)
	}
	return out
}

// holdContract keeps minimum replicas and standby rights, as the contract asks
// of every policy.
func (b *byHand) holdContract(s *sim, side int) []proposal {
	var out []proposal
	for _, u := range s.units {
		standing := len(s.replicas[u.id])
		if standing >= s.contractRights(u) {
			continue
		}
		p := b.load(s, side, u, allRouters)
		for i := range p {
			if p[i].Kind == placement.Grant {
				p[i].Wanted = standing < u.minReplicas
			}
		}
		out = append(out, p...)
	}
	return out
}

// serve loads the unit unless it is ready or loading; a second replica comes
// when the oldest request has waited for two seconds at a ready one.
func (b *byHand) serve(s *sim, side int, d placement.Demand, owners uint32) []proposal {
	u := s.byName[d.Unit]
	ready, coming := 0, 0
	for _, r := range s.replicas[u.id] {
		switch {
		case r.withdrawn || !r.wanted || r.engine.gone || s.side(r.engine.domain) != side || r.owners&owners == 0:
		case r.ready:
			ready++
		default:
			coming++
		}
	}
	waited := u.maxWait - d.Deadline.Sub(s.time())
	if coming > 0 || ready > 0 && waited < placement.DefaultMaxWaitBeforeScaleUp {
		return nil
	}
	return b.load(s, side, u, owners)
}

// load proposes a load of the unit, by a standby right, on the engine with the
// most free memory, or after evicting the least recently used.
func (b *byHand) load(s *sim, side int, u *unit, owners uint32) []proposal {
	k := askKey{u.id, owners}
	if at, ok := b.asked[k]; ok && s.now-at < askAgain {
		return nil
	}
	proposer := s.planner(u, side)
	decision := func(kind placement.DecisionKind, e *engine, name string, right uint64) proposal {
		return proposal{proposer: proposer, owners: owners, Decision: placement.Decision{
			Kind: kind, Engine: e.name, Unit: name, Right: right, Wanted: kind != placement.Withdraw}}
	}
	for _, r := range s.replicas[u.id] {
		if !r.wanted && !r.withdrawn && !r.engine.gone && s.side(r.engine.domain) == side {
			b.asked[k] = s.now
			return []proposal{decision(placement.Want, r.engine, u.name, r.right)}
		}
	}
	if owners == allRouters && len(s.replicas[u.id]) >= u.maxReplicas {
		return nil
	}
	e := b.mostFree(s, side, u)
	if owners != allRouters {
		e = b.anyEngine(s, side, u)
	}
	if e != nil {
		b.asked[k] = s.now
		return []proposal{decision(placement.Grant, e, u.name, 0)}
	}
	var out []proposal
	victims := b.leastRecentlyUsed(s, side, u)
	if len(victims) == 0 && u.base != nil {
		// No engine with the base has room: one more of the base.
		b.asked[k] = s.now
		return b.load(s, side, u.base, owners)
	}
	for _, r := range victims {
		out = append(out, decision(placement.Withdraw, r.engine, r.unit.name, r.right))
	}
	if len(out) > 0 {
		b.asked[k] = s.now
	}
	return out
}

// anyEngine is a random engine with room, or one that has the unit already: a
// router on its own does not know what the others have chosen.
func (b *byHand) anyEngine(s *sim, side int, u *unit) *engine {
	var fit []*engine
	for _, e := range s.engines {
		held := e.holds(u)
		if held != nil && !held.withdrawn && s.side(e.domain) == side && !e.gone || b.suits(s, side, e, u) && e.free() >= u.replica {
			fit = append(fit, e)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[b.rng.IntN(len(fit))]
}

// suits tells whether the engine could hold the unit if it had room.
func (b *byHand) suits(s *sim, side int, e *engine, u *unit) bool {
	if e.gone || s.side(e.domain) != side || e.memory < u.replica || e.holds(u) != nil {
		return false
	}
	// A user keeps booking on the engines bought for it, and all else off them.
	if (u.customer == booking) != e.booking {
		return false
	}
	if u.base == nil {
		return true
	}
	base := e.holds(u.base)
	return base != nil && base.ready && !base.withdrawn
}

func (b *byHand) mostFree(s *sim, side int, u *unit) *engine {
	var best *engine
	for _, e := range s.engines {
		if !b.suits(s, side, e, u) || e.free() < u.replica {
			continue
		}
		if best == nil || e.free() > best.free() {
			best = e
		}
	}
	return best
}

// leastRecentlyUsed is the idle replicas to evict on the engine where the
// newest of them has been idle for longest.
func (b *byHand) leastRecentlyUsed(s *sim, side int, u *unit) []*replica {
	var best []*replica
	var bestNewest time.Duration
	for _, e := range s.engines {
		if !b.suits(s, side, e, u) {
			continue
		}
		victims, newest, ok := b.victims(s, e, u)
		if ok && (best == nil || newest < bestNewest) {
			best, bestNewest = victims, newest
		}
	}
	return best
}

func (b *byHand) victims(s *sim, e *engine, u *unit) ([]*replica, time.Duration, bool) {
	need := u.replica - e.free()
	var out []*replica
	newest := time.Duration(0)
	taken := make(map[*replica]bool)
	for need > 0 {
		var oldest *replica
		for _, r := range e.replicas {
			if taken[r] || !b.idle(s, r) || r.unit == u.base {
				continue
			}
			if oldest == nil || r.lastUsed < oldest.lastUsed {
				oldest = r
			}
		}
		if oldest == nil {
			return nil, 0, false
		}
		taken[oldest] = true
		need -= oldest.unit.replica
		newest = max(newest, oldest.lastUsed)
		out = append(out, oldest)
	}
	return out, newest, true
}

// idle tells whether the replica may be unloaded.
func (b *byHand) idle(s *sim, r *replica) bool {
	if r.streams > 0 || r.withdrawn || !r.ready || r.unit.standby > 0 {
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

func (b *byHand) timeOut(s *sim, side int) []proposal {
	var out []proposal
	for _, e := range s.engines {
		if e.gone || s.side(e.domain) != side {
			continue
		}
		for _, r := range e.replicas {
			if !b.idle(s, r) || s.now-max(r.lastUsed, r.readySince) < b.keep {
				continue
			}
			out = append(out, proposal{proposer: s.planner(r.unit, side), owners: r.owners, Decision: placement.Decision{
				Kind: placement.Withdraw, Engine: e.name, Unit: r.unit.name, Right: r.right}})
		}
	}
	return out
}
