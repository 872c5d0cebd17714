package keeper

import "bergamotreel/state"

// engineVersion is the part of an engine's recorded state that a worker acts on,
// cheap enough to be compared for each batch of records. Equal versions lead to the
// same next steps, as long as the engine's status is the same.
type engineVersion struct {
	// keeper, token and session change with each acquisition, release,
	// grant, withdrawal and change of the wanted state.
	keeper, token state.Revision
	session       state.SessionID
	incarnation   string
	memory        int64
	checksTokens  bool
	// rightCount decreases when a right is removed, unsettledCount when a former
	// keeper is settled.
	rightCount, unsettledCount int
}

func engineVersionOf(e *state.Engine) engineVersion {
	if e == nil {
		return engineVersion{}
	}
	version := engineVersion{
		keeper: e.Keeper, token: e.FencingToken, session: e.KeeperSession,
		incarnation: e.Incarnation, memory: e.MemoryBytes, checksTokens: e.ChecksTokens,
		rightCount: len(e.Rights), unsettledCount: len(e.FormerSessions) + len(e.UnfencedSessions),
	}
	for _, right := range e.Rights {
		version.unsettledCount += len(right.UnsettledSessions)
	}
	return version
}

// WakeChangedWorkers wakes the workers of the engines whose recorded state changed.
// If each batch of records woke every worker, each would poll its engine; in a fleet
// of thousands the renewals alone would have each engine polled without a pause.
func (k *Keeper) WakeChangedWorkers() {
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

// wakeWorkers wakes the workers of all engines.
func (k *Keeper) wakeWorkers() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, w := range k.workers {
		w.wakeUp()
	}
}

// wakeUp ends the worker's pause.
func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
