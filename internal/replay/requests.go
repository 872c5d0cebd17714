package replay

import (
	"time"

	"bergamotreel/admission"
	"bergamotreel/routing"
)

type ticket = *admission.Ticket

// arrive gives a new request to its router.
func (s *sim) arrive(a arrival) {
	s.nextID++
	r := &request{arrival: a, id: s.nextID, deadline: a.at + a.unit.maxWait}
	r.cold = !s.hasReady(a.unit, s.routers[a.router])
	r.met = s.whatItMeets(a.unit, !r.cold)
	s.decider.used(a.unit, s.time())
	if s.measuring() {
		s.m.requests++
	}
	s.admit(r)
}

// admit queues the request at its router, or at the next one that lives.
func (s *sim) admit(r *request) {
	for s.routers[r.router].gone {
		r.router = (r.router + 1) % len(s.routers)
	}
	if !s.routers[r.router].queue.arrive(s.time(), r) {
		s.refuse(r)
		return
	}
	s.waiting[r.unit.pool()]++
	s.dispatch(r.unit.pool())
	if r.replica == nil && !r.ended {
		if !r.cold {
			r.met = s.whatHolds(r)
		}
		s.at(r.deadline, func() { s.expire(s.routers[r.router]) })
		s.kick()
	}
}

func (s *sim) hasReady(u *unit, at *router) bool {
	for _, r := range s.replicas[u.id] {
		if s.mayServe(r, at) {
			return true
		}
	}
	return false
}

// bit is the router's in replica.owners.
func (at *router) bit() uint32 { return 1 << at.id }

// allRouters may use a replica that was decided for the deployment.
const allRouters = ^uint32(0)

// mayServe tells whether the router may send requests to the replica.
func (s *sim) mayServe(r *replica, at *router) bool {
	return r.ready && !r.withdrawn && !r.engine.gone &&
		r.owners&at.bit() != 0 && s.reaches(at.domain, r.engine.domain)
}

// dispatch sends waiting requests of the pool to engines with free slots. The
// routers take turns.
func (s *sim) dispatch(pool string) {
	for s.waiting[pool] > 0 {
		sent := false
		for range s.routers {
			s.turn = (s.turn + 1) % len(s.routers)
			if s.sendNext(s.routers[s.turn], pool) {
				sent = true
			}
		}
		if !sent {
			return
		}
	}
}

func (s *sim) sendNext(at *router, pool string) bool {
	if at.gone {
		return false
	}
	var target *replica
	r := at.queue.next(s.time(), pool, func(r *request, surplus bool) bool {
		target = s.pickReplica(r, at, surplus)
		return target != nil
	})
	if r == nil {
		return false
	}
	s.waiting[pool]--
	s.send(r, target)
	return true
}

// pickReplica is the least busy ready replica with a free slot, the router's
// own domain first. A customer above its fair share leaves the reserve free, by
// the daemon's own rule. Nothing is sent that cannot have its first token in
// time.
func (s *sim) pickReplica(r *request, at *router, surplus bool) *replica {
	if s.now+TimeToFirstToken > r.deadline && r.firstToken == 0 {
		return nil
	}
	slots := 0
	for _, candidate := range s.replicas[r.unit.id] {
		if s.mayServe(candidate, at) {
			slots += candidate.engine.slots
		}
	}
	var best *replica
	for _, candidate := range s.replicas[r.unit.id] {
		if !s.mayServe(candidate, at) {
			continue
		}
		reserve := 0
		if surplus {
			reserve = routing.EngineReserve(candidate.engine.slots, slots)
		}
		if candidate.engine.slots-candidate.engine.running > reserve && (best == nil || s.preferred(candidate, best, at)) {
			best = candidate
		}
	}
	return best
}

// otherDomainLoad is how much busier, as a part of its slots, an engine in the
// router's domain may be than one outside it; as in package routing.
const otherDomainLoad = 0.4

func (s *sim) preferred(a, b *replica, at *router) bool {
	return s.load(a, at) < s.load(b, at)
}

// load is how busy a replica's engine is, with the other domains' handicap.
func (s *sim) load(r *replica, at *router) float64 {
	load := float64(r.engine.running) / float64(r.engine.slots)
	if r.engine.domain != at.domain {
		load += otherDomainLoad
	}
	return load
}

func (s *sim) send(r *request, target *replica) {
	r.replica = target
	s.running[r.id] = r
	s.useStart(target)
	if base := s.baseOf(target); base != nil {
		s.useStart(base)
	}
	target.engine.running++
	target.engine.dirty = true
	r.attempt++
	attempt := r.attempt
	s.after(TimeToFirstToken, func() {
		if r.attempt == attempt && r.firstToken == 0 {
			r.firstToken = s.now
			s.record(r)
		}
	})
	s.after(max(r.service, TimeToFirstToken+time.Millisecond), func() {
		if r.attempt == attempt {
			s.complete(r)
		}
	})
}

func (s *sim) baseOf(r *replica) *replica {
	if r.unit.base == nil {
		return nil
	}
	return r.engine.holds(r.unit.base)
}

func (s *sim) complete(r *request) {
	target := r.replica
	s.vacate(r)
	r.ended = true
	s.routers[r.router].queue.finish(s.time(), r)
	for _, other := range target.engine.replicas {
		if other.unit.base == nil {
			s.dispatch(other.unit.name)
		}
	}
}

// vacate frees the request's slot.
func (s *sim) vacate(r *request) {
	target := r.replica
	r.replica = nil
	delete(s.running, r.id)
	target.engine.running--
	target.engine.dirty = true
	s.useEnd(target)
	if base := s.baseOf(target); base != nil {
		s.useEnd(base)
	}
}

func (s *sim) useStart(r *replica) {
	s.accountIdle(r)
	r.streams++
	r.lastUsed = s.now
}

func (s *sim) useEnd(r *replica) {
	r.streams--
	r.lastUsed = s.now
	r.idleFrom = s.now
	if r.streams == 0 && r.withdrawn {
		s.startUnload(r)
	}
}

// putBack takes a request off its engine, which was lost.
func (s *sim) putBack(r *request) {
	s.vacate(r)
	r.attempt++
	if s.now >= r.deadline && r.firstToken == 0 {
		s.routers[r.router].queue.finish(s.time(), r)
		s.refuse(r)
		return
	}
	if r.firstToken > 0 {
		// The stream moves: give it time to be taken up elsewhere.
		r.deadline = max(r.deadline, s.now+r.unit.maxWait)
	}
	s.routers[r.router].queue.requeue(s.time(), r)
	s.waiting[r.unit.pool()]++
	s.at(r.deadline, func() { s.expire(s.routers[r.router]) })
}

// expire gives the router's requests that cannot make it their final answer.
func (s *sim) expire(at *router) {
	if at.gone {
		return
	}
	for _, r := range at.queue.expire(s.time()) {
		s.waiting[r.unit.pool()]--
		s.refuse(r)
	}
}

// refuse is the final answer of a request that is not served.
func (s *sim) refuse(r *request) {
	r.ended = true
	if s.now > r.deadline {
		s.m.overdue++
	}
	if r.firstToken > 0 {
		if r.at >= s.measured {
			s.m.broken++
		}
		return
	}
	s.recordRefused(r)
}

func (s *sim) record(r *request) {
	if r.at >= s.measured {
		s.m.answered(r)
	}
}

func (s *sim) recordRefused(r *request) {
	if r.at >= s.measured {
		s.m.refusedRequest(r, s.now)
	}
}
