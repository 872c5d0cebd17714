package placement

import "time"

// isBusy reports whether the engine has reached TargetUtilization. Scaling a unit
// up gains nothing on such an engine.
func (r *round) isBusy(fe *fleetEngine) bool {
	return fe.Slots > 0 && float64(fe.streams) >= r.p.cfg.TargetUtilization*float64(fe.Slots)
}

// isFull reports whether the share of the engine's slots in use has reached
// fullUtilization.
func (fe *fleetEngine) isFull() bool {
	return fe.Slots > 0 && float64(fe.streams) >= fullUtilization*float64(fe.Slots)
}

// fullUtilization is the share of slots in use from which an engine counts as
// full. The other tenth covers the slots that routers reserve for customers below
// their fair share, and requests that started or ended after the last report.
const fullUtilization = 0.9

// scaleUp adds a replica to busy units before requests wait: with random arrivals
// the wait rises steeply once most slots are in use, and a load takes seconds.
func (r *round) scaleUp() {
	for _, u := range r.heldUnits {
		if u.MaxReplicas < 2 {
			continue
		}
		if u.Base != "" {
			r.addAdapterReplica(u)
			continue
		}
		usage := r.usageOf(u.Name)
		if usage.ready == 0 || float64(usage.running) < r.p.cfg.TargetUtilization*float64(usage.slots) || 2*usage.ownRunning < usage.running {
			continue
		}
		if _, loading := r.countReadyAndLoading(u.Name); loading > 0 {
			continue
		}
		r.start(u, r.domainWithFewestRights(u), "replicas busy")
	}
}

// addAdapterReplica grants an adapter in use one more replica on a less busy
// engine before its own engines are full. Without it, requests for an adapter with
// a single replica wait for a slot of that engine while others have free slots: in
// a pool with 55% of its slots in use, an engine with 16 slots is full about once
// in 70 samples. A replica of an adapter costs next to nothing, and nothing is
// evicted for it.
func (r *round) addAdapterReplica(u Unit) {
	active, streams := false, 0
	for _, rep := range r.fleet.byUnit[u.Name] {
		if !rep.holding.Ready || !r.isActive(rep) || !rep.engine.isServing() {
			continue
		}
		if !r.isBusy(rep.engine) {
			return
		}
		streams = max(streams, rep.engine.streams)
		active = active || r.idleTime(rep.holding) < maxAdapterIdle
	}
	if !active || !r.canAddReplica(u) {
		return
	}
	target, ok := r.leastBusyBase(u)
	if !ok || r.isAdapterPending(target, u.Base) || r.freeMemory(target, u.Name) < u.Bytes {
		return
	}
	if _, loading := r.countReadyAndLoading(u.Name); loading == 0 && float64(streams-target.streams) >= minMoveGain*float64(target.Slots) {
		r.proposeGrant(target, u, true, "base busy")
	}
}

// maxAdapterIdle is the longest idle time with which an adapter gets a further
// replica.
const maxAdapterIdle = time.Minute

// usage sums up the use of a unit's ready replicas.
type usage struct {
	ready, slots int
	// running counts all requests on the replicas' engines, ownRunning those for the
	// unit and for the adapters based on it.
	running, ownRunning int
}

// usageOf returns the use of the unit's replicas that are ready and serving.
func (r *round) usageOf(unit string) usage {
	var out usage
	for _, rep := range r.fleet.byUnit[unit] {
		if !rep.holding.Ready || !r.isActive(rep) || !rep.engine.isServing() {
			continue
		}
		out.ready++
		out.slots += rep.engine.Slots
		out.running += rep.engine.streams
		out.ownRunning += rep.holding.Streams + rep.engine.adapterStreams(unit)
	}
	return out
}

