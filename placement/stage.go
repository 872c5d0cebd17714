package placement

import "time"

// A model that wakes up loads in 3 to 8 s from an engine's memory, in 9 to 22 s
// from its disk and in 11 to 51 s from the weight store. So the planner keeps
// copies of checkpoints where they can be used, while nothing else goes on.

const (
	// stageCopies is how many engines in reach should have a model's checkpoint
	// cached: one of them may be full when the model wakes up.
	stageCopies = 2
	// slowFromDisk is the load time from disk from which a second copy in memory
	// is kept: for the largest models the disk is no good fallback, and memory has
	// no room for two copies of all.
	slowFromDisk = 15 * time.Second
	// stageChance is how likely a further copy is what the next wake-up loads
	// from: that the engine with the first is taken just then.
	stageChance = 0.1
	// stageTerm is the least time between two stagings of a unit. Caches are
	// bounded and their sizes unknown: without it, two models that push each
	// other out of one cache would be staged in turn.
	stageTerm = time.Hour
)

// stage loads a unit once where too few engines have its checkpoint cached, or
// none in memory, and lets it go again: the first request then need not wait for
// the weight store or a disk. It runs while the store is idle, one at a time.
func (r *round) stage() {
	if !r.p.cfg.Preload || r.v.Store.Running > 0 || len(r.v.Demand) > 0 {
		return
	}
	for _, d := range r.p.pending {
		if d.remote {
			return
		}
	}
	for _, u := range r.v.Units {
		if len(r.fleet.byUnit[u.Name]) > 0 || r.v.Now.Sub(r.p.staged[u.Name]) < stageTerm || r.copiesSuffice(u) || !r.dormant(u) {
			continue
		}
		if r.stageOne(u) {
			r.p.staged[u.Name] = r.v.Now
			return
		}
	}
}

// copiesSuffice tells whether the unit would wake up well from what is cached.
// An adapter is read in a fifth of a second from anywhere: one copy is enough.
func (r *round) copiesSuffice(u Unit) bool {
	if u.Base != "" {
		return r.fleet.bestTier(u.Checkpoint) != TierRemote
	}
	copies, memory := r.copies(u)
	want := 1
	if r.p.loads.expect(u, TierDisk) >= slowFromDisk {
		want = stageCopies
	}
	return copies >= stageCopies && memory >= want
}

// copies counts the engines in reach that have the unit's checkpoint cached, and
// those of them that have it in memory.
func (r *round) copies(u Unit) (copies, memory int) {
	for fe, tier := range r.fleet.cached[u.Checkpoint] {
		if tier == TierRemote || !fe.usable() || r.unpromised(fe) < u.Bytes {
			continue
		}
		copies++
		if tier == TierMemory {
			memory++
		}
	}
	return copies, memory
}

// unpromised is the engine's memory beside what contracts hold for good there:
// copies on an engine without room for the unit serve nobody. A model with such
// copies alone came from the weight store at opening time.
func (r *round) unpromised(fe *fleetEngine) int64 {
	left, known := r.spare[fe]
	if known {
		return left
	}
	left = fe.MemoryBytes
	for i := range fe.Holdings {
		if r.promised(&fe.Holdings[i]) {
			left -= fe.Holdings[i].Bytes
		}
	}
	if r.spare == nil {
		r.spare = make(map[*fleetEngine]int64)
	}
	r.spare[fe] = left
	return left
}

// stageOne loads the unit on an engine with room that does not have it in memory
// yet. A domain without a copy first, then the engine with the fewest checkpoints
// in memory, as one more would push out the fewest.
func (r *round) stageOne(u Unit) bool {
	if u.Base != "" {
		return r.startFree(u, "no engine has the checkpoint")
	}
	if !r.mayGrow(u) {
		return false
	}
	// Where only a copy in memory is missing, one on a disk is read: the weight
	// store is left to others.
	from := TierRemote
	copies, _ := r.copies(u)
	if copies >= stageCopies {
		from = TierDisk
	}
	covered := make(map[string]bool)
	for fe, tier := range r.fleet.cached[u.Checkpoint] {
		covered[fe.Domain] = covered[fe.Domain] || tier != TierRemote
	}
	var best *fleetEngine
	bestCost := 0
	for _, fe := range r.fleet.order {
		if !r.allowed(fe, u) || r.free(fe, u.Name) < u.Bytes || fe.tier(u.Checkpoint) != from || r.unpromised(fe) < u.Bytes {
			continue
		}
		if copies > 0 && !r.worthStaging(fe, u) {
			continue
		}
		cost := fe.inMemory()
		if covered[fe.Domain] {
			cost += coveredDomain
		}
		if best == nil || cost < bestCost {
			best, bestCost = fe, cost
		}
	}
	return best != nil && r.grant(best, u, true, "too few copies of the checkpoint")
}

// worthStaging weighs a further copy: what a cold start from the engine's memory
// saves, times its chance, against the idle time of the load.
func (r *round) worthStaging(fe *fleetEngine, u Unit) bool {
	load := r.expect(fe, u)
	saved := r.p.cfg.coldCost(load) - r.p.cfg.coldCost(r.p.loads.expect(u, TierMemory))
	idle := r.p.cfg.idleCost(float64(u.Bytes) / float64(max(fe.MemoryBytes, 1)))
	return stageChance*saved > idle*(load+r.p.cfg.MinKeepAlive).Seconds()
}

// coveredDomain is how many more checkpoints in memory an engine in a domain
// without a copy may have: the domain may be cut off.
const coveredDomain = 2

// inMemory counts the checkpoints that the engine has cached in memory.
func (fe *fleetEngine) inMemory() int {
	n := 0
	for _, tier := range fe.Cached {
		if tier == TierMemory {
			n++
		}
	}
	return n
}

// onlyStaged tells whether the replica was staged and not used since it is ready.
func (r *round) onlyStaged(h *Holding) bool {
	at, ok := r.p.staged[h.Unit]
	return ok && r.v.Now.Sub(at) < stageTerm && !h.LastUsed.After(h.ReadySince)
}
