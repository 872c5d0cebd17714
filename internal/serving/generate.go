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
	state := &generating{server: s, pending: p, generation: g, sink: sink, deadline: request.Deadline}
	state.bufferingSink, _ = sink.(caller.BufferingSink)
	err := state.run(ctx, w)
	p.finish(ctx, err, state.outcome)
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
func (g *generating) run(ctx context.Context, w *waiter) error {
	err := g.pending.waitForBackend(ctx, w)
	for err == nil {
		cause := g.attempt(ctx)
		g.outcome = classifyEngineError(cause)
		if cause == nil {
			return nil
		}
		if g.outcome.mayHaveRun {
			g.pending.mayHaveRun = true
			g.server.queueCancel(g.pending.backend, g.generation.ID)
		}
		err = g.handleFailure(ctx, cause)
	}
	return err
}

// handleFailure decides what follows a failed attempt. It returns nil once the request
// has an engine for another attempt, and otherwise the error that ends it.
func (g *generating) handleFailure(ctx context.Context, cause error) error {
	switch {
	case ctx.Err() != nil:
		g.outcome = attemptOutcome{} // the caller disconnected: not a fault of the engine
		return ctx.Err()
	case g.outcome.finalRefusal != nil:
		return g.outcome.finalRefusal
	case isTerminalError(cause):
		return cause
	case g.delivered == 0:
		return g.retryUndelivered(ctx, cause)
	default:
		return g.moveStream(ctx, cause)
	}
}

// retryUndelivered handles a failed attempt that delivered nothing. The request goes
// back to the queue if nothing ran or if the retry budget allows a retry (a generation
// is repeatable); otherwise it ends with a refusal.
func (g *generating) retryUndelivered(ctx context.Context, cause error) error {
	if errors.Is(cause, errLate) {
		return refusal.New(refusal.CodeWaitTooLong, lateTokenRetryAfter, "no first token within the longest wait")
	}
	if g.outcome.mayHaveRun && !g.pending.allowRetry() {
		return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the engine failed and the retry budget is spent: %v", cause)
	}
	if g.outcome.routerResult.Failed {
		g.server.config.Logger.Info("attempt failed", zap.String("request", g.generation.ID),
			zap.String("engine", g.pending.backend), zap.Error(cause))
	}
	return g.pending.requeue(ctx, g.outcome)
}

// moveStream moves a broken stream to another engine, which repeats it from the
// start; the part that was already delivered is compared and skipped. An engine
// that didn't accept the stream doesn't count as a move.
func (g *generating) moveStream(ctx context.Context, cause error) error {
	if g.outcome.mayHaveRun {
		g.moves++
		g.moveDeadline = time.Now().Add(moveTimeout)
	}
	if g.moves > maxMoves {
		return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the stream broke on %d engines: %v", g.moves, cause)
	}
	g.server.config.Logger.Info("stream moves", zap.String("request", g.generation.ID),
		zap.String("engine", g.pending.backend), zap.Uint64("delivered", g.delivered), zap.Error(cause))
	for !g.pending.tryMove(g.outcome) {
		if !time.Now().Before(g.moveDeadline) {
			return refusal.New(refusal.CodeBackendFailed, shortRetryAfter, "the stream broke and no other engine is ready: %v", cause)
		}
		if !pause.For(ctx, moveRetryInterval) {
			return ctx.Err()
		}
	}
	return nil
}
