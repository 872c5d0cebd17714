package replay

import (
	"time"

	"bergamotreel/placement"
)

// land is a proposal at its place in the log: it has no effect if it would
// break an invariant there, as in package state.
func (s *sim) land(p proposal) {
	e := s.byEngine[p.Engine]
	u := s.byName[p.Unit]
	if e == nil || e.gone || !s.lands(p, e) {
		return
	}
	switch p.Kind {
	case placement.Grant:
		s.grant(e, u, p)
	case placement.Want:
		if r := e.holds(u); r != nil && !r.withdrawn && !r.wanted {
			r.wanted = true
			s.m.decided(s.measuring())
			s.startLoad(r)
		}
	case placement.Unwant:
		if r := e.holds(u); r != nil && r.right == p.Right && r.wanted {
			s.stopServing(r)
		}
	case placement.Withdraw:
		if r := e.holds(u); r != nil && r.right == p.Right {
			s.noteGone(u, p.Reason)
			s.withdraw(r)
		}
	}
	s.kick()
}

func (s *sim) grant(e *engine, u *unit, p proposal) {
	if held := e.holds(u); held != nil && p.owners != allRouters && !held.withdrawn {
		// Another router has loaded it there: the order is idempotent.
		held.owners |= p.owners
		s.dispatch(u.pool())
		return
	}
	if e.holds(u) != nil || e.free() < u.replica {
		s.m.conflicts++
		return
	}
	if u.base != nil {
		if base := e.holds(u.base); base == nil || base.withdrawn {
			s.m.conflicts++
			return
		}
	}
	if p.owners == allRouters && len(s.replicas[u.id]) >= u.maxReplicas {
		s.m.conflicts++
		return
	}
	s.rights++
	r := &replica{unit: u, engine: e, right: s.rights, owners: p.owners, wanted: p.Wanted, idleFrom: s.now, lastUsed: s.now}
	e.replicas = append(e.replicas, r)
	e.dirty = true
	s.replicas[u.id] = append(s.replicas[u.id], r)
	if s.measuring() {
		s.m.mostReplicas(u, len(s.replicas[u.id]))
	}
	if r.wanted {
		s.m.decided(s.measuring())
		s.startLoad(r)
		s.expectReady(u, p)
	}
}

// expectReady tells the routers when the unit will be ready.
func (s *sim) expectReady(u *unit, p proposal) {
	if p.TimeToReady == 0 {
		return
	}
	for _, at := range s.routers {
		if !at.gone && !s.hasReady(u, at) {
			at.queue.expect(u.name, s.time().Add(p.TimeToReady), true)
			s.after(0, func() { s.expire(at) })
		}
	}
}

func (s *sim) startLoad(r *replica) {
	r.loadStarted = s.now
	r.tier = r.engine.tier(r.unit)
	r.loading = &load{replica: r}
	r.engine.dirty = true
	s.m.loadStarted(s.measuring(), r.tier)
	l := r.loading
	if r.tier != placement.TierRemote {
		s.after(localLoadTime(r.unit, r.tier), func() { s.loaded(l) })
		return
	}
	l.remaining = float64(r.unit.weights)
	s.store.waiting = append(s.store.waiting, l)
	s.startFromStore()
}

// startFromStore starts waiting loads as far as the store's rate allows.
func (s *sim) startFromStore() {
	for len(s.store.waiting) > 0 {
		if s.now < s.store.nextStart {
			s.at(s.store.nextStart, s.startFromStore)
			return
		}
		l := s.store.waiting[0]
		s.store.waiting = s.store.waiting[1:]
		if l.cancelled {
			continue
		}
		s.store.nextStart = s.now + time.Duration(float64(time.Second)/StoreLoadsPerSecond)
		s.store.advance(s.now)
		s.store.active = append(s.store.active, l)
		s.awaitStore()
	}
}

func (s *sim) awaitStore() {
	s.store.version++
	version := s.store.version
	done, ok := s.store.firstDone()
	if !ok {
		return
	}
	s.at(done, func() {
		if s.store.version == version {
			s.storeDone()
		}
	})
}

func (s *sim) storeDone() {
	s.store.advance(s.now)
	var rest []*load
	for _, l := range s.store.active {
		switch {
		case l.cancelled:
		case l.remaining <= 1:
			s.after(setupTime(l.replica.unit), func() { s.loaded(l) })
		default:
			rest = append(rest, l)
		}
	}
	s.store.active = rest
	s.awaitStore()
	s.kick()
}

func (s *sim) loaded(l *load) {
	r := l.replica
	if l.cancelled || r.ended {
		return
	}
	r.loading = nil
	r.ready = true
	r.readySince = s.now
	r.engine.keepCached(r.unit)
	r.engine.dirty = true
	s.decider.loaded(r.unit, r.tier, s.now-r.loadStarted)
	for _, at := range s.routers {
		at.queue.expect(r.unit.name, time.Time{}, false)
	}
	s.dispatch(r.unit.pool())
	s.kick()
}

// withdraw ends a right once its streams have ended.
func (s *sim) withdraw(r *replica) {
	if r.withdrawn {
		return
	}
	for _, other := range r.engine.replicas {
		if other.unit.base == r.unit && !other.withdrawn {
			s.m.conflicts++
			return
		}
	}
	r.withdrawn = true
	s.stopLoad(r)
	r.engine.dirty = true
	if r.streams == 0 {
		s.startUnload(r)
	}
}

// stopServing unloads a replica but keeps its right.
func (s *sim) stopServing(r *replica) {
	s.stopLoad(r)
	r.wanted, r.ready = false, false
	r.engine.keepCached(r.unit)
	r.engine.dirty = true
}

func (s *sim) stopLoad(r *replica) {
	if r.loading == nil {
		return
	}
	r.loading.cancelled = true
	r.loading = nil
	s.store.advance(s.now)
	s.awaitStore()
}

// startUnload frees the memory after GoneTime, or once the log is back.
func (s *sim) startUnload(r *replica) {
	s.after(GoneTime, func() {
		if r.ended || r.streams > 0 {
			return
		}
		if !s.logReaches(r.engine.domain) {
			s.startUnload(r)
			return
		}
		if r.ready {
			r.engine.keepCached(r.unit)
		}
		s.dropRight(r)
		s.kick()
	})
}

// dropRight drops the right.
func (s *sim) dropRight(r *replica) {
	s.accountIdle(r)
	r.ended = true
	r.engine.drop(r)
	list := s.replicas[r.unit.id]
	for i, other := range list {
		if other == r {
			s.replicas[r.unit.id] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// accountIdle adds the time in which the replica held memory without a request.
func (s *sim) accountIdle(r *replica) {
	from := max(r.idleFrom, s.measured)
	if r.streams == 0 && s.now > from {
		share := float64(r.unit.replica) / float64(r.engine.memory)
		hours := share * (s.now - from).Hours()
		s.m.idleHours += hours
		if s.byContract(r) {
			s.m.contractHours += hours
			if !r.ready {
				s.m.unloadedHours += hours
			}
		}
	}
	r.idleFrom = s.now
}

// byContract tells whether the replica is one of those that the contract asks
// for at all times: no policy may save its idle hours.
func (s *sim) byContract(r *replica) bool {
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
