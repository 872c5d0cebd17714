package serving

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/pause"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

const (
	// maxMoves bounds how often one request moves to another engine after a part
	// of its answer was delivered.
	maxMoves = 3
	// moveWait is how long a broken stream waits for another engine to move to.
	moveTimeout = 5 * time.Second
	// movePause is the time between two looks for one.
	moveRetryInterval = 100 * time.Millisecond
	// comeBackLate is when to come back after a first token that missed the
	// longest wait: the router has noticed a hung engine by then.
	lateTokenRetryAfter = 5 * time.Second
)

// coldSink is a Sink that wants to know that the request waited for a load.
type coldMarker interface{ Cold() }

// Generate delivers the whole answer to the sink or fails with a refusal.
func (s *Server) Generate(ctx context.Context, g caller.Generation, unit contract.Unit, sink caller.Sink) error {
	request, query := s.describeGeneration(g, unit)
	known := s.findCandidates(unit.Name)
	p, w, refused := s.admit(request, query, known)
	if refused != nil {
		return refused
	}
	if cold, ok := sink.(coldMarker); ok && !hasReadyCandidate(known) {
		cold.Cold()
	}
	g.Body = withSeed(g.Body, g.ID)
	r := &relay{server: s, pending: p, generation: g, sink: sink, deadline: request.Deadline}
	r.holder, _ = sink.(caller.HoldingSink)
	err := r.run(ctx, w)
	p.finish(ctx, err, r.outcome)
	return p.correctRan(err)
}

func (s *Server) describeGeneration(g caller.Generation, unit contract.Unit) (admission.Request, routing.Query) {
	pool := unit.Base
	if pool == "" {
		pool = unit.Name
	}
	request := admission.Request{
		ID: g.ID, Customer: g.Identity.Customer, Unit: unit.Name, Pool: pool,
		Priority: unit.Priority + g.Identity.Priority,
		Arrived:  g.Arrived, Deadline: g.Arrived.Add(unit.MaxWait), Cost: 1,
	}
	query := routing.Query{Unit: unit.Name, Pool: pool, Domain: s.config.Domain, Prefixes: g.Prefixes}
	return request, query
}

// run goes on until the answer is whole or given up.
func (r *relay) run(ctx context.Context, w *waiter) error {
	err := r.pending.waitForBackend(ctx, w)
	for err == nil {
		cause := r.attempt(ctx)
		r.outcome = classifyEngineError(cause)
		if cause == nil {
			return nil
		}
		if r.outcome.mayHaveRun {
			r.pending.mayHaveRun = true
			r.server.queueCancel(r.pending.backend, r.generation.ID)
		}
		err = r.handleFailure(ctx, cause)
	}
	return err
}

// next finds the place of another attempt after a failed one, or ends the
// request.
func (r *relay) handleFailure(ctx context.Context, cause error) error {
	switch {
	case ctx.Err() != nil:
		r.outcome = attemptOutcome{} // the caller left; that blames no engine
		return ctx.Err()
	case r.outcome.finalRefusal != nil:
		return r.outcome.finalRefusal
	case isSinkError(cause):
		return cause
	case r.delivered == 0:
		return r.retryUndelivered(ctx, cause)
	default:
		return r.moveStream(ctx, cause)
	}
}

// retryUnstarted handles an attempt that delivered nothing: it goes back to the
// queue if nothing ran, or if the retry budget allows a repetition (a generation
// is repeatable), and else ends with a refusal.
func (r *relay) retryUndelivered(ctx context.Context, cause error) error {
	if errors.Is(cause, errLate) {
		return refusal.New(refusal.CodeWaitTooLong, lateTokenRetryAfter, "no first token within the longest wait")
	}
	if r.outcome.mayHaveRun && !r.pending.allowRetry() {
		return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the engine failed and the retry budget is spent: %v", cause)
	}
	if r.outcome.routerResult.Failed {
		r.server.config.Logger.Info("attempt failed", zap.String("request", r.generation.ID),
			zap.String("engine", r.pending.backend), zap.Error(cause))
	}
	return r.pending.requeue(ctx, r.outcome)
}

// moveStarted takes a broken stream to another engine, which repeats it from the
// start; the part that was delivered is compared and left out. An engine that
// did not take the stream is no move.
func (r *relay) moveStream(ctx context.Context, cause error) error {
	if r.outcome.mayHaveRun {
		r.moves++
		r.moveDeadline = time.Now().Add(moveTimeout)
	}
	if r.moves > maxMoves {
		return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the stream broke on %d engines: %v", r.moves, cause)
	}
	r.server.config.Logger.Info("stream moves", zap.String("request", r.generation.ID),
		zap.String("engine", r.pending.backend), zap.Uint64("delivered", r.delivered), zap.Error(cause))
	for !r.pending.tryMove(r.outcome) {
		if !time.Now().Before(r.moveDeadline) {
			return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the stream broke and no other engine is ready: %v", cause)
		}
		if !pause.For(ctx, moveRetryInterval) {
			return ctx.Err()
		}
	}
	return nil
}