// adapterStreams counts the requests that run on the adapters of a base.
func (fe *fleetEngine) adapterStreams(base string) int {
	if fe.adaptersByBase[base] == 0 {
		return 0
	}
	n := 0
	for i := range fe.Holdings {
		if fe.Holdings[i].Base == base {
			n += fe.Holdings[i].Streams
		}
	}
	return n
}

// scaleDown releases one replica of a unit once one fewer has been enough for
// ScaleDownDelay. Routers stop sending requests to it, and the engine lets its
// streams end.
func (r *round) scaleDown() {
	for _, u := range r.heldUnits {
		if u.Base != "" {
			// An adapter costs next to nothing: releaseIdle decides by its idle time.
			continue
		}
		if !r.isOverprovisioned(u) {
			delete(r.p.overprovisionedSince, u.Name)
			continue
		}
		since, ok := r.p.overprovisionedSince[u.Name]
		if !ok {
			r.p.overprovisionedSince[u.Name] = r.v.Now
			continue
		}
		if r.v.Now.Sub(since) < r.p.cfg.ScaleDownDelay {
			continue
		}
		if rep, ok := r.leastNeededReplica(u); ok {
			r.release(u, rep, "fewer replicas are enough")
			r.p.overprovisionedSince[u.Name] = r.v.Now
		}
	}
}

// scaleDownUtilization is the share of the remaining slots in use up to which one
// replica fewer is enough. It is well below TargetUtilization, so that scaling does
// not oscillate.
const scaleDownUtilization = 0.4

// isOverprovisioned reports whether one replica fewer would be enough.
func (r *round) isOverprovisioned(u Unit) bool {
	usage := r.usageOf(u.Name)
	if usage.ready < 2 || r.countWanted(u) <= max(u.MinReplicas, 1) || r.demandByUnit[u.Name] != nil {
		return false
	}
	// Slots that other units use on the same engines are not available to this unit.
	availableSlots := float64(usage.slots-(usage.running-usage.ownRunning)) * float64(usage.ready-1) / float64(usage.ready)
	return float64(usage.ownRunning) <= scaleDownUtilization*availableSlots
}

// leastNeededReplica returns the ready replica to release first: one in the failure
// domain with the most replicas, then the one with the fewest streams, then the one
// with the fewest adapters, then the one on the smallest engine.
func (r *round) leastNeededReplica(u Unit) (replica, bool) {
	inDomain := make(map[string]int)
	for _, rep := range r.replicasOf(u) {
		if rep.holding.Ready && r.isActive(rep) && rep.engine.isServing() {
			inDomain[rep.engine.Domain]++
		}
	}
	var best replica
	found := false
	for _, rep := range r.replicasOf(u) {
		if !rep.holding.Ready || !r.isActive(rep) || rep.engine.adaptersByBase[u.Name] > 0 && !r.canEvictAdapters(rep) {
			continue
		}
		if !found || isLessNeeded(rep, best, inDomain) {
			best, found = rep, true
		}
	}
	return best, found
}

// isLessNeeded reports whether replica a is to be released before b. inDomain
// counts the unit's replicas by failure domain.
func isLessNeeded(a, b replica, inDomain map[string]int) bool {
	if x, y := inDomain[a.engine.Domain], inDomain[b.engine.Domain]; x != y {
		return x > y
	}
	if a.holding.Streams != b.holding.Streams {
		return a.holding.Streams < b.holding.Streams
	}
	if x, y := a.engine.adaptersByBase[a.holding.Unit], b.engine.adaptersByBase[b.holding.Unit]; x != y {
		return x < y
	}
	return a.engine.MemoryBytes < b.engine.MemoryBytes
}

// canEvictAdapters reports whether all adapters based on the replica may be
// evicted.
func (r *round) canEvictAdapters(base replica) bool {
	for i := range base.engine.Holdings {
		h := &base.engine.Holdings[i]
		if h.Base == base.holding.Unit && !h.Withdrawn && !r.canEvict(base.engine, h) {
			return false
		}
	}
	return true
}
