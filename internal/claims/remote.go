package claims

import (
	"context"
	"maps"
	"time"

	"bergamotreel/caller"
	"bergamotreel/entryvm"
	"bergamotreel/idempotency"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/serving"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// holderCallTimeout limits one request to a holder. Holders answer within
// storeCallTimeout.
const holderCallTimeout = 2 * time.Second

// claimAtHolders has the holders of a shard claim the call. All holders get the
// same claim, so it takes effect once, whichever of them proposes it. Two rules
// ensure that it is dispatched at most once:
//   - This VM dispatches only on the first answer that says "won".
//   - Once it has given up, it never dispatches, and only then has the claim
//     released. A holder releases the claim on no other request; see
//     claimForPeer.
//
// If an answer is lost, or a holder is slow or dies after its append, the next
// holder finds the claim in the stream and answers "won". If this VM dies, its
// claim keeps the key, and repeats are told "may have run".
func (s *Shards) claimAtHolders(ctx context.Context, call caller.ServiceCall, shard int, key idempotency.Key) (serving.Claim, *service.Answer, error) {
	claim := &idempotency.Claim{
		ID: s.config.IDs.next(s.config.Incarnation), Key: key,
		Digest:   idempotency.DigestOf(call.Method, call.Path, call.Body),
		WindowMs: s.config.Window.Milliseconds(), FirstUnseen: s.knownOffsets[shard].offsetAt(call.Arrived) + 1,
	}
	request, err := s.newClaimCall(shard, idempotency.Entry{Claim: claim})
	if err != nil {
		return nil, nil, err
	}
	result, mayBeLogged := s.callHolders(ctx, shard, request)
	if result.State == entryvm.ClaimWon && !s.config.isTooOld(call) {
		return &remoteClaim{s, shard, key, idempotency.Revision(result.Revision), claim.ID}, nil, nil
	}
	if mayBeLogged || result.State == entryvm.ClaimWon {
		s.storeAtHolders(shard, idempotency.Entry{Release: &idempotency.Release{Key: key, ID: claim.ID}})
	}
	answer, err := answerWithoutDispatch(ctx, result)
	return nil, answer, err
}

func (s *Shards) newClaimCall(shard int, entry idempotency.Entry) (entryvm.ClaimCall, error) {
	data, err := encodeEntries([]idempotency.Entry{entry})
	return entryvm.ClaimCall{Shard: shard, Shards: s.config.Count, Record: data}, Error.Wrap(err)
}

// callHolders sends the claim to one holder after the other until one returns a
// final result, no holder can be used, or ctx ends. mayBeLogged reports whether
// the claim may be in the log or may still get there.
func (s *Shards) callHolders(ctx context.Context, shard int, request entryvm.ClaimCall) (result entryvm.ClaimResult, mayBeLogged bool) {
	holders := s.otherHolders(shard)
	for i, unavailable := 0, 0; unavailable < len(holders) && ctx.Err() == nil; {
		result, answered := s.callHolder(ctx, shard, holders[i%len(holders)], request)
		mayBeLogged = mayBeLogged || !answered || result.State == entryvm.ClaimPending
		switch {
		case !answered || result.State == entryvm.ClaimNotHolder:
			i++
			unavailable++
		case result.State == entryvm.ClaimPending:
			unavailable = 0
			pause.For(ctx, claimPollInterval)
		default:
			return result, mayBeLogged
		}
	}
	return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}, mayBeLogged
}

// callHolder sends the claim to one holder. It returns false if the holder
// fails or does not answer before ctx ends. The request itself has its own
// timeout: ending it at the caller's deadline would close the connection to the
// peer.
func (s *Shards) callHolder(ctx context.Context, shard int, holder ShardHolder, request entryvm.ClaimCall) (entryvm.ClaimResult, bool) {
	type answer struct {
		result entryvm.ClaimResult
		err    error
	}
	answers := make(chan answer, 1)
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holderCallTimeout)
		defer cancel()
		result, err := s.config.Peer.Claim(ctx, holder.Address, request)
		answers <- answer{result, err}
	})
	select {
	case a := <-answers:
		s.recordFailure(holder, a.err != nil)
		if a.err == nil && a.result.State != entryvm.ClaimNotHolder {
			s.knownOffsets[shard].add(time.Now(), a.result.Applied)
		}
		return a.result, a.err == nil
	case <-ctx.Done():
		return entryvm.ClaimResult{}, false
	}
}

