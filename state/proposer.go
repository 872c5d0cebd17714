package state

import (
	"cmp"
	"slices"
)

const (
	// maxRememberedOutcomes bounds the outcomes stored for all proposers together,
	// about 2 MB. At several hundred appends a second an outcome is stored for more
	// than a minute, while a retry is appended within seconds.
	maxRememberedOutcomes = 32 << 10
	// maxRememberedPerProposer keeps one busy proposer from using the whole bound.
	// It is large enough that a full record can be retried.
	maxRememberedPerProposer = MaxProposals
	// maxIdleProposers bounds the stored proposers without a live session: those of
	// operators' commands (45,000 changes a day) and of processes that ended.
	maxIdleProposers = 1024
)

// findOutcome returns the stored outcome of a retried proposal.
//
// Forgetting outcomes is safe. A proposal whose outcome is forgotten is rejected
// while its proposer is known. Once the proposer is forgotten too, only the
// proposal's own preconditions apply, and they are enough for the invariants:
//
//   - Publish names the exact version that it is based on, which has changed.
//   - Proposals of a keeper need its live session, and a proposer with a live
//     session is never forgotten.
//   - SessionExpire names a renewal, and Withdraw, SetWanted and ConfirmUnload name
//     a right, which have been replaced by then.
//   - Grant and KeeperAcquire are checked against the limits and the keeper at their
//     place in the stream, however late.
func (s *State) findOutcome(id ProposalID) (Outcome, bool) {
	p := s.Proposers[id.Proposer]
	if p == nil || id.Sequence > p.HighestSequence {
		return Outcome{}, false
	}
	for _, r := range p.RecentOutcomes {
		if r.Sequence == id.Sequence {
			return Outcome{ID: id, Verdict: r.Verdict, Revision: r.Revision, Reason: r.Reason, Repeated: true}, true
		}
	}
	// Group commits may be appended out of order, so a lower sequence without a
	// stored outcome is new unless it is at most HighestForgotten.
	if id.Sequence <= p.HighestForgotten {
		return Outcome{ID: id, Verdict: VerdictConflict, Reason: ReasonForgotten, Repeated: true}, true
	}
	return Outcome{}, false
}

// rememberOutcome stores an outcome and deletes the oldest ones beyond the bounds.
func (s *State) rememberOutcome(o Outcome) {
	p := s.Proposers[o.ID.Proposer]
	if p == nil {
		p = &Proposer{}
		s.Proposers[o.ID.Proposer] = p
	}
	p.HighestSequence = max(p.HighestSequence, o.ID.Sequence)
	p.LastRevision = o.Revision
	p.RecentOutcomes = append(p.RecentOutcomes, RememberedOutcome{o.ID.Sequence, o.Revision, o.Verdict, o.Reason})
	s.index.outcomeRefs = append(s.index.outcomeRefs, outcomeRef{o.Revision, p})
	s.index.rememberedCount++
	if len(p.RecentOutcomes) > maxRememberedPerProposer {
		s.forgetOldestOutcomeOf(p)
	}
	for s.index.rememberedCount > maxRememberedOutcomes {
		s.forgetOldestOutcome()
	}
	if len(s.index.outcomeRefs) > 2*maxRememberedOutcomes {
		s.index.outcomeRefs = slices.DeleteFunc(s.index.outcomeRefs, outcomeRef.isForgotten)
	}
	s.forgetIdleProposers()
}

// outcomeRef refers to the outcome that a proposer got at a revision.
type outcomeRef struct {
	revision Revision
	proposer *Proposer
}

// isForgotten reports whether the outcome is no longer stored.
func (r outcomeRef) isForgotten() bool {
	recent := r.proposer.RecentOutcomes
	return len(recent) == 0 || r.revision < recent[0].Revision
}

// forgetOldestOutcome deletes the oldest outcome of all proposers.
func (s *State) forgetOldestOutcome() {
	oldest := s.index.outcomeRefs[0]
	s.index.outcomeRefs = s.index.outcomeRefs[1:]
	if !oldest.isForgotten() {
		s.forgetOldestOutcomeOf(oldest.proposer)
	}
}

func (s *State) forgetOldestOutcomeOf(p *Proposer) {
	p.HighestForgotten = max(p.HighestForgotten, p.RecentOutcomes[0].Sequence)
	p.RecentOutcomes = p.RecentOutcomes[1:]
	s.index.rememberedCount--
}

// forgetIdleProposers deletes all but the maxIdleProposers most recent proposers
// without a live session. It waits until there are about twice as many, so that it
// rarely sorts.
func (s *State) forgetIdleProposers() {
	if len(s.Proposers)-len(s.index.liveSessions) <= 2*maxIdleProposers {
		return
	}
	var idle []string
	for name := range s.Proposers {
		if s.index.liveSessions[name] == 0 {
			idle = append(idle, name)
		}
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Compare(s.Proposers[b].LastRevision, s.Proposers[a].LastRevision)
	})
	for _, name := range idle[maxIdleProposers:] {
		p := s.Proposers[name]
		s.index.rememberedCount -= len(p.RecentOutcomes)
		p.RecentOutcomes = nil
		delete(s.Proposers, name)
	}
}

// rebuildOutcomeRefs lists the stored outcomes of all proposers, oldest first.
func (s *State) rebuildOutcomeRefs() {
	for _, p := range s.Proposers {
		for _, r := range p.RecentOutcomes {
			s.index.outcomeRefs = append(s.index.outcomeRefs, outcomeRef{r.Revision, p})
		}
	}
	s.index.rememberedCount = len(s.index.outcomeRefs)
	slices.SortFunc(s.index.outcomeRefs, func(a, b outcomeRef) int { return cmp.Compare(a.revision, b.revision) })
}
