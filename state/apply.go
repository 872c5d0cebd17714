package state

// maxOffset is the highest offset that a revision can hold.
const maxOffset = 1<<(64-revisionIndexBits) - 1

// New returns the state before the first record.
func New() *State {
	s := &State{
		Contracts: map[string]*PublishedContract{},
		Sessions:  map[SessionID]*Session{},
		Engines:   map[string]*Engine{},
		Proposers: map[string]*Proposer{},
	}
	s.rebuildIndex()
	return s
}

// Apply applies the record at an offset and returns the outcome of each of its
// proposals. A record at or below Applied was applied before and is ignored. A
// record that can't be decoded is skipped and counted. It must neither stop the
// state machine nor change the state, because one bad append would then block
// every VM.
func (s *State) Apply(offset uint64, data []byte) []Outcome {
	if offset <= s.Applied {
		return nil
	}
	s.Applied = offset
	record, err := Decode(data)
	if err != nil || offset > maxOffset {
		s.SkippedRecords++
		return nil
	}
	outcomes := make([]Outcome, 0, len(record.Proposals))
	for i := range record.Proposals {
		outcomes = append(outcomes, s.applyProposal(MakeRevision(offset, i), &record.Proposals[i]))
	}
	return outcomes
}

// applyProposal applies one proposal, unless its sequence was applied before.
func (s *State) applyProposal(rev Revision, p *Proposal) Outcome {
	if p.ID.Proposer == "" || p.ID.Sequence == 0 {
		return Outcome{ID: p.ID, Verdict: VerdictInvalid, Revision: rev, Reason: "no identity"}
	}
	// Outcomes of renewals are not stored. Renewals are by far the most frequent
	// proposals. A late duplicate of a SessionRenew only delays the expiry of its
	// session, and a duplicate of a SessionsRenew has no effect.
	if p.SessionRenew != nil && p.hasOneKind() {
		return outcome(p.ID, rev, s.sessionRenew(rev, p))
	}
	if p.SessionsRenew != nil && p.hasOneKind() {
		return outcome(p.ID, rev, s.sessionsRenew(rev, p.SessionsRenew))
	}
	if earlier, found := s.findOutcome(p.ID); found {
		return earlier
	}
	o := outcome(p.ID, rev, s.applyChange(rev, p))
	s.rememberOutcome(o)
	return o
}

func outcome(id ProposalID, rev Revision, r result) Outcome {
	return Outcome{ID: id, Verdict: r.verdict, Revision: rev, Reason: r.reason}
}

// applyChange checks the preconditions of a proposal and applies its change.
func (s *State) applyChange(rev Revision, p *Proposal) result {
	if !p.hasOneKind() {
		return invalid("not exactly one known kind")
	}
	switch {
	case p.Publish != nil:
		return s.publish(rev, p.Publish)
	case p.SessionOpen != nil:
		return s.sessionOpen(rev, p)
	case p.SessionClose != nil:
		return s.sessionClose(p)
	case p.SessionExpire != nil:
		return s.sessionExpire(p.SessionExpire)
	case p.SessionSettle != nil:
		return s.sessionSettle(p.SessionSettle)
	case p.KeeperAcquire != nil:
		return s.keeperAcquire(rev, p)
	case p.KeeperRelease != nil:
		return s.keeperRelease(p)
	case p.EngineReport != nil:
		return s.engineReport(p)
	case p.EngineRemove != nil:
		return s.engineRemove(p.EngineRemove)
	case p.Grant != nil:
		return s.grant(rev, p.Grant)
	case p.SetWanted != nil:
		return s.setWanted(rev, p.SetWanted)
	case p.Withdraw != nil:
		return s.withdraw(rev, p.Withdraw)
	default:
		return s.confirmUnload(p)
	}
}

// hasOneKind reports whether exactly one kind is set. A kind that only a newer
// version knows decodes to none.
func (p *Proposal) hasOneKind() bool {
	kinds := [...]bool{
		p.Publish != nil, p.SessionOpen != nil, p.SessionRenew != nil, p.SessionClose != nil,
		p.SessionExpire != nil, p.SessionSettle != nil, p.KeeperAcquire != nil, p.KeeperRelease != nil,
		p.EngineReport != nil, p.EngineRemove != nil, p.Grant != nil, p.SetWanted != nil,
		p.Withdraw != nil, p.ConfirmUnload != nil, p.SessionsRenew != nil,
	}
	set := 0
	for _, kind := range kinds {
		if kind {
			set++
		}
	}
	return set == 1
}
