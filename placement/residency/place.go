package residency

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a swap that would load a model on one engine, with its cost.
type candidate struct {
	swap Swap
	cost time.Duration
	// engineBusy reports whether the engine can't begin the swap yet.
	engineBusy bool
}

// placementRequest says why a replica of a model is planned and what it may cost.
type placementRequest struct {
	reason string
	// version restricts the replica to engines of a software version, empty for any.
	version string
	// currentReplicas is the number of ready and loading replicas of the models that a
	// preload applies to.
	currentReplicas int
	// evictRunning allows the eviction of a model's only replica while it has requests
	// running; evictSurplusOnly allows only that of models with more replicas than they
	// need; noEvict allows no eviction.
	evictRunning, evictSurplusOnly, noEvict bool
	// maxStoreLoads bounds the concurrent loads from the store, this one included.
	maxStoreLoads int
}

// requiresGain reports whether the replica must gain more than it costs. A replica that
// requests wait for need not, nor one that takes only memory that no other model needs.
func (req placementRequest) requiresGain() bool {
	return req.reason != reasonWaiting && !req.evictSurplusOnly && !req.noEvict
}

// placeModel plans the cheapest swap that loads the model and reports whether it did. It
// plans none if the cheapest candidate is an engine with another swap in flight: an engine
// with a copy on its disk is worth waiting for if it is done before the store delivers.
func (r *round) placeModel(m *Model, req placementRequest) bool {
	best := candidate{cost: -1}
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || hasReplica(e, m.Name) || (req.version != "" && e.Version != req.version) {
			continue
		}
		if r.assignedEngines[e.ID] && e.BusyFor == 0 {
			continue // planned in this round; BusyFor doesn't include that swap yet
		}
		if req.noEvict && !r.hasRoom(e, m) {
			continue
		}
		c, ok := r.evaluate(e, m, req)
		if !ok || (c.swap.LoadsFromStore() && !r.canLoadFromStore(m, req)) {
			continue
		}
		if best.cost < 0 || c.cost < best.cost {
			best = c
		}
	}
	if best.cost < 0 || best.engineBusy || r.assignedEngines[best.swap.Engine] || (req.requiresGain() && best.cost > r.estimateGain(m, best.swap)) {
		return false
	}
	best.swap.Reason = req.reason
	r.recordSwap(best.swap)
	for _, name := range best.swap.Unload {
		r.readyReplicas[name]--
	}
	r.swaps = append(r.swaps, best.swap)
	return true
}

// canLoadFromStore reports whether the model may be loaded from the store for this request.
func (r *round) canLoadFromStore(m *Model, req placementRequest) bool {
	switch {
	case r.storeLoads >= req.maxStoreLoads:
		return false
	case req.reason == reasonWaiting, req.reason == reasonRefused:
		return true
	case r.hasFasterCopy(m):
		return false
	default:
		return req.reason != reasonBusy || float64(m.Waiting) >= r.maxUnplacedDemand()
	}
}

// hasFasterCopy reports whether an engine that accepts swaps has a copy of the model and
// could load it sooner than the store delivers. Without this check, while the engines with a
// copy have no memory free, an engine without one is occupied for 13 s by a load from the
// store that a copy would replace in 1 s a moment later.
func (r *round) hasFasterCopy(m *Model) bool {
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || hasReplica(e, m.Name) {
			continue
		}
		if source, loadTime := loadSource(e, m); source != SourceStore && e.BusyFor+loadTime < m.StoreLoadTime {
			return true
		}
	}
	return false
}

// maxUnplacedDemand returns the largest number of requests that any model without a replica
// or copy receives until the store delivers it. A busy model gets a further replica from the
// store only if at least as many requests wait for it. Otherwise, with a store that serves
// two loads at once at 13 s each, four loads go to further replicas of two busy models,
// while all 84 requests for two models that only the store has are refused for 30 s.
func (r *round) maxUnplacedDemand() float64 {
	if r.unplacedDemand >= 0 {
		return r.unplacedDemand
	}
	r.unplacedDemand = 0
	for _, m := range r.byUrgency {
		if r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] > 0 || r.hasFasterCopy(m) {
			continue
		}
		if m.Waiting > 0 || r.recentRefusals(m) >= 1 {
			r.unplacedDemand = max(r.unplacedDemand, float64(m.Waiting)+m.Rate*m.StoreLoadTime.Seconds())
		}
	}
	return r.unplacedDemand
}

// estimateGain returns the value of a replica that no request waits for yet: the waits that
// it saves within the demand horizon, plus its own load time.
func (r *round) estimateGain(m *Model, swap Swap) time.Duration {
	saved := m.Rate * demandHorizon.Seconds() * m.RequestWeight
	gain := swap.LoadTime + time.Duration(saved*float64(swap.LoadTime))
	if r.readyReplicas[m.Name] == 0 {
		gain += firstReplicaValue
	}
	return gain
}

