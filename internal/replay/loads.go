package replay

import (
	"time"

	"bergamotreel/placement"
)

// applyProposal applies a proposal at its position in the log. As in package
// state, a proposal that would break an invariant there has no effect.
func (s *sim) applyProposal(p proposal) {
	e := s.enginesByName[p.Engine]
	u := s.unitsByName[p.Unit]
	if e == nil || e.reclaimed || !s.takesEffect(p, e) {
		return
	}
	switch p.Kind {
	case placement.Grant:
		s.grantRight(e, u, p)
	case placement.Want:
		if r := e.replicaOf(u); r != nil && !r.withdrawn && !r.wanted {
			r.wanted = true
			s.metrics.recordLoadDecision(s.isMeasuredDay())
			s.startLoad(r)
		}
	case placement.Unwant:
		if r := e.replicaOf(u); r != nil && r.right == p.Right && r.wanted {
			s.unloadKeepingRight(r)
		}
	case placement.Withdraw:
		if r := e.replicaOf(u); r != nil && r.right == p.Right {
			s.recordLossReason(u, p.Reason)
			s.withdrawRight(r)
		}
	}
	s.requestPlan()
}

func (s *sim) grantRight(e *engine, u *unit, p proposal) {
	if held := e.replicaOf(u); held != nil && p.owners != allRouters && !held.withdrawn {
		// Another router has loaded the unit there: the order is idempotent.
		held.owners |= p.owners
		s.dispatch(u.pool())
		return
	}
	if e.replicaOf(u) != nil || e.freeBytes() < u.replicaBytes {
		s.metrics.conflicts++
		return
	}
	if u.base != nil {
		if base := e.replicaOf(u.base); base == nil || base.withdrawn {
			s.metrics.conflicts++
			return
		}
	}
	if p.owners == allRouters && len(s.replicas[u.id]) >= u.maxReplicas {
		s.metrics.conflicts++
		return
	}
	s.lastRight++
	r := &replica{unit: u, engine: e, right: s.lastRight, owners: p.owners, wanted: p.Wanted, idleFrom: s.now, lastUsed: s.now}
	e.replicas = append(e.replicas, r)
	e.dirty = true
	s.replicas[u.id] = append(s.replicas[u.id], r)
	if s.isMeasuredDay() {
		s.metrics.checkReplicaLimit(u, len(s.replicas[u.id]))
	}
	if r.wanted {
		s.metrics.recordLoadDecision(s.isMeasuredDay())
		s.startLoad(r)
		s.publishReadyTime(u, p)
	}
}

// publishReadyTime announces to the routers without a ready replica when the unit
// is expected to be ready.
func (s *sim) publishReadyTime(u *unit, p proposal) {
	if p.TimeToReady == 0 {
		return
	}
	for _, vm := range s.routers {
		if !vm.reclaimed && !s.hasReadyReplica(u, vm) {
			vm.queue.setReadyTime(u.name, s.currentTime().Add(p.TimeToReady), true)
			s.after(0, func() { s.expire(vm) })
		}
	}
}

func (s *sim) startLoad(r *replica) {
	r.loadStarted = s.now
	r.tier = r.engine.checkpointTier(r.unit)
	r.loading = &load{replica: r}
	r.engine.dirty = true
	s.metrics.recordLoadStart(s.isMeasuredDay(), r.tier)
	l := r.loading
	if r.tier != placement.TierRemote {
		s.after(localLoadTime(r.unit, r.tier), func() { s.completeLoad(l) })
		return
	}
	l.remaining = float64(r.unit.weightBytes)
	s.store.waiting = append(s.store.waiting, l)
	s.startStoreLoads()
}

// startStoreLoads starts the waiting loads that the start rate of the weight store
// allows.
func (s *sim) startStoreLoads() {
	for len(s.store.waiting) > 0 {
		if s.now < s.store.nextStart {
			s.at(s.store.nextStart, s.startStoreLoads)
			return
		}
		l := s.store.waiting[0]
		s.store.waiting = s.store.waiting[1:]
		if l.cancelled {
			continue
		}
		s.store.nextStart = s.now + time.Duration(float64(time.Second)/StoreLoadsPerSecond)
		s.store.advanceLoads(s.now)
		s.store.active = append(s.store.active, l)
		s.scheduleStoreCompletion()
	}
}

