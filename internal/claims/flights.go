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
type IDGenerator struct{ last atomic.Uint64 }

func (i *IDGenerator) next(incarnation string) idempotency.ClaimID {
	return idempotency.ClaimID{Claimer: incarnation, Sequence: i.last.Add(1)}
}

const (
	// flightFor is how long a claim is remembered that may still land: well over
	// the time for which an append is repeated and the longest life of a message.
	flightFor = 10 * time.Minute
	// pruneEvery is how often those that are older are looked for.
	pruneEvery = time.Minute
)

// flights are the claims that this VM has proposed and not met in the stream yet,
// and those that their claimers gave up: whatever becomes of these, nobody will
// dispatch by them. The zero value is ready.
type flights struct {
	mu      sync.Mutex
	byID    map[idempotency.ClaimID]flight
	givenUp map[idempotency.ClaimID]time.Time
	// prunedAt is when old ones were last looked for.
	prunedAt time.Time
}

type flight struct {
	// sequence is the proposal's with the batcher.
	sequence uint64
	since    time.Time
}

func (f *flights) start(id idempotency.ClaimID, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID == nil {
		f.byID = make(map[idempotency.ClaimID]flight)
	}
	f.prune(time.Now())
	f.byID[id] = flight{sequence, time.Now()}
}

// prune forgets what will not land any more. Call with mu held.
func (f *flights) prune(now time.Time) {
	if now.Sub(f.prunedAt) < pruneEvery {
		return
	}
	f.prunedAt = now
	maps.DeleteFunc(f.byID, func(_ idempotency.ClaimID, flight flight) bool { return now.Sub(flight.since) >= flightFor })
	maps.DeleteFunc(f.givenUp, func(_ idempotency.ClaimID, at time.Time) bool { return now.Sub(at) >= flightFor })
}

// land forgets a claim that was met, or that is not in the log and never will be.
func (f *flights) land(id idempotency.ClaimID) (sequence uint64, underWay bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	flight, underWay := f.byID[id]
	delete(f.byID, id)
	return flight.sequence, underWay
}

// giveUp notes that the claimer will never dispatch by the claim.
func (f *flights) giveUp(id idempotency.ClaimID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.givenUp == nil {
		f.givenUp = make(map[idempotency.ClaimID]time.Time)
	}
	f.prune(time.Now())
	f.givenUp[id] = time.Now()
}

func (f *flights) wasGivenUp(id idempotency.ClaimID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, givenUp := f.givenUp[id]
	return givenUp
}

// forwards are the proposals for other VMs that are under way, and for a moment
// what they came to. The zero value is ready.
type forwards struct {
	mu   sync.Mutex
	byID map[idempotency.ClaimID]entryvm.ClaimState
}

// forwardKept is how long an end is kept for who asks again.
const forwardKept = 5 * time.Second

// look tells how a proposal stands; one that isn't known is now under way.
func (f *forwards) look(id idempotency.ClaimID) (state entryvm.ClaimState, known bool) {
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
func (f *forwards) end(id idempotency.ClaimID, state entryvm.ClaimState) {
	if state == entryvm.ClaimPending {
		f.forget(id)
		return
	}
	f.mu.Lock()
	f.byID[id] = state
	f.mu.Unlock()
	time.AfterFunc(forwardKept, func() { f.forget(id) })
}

func (f *forwards) forget(id idempotency.ClaimID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}
