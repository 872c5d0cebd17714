package replay

import (
	"time"

	"bergamotreel/admission"
	"bergamotreel/routing"
)

type ticket = *admission.Ticket

// handleArrival enqueues a new request of the trace at its router.
func (s *sim) handleArrival(a arrival) {
	s.nextID++
	r := &request{arrival: a, id: s.nextID, deadline: a.at + a.unit.maxWait}
	r.cold = !s.hasReadyReplica(a.unit, s.routers[a.router])
	r.delayCause = s.arrivalCause(a.unit, !r.cold)
	s.decider.recordRequest(a.unit, s.currentTime())
	if s.isMeasuredDay() {
		s.metrics.requests++
	}
	s.enqueue(r)
}

// enqueue submits the request at its router, or at the next one that is not
// reclaimed.
func (s *sim) enqueue(r *request) {
	for s.routers[r.router].reclaimed {
		r.router = (r.router + 1) % len(s.routers)
	}
	if !s.routers[r.router].queue.submit(s.currentTime(), r) {
		s.refuse(r)
		return
	}
	s.waiting[r.unit.pool()]++
	s.dispatch(r.unit.pool())
	if r.replica == nil && !r.ended {
		if !r.cold {
			r.delayCause = s.waitCause(r)
		}
		s.at(r.deadline, func() { s.expire(s.routers[r.router]) })
		s.requestPlan()
	}
}

func (s *sim) hasReadyReplica(u *unit, vm *router) bool {
	for _, r := range s.replicas[u.id] {
		if s.canServe(r, vm) {
			return true
		}
	}
	return false
}

// ownerBit returns the router's bit in replica.owners.
func (vm *router) ownerBit() uint32 { return 1 << vm.id }

// allRouters is the owners of a replica that every router may use.
const allRouters = ^uint32(0)

// canServe reports whether the router may send requests to the replica.
func (s *sim) canServe(r *replica, vm *router) bool {
	return r.ready && !r.withdrawn && !r.engine.reclaimed &&
		r.owners&vm.ownerBit() != 0 && s.canReach(vm.domain, r.engine.domain)
}

// dispatch sends waiting requests of the pool to engines with free slots,
// round-robin over the routers.
func (s *sim) dispatch(pool string) {
	for s.waiting[pool] > 0 {
		sent := false
		for range s.routers {
			s.lastRouter = (s.lastRouter + 1) % len(s.routers)
			if s.sendNext(s.routers[s.lastRouter], pool) {
				sent = true
			}
		}
		if !sent {
			return
		}
	}
}

func (s *sim) sendNext(vm *router, pool string) bool {
	if vm.reclaimed {
		return false
	}
	var target *replica
	r := vm.queue.next(s.currentTime(), pool, func(r *request, overFairShare bool) bool {
		target = s.chooseReplica(r, vm, overFairShare)
		return target != nil
	})
	if r == nil {
		return false
	}
	s.waiting[pool]--
	s.send(r, target)
	return true
}

// chooseReplica returns the ready replica with a free slot and the least load.
// Load is weighted to prefer the router's failure domain. A customer above its fair share leaves
// the reserve free, by the daemon's own rule (routing.EngineReserve). A request
// that cannot have its first token in time gets no replica.
func (s *sim) chooseReplica(r *request, vm *router, overFairShare bool) *replica {
	if s.now+TimeToFirstToken > r.deadline && r.firstToken == 0 {
		return nil
	}
	slots := 0
	for _, candidate := range s.replicas[r.unit.id] {
		if s.canServe(candidate, vm) {
			slots += candidate.engine.slots
		}
	}
	var best *replica
	for _, candidate := range s.replicas[r.unit.id] {
		if !s.canServe(candidate, vm) {
			continue
		}
		reserve := 0
		if overFairShare {
			reserve = routing.EngineReserve(candidate.engine.slots, slots)
		}
		if candidate.engine.slots-candidate.engine.running > reserve && (best == nil || s.isLessLoaded(candidate, best, vm)) {
			best = candidate
		}
	}
	return best
}

// otherDomainCost is the difference in load, as a fraction of the slots, up to
// which a busier engine in the router's failure domain is preferred to one outside
// it. It is the value of package routing.
const otherDomainCost = 0.4

