package state

// sessionOpen starts a session, whose ID is the revision.
func (s *State) sessionOpen(rev Revision, p *Proposal) result {
	open := p.SessionOpen
	if open.VM == "" || open.Incarnation == "" {
		return invalid("session without VM or incarnation")
	}
	s.Sessions[rev] = &Session{
		ID: rev, VM: open.VM, Incarnation: open.Incarnation, Domain: open.Domain,
		Proposer: p.ID.Proposer, LastRenewal: rev,
	}
	s.index.liveSessions[p.ID.Proposer]++
	return applied
}

func (s *State) sessionRenew(rev Revision, p *Proposal) result {
	session, failure := s.ownSession(p.SessionRenew.Session, p.ID)
	if session == nil {
		return failure
	}
	session.LastRenewal = rev
	return applied
}

// sessionsRenew renews the sessions whose number is new. An append whose reply is
// lost is retried for a minute. Without the numbers, each copy of the record would
// postpone the expiry of a VM that died meanwhile.
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

// sessionClose ends and settles a session at its owner's request.
func (s *State) sessionClose(p *Proposal) result {
	session, failure := s.ownSession(p.SessionClose.Session, p.ID)
	if session == nil {
		return failure
	}
	s.endSession(session)
	s.settleSession(session)
	return applied
}

// sessionExpire ends a session. A renewal with a lower revision has changed
// LastRenewal, so the stream decides which of the two takes effect.
func (s *State) sessionExpire(expire *SessionExpire) result {
	session := s.Sessions[expire.Session]
	if session == nil || session.Ended {
		return conflict(ReasonEnded)
	}
	if session.LastRenewal != expire.LastRenewal {
		return conflict("renewed since")
	}
	s.endSession(session)
	return applied
}

// sessionSettle settles an ended session. It trusts the proposer, because the log
// holds no proof that the VM is gone or that all orders of the owner were answered.
func (s *State) sessionSettle(settle *SessionSettle) result {
	session := s.Sessions[settle.Session]
	if session == nil || session.Settled {
		return conflict("session settled")
	}
	if !session.Ended {
		return conflict("session still live")
	}
	s.settleSession(session)
	return applied
}

// ownSession returns the live session if the proposer itself opened it. Another
// process can't know when the owner sends its orders, so it must not act for it.
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

// endSession ends a session and releases its engines. Its orders may still be in
// flight.
func (s *State) endSession(session *Session) {
	session.Ended = true
	s.index.liveSessions[session.Proposer]--
	if s.index.liveSessions[session.Proposer] == 0 {
		delete(s.index.liveSessions, session.Proposer)
	}
	for name := range s.index.enginesBySession[session.ID] {
		s.releaseKeeper(s.Engines[name])
	}
}

// settleSession deletes an ended session. None of its orders can arrive any more, so
// it no longer delays the deletion of withdrawn rights.
func (s *State) settleSession(session *Session) {
	session.Settled = true
	for _, engine := range s.Engines {
		engine.removeUnsettledSession(session.ID)
	}
	delete(s.Sessions, session.ID)
}