// otherHolders returns the holders of the shard without this VM. Those that
// failed recently come last: the VM list lags behind, and each call would
// otherwise wait for a dead VM first.
func (s *Shards) otherHolders(shard int) (holders []ShardHolder) {
	var failed []ShardHolder
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, holder := range s.config.Holders(shard) {
		switch {
		case holder.Self:
		case time.Since(s.failedAt[holder.Address]) < holderFailureBackoff:
			failed = append(failed, holder)
		default:
			holders = append(holders, holder)
		}
	}
	return append(holders, failed...)
}

// pruneFailures removes failures older than holderFailureBackoff. VMs are
// replaced all the time, and the map would otherwise grow without bound.
func (s *Shards) pruneFailures(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= holderFailureBackoff })
}

func (s *Shards) recordFailure(holder ShardHolder, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedAt, holder.Address)
	if failed {
		s.failedAt[holder.Address] = time.Now()
	}
}

// answerWithoutDispatch returns the answer or refusal of an attempt that is not
// dispatched.
func answerWithoutDispatch(ctx context.Context, result entryvm.ClaimResult) (*service.Answer, error) {
	switch result.State {
	case entryvm.ClaimAnswered:
		record, err := idempotency.Decode(result.Answer)
		if err != nil || len(record.Entries) != 1 || record.Entries[0].Outcome == nil {
			return nil, refuseUnknownOutcome("the call ran; its answer can't be read")
		}
		return replayAnswer(record.Entries[0].Outcome.Answer)
	case entryvm.ClaimConflict:
		return nil, refusal.New(refusal.CodeKeyConflict, 0, "Idempotency-Key was used for another request")
	case entryvm.ClaimInvalid:
		return nil, refusal.New(refusal.CodeBadRequest, 0, "Idempotency-Key is not usable")
	case entryvm.ClaimUnknown:
		return nil, refuseUnknownOutcome("the entry VM that took the first arrival is gone")
	case entryvm.ClaimStale, entryvm.ClaimWon:
		return nil, refuseStaleAttempt()
	}
	if ctx.Err() != nil {
		return nil, refuseUnknownOutcome("the first arrival has no answer yet")
	}
	return nil, refuseMaybeRan()
}

// remoteClaim implements serving.Claim for a claim that a holder made for this
// VM.
type remoteClaim struct {
	shards   *Shards
	shard    int
	key      idempotency.Key
	revision idempotency.Revision
	id       idempotency.ClaimID
}

// Complete implements serving.Claim.
func (c *remoteClaim) Complete(answer service.Answer) { c.recordOutcome(makeStoredAnswer(answer)) }

// MarkUnknown implements serving.Claim.
func (c *remoteClaim) MarkUnknown() { c.recordOutcome(idempotency.Answer{}) }

// Release implements serving.Claim.
func (c *remoteClaim) Release() {
	c.shards.storeAtHolders(c.shard, idempotency.Entry{Release: &idempotency.Release{Key: c.key, ClaimRevision: c.revision, ID: c.id}})
}

func (c *remoteClaim) recordOutcome(answer idempotency.Answer) {
	c.shards.storeAtHolders(c.shard, idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, ClaimRevision: c.revision, Answer: answer}})
}

// storeAtHolders has a holder store the entry, in the background. It tries the
// holders one after the other and retries until storeTimeout; an entry that is
// stored twice has no effect the second time. Holders that get a release of a
// claim that they have not applied yet remember it as abandoned.
func (s *Shards) storeAtHolders(shard int, entry idempotency.Entry) {
	request, err := s.newClaimCall(shard, entry)
	if err != nil {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for !s.tryStoreAtHolders(ctx, shard, request) && pause.For(ctx, storeRetryInterval) {
		}
	})
}

func (s *Shards) tryStoreAtHolders(ctx context.Context, shard int, request entryvm.ClaimCall) bool {
	if s.Settle(request) { // this VM may hold the shard by now
		return true
	}
	for _, holder := range s.otherHolders(shard) {
		if s.storeAtHolder(ctx, holder, request) {
			return true
		}
	}
	return false
}

func (s *Shards) storeAtHolder(ctx context.Context, holder ShardHolder, request entryvm.ClaimCall) bool {
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	stored, err := s.config.Peer.Settle(ctx, holder.Address, request)
	return err == nil && stored
}
