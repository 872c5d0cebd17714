package state

import "slices"

// keeperTake makes a session the keeper, also of an engine not known before.
func (s *State) keeperTake(rev Revision, p *Proposal) result {
	take := p.KeeperAcquire
	if take.Engine == "" {
		return invalid("no engine named")
	}
	session, why := s.ownSession(take.Session, p.ID)
	if session == nil {
		return why
	}
	engine := s.Engines[take.Engine]
	if engine == nil {
		engine = &Engine{Name: take.Engine, Rights: map[string]*Right{}}
	}
	if engine.Keeper != take.Previous {
		return conflict(ReasonStale)
	}
	if engine.KeeperSession != 0 && engine.KeeperSession != session.ID {
		return conflict("kept by a live session")
	}
	s.Engines[engine.Name] = engine
	engine.Keeper, engine.KeeperSession = rev, session.ID
	engine.FencingToken = rev
	s.engineChanged(engine.Name)
	engine.FormerSessions = slices.DeleteFunc(engine.FormerSessions, func(id SessionID) bool { return id == session.ID })
	s.index.keep(session.ID, engine.Name)
	// The new keeper may send a load for each right that stands here, and an
	// unload that a right under withdrawal must wait for.
	for _, right := range engine.Rights {
		right.orderedBy(session.ID)
	}
	return applied
}

// keeperGiveBack frees an engine by its keeper's word.
func (s *State) keeperGiveBack(p *Proposal) result {
	give := p.KeeperRelease
	engine, why := s.kept(give.Engine, give.Keeper)
	if engine == nil {
		return why
	}
	session, why := s.ownSession(engine.KeeperSession, p.ID)
	if session == nil {
		return why
	}
	s.release(engine)
	if give.Settled {
		engine.forgive(session.ID)
	}
	return applied
}

// engineMeet records what the engine says of itself, always as it is: an engine
// that came back with less memory than is granted gets no new right until the
// granted ones fit again.
func (s *State) engineMeet(p *Proposal) result {
	meet := p.EngineReport
	if meet.Incarnation == "" || meet.MemoryBytes < 0 {
		return invalid("engine without incarnation or with negative memory")
	}
	engine, why := s.kept(meet.Engine, meet.Keeper)
	if engine == nil {
		return why
	}
	if session, why := s.ownSession(engine.KeeperSession, p.ID); session == nil {
		return why
	}
	if engine.ChecksTokens && !meet.ChecksTokens {
		engine.UnfencedSessions = append(engine.UnfencedSessions, engine.FormerSessions...)
		slices.Sort(engine.UnfencedSessions)
		engine.UnfencedSessions = slices.Compact(engine.UnfencedSessions)
	}
	engine.Incarnation, engine.Domain = meet.Incarnation, meet.Domain
	engine.MemoryBytes, engine.ChecksTokens = meet.MemoryBytes, meet.ChecksTokens
	s.engineChanged(engine.Name)
	return applied
}

// engineRemove forgets an engine whose VM is gone, and with it the memory that
// its rights stood for.
//
// The failure: the append's answer is lost and the record lands late; the VM is
// back meanwhile and loads by rights granted since. The symptom is replicas that
// nobody counts. Whatever lets the engine load again, a KeeperTake, a Grant or
// the EngineMeet of a restarted engine, changes Newest or Incarnation.
func (s *State) engineRemove(remove *EngineRemove) result {
	engine := s.Engines[remove.Engine]
	if engine == nil {
		return conflict("unknown engine")
	}
	if engine.FencingToken != remove.FencingToken || engine.Incarnation != remove.Incarnation {
		return conflict("engine changed since")
	}
	s.release(engine)
	for _, right := range engine.Rights {
		s.dropRight(engine, right)
	}
	delete(s.Engines, engine.Name)
	s.engineChanged(engine.Name)
	return applied
}

// kept returns the engine if the revision names its keeper and that keeper's
// session is live.
func (s *State) kept(name string, keeper Revision) (*Engine, result) {
	engine := s.Engines[name]
	if engine == nil || keeper == 0 || engine.Keeper != keeper || engine.KeeperSession == 0 {
		return nil, conflict(ReasonNotKeeper)
	}
	return engine, result{}
}

// release takes the keeper from an engine. The keeper's token stays, so that
// the next one is higher, and its session stays among those that may have sent
// an order.
func (s *State) release(engine *Engine) {
	if engine.KeeperSession == 0 {
		return
	}
	s.index.unkeep(engine.KeeperSession, engine.Name)
	engine.FormerSessions = append(engine.FormerSessions, engine.KeeperSession)
	engine.KeeperSession = 0
	s.engineChanged(engine.Name)
}

// forgive notes that no order of the session can reach the engine any more.
func (e *Engine) forgive(id SessionID) {
	is := func(other SessionID) bool { return other == id }
	e.FormerSessions = slices.DeleteFunc(e.FormerSessions, is)
	e.UnfencedSessions = slices.DeleteFunc(e.UnfencedSessions, is)
	for _, right := range e.Rights {
		right.UnsettledSessions = slices.DeleteFunc(right.UnsettledSessions, is)
	}
}
