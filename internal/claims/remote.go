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
const askTimeout = 2 * time.Second

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
func (s *Shards) ask(ctx context.Context, call caller.ServiceCall, shard int, key idempotency.Key) (serving.Claim, *service.Answer, error) {
	claim := &idempotency.Claim{
		ID: s.config.IDs.next(s.config.Incarnation), Key: key,
		Digest:   idempotency.DigestOf(call.Method, call.Path, call.Body),
		WindowMs: s.config.Window.Milliseconds(), Since: s.known[shard].at(call.Arrived) + 1,
	}
	question, err := s.message(shard, idempotency.Entry{Claim: claim})
	if err != nil {
		return nil, nil, err
	}
	result, unsure := s.askAll(ctx, shard, question)
	if result.State == entryvm.ClaimWon && !s.config.tooOld(call) {
		return &remoteClaim{s, shard, key, idempotency.Revision(result.Revision), claim.ID}, nil, nil
	}
	if unsure || result.State == entryvm.ClaimWon {
		s.settle(shard, idempotency.Entry{Release: &idempotency.Release{Key: key, ID: claim.ID}})
	}
	answer, err := notWon(ctx, result)
	return nil, answer, err
}

func (s *Shards) message(shard int, entry idempotency.Entry) (entryvm.ClaimCall, error) {
	data, err := encode([]idempotency.Entry{entry})
	return entryvm.ClaimCall{Shard: shard, Shards: s.config.Count, Record: data}, Error.Wrap(err)
}

// askAll asks one holder after the other until one knows what the claim comes to,
// none can be used, or ctx ends. It tells too whether the claim may be in the log
// or land there.
func (s *Shards) askAll(ctx context.Context, shard int, question entryvm.ClaimCall) (result entryvm.ClaimResult, unsure bool) {
	holders := s.others(shard)
	for i, useless := 0, 0; useless < len(holders) && ctx.Err() == nil; {
		result, answered := s.askOne(ctx, shard, holders[i%len(holders)], question)
		unsure = unsure || !answered || result.State == entryvm.ClaimPending
		switch {
		case !answered || result.State == entryvm.ClaimNotHolder:
			i++
			useless++
		case result.State == entryvm.ClaimPending:
			useless = 0
			pause.For(ctx, pollHolder)
		default:
			return result, unsure
		}
	}
	return entryvm.ClaimResult{State: entryvm.ClaimNotHolder}, unsure
}

// askOne asks a holder; false if it has no answer, or none before ctx ends. The
// question itself has its own time: were it cut off at the caller's deadline, the
// connection to the peer would be closed with it.
func (s *Shards) askOne(ctx context.Context, shard int, holder Holder, question entryvm.ClaimCall) (entryvm.ClaimResult, bool) {
	type answer struct {
		result entryvm.ClaimResult
		err    error
	}
	answers := make(chan answer, 1)
	s.recording.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
		defer cancel()
		result, err := s.config.Peer.Claim(ctx, holder.Address, question)
		answers <- answer{result, err}
	})
	select {
	case a := <-answers:
		s.noteFailure(holder, a.err != nil)
		if a.err == nil && a.result.State != entryvm.ClaimNotHolder {
			s.known[shard].folded(time.Now(), a.result.Applied)
		}
		return a.result, a.err == nil
	case <-ctx.Done():
		return entryvm.ClaimResult{}, false
	}
}

// others are the holders beside this VM, those that had no answer lately last.
// Failure: the VM list trails, and each call would wait for a dead VM first.
func (s *Shards) others(shard int) (others []Holder) {
	var failed []Holder
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, holder := range s.config.Holders(shard) {
		switch {
		case holder.Self:
		case time.Since(s.failedAt[holder.Address]) < avoidFor:
			failed = append(failed, holder)
		default:
			others = append(others, holder)
		}
	}
	return append(others, failed...)
}

// forgetFailures drops those that don't count any more: VMs are replaced all day.
func (s *Shards) forgetFailures(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidFor })
}

func (s *Shards) noteFailure(holder Holder, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failedAt, holder.Address)
	if failed {
		s.failedAt[holder.Address] = time.Now()
	}
}

// notWon is the answer of an arrival that will not be dispatched.
func notWon(ctx context.Context, result entryvm.ClaimResult) (*service.Answer, error) {
	switch result.State {
	case entryvm.ClaimAnswered:
		record, err := idempotency.Decode(result.Answer)
		if err != nil || len(record.Entries) != 1 || record.Entries[0].Outcome == nil {
			return nil, unknownOutcome("the call ran; its answer can't be read")
		}
		return stored(record.Entries[0].Outcome.Answer)
	case entryvm.ClaimConflict:
		return nil, refusal.New(refusal.CodeKeyConflict, 0, "Idempotency-Key was used for another request")
	case entryvm.ClaimInvalid:
		return nil, refusal.New(refusal.CodeBadRequest, 0, "Idempotency-Key is not usable")
	case entryvm.ClaimUnknown:
		return nil, unknownOutcome("the entry VM that took the first arrival is gone")
	case entryvm.ClaimStale, entryvm.ClaimWon:
		return nil, turnedAway()
	}
	if ctx.Err() != nil {
		return nil, unknownOutcome("the first arrival has no answer yet")
	}
	return nil, earlierMayHaveRun()
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
func (c *remoteClaim) Done(answer service.Answer) { c.record(keptAnswer(answer)) }

// Unknown implements serving.Claim.
func (c *remoteClaim) Unknown() { c.record(idempotency.Answer{}) }

// NotRun implements serving.Claim.
func (c *remoteClaim) NotRun() {
	c.shards.settle(c.shard, idempotency.Entry{Release: &idempotency.Release{Key: c.key, Claim: c.revision, ID: c.id}})
}

func (c *remoteClaim) record(answer idempotency.Answer) {
	c.shards.settle(c.shard, idempotency.Entry{Outcome: &idempotency.Outcome{Key: c.key, Claim: c.revision, Answer: answer}})
}

// settle has a holder store the entry, in the background, one holder after the
// other and again for a while: it has no effect the second time. A release of a
// claim that no holder has met yet is remembered by those that were told.
func (s *Shards) settle(shard int, entry idempotency.Entry) {
	message, err := s.message(shard, entry)
	if err != nil {
		return
	}
	s.recording.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		for !s.settleOnce(ctx, shard, message) && pause.For(ctx, storePause) {
		}
	})
}

func (s *Shards) settleOnce(ctx context.Context, shard int, message entryvm.ClaimCall) bool {
	if s.Settle(message) { // this VM may hold the shard by now
		return true
	}
	for _, holder := range s.others(shard) {
		if s.settleAt(ctx, holder, message) {
			return true
		}
	}
	return false
}

func (s *Shards) settleAt(ctx context.Context, holder Holder, message entryvm.ClaimCall) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stored, err := s.config.Peer.Settle(ctx, holder.Address, message)
	return err == nil && stored
}
