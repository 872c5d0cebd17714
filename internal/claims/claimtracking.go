package claims

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
)

// IDs gives the claims of one process their identities, over all its streams.
// The zero value is ready.
type IDGenerator struct{ lastSequence atomic.Uint64 }

func (i *IDGenerator) next(incarnation string) idempotency.ClaimID {
	return idempotency.ClaimID{Claimer: incarnation, Sequence: i.lastSequence.Add(1)}
}

const (
	// flightFor is how long a claim is remembered that may still land: well over
	// the time for which an append is repeated and the longest life of a message.
	pendingClaimTTL = 10 * time.Minute
	// pruneEvery is how often those that are older are looked for.
	pruneInterval = time.Minute
)

// flights are the claims that this VM has proposed and not met in the stream yet,
// and those that their claimers gave up: whatever becomes of these, nobody will
// dispatch by them. The zero value is ready.
type pendingClaims struct {
	mu        sync.Mutex
	byID      map[idempotency.ClaimID]pendingClaim
	abandoned map[idempotency.ClaimID]time.Time
	// prunedAt is when old ones were last looked for.
	lastPruned time.Time
}

type pendingClaim struct {
	// sequence is the proposal's with the batcher.
	sequence   uint64
	proposedAt time.Time
}

func (f *pendingClaims) add(id idempotency.ClaimID, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = make(map[idempotency.ClaimID]pendingClaim)
	}
	f.prune(time.Now())
	f.byID[id] = pendingClaim{sequence, time.Now()}
}

// prune forgets what will not land any more. Call with mu held.
func (f *pendingClaims) prune(now time.Time) {
	if now.Sub(f.lastPruned) < pruneInterval {
		return
	}
	f.lastPruned = now
	maps.DeleteFunc(f.byID, func(_ idempotency.ClaimID, pending pendingClaim) bool {
		return now.Sub(pending.proposedAt) >= pendingClaimTTL
	})
	maps.DeleteFunc(f.abandoned, func(_ idempotency.ClaimID, at time.Time) bool { return now.Sub(at) >= pendingClaimTTL })
}

// land forgets a claim that was met, or that is not in the log and never will be.
func (f *pendingClaims) remove(id idempotency.ClaimID) (sequence uint64, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pending, found := f.byID[id]
	delete(f.byID, id)
	return pending.sequence, found
}

// giveUp notes that the claimer will never dispatch by the claim.
func (f *pendingClaims) abandon(id idempotency.ClaimID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned == nil {
		f.abandoned = make(map[idempotency.ClaimID]time.Time)
	}
	f.prune(time.Now())
	f.abandoned[id] = time.Now()
}

func (f *pendingClaims) isAbandoned(id idempotency.ClaimID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, abandoned := f.abandoned[id]
	return abandoned
}

// forwards are the proposals for other VMs that are under way, and for a moment
// what they came to. The zero value is ready.
type peerProposals struct {
	mu   sync.Mutex
	byID map[idempotency.ClaimID]entryvm.ClaimState
}

// forwardKept is how long an end is kept for who asks again.
const peerProposalTTL = 5 * time.Second

// look tells how a proposal stands; one that isn't known is now under way.
func (f *peerProposals) lookupOrAdd(id idempotency.ClaimID) (state entryvm.ClaimState, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if state, known = f.byID[id]; known {
		return state, true
	}
	if f.byID == nil {
		f.byID = make(map[idempotency.ClaimID]entryvm.ClaimState)
	}
	f.byID[id] = entryvm.ClaimPending
	return entryvm.ClaimPending, false
}

// end notes what the proposal came to. Where the table tells it, or nothing is
// known, it is forgotten: the claim may be proposed again.
func (f *peerProposals) finish(id idempotency.ClaimID, state entryvm.ClaimState) {
	if state == entryvm.ClaimPending {
		f.remove(id)
		return
	}
	f.mu.Lock()
	f.byID[id] = state
	f.mu.Unlock()
	time.AfterFunc(peerProposalTTL, func() { f.remove(id) })
}

func (f *peerProposals) remove(id idempotency.ClaimID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}
