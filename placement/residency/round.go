package residency

import (
	"cmp"
	"slices"
)

// round holds the state of one call of Plan or EstimateReadyTimes.
type round struct {
	PlanInput
	models map[string]*Model
	// byUrgency are the models, the most urgent first.
	byUrgency []*Model
	// readyReplicas and loadingReplicas count each model's replicas.
	readyReplicas, loadingReplicas map[string]int
	// storeLoads counts the loads from the store, in flight and planned.
	storeLoads int
	// hasDemand reports whether any model is requested.
	hasDemand bool
	// replicaDomains are the failure domains with a replica of each model.
	replicaDomains map[string]map[string]bool
	// minModelBytes is the size of the smallest model.
	minModelBytes int64
	// preloads counts the loads ahead of demand, in flight and planned.
	preloads int
	// unplacedDemand caches the result of maxUnplacedDemand; it is negative before the
	// first call.
	unplacedDemand float64
	// assignedEngines are the engines with a swap in flight or planned in this round.
	assignedEngines map[string]bool
	swaps           []Swap
}

func newRound(in PlanInput) *round {
	r := &round{
		PlanInput: in, models: make(map[string]*Model, len(in.Models)),
		readyReplicas: make(map[string]int), loadingReplicas: make(map[string]int), assignedEngines: make(map[string]bool),
		replicaDomains: make(map[string]map[string]bool, len(in.Models)), unplacedDemand: -1,
	}
	for i := range in.Models {
		m := &in.Models[i]
		r.models[m.Name] = m
		r.byUrgency = append(r.byUrgency, m)
		r.hasDemand = r.hasDemand || m.Rate > 0
		if r.minModelBytes == 0 || m.Bytes < r.minModelBytes {
			r.minModelBytes = m.Bytes
		}
	}
	for i := range in.Engines {
		for _, m := range in.Engines[i].Models {
			if m.Ready && in.Engines[i].Serving {
				r.readyReplicas[m.Name]++
				r.addReplicaDomain(m.Name, in.Engines[i].Domain)
			}
		}
	}
	for _, swap := range in.InFlight {
		r.recordSwap(swap)
	}
	slices.SortFunc(r.byUrgency, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(r.urgency(b), r.urgency(a)), cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Name, b.Name))
	})
	return r
}

func (r *round) addReplicaDomain(model, domain string) {
	if r.replicaDomains[model] == nil {
		r.replicaDomains[model] = make(map[string]bool)
	}
	r.replicaDomains[model][domain] = true
}

// urgency returns the model's urgency by its waiting or its refused requests, whichever is
// higher.
func (r *round) urgency(m *Model) float64 {
	return max(m.urgency(), r.recentRefusals(m)*m.RequestWeight)
}

// recentRefusals returns how many requests for a model without any replica came within the
// demand horizon. Requests that can't wait for a load are refused at once and never show
// up as waiting; without this count such a model would never be loaded.
func (r *round) recentRefusals(m *Model) float64 {
	if r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] > 0 {
		return 0
	}
	return m.Rate * demandHorizon.Seconds()
}

func (r *round) recordSwap(swap Swap) {
	r.loadingReplicas[swap.Load]++
	r.assignedEngines[swap.Engine] = true
	if swap.Reason == reasonPreload || swap.Reason == reasonSpare {
		r.preloads++
	}
	if swap.LoadsFromStore() {
		r.storeLoads++
	}
}

// unloadUnconfigured unloads models that are no longer in the configuration. Their size
// isn't known, and an engine that is told to load more than fits crashes.
func (r *round) unloadUnconfigured() {
	for i := range r.Engines {
		e := &r.Engines[i]
		if !e.AcceptsSwaps || e.BusyFor > 0 || r.assignedEngines[e.ID] {
			continue
		}
		swap := Swap{Engine: e.ID, Reason: "not configured"}
		for _, replica := range e.Models {
			if r.models[replica.Name] == nil && replica.Running == 0 {
				swap.Unload = append(swap.Unload, replica.Name)
			}
		}
		if len(swap.Unload) > 0 {
			r.assignedEngines[e.ID] = true
			r.swaps = append(r.swaps, swap)
		}
	}
}

// serveDemand places requested models and adds replicas of busy ones in a single pass, the
// most urgent model first. With a separate first pass for models without a replica, those
// models take all loads from the store as long as any of them is left, and a busy model gets
// none.
func (r *round) serveDemand() {
	for _, m := range r.byUrgency {
		r.placeAtVersions(m)
		r.placeRequested(m)
		r.addReplicas(m)
	}
}

// placeAtVersions plans a replica at each software version that requests wait for and that has none.
// Such requests continue streams that engines of the version began; engines of other versions that hold the
// model don't help them.
func (r *round) placeAtVersions(m *Model) {
	for _, demand := range m.WaitingAt {
		if !r.hasReplicaAt(m.Name, demand.Version) {
			r.placeModel(m, placementRequest{
				reason: reasonWaiting, version: demand.Version, evictRunning: demand.OldestWait > starvationThreshold, maxStoreLoads: r.MaxStoreLoads,
			})
		}
	}
}

