package claims

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
)

// IDGenerator generates the claim IDs of one process across all its streams.
// The zero value is ready to use.
type IDGenerator struct{ lastSequence atomic.Uint64 }

func (i *IDGenerator) next(incarnation string) idempotency.ClaimID {
	return idempotency.ClaimID{Claimer: incarnation, Sequence: i.lastSequence.Add(1)}
}

const (
	// pendingClaimTTL is how long a claim that may still be applied is
	// remembered. It is well above the time for which an append is retried and
	// the longest time that a message is in transit.
	pendingClaimTTL = 10 * time.Minute
	// pruneInterval is the minimum interval between removals of expired claims.
	pruneInterval = time.Minute
)

// pendingClaims holds the claims that this VM has proposed but not yet seen in
// the stream, and the abandoned claims: those that their claimers will never
// dispatch, even if they are applied. The zero value is ready to use.
type pendingClaims struct {
	mu        sync.Mutex
	byID      map[idempotency.ClaimID]pendingClaim
	abandoned map[idempotency.ClaimID]time.Time
	// lastPruned is when expired claims were last removed.
	lastPruned time.Time
}

type pendingClaim struct {
	// sequence is the proposal's number in the batcher.
	sequence   uint64
	proposedAt time.Time
}

func (p *pendingClaims) add(id idempotency.ClaimID, sequence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID == nil {
		p.byID = make(map[idempotency.ClaimID]pendingClaim)
	}
	p.prune(time.Now())
	p.byID[id] = pendingClaim{sequence, time.Now()}
}

// prune removes claims that can no longer be applied. The caller must hold mu.
func (p *pendingClaims) prune(now time.Time) {
	if now.Sub(p.lastPruned) < pruneInterval {
		return
	}
	p.lastPruned = now
	maps.DeleteFunc(p.byID, func(_ idempotency.ClaimID, pending pendingClaim) bool {
		return now.Sub(pending.proposedAt) >= pendingClaimTTL
	})
	maps.DeleteFunc(p.abandoned, func(_ idempotency.ClaimID, at time.Time) bool { return now.Sub(at) >= pendingClaimTTL })
}

// remove removes a claim that has been seen in the stream, or that is not in
// the log and never will be. It returns the claim's sequence in the batcher.
func (p *pendingClaims) remove(id idempotency.ClaimID) (sequence uint64, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, found := p.byID[id]
	delete(p.byID, id)
	return pending.sequence, found
}

// abandon records that the claimer will never dispatch by the claim.
func (p *pendingClaims) abandon(id idempotency.ClaimID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned == nil {
		p.abandoned = make(map[idempotency.ClaimID]time.Time)
	}
	p.prune(time.Now())
	p.abandoned[id] = time.Now()
}

func (p *pendingClaims) isAbandoned(id idempotency.ClaimID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, abandoned := p.abandoned[id]
	return abandoned
}

// peerProposals holds the proposals for other VMs that are in flight and, for
// peerProposalTTL, the results of finished ones. The zero value is ready to
// use.
type peerProposals struct {
	mu   sync.Mutex
	byID map[idempotency.ClaimID]entryvm.ClaimState
}

// peerProposalTTL is how long a result is kept for a peer that asks again.
const peerProposalTTL = 5 * time.Second

// lookupOrAdd returns the state of a proposal. An unknown proposal is added as
// pending.
func (p *peerProposals) lookupOrAdd(id idempotency.ClaimID) (state entryvm.ClaimState, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, known = p.byID[id]; known {
		return state, true
	}
	if p.byID == nil {
		p.byID = make(map[idempotency.ClaimID]entryvm.ClaimState)
	}
	p.byID[id] = entryvm.ClaimPending
	return entryvm.ClaimPending, false
}

// finish records the result of a proposal. A pending state means that the table
// has the result or that nothing is known: the proposal is removed, so that the
// claim may be proposed again.
func (p *peerProposals) finish(id idempotency.ClaimID, state entryvm.ClaimState) {
	if state == entryvm.ClaimPending {
		p.remove(id)
		return
	}
	p.mu.Lock()
	p.byID[id] = state
	p.mu.Unlock()
	time.AfterFunc(peerProposalTTL, func() { p.remove(id) })
}

func (p *peerProposals) remove(id idempotency.ClaimID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.byID, id)
}
