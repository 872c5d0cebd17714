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

// askTimeout bounds one question to a holder, who answers within settleCall.
const holderCallTimeout = 2 * time.Second

// ask has holders of the shard claim the call. All of them are given the same
// claim, so that it lands once whoever proposes it. Rules that make one dispatch
// of it:
//   - This VM dispatches at the first answer that says "won", and no later.
//   - Having given up, it never dispatches, and only then has the claim released;
//     a holder releases it by no other word (see claimFor).
//
// Failures: the answer is lost, the holder dies after its append, or is slow: the
// next holder finds the claim in the stream and says "won". This VM dies: its
// claim holds, and repeats are told "may have run".
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
	result, mayLand := s.callHolders(ctx, shard, request)
	if result.State == entryvm.ClaimWon && !s.config.isTooOld(call) {
		return &remoteClaim{s, shard, key, idempotency.Revision(result.Revision), claim.ID}, nil, nil
	}
	if mayLand || result.State == entryvm.ClaimWon {
		s.settle(shard, idempotency.Entry{Release: &idempotency.Release{Key: key, ID: claim.ID}})
	}
	answer, err := answerWithoutDispatch(ctx, result)
	return nil, answer, err
}

func (s *Shards) newClaimCall(shard int, entry idempotency.Entry) (entryvm.ClaimCall, error) {
	data, err := encodeEntries([]idempotency.Entry{entry})
	return entryvm.ClaimCall{Shard: shard, Shards: s.config.Count, Record: data}, Error.Wrap(err)
}

// askAll asks one holder after the other until one knows what the claim comes to,
// none can be used, or ctx ends. It tells too whether the claim may be in the log
// or land there.
func (s *Shards) callHolders(ctx context.Context, shard int, request entryvm.ClaimCall) (result entryvm.ClaimResult, mayLand bool) {
	holders := s.otherHolders(shard)
	for i, unavailable := 0, 0; unavailable < len(holders) && ctx.Err() == nil; {
		result, answered := s.callHolder(ctx, shard, holders[i%len(holders)], request)
		mayLand = mayLand || !answered || result.State == entryvm.ClaimPending
		switch {
		case !answered || result.State == entryvm.ClaimElsewhere:
			i++
			unavailable++
		case result.State == entryvm.ClaimPending:
			unavailable = 0
			pause.For(ctx, holderPollInterval)
		default:
			return result, mayLand
		}
	}
	return entryvm.ClaimResult{State: entryvm.ClaimElsewhere}, mayLand
}

// askOne asks a holder; false if it has no answer, or none before ctx ends. The
// question itself has its own time: were it cut off at the caller's deadline, the
// connection to the peer would be closed with it.
func (s *Shards) callHolder(ctx context.Context, shard int, holder Holder, request entryvm.ClaimCall) (entryvm.ClaimResult, bool) {
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
		if a.err == nil && a.result.State != entryvm.ClaimElsewhere {
			s.knownOffsets[shard].add(time.Now(), a.result.Applied)
		}
		return a.result, a.err == nil
	case <-ctx.Done():
		return entryvm.ClaimResult{}, false
	}
}

// others are the holders beside this VM, those that had no answer lately last.
// Failure: the VM list trails, and each call would wait for a dead VM first.
func (s *Shards) otherHolders(shard int) (otherHolders []Holder) {
	var failed []Holder
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, holder := range s.config.Holders(shard) {
		switch {
		case holder.Self:
		case time.Since(s.failedAt[holder.Address]) < holderFailureBackoff:
			failed = append(failed, holder)
		default:
			otherHolders = append(otherHolders, holder)
		}
	}
	return append(otherHolders, failed...)
}

// forgetFailures drops those that don't count any more: VMs are replaced all day.
func (s *Shards) pruneFailures(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= holderFailureBackoff })
}

func (s *Shards) recordFailure(holder Holder, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedAt, holder.Address)
	if failed {
		s.failedAt[holder.Address] = time.Now()
	}
}

// notWon is the answer of an arrival that will not be dispatched.
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
	case entryvm.ClaimTurnedAway, entryvm.ClaimWon:
		return nil, refuseStaleArrival()
	}
	if ctx.Err() != nil {
		return nil, refuseUnknownOutcome("the first arrival has no answer yet")
	}
	return nil, refuseMaybeRan()
}

// remoteClaim is a claim that a holder has made for this VM; see serving.Claim.
type remoteClaim struct {
	shards   *Shards
	shard    int
	key      idempotency.Key
	revision idempotency.Revision
	id       idempotency.ClaimID
}

// Done implements serving.Claim.
func (c *remoteClaim) Done(answer service.Answer) { c.recordOutcome(makeStoredAnswer(answer)) }

// Unknown implements serving.Claim.
func (c *remoteClaim) Unknown() { c.recordOutcome(idempotency.Answer{}) }

// NotRun implements serving.Claim.
func (c *remoteClaim) NotRun() {
	c.shards.settle(c.shard, idempotency.Entry{Release: &idempotency.Release{Key: c.key, ClaimRevision: c.revision, ID: c.id}})
}

func (c *remoteClaim) recordOutcome(answer idempotency.Answer) {
	c.shards.settle(c.shard, idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, ClaimRevision: c.revision, Answer: answer}})
}

// settle has a holder store the entry, in the background, one holder after the
// other and again for a while: it has no effect the second time. A release of a
// claim that no holder has met yet is remembered by those that were told.
func (s *Shards) settle(shard int, entry idempotency.Entry) {
	message, err := s.newClaimCall(shard, entry)
	if err != nil {
		return
	}
	s.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for !s.trySettle(ctx, shard, message) && pause.For(ctx, storeRetryInterval) {
		}
	})
}

func (s *Shards) trySettle(ctx context.Context, shard int, message entryvm.ClaimCall) bool {
	if s.Settle(message) { // this VM may hold the shard by now
		return true
	}
	for _, holder := range s.otherHolders(shard) {
		if s.settleAtHolder(ctx, holder, message) {
			return true
		}
	}
	return false
}

func (s *Shards) settleAtHolder(ctx context.Context, holder Holder, message entryvm.ClaimCall) bool {
	ctx, cancel := context.WithTimeout(ctx, holderCallTimeout)
	defer cancel()
	stored, err := s.config.Peer.Settle(ctx, holder.Address, message)
	return err == nil && stored
}
