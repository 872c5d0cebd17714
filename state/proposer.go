package state

import (
	"cmp"
	"slices"
)

const (
	// sequenceWindow is how many sequences below a proposer's highest are told
	// apart: group commits of one proposer may land out of order, and retries
	// come within a few appends.
	sequenceWindow = 32
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
	if p == nil || id.Sequence > p.Highest {
		return Outcome{}, false
	}
	for _, r := range p.Recent {
		if r.Sequence == id.Sequence {
			return Outcome{ID: id, Verdict: r.Verdict, Revision: r.Revision, Reason: r.Reason, Repeated: true}, true
		}
	}
	if p.Highest-id.Sequence >= sequenceWindow {
		return Outcome{ID: id, Verdict: VerdictConflict, Reason: ReasonForgotten, Repeated: true}, true
	}
	return Outcome{}, false
}

// remember stores an outcome and forgets those that fell out of the window.
func (s *State) remember(o Outcome) {
	p := s.Proposers[o.ID.Proposer]
	if p == nil {
		p = &Proposer{}
		s.Proposers[o.ID.Proposer] = p
	}
	p.Highest = max(p.Highest, o.ID.Sequence)
	p.LastUsed = o.Revision
	p.Recent = append(p.Recent, Remembered{o.ID.Sequence, o.Revision, o.Verdict, o.Reason})
	p.Recent = slices.DeleteFunc(p.Recent, func(r Remembered) bool {
		return p.Highest-r.Sequence >= sequenceWindow
	})
	s.forgetProposers()
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
	if len(idle) <= 2*maxIdleProposers {
		return
	}
	slices.SortFunc(idle, func(a, b string) int {
		return cmp.Compare(s.Proposers[b].LastUsed, s.Proposers[a].LastUsed)
	})
	for _, name := range idle[maxIdleProposers:] {
		delete(s.Proposers, name)
	}
}
