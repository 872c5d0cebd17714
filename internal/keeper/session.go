package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/lease"
	"bergamotreel/state"
)

// holdSession opens a session where there is none, renews it, and notices its
// end.
func (k *Keeper) holdSession(ctx context.Context) {
	k.mu.Lock()
	k.watchRivals(time.Now())
	k.mu.Unlock()
	session := k.Session()
	if session == 0 {
		k.openSession(ctx)
		return
	}
	if k.ended(session) {
		k.loseSession(session)
		return
	}
	k.renewSession(ctx, session)
}

// openSession opens a session on each VM, also on one without an engine to keep:
// only who renews a session of its own knows that renewals can land, and so
// whether another VM's is overdue.
func (k *Keeper) openSession(ctx context.Context) {
	k.mu.Lock()
	stopping := k.stopping
	k.mu.Unlock()
	if stopping {
		return
	}
	holder := lease.NewHolder(k.config.Lease)
	holder.RecordRenewalSent(time.Now(), 0)
	outcome, ok := k.propose(ctx, state.Proposal{SessionOpen: &state.SessionOpen{
		VM: k.config.VM, Incarnation: k.config.Incarnation, Domain: k.config.Domain,
	}})
	if !ok {
		return
	}
	holder.ConfirmRenewal(0)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping {
		return
	}
	k.session, k.holder, k.renewals = outcome.Revision, holder, 0
	if k.first == 0 {
		k.first = outcome.Revision
	}
	k.asked, k.confirmed, k.askedAt = 0, 0, time.Time{}
	k.observer.RecordLogProgress(time.Now())
	k.config.Logger.Info("session opened", zap.Uint64("session", uint64(outcome.Revision)))
}

func (k *Keeper) renewSession(ctx context.Context, session state.SessionID) {
	collected := k.config.UsesRelay()
	k.noteCollected(session)
	k.mu.Lock()
	now := time.Now()
	due := k.holder.IsRenewalDue(now)
	if collected {
		due = k.holder.IsOwnRenewalDue(now)
	}
	if due {
		k.renewals++
		k.holder.RecordRenewalSent(now, k.renewals)
	}
	holder, sequence := k.holder, k.renewals
	k.mu.Unlock()
	if !due {
		return
	}
	if _, ok := k.propose(ctx, state.Proposal{SessionRenew: &state.SessionRenew{Session: session}}); !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	holder.ConfirmRenewal(sequence)
	k.observer.RecordLogProgress(time.Now())
}

func (k *Keeper) ended(session state.SessionID) bool {
	ended := false
	k.config.Control.View(func(s *state.State) {
		known := s.Sessions[session]
		ended = known == nil || known.Ended
	})
	return ended
}

// loseSession stops the workers of a session that another VM ended, for example
// because this process was frozen for longer than the term. It is settled once
// the last order sent under it can't arrive any more.
func (k *Keeper) loseSession(session state.SessionID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Logger.Warn("session lost", zap.Uint64("session", uint64(session)))
	k.session = 0
	k.holder = nil
	for _, w := range k.workers {
		if w.session == session {
			w.stop()
		}
	}
	if _, known := k.ending[session]; !known {
		k.ending[session] = time.Time{}
	}
}

// endOthers expires sessions that are not renewed and settles those that can
// send no order any more.
func (k *Keeper) endOthers(ctx context.Context) {
	for _, p := range k.endings(time.Now()) {
		k.propose(ctx, p)
	}
}

func (k *Keeper) endings(now time.Time) []state.Proposal {
	var out []state.Proposal
	k.mu.Lock()
	defer k.mu.Unlock()
	found := make(map[ending]time.Time)
	// mine tells whether this VM should end now what belongs to the other one.
	mine := func(what ending, vm string) bool {
		since, known := k.found[what]
		if !known {
			since = now
		}
		found[what] = since
		return k.config.ShouldSettle(vm) || now.Sub(since) >= settleGrace
	}
	k.config.Control.View(func(s *state.State) {
		k.observer.ApplySessions(now, s.Sessions)
		for _, expire := range k.observer.Expired(now) {
			what := ending{kind: "expire", session: expire.Session}
			if expire.Session != k.session && mine(what, s.Sessions[expire.Session].VM) {
				out = append(out, state.Proposal{SessionExpire: &expire})
			}
		}
		for _, expire := range k.departures.AbandonedSessions(s.Sessions) {
			if k.stopping {
				break // it may be a rival's; see Rival
			}
			out = append(out, state.Proposal{SessionExpire: &expire})
		}
		for _, settle := range k.departures.SettleableSessions(now, s.Sessions) {
			vm := s.Sessions[settle.Session].VM
			if vm == k.config.VM || mine(ending{kind: "settle", session: settle.Session}, vm) {
				out = append(out, state.Proposal{SessionSettle: &settle})
			}
		}
		for _, remove := range k.departures.RemovableEngines(s.Engines) {
			if mine(ending{kind: "remove", engine: remove.Engine}, remove.Engine) {
				out = append(out, state.Proposal{EngineRemove: &remove})
			}
		}
		out = append(out, k.ownSettles(now, s)...)
	})
	k.found = found
	return out
}

// ending is one thing that is to end: a session or an engine.
type ending struct {
	kind    string
	session state.SessionID
	engine  string
}

// ownSettles are the own ended sessions that can send no order any more: their
// workers have stopped and their last order without an answer has died out.
func (k *Keeper) ownSettles(now time.Time, s *state.State) []state.Proposal {
	var out []state.Proposal
	for session, lastDoubt := range k.ending {
		known := s.Sessions[session]
		if known == nil || known.Settled {
			delete(k.ending, session)
			continue
		}
		if known.Ended && now.After(lastDoubt) && k.running[session] == 0 {
			out = append(out, state.Proposal{SessionSettle: &state.SessionSettle{Session: session}})
		}
	}
	return out
}
