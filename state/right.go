package state

import "slices"

// grant gives an engine a right if the keeper, the contract, and the memory of
// customer and engine allow it at the proposal's place in the stream. Withdrawn
// rights count in full, because a late order may load their unit again.
func (s *State) grant(rev Revision, g *Grant) result {
	engine, failure := s.findKeptEngine(g.Engine, g.Keeper)
	if engine == nil {
		return failure
	}
	published := s.Contracts[g.Customer]
	if published == nil || published.Contract == nil {
		return invalid("no contract")
	}
	unit := s.index.units[g.Unit]
	maxReplicas, allowed := unit.maxReplicasFor(g.Customer)
	if !allowed {
		return invalid("unit not in the contract")
	}
	if engine.Rights[g.Unit] != nil {
		return conflict("granted on this engine already")
	}
	if len(engine.UnfencedSessions) > 0 {
		return conflict("engine stopped checking tokens and a former keeper may still send")
	}
	if base := engine.Rights[unit.base]; unit.base != "" && (base == nil || base.Withdrawn != 0) {
		return conflict("base not granted on this engine")
	}
	if s.index.countRights(g.Customer, g.Unit) >= maxReplicas {
		return limit("contract's replicas")
	}
	if unit.bytes > published.Contract.MemoryBytes-s.index.customerBytes[g.Customer] {
		return limit("contract's memory")
	}
	if unit.bytes > engine.MemoryBytes-engine.usedBytes {
		return limit("engine's memory")
	}
	engine.FencingToken = rev
	s.addRight(engine, &Right{
		Unit: g.Unit, Customer: g.Customer, Base: unit.base, Checkpoint: unit.checkpoint, Bytes: unit.bytes,
		Granted: rev, Wanted: g.Wanted, UnsettledSessions: []SessionID{engine.KeeperSession},
	})
	return applied
}

func (s *State) setWanted(rev Revision, w *SetWanted) result {
	right, failure := s.findActiveRight(w.Engine, w.Keeper, w.Unit, w.Right)
	if right == nil {
		return failure
	}
	right.Wanted = w.Wanted
	s.Engines[w.Engine].FencingToken = rev
	s.engineChanged(w.Engine)
	return applied
}

// withdraw ends a right. The right to a base can't be withdrawn before those to its
// adapters, because an engine may load the base again for a late order of an adapter.
func (s *State) withdraw(rev Revision, w *Withdraw) result {
	right, failure := s.findActiveRight(w.Engine, w.Keeper, w.Unit, w.Right)
	if right == nil {
		return failure
	}
	for _, other := range s.Engines[w.Engine].Rights {
		if other.Base == w.Unit && other.Withdrawn == 0 {
			return conflict("an adapter sits on it")
		}
	}
	right.Withdrawn, right.Wanted = rev, false
	s.Engines[w.Engine].FencingToken = rev
	s.engineChanged(w.Engine)
	return applied
}

// confirmUnload deletes a withdrawn right, which frees its memory and its replica.
//
// It guards against a former keeper that is paused between deciding and sending a
// load, and sends it after the right was deleted and the replica granted elsewhere.
// That would exceed the granted replicas or an engine's memory. An engine that checks
// tokens rejects the load, because it has seen the higher token of the unload. For an
// engine that does not, all other sessions that may have sent a load must be settled.
func (s *State) confirmUnload(p *Proposal) result {
	g := p.ConfirmUnload
	engine, failure := s.findKeptEngine(g.Engine, g.Keeper)
	if engine == nil {
		return failure
	}
	if session, failure := s.ownSession(engine.KeeperSession, p.ID); session == nil {
		return failure
	}
	right := engine.Rights[g.Unit]
	if right == nil || right.Granted != g.Right {
		return conflict("another right")
	}
	if right.Withdrawn == 0 {
		return conflict("not withdrawn")
	}
	for _, other := range engine.Rights {
		if other.Base == g.Unit {
			return conflict("an adapter may still sit on it")
		}
	}
	if !engine.ChecksTokens && !right.hasNoOtherUnsettledSession(engine.KeeperSession) {
		return conflict("a former keeper may still send an order")
	}
	s.removeRight(engine, right)
	return applied
}

// findActiveRight returns the right to the unit if it was granted at the revision and
// is not withdrawn.
func (s *State) findActiveRight(engineName string, keeper Revision, unit string, granted Revision) (*Right, result) {
	engine, failure := s.findKeptEngine(engineName, keeper)
	if engine == nil {
		return nil, failure
	}
	right := engine.Rights[unit]
	if right == nil || right.Granted != granted {
		return nil, conflict("another right")
	}
	if right.Withdrawn != 0 {
		return nil, conflict("withdrawn")
	}
	return right, result{}
}

func (r *Right) addUnsettledSession(id SessionID) {
	if !slices.Contains(r.UnsettledSessions, id) {
		r.UnsettledSessions = append(r.UnsettledSessions, id)
	}
}

func (r *Right) hasNoOtherUnsettledSession(keeper SessionID) bool {
	return !slices.ContainsFunc(r.UnsettledSessions, func(id SessionID) bool { return id != keeper })
}

func (s *State) addRight(engine *Engine, right *Right) {
	engine.Rights[right.Unit] = right
	s.index.addRight(engine, right)
	s.engineChanged(engine.Name)
}

func (s *State) removeRight(engine *Engine, right *Right) {
	delete(engine.Rights, right.Unit)
	s.index.removeRight(engine, right)
	s.engineChanged(engine.Name)
}
