package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"bergamotreel/internal/commit"
	"bergamotreel/state"
)

// handOverAfter is how long another VM must have been the one to keep an engine
// before it is given back: a VM that is unheard for a moment must not cost two
// changes of keepers.
const handoverDelay = 10 * time.Second

// handOver returns the engines to give back now: another VM should keep them for
// a while, and their workers have ended. Without it a keeper from another failure
// domain, which stepped in once, would stay for good, and the engine's own domain
// could load nothing there once it is cut off.
//
// While the log is out of reach nothing can change hands. A worker that ended for
// it would leave the engine to nobody, in a cut just when its domain needs it.
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

// handsOver tells whether no worker may start for the engine. Call with mu held.
func (k *Keeper) isHandoverDue(address string, now time.Time) bool {
	since, known := k.reassignedSince[address]
	return k.pendingReleases[address] || known && now.Sub(since) >= handoverDelay
}

// giveBack frees the engine for its next keeper. Where an order may still arrive
// there, that is not denied: the session then still holds up Gone.
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
	// The proposal says that nothing more is sent under this keeper. Its answer
	// can be lost and it can land much later: an order sent meanwhile would then
	// count as settled, and its unit could be loaded without a right. So from here
	// on nothing is sent there until it has landed.
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

// forgetGiven drops the engines that this session no longer keeps. Call with mu
// held.
func (k *Keeper) dropCompletedReleases(kept []string) {
	for address := range k.pendingReleases {
		if !slices.Contains(kept, address) {
			delete(k.pendingReleases, address)
		}
	}
}