// scheduleStoreCompletion schedules the end of the next load from the weight store
// and supersedes the previous schedule.
func (s *sim) scheduleStoreCompletion() {
	s.store.version++
	version := s.store.version
	done, ok := s.store.nextCompletion()
	if !ok {
		return
	}
	s.at(done, func() {
		if s.store.version == version {
			s.completeStoreLoads()
		}
	})
}

func (s *sim) completeStoreLoads() {
	s.store.advanceLoads(s.now)
	var unfinished []*load
	for _, l := range s.store.active {
		switch {
		case l.cancelled:
		case l.remaining <= 1:
			s.after(setupTime(l.replica.unit), func() { s.completeLoad(l) })
		default:
			unfinished = append(unfinished, l)
		}
	}
	s.store.active = unfinished
	s.scheduleStoreCompletion()
	s.requestPlan()
}

func (s *sim) completeLoad(l *load) {
	r := l.replica
	if l.cancelled || r.ended {
		return
	}
	r.loading = nil
	r.ready = true
	r.readySince = s.now
	r.engine.cacheCheckpoint(r.unit)
	r.engine.dirty = true
	s.decider.recordLoad(r.unit, r.tier, s.now-r.loadStarted)
	for _, vm := range s.routers {
		vm.queue.setReadyTime(r.unit.name, time.Time{}, false)
	}
	s.dispatch(r.unit.pool())
	s.requestPlan()
}

// withdrawRight ends a right once its streams have ended. The right of a base
// model stays while an adapter on the engine needs it.
func (s *sim) withdrawRight(r *replica) {
	if r.withdrawn {
		return
	}
	for _, other := range r.engine.replicas {
		if other.unit.base == r.unit && !other.withdrawn {
			s.metrics.conflicts++
			return
		}
	}
	r.withdrawn = true
	s.cancelLoad(r)
	r.engine.dirty = true
	if r.streams == 0 {
		s.scheduleUnload(r)
	}
}

// unloadKeepingRight unloads a replica whose right becomes a standby right.
func (s *sim) unloadKeepingRight(r *replica) {
	s.cancelLoad(r)
	r.wanted, r.ready = false, false
	r.engine.cacheCheckpoint(r.unit)
	r.engine.dirty = true
}

func (s *sim) cancelLoad(r *replica) {
	if r.loading == nil {
		return
	}
	r.loading.cancelled = true
	r.loading = nil
	s.store.advanceLoads(s.now)
	s.scheduleStoreCompletion()
}

// scheduleUnload frees the memory after UnloadTime. While the log is unreachable
// it tries again.
func (s *sim) scheduleUnload(r *replica) {
	s.after(UnloadTime, func() {
		if r.ended || r.streams > 0 {
			return
		}
		if !s.isLogReachable(r.engine.domain) {
			s.scheduleUnload(r)
			return
		}
		if r.ready {
			r.engine.cacheCheckpoint(r.unit)
		}
		s.removeRight(r)
		s.requestPlan()
	})
}

// removeRight removes the replica and its right from the engine and the unit.
func (s *sim) removeRight(r *replica) {
	s.accountIdleTime(r)
	r.ended = true
	r.engine.removeReplica(r)
	list := s.replicas[r.unit.id]
	for i, other := range list {
		if other == r {
			s.replicas[r.unit.id] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// accountIdleTime adds the time since idleFrom, if the replica has no running
// request, to the idle hours of the measured day.
func (s *sim) accountIdleTime(r *replica) {
	from := max(r.idleFrom, s.measuredStart)
	if r.streams == 0 && s.now > from {
		share := float64(r.unit.replicaBytes) / float64(r.engine.memory)
		hours := share * (s.now - from).Hours()
		s.metrics.idleHours += hours
		if s.isRequiredByContract(r) {
			s.metrics.contractHours += hours
			if !r.ready {
				s.metrics.unloadedHours += hours
			}
		}
	}
	r.idleFrom = s.now
}

// isRequiredByContract reports whether the replica is one of those that the
// contract asks for at all times, so that no policy may save its idle hours.
func (s *sim) isRequiredByContract(r *replica) bool {
	need := s.contractRights(r.unit)
	if need == 0 {
		return false
	}
	older := 0
	for _, other := range s.replicas[r.unit.id] {
		if other.right < r.right {
			older++
		}
	}
	return older < need
}
