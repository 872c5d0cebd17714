package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"bergamotreel/internal/commit"
	"bergamotreel/state"
)

// handoverDelay is how long another VM must have been assigned an engine before the
// engine is released: a VM that is unreachable for a moment must not cause two
// changes of keepers.
const handoverDelay = 10 * time.Second

// enginesToRelease returns the engines to release now: another VM has been assigned
// them for handoverDelay, and their workers have ended. Without releases a keeper
// from another failure domain, which took over once, would stay indefinitely, and
// the engine's own domain could load nothing there once it is cut off.
//
// While the log is unreachable no engine can change its keeper. Ending its worker
// then would leave the engine without any, during a partition, just when its domain
// needs it.
func (k *Keeper) enginesToRelease(now time.Time, kept, assigned []string) []string {
	logUnreachable := k.config.OutageDemand() != nil
	k.mu.Lock()
	defer k.mu.Unlock()
	k.dropCompletedReleases(kept)
	if logUnreachable {
		assigned = kept
	}
	reassigned := make(map[string]time.Time)
	var release []string
	for _, address := range kept {
		if k.pendingReleases[address] {
			release = append(release, address)
			continue
		}
		if slices.Contains(assigned, address) {
			continue
		}
		since, known := k.reassignedSince[address]
		if !known {
			since = now
		}
		reassigned[address] = since
		if now.Sub(since) < handoverDelay {
			continue
		}
		if w, running := k.workers[address]; running {
			w.stop()
			continue
		}
		release = append(release, address)
	}
	k.reassignedSince = reassigned
	return release
}

// isBeingReleased reports whether no worker may start for the engine, because its
// release is due or pending. The caller must hold mu.
func (k *Keeper) isBeingReleased(address string, now time.Time) bool {
	since, known := k.reassignedSince[address]
	return k.pendingReleases[address] || known && now.Sub(since) >= handoverDelay
}

// releaseEngine releases the engine for its next keeper. If an order may still
// arrive there, the release is not marked as settled: this session then still
// blocks ConfirmUnload.
func (k *Keeper) releaseEngine(ctx context.Context, address string, session state.SessionID) {
	var keeper state.Revision
	k.config.Control.View(func(s *state.State) {
		if e := s.Engines[address]; e != nil && e.KeeperSession == session {
			keeper = e.Keeper
		}
	})
	if keeper == 0 {
		return
	}
	// The proposal states that no more orders are sent under this keeper. Its
	// answer can be lost, and it can be applied much later: an order sent in
	// between would count as settled, and its unit could be loaded without a right.
	// Therefore no order is sent to the engine from here until the release is
	// applied.
	k.mu.Lock()
	k.pendingReleases[address] = true
	settled := len(unexpired(k.pendingLoads[address], time.Now())) == 0
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := k.config.Control.Propose(ctx, state.Proposal{KeeperRelease: &state.KeeperRelease{
		Engine: address, Keeper: keeper, Settled: settled,
	}})
	if err == nil || errors.Is(err, commit.ErrNotStored) {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.pendingReleases, address)
	}
}

// dropCompletedReleases drops the engines that this session no longer keeps. The
// caller must hold mu.
func (k *Keeper) dropCompletedReleases(kept []string) {
	for address := range k.pendingReleases {
		if !slices.Contains(kept, address) {
			delete(k.pendingReleases, address)
		}
	}
}