// hasReplicaAt reports whether an engine of the software version holds or loads the model.
func (r *round) hasReplicaAt(model, version string) bool {
	for i := range r.Engines {
		e := &r.Engines[i]
		if e.Version != version || !e.Serving {
			continue
		}
		loads := func(s Swap) bool { return s.Engine == e.ID && s.Load == model }
		if hasReplica(e, model) || slices.ContainsFunc(r.InFlight, loads) || slices.ContainsFunc(r.swaps, loads) {
			return true
		}
	}
	return false
}

// placeRequested plans a replica of a model that has waiting or refused requests and no
// replica, ready or loading; or a further replica if the model's engines are full of
// requests for other models.
func (r *round) placeRequested(m *Model) {
	switch {
	case r.loadingReplicas[m.Name] > 0:
	case m.Waiting == 0 && r.recentRefusals(m) >= 1:
		r.placeModel(m, placementRequest{reason: reasonRefused, maxStoreLoads: r.MaxStoreLoads})
	case m.Waiting == 0:
	case r.readyReplicas[m.Name] == 0:
		r.placeModel(m, placementRequest{reason: reasonWaiting, evictRunning: m.OldestWait > starvationThreshold, maxStoreLoads: r.MaxStoreLoads})
	case m.OldestWait > starvationThreshold && r.isDisplaced(m):
		r.placeModel(m, placementRequest{reason: reasonDisplaced, evictSurplusOnly: true})
	}
}

// isDisplaced reports whether all engines that hold the model are full, mostly with
// requests for other models. A rare model that shares its engines with a busy one gets no
// slot, as requests for the busy one take each slot that becomes free: the rare model's
// requests wait while engines with a copy of it are idle.
func (r *round) isDisplaced(m *Model) bool {
	ownRequests := 0
	for i := range r.Engines {
		e := &r.Engines[i]
		index := slices.IndexFunc(e.Models, func(replica Replica) bool { return replica.Name == m.Name && replica.Ready })
		if index < 0 || !e.Serving {
			continue
		}
		if float64(e.Running) < saturatedUtilization*float64(e.Slots) {
			return false
		}
		ownRequests += e.Models[index].Running
	}
	return float64(ownRequests) < scaleOutUtilization*float64(r.readyReplicas[m.Name]*r.maxEngineSlots())
}

// addReplicas plans further replicas of a busy model.
func (r *round) addReplicas(m *Model) {
	if !r.hasDemand {
		return
	}
	for r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] > 0 && r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] < r.desiredReplicas(m) && r.loadingReplicas[m.Name] < maxLoadsPerModel {
		if !r.placeModel(m, placementRequest{reason: reasonBusy, maxStoreLoads: r.MaxStoreLoads}) {
			return
		}
	}
}

// preload plans loads ahead of demand. It places models without a replica first, from an
// engine's copy or, if no other model needs it, from the store, where this gains more than
// an eviction costs. It then adds a second replica of each model from engines' copies while
// memory is free. Without it, when engines crash or become unreachable, or demand moves to
// models with one replica, the next replica comes from the store, which takes many seconds.
func (r *round) preload() {
	// One load from the store stays available for waiting requests.
	limit, storeLoads := maxPreloads, r.MaxStoreLoads-1
	if !r.hasWaitingWithoutReplica() {
		limit, storeLoads = len(r.Engines), max(1, storeLoads)
	}
	for _, req := range []placementRequest{
		{reason: reasonPreload, maxStoreLoads: storeLoads},
		{reason: reasonSpare, currentReplicas: 1, noEvict: true},
	} {
		for _, m := range r.byUrgency {
			if r.preloads >= limit {
				return
			}
			if r.readyReplicas[m.Name]+r.loadingReplicas[m.Name] == req.currentReplicas {
				r.placeModel(m, req)
			}
		}
	}
}

// hasWaitingWithoutReplica reports whether requests wait for a model without a ready
// replica.
func (r *round) hasWaitingWithoutReplica() bool {
	return slices.ContainsFunc(r.byUrgency, func(m *Model) bool { return m.Waiting > 0 && r.readyReplicas[m.Name] == 0 })
}

// desiredReplicas returns how many replicas the model should have for its load.
func (r *round) desiredReplicas(m *Model) int {
	slots := r.maxEngineSlots()
	desired := 1
	if !r.hasDemand {
		desired = replicasWithoutDemand
	}
	if slots > 0 {
		desired += int(float64(m.Running+m.Waiting) / (scaleOutUtilization * float64(slots)))
	}
	if m.Rate >= minTwoReplicaRate {
		desired = max(desired, 2)
	}
	return desired
}

// maxEngineSlots returns how many concurrent requests the largest engine runs.
func (r *round) maxEngineSlots() int {
	slots := 0
	for i := range r.Engines {
		slots = max(slots, r.Engines[i].Slots)
	}
	return slots
}
