package keeper

import "bergamotreel/state"

// stamp is what of an engine's agreed state a worker acts on, short enough to be
// compared at each batch of records. Of two that are equal the next steps are the
// same, as long as the engine says the same.
type engineVersion struct {
	// keeper, session and newest change with each take, give-back, grant, want
	// and withdrawal.
	keeper, fencingToken state.Revision
	session              state.SessionID
	incarnation          string
	memory               int64
	checksTokens         bool
	// rights falls when a right is gone, ordered when a former keeper is settled.
	rightCount, unsettledCount int
}

func engineVersionOf(e *state.Engine) engineVersion {
	if e == nil {
		return engineVersion{}
	}
	version := engineVersion{
		keeper: e.Keeper, fencingToken: e.FencingToken, session: e.KeeperSession,
		incarnation: e.Incarnation, memory: e.MemoryBytes, checksTokens: e.ChecksTokens,
		rightCount: len(e.Rights), unsettledCount: len(e.FormerSessions) + len(e.UnfencedSessions),
	}
	for _, right := range e.Rights {
		version.unsettledCount += len(right.UnsettledSessions)
	}
	return version
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
			version := engineVersionOf(s.Engines[address])
			if version == w.lastVersion {
				continue
			}
			w.lastVersion = version
			w.wakeUp()
		}
	})
}

// wakeAll has all engines looked at soon.
func (k *Keeper) wakeWorkers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workers {
		w.wakeUp()
	}
}

// rouse ends the worker's pause.
func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
