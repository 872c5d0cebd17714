package claims

import (
	"context"
	"errors"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/commit"
	"bergamotreel/internal/pause"
)

// claimCallTimeout is how long a holder waits for the result of another VM's
// claim before it answers "pending". It is short because an answer that comes
// after the requesting VM has given up on the call would break the connection,
// which digests use too.
const claimCallTimeout = 300 * time.Millisecond

// storeCallTimeout is how long a holder waits for an outcome or release to be
// stored.
const storeCallTimeout = time.Second

// peerProposalTimeout limits a proposal made for another VM.
const peerProposalTimeout = 10 * time.Second

// claimForPeer claims a key for another VM. Only that VM dispatches by the
// claim, and only that VM may have it released, since it may have asked several
// holders.
//
// Otherwise a call could be dispatched twice: this VM releases the claim
// because the requesting VM seems to be gone, that VM has won the claim through
// another holder and dispatches it, and the next attempt of the call is
// dispatched too.
func (c *Claimer) claimForPeer(claim *idempotency.Claim) entryvm.ClaimResult {
	select {
	case <-c.Ready():
	default:
		return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}
	}
	ctx, cancel := context.WithTimeout(context.Background(), claimCallTimeout)
	defer cancel()
	result := c.awaitClaimResult(ctx, claim)
	c.replica.View(func() { result.Applied = c.stateMachine.table.Applied() })
	return result
}

func (c *Claimer) awaitClaimResult(ctx context.Context, claim *idempotency.Claim) entryvm.ClaimResult {
	for {
		if holder := c.lookupHolder(claim.Key); holder != nil {
			if result := c.claimResultFor(holder, claim); result.State != entryvm.ClaimPending {
				return result
			}
		} else if state := c.peerProposalState(claim); state != entryvm.ClaimPending {
			return entryvm.ClaimResult{State: state}
		}
		if !pause.For(ctx, claimPollInterval) {
			return entryvm.ClaimResult{State: entryvm.ClaimPending}
		}
	}
}

// peerProposalState returns the state of the proposal for the claim, and
// proposes the claim if no proposal is in flight. A proposal continues after
// the peer's request has ended, because the peer asks again with the same
// claim.
func (c *Claimer) peerProposalState(claim *idempotency.Claim) entryvm.ClaimState {
	if c.pending.isAbandoned(claim.ID) {
		return entryvm.ClaimStale // this request came after the claim was released
	}
	state, known := c.peerProposals.lookupOrAdd(claim.ID)
	if !known {
		c.background.Go(func() { c.peerProposals.finish(claim.ID, c.proposeForPeer(claim)) })
	}
	return state
}

// proposeForPeer proposes the claim and returns its state if the table does not
// show it; otherwise it returns ClaimPending.
func (c *Claimer) proposeForPeer(claim *idempotency.Claim) entryvm.ClaimState {
	ctx, cancel := context.WithTimeout(context.Background(), peerProposalTimeout)
	defer cancel()
	result, err := c.propose(ctx, claim, func(idempotency.Entry, idempotency.Result) {})
	switch {
	case errors.Is(err, commit.ErrNotStored):
		return entryvm.ClaimNotHolder
	case err != nil:
		return entryvm.ClaimPending
	case result.Verdict == idempotency.VerdictStale:
		return entryvm.ClaimStale
	case result.Verdict == idempotency.VerdictInvalid:
		return entryvm.ClaimInvalid
	}
	return entryvm.ClaimPending
}

// claimResultFor returns the result of a claim whose key is held by the claim
// in holder.
func (c *Claimer) claimResultFor(holder *idempotency.Holder, claim *idempotency.Claim) entryvm.ClaimResult {
	switch {
	case holder.ID == claim.ID:
		return entryvm.ClaimResult{State: entryvm.ClaimWon, Revision: uint64(holder.Revision)}
	case holder.Digest != claim.Digest:
		return entryvm.ClaimResult{State: entryvm.ClaimConflict}
	case holder.Answer != nil:
		outcome := idempotency.Entry{Outcome: &idempotency.Outcome{Key: claim.Key, ClaimRevision: holder.Revision, Answer: *holder.Answer}}
		data, err := encodeEntries([]idempotency.Entry{outcome})
		if err != nil {
			return entryvm.ClaimResult{State: entryvm.ClaimUnknown}
		}
		return entryvm.ClaimResult{State: entryvm.ClaimAnswered, Answer: data}
	case !c.config.IsAlive(holder.ID.Claimer):
		return entryvm.ClaimResult{State: entryvm.ClaimUnknown}
	}
	return entryvm.ClaimResult{State: entryvm.ClaimPending}
}

// storeForPeer stores the outcome or release of another VM's claim. It reports
// whether the entry was stored.
func (c *Claimer) storeForPeer(entry idempotency.Entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if rel := entry.Release; rel != nil {
		// The claim must be marked as abandoned before the table is checked: a
		// claim that is applied in between is then released at least once.
		c.pending.abandon(rel.ID)
		holder := c.lookupHolder(rel.Key)
		if holder == nil || holder.ID != rel.ID {
			return false
		}
		entry.Release = &idempotency.Release{Key: rel.Key, ClaimRevision: holder.Revision, ID: rel.ID}
	}
	return c.batcher.Store(ctx, entry) == nil
}
