package placement

import "time"

// A model loads in 3 to 8 s from an engine's memory, in 9 to 22 s from its disk
// and in 11 to 51 s from the weight store. So while the weight store is idle, the
// planner stages checkpoints: it has them cached on engines that can run the model.

const (
	// minCachedCopies is on how many usable engines a model's checkpoint should be
	// cached, as one of them may be full when the model wakes up.
	minCachedCopies = 2
	// slowDiskLoad is the load time from disk from which a model gets a second copy
	// in memory. For the largest models the disk is too slow as a fallback, and the
	// engines' memory has no room for two copies of every model.
	slowDiskLoad = 15 * time.Second
	// extraCopyProbability is the probability that the next wake-up loads from a
	// further copy because the engine with the first one is in use.
	extraCopyProbability = 0.1
	// minStageInterval is the least time between two stagings of a unit. The sizes
	// of the engines' caches are limited and unknown: without it, two models that
	// evict each other from one cache would be staged in turn.
	minStageInterval = time.Hour
)

// stage loads a unit once if too few engines have its checkpoint cached, or too few
// in memory. releaseIdle unloads it again soon. The next first request then does
// not wait for the weight store or a disk. Units are staged one at a time, while
// the store is idle.
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
		if len(r.fleet.byUnit[u.Name]) > 0 || r.v.Now.Sub(r.p.stagedAt[u.Name]) < minStageInterval || r.hasEnoughCopies(u) || !r.isDormant(u) {
			continue
		}
		if r.stageUnit(u) {
			r.p.stagedAt[u.Name] = r.v.Now
			return
		}
	}
}

// hasEnoughCopies reports whether enough engines have the unit's checkpoint cached.
// For an adapter one copy is enough, as it is read in a fifth of a second from
// anywhere.
func (r *round) hasEnoughCopies(u Unit) bool {
	if u.Base != "" {
		return r.fleet.fastestTier(u.Checkpoint) != TierRemote
	}
	copies, memory := r.countCopies(u)
	want := 1
	if r.p.loads.expectedTime(u, TierDisk) >= slowDiskLoad {
		want = minCachedCopies
	}
	return copies >= minCachedCopies && memory >= want
}

// countCopies counts the engines that have the unit's checkpoint cached and could
// run the unit, and those of them that have it in memory.
func (r *round) countCopies(u Unit) (copies, memory int) {
	for fe, tier := range r.fleet.cached[u.Checkpoint] {
		if tier == TierRemote || !fe.isUsable() || r.unreservedMemory(fe) < u.Bytes {
			continue
		}
		copies++
		if tier == TierMemory {
			memory++
		}
	}
	return copies, memory
}

// unreservedMemory returns the engine's memory without that of holdings which
// contracts require. A copy of a checkpoint is of no use on an engine without
// enough of it: a model with only such copies is loaded from the weight store at
// its next wake-up.
func (r *round) unreservedMemory(fe *fleetEngine) int64 {
	memory, known := r.unreserved[fe]
	if known {
		return memory
	}
	memory = fe.MemoryBytes
	for i := range fe.Holdings {
		if r.isRequiredByContract(&fe.Holdings[i]) {
			memory -= fe.Holdings[i].Bytes
		}
	}
	if r.unreserved == nil {
		r.unreserved = make(map[*fleetEngine]int64)
	}
	r.unreserved[fe] = memory
	return memory
}

// stageUnit loads the unit on an engine with room that does not have its
// checkpoint in memory yet. It prefers a failure domain without a copy, and engines
// with few checkpoints in memory, as one more would evict the fewest there.
func (r *round) stageUnit(u Unit) bool {
	if u.Base != "" {
		return r.startWithoutEviction(u, "no engine has the checkpoint")
	}
	if !r.canAddReplica(u) {
		return false
	}
	// If only a copy in memory is missing, it is read from a disk to spare the
	// weight store.
	from := TierRemote
	copies, _ := r.countCopies(u)
	if copies >= minCachedCopies {
		from = TierDisk
	}
	domainHasCopy := make(map[string]bool)
	for fe, tier := range r.fleet.cached[u.Checkpoint] {
		domainHasCopy[fe.Domain] = domainHasCopy[fe.Domain] || tier != TierRemote
	}
	var best *fleetEngine
	bestCost := 0
	for _, fe := range r.fleet.sortedEngines {
		if !r.canPlace(fe, u) || r.freeMemory(fe, u.Name) < u.Bytes || fe.tier(u.Checkpoint) != from || r.unreservedMemory(fe) < u.Bytes {
			continue
		}
		if copies > 0 && !r.isStagingWorthwhile(fe, u) {
			continue
		}
		cost := fe.countInMemory()
		if domainHasCopy[fe.Domain] {
			cost += coveredDomainPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = fe, cost
		}
	}
	return best != nil && r.proposeGrant(best, u, true, "too few copies of the checkpoint")
}

// isStagingWorthwhile reports whether a further copy saves more than it costs: the
// difference to a cold start from the engine's memory, times the probability that
// the copy is used, against the idle time of the load.
func (r *round) isStagingWorthwhile(fe *fleetEngine, u Unit) bool {
	load := r.expectedLoadTime(fe, u)
	saved := r.p.cfg.coldStartCost(load) - r.p.cfg.coldStartCost(r.p.loads.expectedTime(u, TierMemory))
	idle := r.p.cfg.idleCost(float64(u.Bytes) / float64(max(fe.MemoryBytes, 1)))
	return extraCopyProbability*saved > idle*(load+r.p.cfg.MinKeepAlive).Seconds()
}

// coveredDomainPenalty is how many more checkpoints in memory an engine in a
// failure domain without a copy may have to be preferred, as that domain may be
// partitioned from the others.
const coveredDomainPenalty = 2

// countInMemory counts the checkpoints that the engine has cached in memory.
func (fe *fleetEngine) countInMemory() int {
	n := 0
	for _, tier := range fe.Cached {
		if tier == TierMemory {
			n++
		}
	}
	return n
}

// isOnlyStaged reports whether the replica was staged and has not been used since
// it became ready.
func (r *round) isOnlyStaged(h *Holding) bool {
	stagedAt, ok := r.p.stagedAt[h.Unit]
	return ok && r.v.Now.Sub(stagedAt) < minStageInterval && !h.LastUsed.After(h.ReadySince)
}