func (s *sim) isLessLoaded(a, b *replica, vm *router) bool {
	return s.effectiveLoad(a, vm) < s.effectiveLoad(b, vm)
}

// effectiveLoad returns the busy fraction of the slots of the replica's engine,
// plus otherDomainCost if the engine is in another failure domain.
func (s *sim) effectiveLoad(r *replica, vm *router) float64 {
	load := float64(r.engine.running) / float64(r.engine.slots)
	if r.engine.domain != vm.domain {
		load += otherDomainCost
	}
	return load
}

func (s *sim) send(r *request, target *replica) {
	r.replica = target
	s.running[r.id] = r
	s.beginUse(target)
	if base := s.baseReplica(target); base != nil {
		s.beginUse(base)
	}
	target.engine.running++
	target.engine.dirty = true
	r.attempt++
	attempt := r.attempt
	s.after(TimeToFirstToken, func() {
		if r.attempt == attempt && r.firstToken == 0 {
			r.firstToken = s.now
			s.recordFirstToken(r)
		}
	})
	s.after(max(r.service, TimeToFirstToken+time.Millisecond), func() {
		if r.attempt == attempt {
			s.completeRequest(r)
		}
	})
}

func (s *sim) baseReplica(r *replica) *replica {
	if r.unit.base == nil {
		return nil
	}
	return r.engine.replicaOf(r.unit.base)
}

func (s *sim) completeRequest(r *request) {
	target := r.replica
	s.releaseSlot(r)
	r.ended = true
	s.routers[r.router].queue.finish(s.currentTime(), r)
	for _, other := range target.engine.replicas {
		if other.unit.base == nil {
			s.dispatch(other.unit.name)
		}
	}
}

// releaseSlot frees the request's slot.
func (s *sim) releaseSlot(r *request) {
	target := r.replica
	r.replica = nil
	delete(s.running, r.id)
	target.engine.running--
	target.engine.dirty = true
	s.endUse(target)
	if base := s.baseReplica(target); base != nil {
		s.endUse(base)
	}
}

func (s *sim) beginUse(r *replica) {
	s.accountIdleTime(r)
	r.streams++
	r.lastUsed = s.now
}

func (s *sim) endUse(r *replica) {
	r.streams--
	r.lastUsed = s.now
	r.idleFrom = s.now
	if r.streams == 0 && r.withdrawn {
		s.scheduleUnload(r)
	}
}

// requeueLost takes a request off its lost engine and queues it again, or refuses
// it if its deadline has passed.
func (s *sim) requeueLost(r *request) {
	s.releaseSlot(r)
	r.attempt++
	if s.now >= r.deadline && r.firstToken == 0 {
		s.routers[r.router].queue.finish(s.currentTime(), r)
		s.refuse(r)
		return
	}
	if r.firstToken > 0 {
		// The stream migrates: allow it the maximum wait to resume elsewhere.
		r.deadline = max(r.deadline, s.now+r.unit.maxWait)
	}
	s.routers[r.router].queue.requeue(s.currentTime(), r)
	s.waiting[r.unit.pool()]++
	s.at(r.deadline, func() { s.expire(s.routers[r.router]) })
}

// expire refuses the router's requests that cannot be served in time.
func (s *sim) expire(vm *router) {
	if vm.reclaimed {
		return
	}
	for _, r := range vm.queue.expire(s.currentTime()) {
		s.waiting[r.unit.pool()]--
		s.refuse(r)
	}
}

// refuse ends a request that is not served. One whose first token had come counts
// as broken, any other as refused.
func (s *sim) refuse(r *request) {
	r.ended = true
	if s.now > r.deadline {
		s.metrics.overdue++
	}
	if r.firstToken > 0 {
		if r.at >= s.measuredStart {
			s.metrics.broken++
		}
		return
	}
	s.recordRefusal(r)
}

func (s *sim) recordFirstToken(r *request) {
	if r.at >= s.measuredStart {
		s.metrics.recordFirstToken(r)
	}
}

func (s *sim) recordRefusal(r *request) {
	if r.at >= s.measuredStart {
		s.metrics.recordRefusal(r, s.now)
	}
}
