package state

import "slices"

// keeperAcquire makes a session the keeper of an engine, which it creates if it is
// unknown.
func (s *State) keeperAcquire(rev Revision, p *Proposal) result {
	acquire := p.KeeperAcquire
	if acquire.Engine == "" {
		return invalid("no engine named")
	}
	session, failure := s.ownSession(acquire.Session, p.ID)
	if session == nil {
		return failure
	}
	engine := s.Engines[acquire.Engine]
	if engine == nil {
		engine = &Engine{Name: acquire.Engine, Rights: map[string]*Right{}}
	}
	if engine.Keeper != acquire.Previous {
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
	s.index.addKeptEngine(session.ID, engine.Name)
	// The new keeper may send a load for each active right of the engine, and an
	// unload for each withdrawn one, whose removal must then wait for the session.
	for _, right := range engine.Rights {
		right.addUnsettledSession(session.ID)
	}
	return applied
}

// keeperRelease releases an engine at its keeper's request.
func (s *State) keeperRelease(p *Proposal) result {
	release := p.KeeperRelease
	engine, failure := s.findKeptEngine(release.Engine, release.Keeper)
	if engine == nil {
		return failure
	}
	session, failure := s.ownSession(engine.KeeperSession, p.ID)
	if session == nil {
		return failure
	}
	s.releaseKeeper(engine)
	if release.Settled {
		engine.removeUnsettledSession(session.ID)
	}
	return applied
}

// engineReport records the reported properties unconditionally. An engine that
// reports less memory than its rights take gets no new right until they fit again.
func (s *State) engineReport(p *Proposal) result {
	report := p.EngineReport
	if report.Incarnation == "" || report.MemoryBytes < 0 {
		return invalid("engine without incarnation or with negative memory")
	}
	engine, failure := s.findKeptEngine(report.Engine, report.Keeper)
	if engine == nil {
		return failure
	}
	if session, failure := s.ownSession(engine.KeeperSession, p.ID); session == nil {
		return failure
	}
	if engine.ChecksTokens && !report.ChecksTokens {
		engine.UnfencedSessions = append(engine.UnfencedSessions, engine.FormerSessions...)
		slices.Sort(engine.UnfencedSessions)
		engine.UnfencedSessions = slices.Compact(engine.UnfencedSessions)
	}
	engine.Incarnation, engine.Domain = report.Incarnation, report.Domain
	engine.MemoryBytes, engine.ChecksTokens = report.MemoryBytes, report.ChecksTokens
	s.engineChanged(engine.Name)
	return applied
}

// engineRemove deletes an engine whose VM is gone, which frees the memory that its
// rights took.
//
// It compares FencingToken and Incarnation because the record may be appended late,
// after its reply was lost. If the VM came back meanwhile and loads units by rights
// granted since, removing the engine would leave replicas that no right accounts
// for. Each event that lets the engine load again changes FencingToken or
// Incarnation: a KeeperAcquire, a Grant or the EngineReport of a restarted engine.
func (s *State) engineRemove(remove *EngineRemove) result {
	engine := s.Engines[remove.Engine]
	if engine == nil {
		return conflict("unknown engine")
	}
	if engine.FencingToken != remove.FencingToken || engine.Incarnation != remove.Incarnation {
		return conflict("engine changed since")
	}
	s.releaseKeeper(engine)
	for _, right := range engine.Rights {
		s.removeRight(engine, right)
	}
	delete(s.Engines, engine.Name)
	s.engineChanged(engine.Name)
	return applied
}

// findKeptEngine returns the engine if keeper is the revision of its current keeper
// and that keeper's session is live.
func (s *State) findKeptEngine(name string, keeper Revision) (*Engine, result) {
	engine := s.Engines[name]
	if engine == nil || keeper == 0 || engine.Keeper != keeper || engine.KeeperSession == 0 {
		return nil, conflict(ReasonNotKeeper)
	}
	return engine, result{}
}

// releaseKeeper leaves an engine without a keeper session. Keeper remains set, so
// that the next keeper's token is higher, and the session becomes one of the former
// sessions, which may have sent an order.
func (s *State) releaseKeeper(engine *Engine) {
	if engine.KeeperSession == 0 {
		return
	}
	s.index.removeKeptEngine(engine.KeeperSession, engine.Name)
	engine.FormerSessions = append(engine.FormerSessions, engine.KeeperSession)
	engine.KeeperSession = 0
	s.engineChanged(engine.Name)
}

// removeUnsettledSession deletes the session from the engine's lists of sessions
// whose orders can still arrive.
func (e *Engine) removeUnsettledSession(id SessionID) {
	is := func(other SessionID) bool { return other == id }
	e.FormerSessions = slices.DeleteFunc(e.FormerSessions, is)
	e.UnfencedSessions = slices.DeleteFunc(e.UnfencedSessions, is)
	for _, right := range e.Rights {
		right.UnsettledSessions = slices.DeleteFunc(right.UnsettledSessions, is)
	}
}
