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
	moveWait = 5 * time.Second
	// movePause is the time between two looks for one.
	movePause = 100 * time.Millisecond
	// comeBackLate is when to come back after a first token that missed the
	// longest wait: the router has noticed a hung engine by then.
	comeBackLate = 5 * time.Second
)

// coldSink is a Sink that wants to know that the request waited for a load.
type coldSink interface{ MarkCold() }

// Generate delivers the whole answer to the sink or fails with a refusal.
func (s *Server) Generate(ctx context.Context, g caller.Generation, unit contract.Unit, sink caller.Sink) error {
	request, query := s.describe(g, unit)
	known := s.find(unit.Name)
	p, w, refused := s.arrive(request, query, known)
	if refused != nil {
		return refused
	}
	if cold, ok := sink.(coldSink); ok && !anyReady(known) {
		cold.MarkCold()
	}
	g.Body = withSeed(g.Body, g.ID)
	r := &relay{server: s, place: p, generation: g, sink: sink, deadline: request.Deadline}
	r.holder, _ = sink.(caller.BufferingSink)
	err := r.run(ctx, w)
	p.end(ctx, err, r.verdict)
	return p.honest(err)
}

func (s *Server) describe(g caller.Generation, unit contract.Unit) (admission.Request, routing.Query) {
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
	err := r.place.wait(ctx, w)
	for err == nil {
		cause := r.attempt(ctx)
		r.verdict = judge(cause)
		if cause == nil {
			return nil
		}
		if r.verdict.ran {
			r.place.mayHaveRun = true
			r.server.abandon(r.place.backend, r.generation.ID)
		}
		err = r.next(ctx, cause)
	}
	return err
}

// next finds the place of another attempt after a failed one, or ends the
// request.
func (r *relay) next(ctx context.Context, cause error) error {
	switch {
	case ctx.Err() != nil:
		r.verdict = verdict{} // the caller left; that blames no engine
		return ctx.Err()
	case r.verdict.final != nil:
		return r.verdict.final
	case isSinkError(cause):
		return cause
	case r.delivered == 0:
		return r.retryUnstarted(ctx, cause)
	default:
		return r.moveStarted(ctx, cause)
	}
}

// retryUnstarted handles an attempt that delivered nothing: it goes back to the
// queue if nothing ran, or if the retry budget allows a repetition (a generation
// is repeatable), and else ends with a refusal.
func (r *relay) retryUnstarted(ctx context.Context, cause error) error {
	if errors.Is(cause, errLate) {
		return refusal.New(refusal.CodeWaitTooLong, comeBackLate, "no first token within the longest wait")
	}
	if r.verdict.ran && !r.place.mayRetry() {
		return refusal.New(refusal.CodeBackendFailed, comeBackSoon, "the engine failed and the retry budget is spent: %v", cause)
	}
	if r.verdict.result.Failed {
		r.server.config.Logger.Info("attempt failed", zap.String("request", r.generation.ID),
			zap.String("engine", r.place.backend), zap.Error(cause))
	}
	return r.place.again(ctx, r.verdict)
}

// moveStarted takes a broken stream to another engine, which repeats it from the
// start; the part that was delivered is compared and left out. An engine that
// did not take the stream is no move.
func (r *relay) moveStarted(ctx context.Context, cause error) error {
	if r.verdict.ran {
		r.moves++
		r.moveUntil = time.Now().Add(moveWait)
	}
	if r.moves > maxMoves {
		return refusal.New(refusal.CodeBackendFailed, comeBackSoon, "the stream broke on %d engines: %v", r.moves, cause)
	}
	r.server.config.Logger.Info("stream moves", zap.String("request", r.generation.ID),
		zap.String("engine", r.place.backend), zap.Uint64("delivered", r.delivered), zap.Error(cause))
	for !r.place.move(r.verdict) {
		if !time.Now().Before(r.moveUntil) {
			return refusal.New(refusal.CodeBackendFailed, comeBackSoon, "the stream broke and no other engine is ready: %v", cause)
		}
		if !pause.For(ctx, movePause) {
			return ctx.Err()
		}
	}
	return nil
}
