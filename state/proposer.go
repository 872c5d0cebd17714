package state

import (
	"cmp"
	"slices"
)

const (
	// maxRemembered bounds the outcomes remembered of all proposers together,
	// about 2 MB: at several hundred appends a second a retry has a minute and
	// more to land, and it comes within seconds.
	maxRemembered = 32 << 10
	// maxRememberedEach keeps one busy proposer from taking all of that; a whole
	// record can be retried.
	maxRememberedEach = MaxProposals
	// maxIdleProposers bounds the remembered proposers without a live session:
	// operators' commands (45,000 changes a day) and processes that ended.
	maxIdleProposers = 1024
)

// remembered returns the stored outcome of a retried proposal.
//
// Forgetting is harmless: a proposal whose outcome is forgotten is refused while
// its proposer is known. Once the proposer is forgotten too, only the proposal's
// own preconditions stand, and they hold the invariants by themselves: Publish
// names the exact version it was made on, which has moved; what a keeper says
// needs its live session, and a proposer with a live session is never
// forgotten; SessionExpire names the renewal, Withdraw, Want and Gone name a
// right that is another one by then; Grant and KeeperTake are checked against
// the limits and the keeper where they land, whenever that is.
func (s *State) remembered(id ProposalID) (Outcome, bool) {
	p := s.Proposers[id.Proposer]
	if p == nil || id.Sequence > p.HighestSequence {
		return Outcome{}, false
	}
	for _, r := range p.RecentOutcomes {
		if r.Sequence == id.Sequence {
			return Outcome{ID: id, Verdict: r.Verdict, Revision: r.Revision, Reason: r.Reason, Repeated: true}, true
		}
	}
	// Group commits may land out of order: a lower sequence that is not
	// remembered is new unless it is as old as one that was forgotten.
	if id.Sequence <= p.HighestForgotten {
		return Outcome{ID: id, Verdict: VerdictConflict, Reason: ReasonForgotten, Repeated: true}, true
	}
	return Outcome{}, false
}

// remember stores an outcome and forgets the oldest ones.
func (s *State) remember(o Outcome) {
	p := s.Proposers[o.ID.Proposer]
	if p == nil {
		p = &Proposer{}
		s.Proposers[o.ID.Proposer] = p
	}
	p.HighestSequence = max(p.HighestSequence, o.ID.Sequence)
	p.LastRevision = o.Revision
	p.RecentOutcomes = append(p.RecentOutcomes, RememberedOutcome{o.ID.Sequence, o.Revision, o.Verdict, o.Reason})
	s.index.landed = append(s.index.landed, landing{o.Revision, p})
	s.index.remembered++
	if len(p.RecentOutcomes) > maxRememberedEach {
		s.forgetOldest(p)
	}
	for s.index.remembered > maxRemembered {
		s.forgetNext()
	}
	if len(s.index.landed) > 2*maxRemembered {
		s.index.landed = slices.DeleteFunc(s.index.landed, landing.stale)
	}
	s.forgetProposers()
}

// landing is one remembered outcome in the order of the stream.
type landing struct {
	revision Revision
	proposer *Proposer
}

// stale tells whether the outcome was forgotten since.
func (l landing) stale() bool {
	recent := l.proposer.RecentOutcomes
	return len(recent) == 0 || l.revision < recent[0].Revision
}

// forgetNext forgets the oldest outcome of all proposers.
func (s *State) forgetNext() {
	next := s.index.landed[0]
	s.index.landed = s.index.landed[1:]
	if !next.stale() {
		s.forgetOldest(next.proposer)
	}
}

func (s *State) forgetOldest(p *Proposer) {
	p.HighestForgotten = max(p.HighestForgotten, p.RecentOutcomes[0].Sequence)
	p.RecentOutcomes = p.RecentOutcomes[1:]
	s.index.remembered--
}

// forgetProposers keeps the newest of the proposers without a live session. It
// waits until there are twice as many, so that its sort is rare.
func (s *State) forgetProposers() {
	if len(s.Proposers)-len(s.index.live) <= 2*maxIdleProposers {
		return
	}
	var idle []string
	for name := range s.Proposers {
		if s.index.live[name] == 0 {
			idle = append(idle, name)
		}
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Compare(s.Proposers[b].LastRevision, s.Proposers[a].LastRevision)
	})
	for _, name := range idle[maxIdleProposers:] {
		p := s.Proposers[name]
		s.index.remembered -= len(p.RecentOutcomes)
		p.RecentOutcomes = nil
		delete(s.Proposers, name)
	}
}

// indexLandings lists the remembered outcomes of all proposers, oldest first.
func (s *State) indexLandings() {
	for _, p := range s.Proposers {
		for _, r := range p.RecentOutcomes {
			s.index.landed = append(s.index.landed, landing{r.Revision, p})
		}
	}
	s.index.remembered = len(s.index.landed)
	slices.SortFunc(s.index.landed, func(a, b landing) int { return cmp.Compare(a.revision, b.revision) })
}
