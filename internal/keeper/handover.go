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
const handOverAfter = 10 * time.Second

// handOver returns the engines to give back now: another VM should keep them for
// a while, and their workers have ended. Without it a keeper from another failure
// domain, which stepped in once, would stay for good, and the engine's own domain
// could load nothing there once it is cut off.
//
// While the log is out of reach nothing can change hands. A worker that ended for
// it would leave the engine to nobody, in a cut just when its domain needs it.
func (k *Keeper) handOver(now time.Time, kept, should []string) []string {
	cutOff := k.config.OutageDemand() != nil
	k.mu.Lock()
	defer k.mu.Unlock()
	k.forgetGiven(kept)
	if cutOff {
		should = kept
	}
	surplus := make(map[string]time.Time)
	var ready []string
	for _, address := range kept {
		if k.given[address] {
			ready = append(ready, address)
			continue
		}
		if slices.Contains(should, address) {
			continue
		}
		since, known := k.surplus[address]
		if !known {
			since = now
		}
		surplus[address] = since
		if now.Sub(since) < handOverAfter {
			continue
		}
		if w, running := k.workers[address]; running {
			w.stop()
			continue
		}
		ready = append(ready, address)
	}
	k.surplus = surplus
	return ready
}

// handsOver tells whether no worker may start for the engine. Call with mu held.
func (k *Keeper) handsOver(address string, now time.Time) bool {
	since, known := k.surplus[address]
	return k.given[address] || known && now.Sub(since) >= handOverAfter
}

// giveBack frees the engine for its next keeper. Where an order may still arrive
// there, that is not denied: the session then still holds up Gone.
func (k *Keeper) giveBack(ctx context.Context, address string, session state.SessionID) {
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
	k.given[address] = true
	settled := len(running(k.doubts[address], time.Now())) == 0
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := k.config.Control.Propose(ctx, state.Proposal{KeeperRelease: &state.KeeperRelease{
		Engine: address, Keeper: keeper, Settled: settled,
	}})
	if err == nil || errors.Is(err, commit.ErrNotStored) {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.given, address)
	}
}

// forgetGiven drops the engines that this session no longer keeps. Call with mu
// held.
func (k *Keeper) forgetGiven(kept []string) {
	for address := range k.given {
		if !slices.Contains(kept, address) {
			delete(k.given, address)
		}
	}
}
