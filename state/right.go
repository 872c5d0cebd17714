package state

import "slices"

// grant gives an engine a right, if the keeper, the contract and the memory of
// customer and engine allow it where the proposal lands. Rights under
// withdrawal count in full: a late load order may bring their unit back.
func (s *State) grant(rev Revision, g *Grant) result {
	engine, why := s.kept(g.Engine, g.Keeper)
	if engine == nil {
		return why
	}
	published := s.Contracts[g.Customer]
	if published == nil || published.Contract == nil {
		return invalid("no contract")
	}
	unit := s.index.units[g.Unit]
	most, allowed := unit.replicas(g.Customer)
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
	if s.index.count(g.Customer, g.Unit) >= most {
		return limit("contract's replicas")
	}
	if unit.bytes > published.Contract.MemoryBytes-s.index.customerBytes[g.Customer] {
		return limit("contract's memory")
	}
	if unit.bytes > engine.MemoryBytes-engine.used {
		return limit("engine's memory")
	}
	engine.FencingToken = rev
	s.addRight(engine, &Right{
		Unit: g.Unit, Customer: g.Customer, Base: unit.base, Checkpoint: unit.checkpoint, Bytes: unit.bytes,
		Granted: rev, Wanted: g.Wanted, UnsettledSessions: []SessionID{engine.KeeperSession},
	})
	return applied
}

func (s *State) want(rev Revision, w *SetWanted) result {
	right, why := s.standing(w.Engine, w.Keeper, w.Unit, w.Right)
	if right == nil {
		return why
	}
	right.Wanted = w.Wanted
	s.Engines[w.Engine].FencingToken = rev
	s.engineChanged(w.Engine)
	return applied
}

// withdraw ends a right. A base outlives its adapters: an engine may load the
// base again for a late order of an adapter.
func (s *State) withdraw(rev Revision, w *Withdraw) result {
	right, why := s.standing(w.Engine, w.Keeper, w.Unit, w.Right)
	if right == nil {
		return why
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

// gone frees the memory and the place of a withdrawn right.
//
// The failure: a former keeper is paused between deciding and sending a load,
// and sends it after the right was freed and its place granted elsewhere. The
// symptom is one replica more than decided, or an engine with more in memory
// than it has. An engine that checks tokens has seen the unload's higher one.
// On an engine that ignores them, no former keeper may be left that can send.
func (s *State) gone(p *Proposal) result {
	g := p.ConfirmUnload
	engine, why := s.kept(g.Engine, g.Keeper)
	if engine == nil {
		return why
	}
	if session, why := s.ownSession(engine.KeeperSession, p.ID); session == nil {
		return why
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
	if !engine.ChecksTokens && !right.onlyOrderedBy(engine.KeeperSession) {
		return conflict("a former keeper may still send an order")
	}
	s.dropRight(engine, right)
	return applied
}

// standing returns the right if it is the named one and not withdrawn.
func (s *State) standing(engineName string, keeper Revision, unit string, granted Revision) (*Right, result) {
	engine, why := s.kept(engineName, keeper)
	if engine == nil {
		return nil, why
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

func (r *Right) orderedBy(id SessionID) {
	if !slices.Contains(r.UnsettledSessions, id) {
		r.UnsettledSessions = append(r.UnsettledSessions, id)
	}
}

func (r *Right) onlyOrderedBy(keeper SessionID) bool {
	return !slices.ContainsFunc(r.UnsettledSessions, func(id SessionID) bool { return id != keeper })
}

func (s *State) addRight(engine *Engine, right *Right) {
	engine.Rights[right.Unit] = right
	s.index.add(engine, right)
	s.engineChanged(engine.Name)
}

func (s *State) dropRight(engine *Engine, right *Right) {
	delete(engine.Rights, right.Unit)
	s.index.drop(engine, right)
	s.engineChanged(engine.Name)
}
