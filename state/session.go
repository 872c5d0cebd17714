package state

// sessionOpen starts a session; its revision names it.
func (s *State) sessionOpen(rev Revision, p *Proposal) result {
	open := p.SessionOpen
	if open.VM == "" || open.Incarnation == "" {
		return invalid("session without VM or incarnation")
	}
	s.Sessions[rev] = &Session{
		ID: rev, VM: open.VM, Incarnation: open.Incarnation, Domain: open.Domain,
		Proposer: p.ID.Proposer, LastRenewal: rev,
	}
	s.index.live[p.ID.Proposer]++
	return applied
}

func (s *State) sessionRenew(rev Revision, p *Proposal) result {
	session, why := s.ownSession(p.SessionRenew.Session, p.ID)
	if session == nil {
		return why
	}
	session.LastRenewal = rev
	return applied
}

// sessionsRenew renews the sessions whose number is new. Failure without the
// numbers: an append whose answer is lost is repeated for a minute, and each
// landing would put off the expiry of a VM that died meanwhile.
func (s *State) sessionsRenew(rev Revision, renew *SessionsRenew) result {
	if len(renew.Renewals) > MaxRenewals {
		return invalid("too many renewals")
	}
	renewed := false
	for _, r := range renew.Renewals {
		session := s.Sessions[r.Session]
		if session == nil || session.Ended || r.Number <= session.RenewalNumber {
			continue
		}
		session.LastRenewal, session.RenewalNumber = rev, r.Number
		renewed = true
	}
	if !renewed {
		return conflict(ReasonStale)
	}
	return applied
}

// sessionClose ends and settles a session by its owner's word.
func (s *State) sessionClose(p *Proposal) result {
	session, why := s.ownSession(p.SessionClose.Session, p.ID)
	if session == nil {
		return why
	}
	s.end(session)
	s.settle(session)
	return applied
}

// sessionExpire ends a session. A renewal that landed first moved LastRenewal,
// so the race between both has one winner by offset.
func (s *State) sessionExpire(expire *SessionExpire) result {
	session := s.Sessions[expire.Session]
	if session == nil || session.Ended {
		return conflict(ReasonEnded)
	}
	if session.LastRenewal != expire.LastRenewal {
		return conflict("renewed since")
	}
	s.end(session)
	return applied
}

// sessionSettle trusts its proposer: the log holds no proof that the VM is gone
// or that the owner's orders are all answered.
func (s *State) sessionSettle(settle *SessionSettle) result {
	session := s.Sessions[settle.Session]
	if session == nil || session.Settled {
		return conflict("session settled")
	}
	if !session.Ended {
		return conflict("session still live")
	}
	s.settle(session)
	return applied
}

// ownSession returns the live session if the proposer itself opened it. Another
// process can't know when the owner sends its orders, so it must not speak for
// it.
func (s *State) ownSession(id SessionID, by ProposalID) (*Session, result) {
	session := s.Sessions[id]
	if session == nil || session.Ended {
		return nil, conflict(ReasonEnded)
	}
	if session.Proposer != by.Proposer {
		return nil, conflict("another process's session")
	}
	return session, result{}
}

// end takes all engines from a session. Its orders may still be under way.
func (s *State) end(session *Session) {
	session.Ended = true
	s.index.live[session.Proposer]--
	if s.index.live[session.Proposer] == 0 {
		delete(s.index.live, session.Proposer)
	}
	for name := range s.index.keeping[session.ID] {
		s.release(s.Engines[name])
	}
}

// settle forgets an ended session: no order of it can arrive any more, so it no
// longer holds up any right.
func (s *State) settle(session *Session) {
	session.Settled = true
	for _, engine := range s.Engines {
		engine.forgive(session.ID)
	}
	delete(s.Sessions, session.ID)
}
