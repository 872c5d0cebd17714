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

// holdCall is how long a holder waits for what another VM's claim comes to before
// it says "ask again". It is short, because an answer late for the caller's end of
// the call would break the connection that digests take too.
const holdCall = 300 * time.Millisecond

// settleCall is how long it waits for an entry to be stored.
const settleCall = time.Second

// forwardFor bounds a proposal for another VM.
const forwardFor = 10 * time.Second

// claimFor claims a key for another VM, which alone dispatches by the claim and
// alone says whether it is to be released: it may have asked several holders.
//
// Failure: this VM releases the claim because the asking one has gone away; that
// one has the claim from another holder and dispatches, and so does the next
// arrival.
func (c *Claimer) claimFor(claim *idempotency.Claim) entryvm.ClaimResult {
	select {
	case <-c.Ready():
	default:
		return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}
	}
	ctx, cancel := context.WithTimeout(context.Background(), holdCall)
	defer cancel()
	result := c.comesTo(ctx, claim)
	c.replica.View(func() { result.Applied = c.fold.table.Applied() })
	return result
}

func (c *Claimer) comesTo(ctx context.Context, claim *idempotency.Claim) entryvm.ClaimResult {
	for {
		if holder := c.holder(claim.Key); holder != nil {
			if result := c.about(holder, claim); result.State != entryvm.ClaimPending {
				return result
			}
		} else if state := c.forwarded(claim); state != entryvm.ClaimPending {
			return entryvm.ClaimResult{State: state}
		}
		if !pause.For(ctx, pollHolder) {
			return entryvm.ClaimResult{State: entryvm.ClaimPending}
		}
	}
}

// forwarded proposes the claim unless that is under way, and tells what is known
// of it. The proposal goes on when the question has ended: the same claim is asked
// for again.
func (c *Claimer) forwarded(claim *idempotency.Claim) entryvm.ClaimState {
	if c.flights.wasGivenUp(claim.ID) {
		return entryvm.ClaimStale // the question was late
	}
	state, known := c.forwards.look(claim.ID)
	if !known {
		c.recording.Go(func() { c.forwards.end(claim.ID, c.proposeFor(claim)) })
	}
	return state
}

// proposeFor tells what the claim came to, as far as the table doesn't say it.
func (c *Claimer) proposeFor(claim *idempotency.Claim) entryvm.ClaimState {
	ctx, cancel := context.WithTimeout(context.Background(), forwardFor)
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

// about tells what the claim that holds the key means for another one.
func (c *Claimer) about(holder *idempotency.Holder, claim *idempotency.Claim) entryvm.ClaimResult {
	switch {
	case holder.ID == claim.ID:
		return entryvm.ClaimResult{State: entryvm.ClaimWon, Revision: uint64(holder.Revision)}
	case holder.Digest != claim.Digest:
		return entryvm.ClaimResult{State: entryvm.ClaimConflict}
	case holder.Answer != nil:
		outcome := idempotency.Entry{Outcome: &idempotency.Outcome{Key: claim.Key, Claim: holder.Revision, Answer: *holder.Answer}}
		data, err := encode([]idempotency.Entry{outcome})
		if err != nil {
			return entryvm.ClaimResult{State: entryvm.ClaimUnknown}
		}
		return entryvm.ClaimResult{State: entryvm.ClaimAnswered, Answer: data}
	case !c.config.Alive(holder.ID.Claimer):
		return entryvm.ClaimResult{State: entryvm.ClaimUnknown}
	}
	return entryvm.ClaimResult{State: entryvm.ClaimPending}
}

// settleFor stores what another VM's claim came to.
func (c *Claimer) settleFor(entry idempotency.Entry) bool {
	ctx, cancel := context.WithTimeout(context.Background(), settleCall)
	defer cancel()
	if rel := entry.Release; rel != nil {
		// In this order: a claim that lands in between is released by one or both.
		c.flights.giveUp(rel.ID)
		holder := c.holder(rel.Key)
		if holder == nil || holder.ID != rel.ID {
			return false
		}
		entry.Release = &idempotency.Release{Key: rel.Key, Claim: holder.Revision, ID: rel.ID}
	}
	return c.batcher.Store(ctx, entry) == nil
}