// evaluate returns the swap that loads the model on the engine, with its cost: the load
// time, the engine's remaining busy time and current load, and the costs of evictions, unused
// memory and a shared failure domain. It returns false if the model can't be made to fit.
func (r *round) evaluate(e *Engine, m *Model, req placementRequest) (candidate, bool) {
	source, loadTime := loadSource(e, m)
	c := candidate{swap: Swap{Engine: e.ID, Load: m.Name, Source: source, LoadTime: loadTime}, cost: loadTime}
	free, known := r.freeBytes(e)
	if !known {
		return c, false
	}
	victims := r.findVictims(e, req)
	for free < m.Bytes {
		if len(victims) == 0 {
			return c, false
		}
		v := victims[0]
		victims = victims[1:]
		free += r.models[v.name].Bytes
		c.cost += v.cost
		c.swap.Unload = append(c.swap.Unload, v.name)
	}
	c.cost += e.BusyFor
	c.engineBusy = e.BusyFor > 0
	c.cost += r.unusedMemoryPenalty(free - m.Bytes)
	if r.replicaDomains[m.Name][e.Domain] {
		c.cost += sameDomainCost
	}
	// New requests share the engine's batch with those that already run.
	if e.Slots > 0 {
		c.cost += time.Duration(float64(e.Running) / float64(e.Slots) * float64(time.Second))
	}
	return c, true
}

// freeBytes returns the engine's memory that no model occupies, and false if it holds a model
// of unknown size, which unloadUnconfigured removes.
func (r *round) freeBytes(e *Engine) (int64, bool) {
	free := e.CapacityBytes
	for _, replica := range e.Models {
		m := r.models[replica.Name]
		if m == nil {
			return 0, false
		}
		free -= m.Bytes
	}
	return free, true
}

// hasRoom reports whether the model fits into the engine's free memory.
func (r *round) hasRoom(e *Engine, m *Model) bool {
	free, known := r.freeBytes(e)
	return known && free >= m.Bytes
}

func hasReplica(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Models, func(m Replica) bool { return m.Name == model })
}

// unusedMemoryPenalty returns the cost of leaving that many bytes free. Memory that another
// model fits into costs nothing, as it will be used.
func (r *round) unusedMemoryPenalty(free int64) time.Duration {
	if r.minModelBytes <= 0 || free >= r.minModelBytes {
		return 0
	}
	return time.Duration(float64(unusedMemoryCost) * float64(free) / float64(r.minModelBytes))
}

// loadSource returns the best source from which the engine can load the model, with the load
// time.
func loadSource(e *Engine, m *Model) (Source, time.Duration) {
	switch {
	case e.InMemory[m.Name]:
		return SourceMemory, m.MemoryLoadTime
	case e.OnDisk[m.Name]:
		return SourceDisk, m.DiskLoadTime
	default:
		return SourceStore, m.StoreLoadTime
	}
}

// victim is a model that could be evicted, with the cost of its eviction.
type victim struct {
	name string
	cost time.Duration
}

// findVictims returns the engine's models that could be evicted, cheapest first.
func (r *round) findVictims(e *Engine, req placementRequest) []victim {
	var out []victim
	for _, replica := range e.Models {
		if cost, ok := r.evictCost(replica, req); ok {
			out = append(out, victim{replica.Name, cost})
		}
	}
	slices.SortFunc(out, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.name, b.name))
	})
	return out
}

// evictCost returns the cost of evicting a replica, and false if it must stay.
func (r *round) evictCost(replica Replica, req placementRequest) (time.Duration, bool) {
	if !replica.Ready || r.Now.Sub(replica.FirstSeen) < minResidenceTime {
		return 0, false
	}
	m := r.models[replica.Name]
	if m == nil {
		return 0, false
	}
	others := r.readyReplicas[replica.Name] - 1
	if m.Waiting > 0 && others < 1 {
		return 0, false
	}
	cost := UnloadTime
	if replica.Running > 0 {
		if !req.evictRunning && others < 1 {
			return 0, false
		}
		cost += drainTime
	}
	if others >= 1 && others >= r.desiredReplicas(m) {
		return cost, true
	}
	if others >= 1 || req.evictSurplusOnly {
		// The model's other engines would be overloaded, and busy models would evict
		// each other in turn.
		return 0, false
	}
	reloadTime := min(m.DiskLoadTime, m.StoreLoadTime)
	return cost + firstReplicaValue + time.Duration(m.Rate*m.RequestWeight*demandHorizon.Seconds()*float64(reloadTime)), true
}
