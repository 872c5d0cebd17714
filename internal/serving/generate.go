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
	// maxMoves bounds how often one request moves to another engine after part of
	// its answer was delivered.
	maxMoves = 3
	// moveTimeout is how long a broken stream waits for another engine to move to.
	moveTimeout = 5 * time.Second
	// moveRetryInterval is the time between two searches for such an engine.
	moveRetryInterval = 100 * time.Millisecond
	// lateTokenRetryAfter is the retry delay for a caller whose first token missed
	// the maximum wait: by then the router has detected a hung engine.
	lateTokenRetryAfter = 5 * time.Second
)

// coldMarker is a Sink that is notified when the request waits for a load.
type coldMarker interface{ MarkCold() }

// Generate delivers the complete answer to the sink or fails with a refusal.
func (s *Server) Generate(ctx context.Context, g caller.Generation, unit contract.Unit, sink caller.Sink) error {
	request, query := s.describeGeneration(g, unit)
	known := s.findCandidates(unit.Name)
	p, w, refused := s.admit(request, query, known)
	if refused != nil {
		return refused
	}
	if cold, ok := sink.(coldMarker); ok && !hasReadyCandidate(known) {
		cold.MarkCold()
	}
	g.Body = withSeed(g.Body, g.ID)
	r := &relay{server: s, pending: p, generation: g, sink: sink, deadline: request.Deadline}
	r.holder, _ = sink.(caller.BufferingSink)
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

// run makes attempts until the answer is complete or no further attempt is allowed.
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

// handleFailure decides what follows a failed attempt. It returns nil once the request
// has an engine for another attempt, and otherwise the error that ends it.
func (r *relay) handleFailure(ctx context.Context, cause error) error {
	switch {
	case ctx.Err() != nil:
		r.outcome = attemptOutcome{} // the caller left: not a fault of the engine
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

// retryUndelivered handles a failed attempt that delivered nothing. The request goes
// back to the queue if nothing ran or if the retry budget allows a retry (a generation
// is repeatable); otherwise it ends with a refusal.
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

// moveStream moves a broken stream to another engine, which repeats it from the
// start; the part that was already delivered is compared and skipped. An engine
// that didn't accept the stream doesn't count as a move.
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
