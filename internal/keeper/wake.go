package keeper

import "bergamotreel/state"

// stamp is what of an engine's agreed state a worker acts on, short enough to be
// compared at each batch of records. Of two that are equal the next steps are the
// same, as long as the engine says the same.
type stamp struct {
	// keeper, session and newest change with each take, give-back, grant, want
	// and withdrawal.
	keeper, newest state.Revision
	session        state.SessionID
	incarnation    string
	memory         int64
	checks         bool
	// rights falls when a right is gone, ordered when a former keeper is settled.
	rights, ordered int
}

func stampOf(e *state.Engine) stamp {
	if e == nil {
		return stamp{}
	}
	of := stamp{
		keeper: e.Keeper, newest: e.FencingToken, session: e.KeeperSession,
		incarnation: e.Incarnation, memory: e.MemoryBytes, checks: e.ChecksTokens,
		rights: len(e.Rights), ordered: len(e.FormerSessions) + len(e.UnfencedSessions),
	}
	for _, right := range e.Rights {
		of.ordered += len(right.UnsettledSessions)
	}
	return of
}

// Wake has those engines looked at soon of which the fold has news. Failure: each
// batch of records woke the worker of every engine, and each worker asked its
// engine; in a fleet of thousands the renewals alone would have had each engine
// asked without a pause.
func (k *Keeper) Wake() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config.Control.View(func(s *state.State) {
		for address, w := range k.workers {
			now := stampOf(s.Engines[address])
			if now == w.woken {
				continue
			}
			w.woken = now
			w.rouse()
		}
	})
}

// wakeAll has all engines looked at soon.
func (k *Keeper) wakeAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workers {
		w.rouse()
	}
}

// rouse ends the worker's pause.
func (w *worker) rouse() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
