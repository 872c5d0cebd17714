package keeper

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/lease"
	"bergamotreel/state"
)

// maintainSession opens a session if there is none, renews it, and handles its end.
func (k *Keeper) maintainSession(ctx context.Context) {
	k.mu.Lock()
	k.detectDuplicates(time.Now())
	k.mu.Unlock()
	session := k.Session()
	if session == 0 {
		k.openSession(ctx)
		return
	}
	if k.hasEnded(session) {
		k.handleSessionLoss(session)
		return
	}
	k.renewSession(ctx, session)
}

// openSession opens a session on each VM, even on one without an engine to keep:
// only a VM that renews a session of its own knows that renewals can be applied,
// and so whether another VM's is overdue.
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
	k.session, k.holder, k.renewalSequence = outcome.Revision, holder, 0
	if k.firstSession == 0 {
		k.firstSession = outcome.Revision
	}
	k.relayRequestNumber, k.confirmedRelayRequest, k.relayRequestedAt = 0, 0, time.Time{}
	k.observer.RecordLogProgress(time.Now())
	k.config.Logger.Info("session opened", zap.Uint64("session", uint64(outcome.Revision)))
}

func (k *Keeper) renewSession(ctx context.Context, session state.SessionID) {
	usesRelay := k.config.UsesRelay()
	k.confirmRelayRenewal(session)
	k.mu.Lock()
	now := time.Now()
	due := k.holder.IsRenewalDue(now)
	if usesRelay {
		due = k.holder.IsOwnRenewalDue(now)
	}
	if due {
		k.renewalSequence++
		k.holder.RecordRenewalSent(now, k.renewalSequence)
	}
	holder, sequence := k.holder, k.renewalSequence
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

func (k *Keeper) hasEnded(session state.SessionID) bool {
	ended := false
	k.config.Control.View(func(s *state.State) {
		known := s.Sessions[session]
		ended = known == nil || known.Ended
	})
	return ended
}

// handleSessionLoss stops the workers of a session that another VM ended, for
// example because this process was frozen for longer than the term. The session is
// settled once the last order sent under it can no longer arrive.
func (k *Keeper) handleSessionLoss(session state.SessionID) {
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
	if _, known := k.unsettledSessions[session]; !known {
		k.unsettledSessions[session] = time.Time{}
	}
}

// endSessions expires sessions that are not renewed, settles those that can send no
// more orders, and removes engines that are gone.
func (k *Keeper) endSessions(ctx context.Context) {
	for _, p := range k.endingProposals(time.Now()) {
		k.propose(ctx, p)
	}
}

func (k *Keeper) endingProposals(now time.Time) []state.Proposal {
	var out []state.Proposal
	k.mu.Lock()
	defer k.mu.Unlock()
	foundAt := make(map[endingKey]time.Time)
	// shouldAct reports whether this VM should now end something that belongs to
	// the given VM.
	shouldAct := func(key endingKey, vm string) bool {
		since, known := k.endingsFoundAt[key]
		if !known {
			since = now
		}
		foundAt[key] = since
		return k.config.ShouldSettle(vm) || now.Sub(since) >= settleGracePeriod
	}
	k.config.Control.View(func(s *state.State) {
		k.observer.ApplySessions(now, s.Sessions)
		for _, expire := range k.observer.Expired(now) {
			key := endingKey{kind: "expire", session: expire.Session}
			if expire.Session != k.session && shouldAct(key, s.Sessions[expire.Session].VM) {
				out = append(out, state.Proposal{SessionExpire: &expire})
			}
		}
		for _, expire := range k.departures.AbandonedSessions(s.Sessions) {
			if k.stopping {
				break // it may belong to a duplicate; see DuplicateProcess
			}
			out = append(out, state.Proposal{SessionExpire: &expire})
		}
		for _, settle := range k.departures.SettleableSessions(now, s.Sessions) {
			vm := s.Sessions[settle.Session].VM
			if vm == k.config.VM || shouldAct(endingKey{kind: "settle", session: settle.Session}, vm) {
				out = append(out, state.Proposal{SessionSettle: &settle})
			}
		}
		for _, remove := range k.departures.RemovableEngines(s.Engines) {
			if shouldAct(endingKey{kind: "remove", engine: remove.Engine}, remove.Engine) {
				out = append(out, state.Proposal{EngineRemove: &remove})
			}
		}
		out = append(out, k.ownSettlements(now, s)...)
	})
	k.endingsFoundAt = foundAt
	return out
}

// endingKey identifies a session or an engine that is to end, and how.
type endingKey struct {
	kind    string
	session state.SessionID
	engine  string
}

// ownSettlements returns the settlements of this VM's ended sessions that can send
// no more orders: their workers have stopped and their last unanswered order can no
// longer arrive.
func (k *Keeper) ownSettlements(now time.Time, s *state.State) []state.Proposal {
	var out []state.Proposal
	for session, pendingUntil := range k.unsettledSessions {
		known := s.Sessions[session]
		if known == nil || known.Settled {
			delete(k.unsettledSessions, session)
			continue
		}
		if known.Ended && now.After(pendingUntil) && k.workerCounts[session] == 0 {
			out = append(out, state.Proposal{SessionSettle: &state.SessionSettle{Session: session}})
		}
	}
	return out
}
