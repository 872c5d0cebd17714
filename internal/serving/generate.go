package serving

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

const (
	// maxResumes bounds how often one stream is taken up again on its engine.
	maxResumes = 5
	// maxMoves bounds how often one request moves to another engine after a part
	// of its answer was delivered.
	maxMoves = 3
	// moveWait is how long a broken stream waits for another engine to move to.
	moveWait = 5 * time.Second
	// movePause is the time between two looks for one.
	movePause = 100 * time.Millisecond
	// cancelTimeout bounds telling an engine that a request's caller left.
	cancelTimeout = time.Second
	// comeBackSoon is when to come back after a failure that may pass quickly.
	comeBackSoon = time.Second
)

// coldSink is a Sink that wants to know that the request waited for a load.
type coldSink interface{ Cold() }

// Generate delivers the whole answer to the sink or fails with a refusal.
func (s *Server) Generate(ctx context.Context, g caller.Generation, unit contract.Unit, sink caller.Sink) error {
	request, query := s.describe(g, unit)
	p, w, refused := s.arrive(request, query)
	if refused != nil {
		return refused
	}
	g.Body = withSeed(g.Body, g.ID)
	s.noteCold(unit.Name, sink)
	r := &relay{server: s, place: p, generation: g, sink: sink, deadline: request.Deadline}
	err := r.run(ctx, w)
	p.end(ctx, err)
	if err != nil && ctx.Err() != nil {
		r.cancel()
	}
	return err
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

// noteCold tells the sink if the request must wait for a load.
func (s *Server) noteCold(unit string, sink caller.Sink) {
	cold, ok := sink.(coldSink)
	if !ok {
		return
	}
	for _, c := range s.config.Directory.Candidates(unit) {
		if c.Ready && !c.Leaving {
			return
		}
	}
	cold.Cold()
}

// relay is one request's answer on its way to the caller.
type relay struct {
	server     *Server
	place      *place
	generation caller.Generation
	sink       caller.Sink
	deadline   time.Time

	// delivered is the position of the last chunk given to the sink, and sums
	// the hash of each, for comparing when another engine repeats them.
	delivered uint64
	sums      []uint64
	// address is where the request ran last.
	address string
}

// run goes on until the answer is whole or given up.
func (r *relay) run(ctx context.Context, w *waiter) error {
	if err := r.place.wait(ctx, w); err != nil {
		return err
	}
	moves := 0
	for {
		err := r.attempt(ctx)
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case isSinkError(err):
			return err
		case r.delivered == 0:
			err = r.retryUnstarted(ctx, err)
		default:
			moves++
			err = r.moveStarted(ctx, err, moves)
		}
		if err != nil {
			return err
		}
	}
}

// retryUnstarted handles an attempt that delivered nothing: it goes back to the
// queue if nothing ran, or if the retry budget allows a repetition (a generation
// is repeatable), and else ends with an honest refusal.
func (r *relay) retryUnstarted(ctx context.Context, err error) error {
	result, exclude := attemptResult(err)
	if errors.Is(err, errLate) {
		return refusal.Maybe(refusal.CodeWaitTooLong, "no first token within the longest wait")
	}
	if !result.NotRun && !r.place.mayRetry() {
		return refusal.Maybe(refusal.CodeBackendFailed, "the engine failed and the retry budget is spent: %v", err)
	}
	if result.Failed {
		r.server.config.Logger.Info("attempt failed", zap.String("request", r.generation.ID),
			zap.String("engine", r.place.backend), zap.Error(err))
	}
	again := r.place.again(ctx, result, exclude)
	var refused *refusal.Refusal
	if errors.As(again, &refused) && !result.NotRun {
		refused.Ran = refusal.RanMaybe
	}
	return again
}

// attemptResult tells what an attempt's error says of the engine, and whether to
// keep away from it for this request.
func attemptResult(err error) (routing.Result, bool) {
	switch {
	case errors.Is(err, engine.ErrBusy):
		return routing.Result{NotRun: true}, false
	case errors.Is(err, engine.ErrNotLoaded):
		return routing.Result{NotRun: true}, false
	case errors.Is(err, engine.ErrNotSent):
		return routing.Result{NotRun: true, Failed: true}, true
	default:
		return routing.Result{Failed: true}, true
	}
}

// moveStarted takes a broken stream to another engine, which repeats it from the
// start; the part that was delivered is compared and left out.
func (r *relay) moveStarted(ctx context.Context, cause error, moves int) error {
	if moves > maxMoves {
		return refusal.Maybe(refusal.CodeBackendFailed, "the stream broke on %d engines: %v", moves, cause)
	}
	r.server.config.Logger.Info("stream moves", zap.String("request", r.generation.ID),
		zap.String("engine", r.place.backend), zap.Uint64("delivered", r.delivered), zap.Error(cause))
	until := time.Now().Add(moveWait)
	for !r.place.move() {
		if time.Now().After(until) {
			return refusal.Maybe(refusal.CodeBackendFailed, "the stream broke and no other engine is ready: %v", cause)
		}
		if !sleep(ctx, movePause) {
			return ctx.Err()
		}
	}
	return nil
}

// attempt runs the request on the assigned engine, resuming there.
func (r *relay) attempt(ctx context.Context) error {
	r.address = r.place.backend
	client := r.server.config.Engines
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := r.guard(cancel)
	defer guard.Stop()
	stream, err := client.Generate(ctx, r.address, r.generation.Request)
	if err != nil {
		return lateOr(ctx, err)
	}
	position := uint64(0)
	for resumes := 0; ; resumes++ {
		position, err = r.pump(stream, position, guard)
		_ = stream.Close()
		if err == nil || isSinkError(err) || ctx.Err() != nil || resumes == maxResumes {
			return lateOr(ctx, err)
		}
		stream, err = client.Resume(ctx, r.address, r.generation.ID, position+1)
		if err != nil {
			return lateOr(ctx, err)
		}
	}
}

// errLate ends an attempt whose first token missed the longest wait, errStalled
// one that fell silent.
var (
	errLate    = errors.New("first token late")
	errStalled = errors.New("stream stalled")
)

// guard ends the attempt when its first token is late or it falls silent.
func (r *relay) guard(cancel context.CancelCauseFunc) *time.Timer {
	if r.delivered == 0 {
		return time.AfterFunc(time.Until(r.deadline), func() { cancel(errLate) })
	}
	return time.AfterFunc(r.server.config.StallTimeout, func() { cancel(errStalled) })
}

// lateOr returns the guard's reason in place of the error that it caused.
func lateOr(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errLate) || errors.Is(cause, errStalled)) {
		return cause
	}
	return err
}

// pump hands chunks on until the stream ends; it returns the last position read.
func (r *relay) pump(stream engine.Stream, position uint64, guard *time.Timer) (uint64, error) {
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return position, nil
		}
		if err != nil {
			return position, err
		}
		position = chunk.Position
		guard.Reset(r.server.config.StallTimeout)
		if err := r.deliver(chunk); err != nil {
			return position, err
		}
	}
}

// deliver hands a new chunk to the sink. A chunk that was delivered before, by
// the engine the stream moved from, must say the same again: otherwise the
// caller would get two halves of different answers.
func (r *relay) deliver(chunk engine.Chunk) error {
	sum := contentSum(chunk.Data)
	if chunk.Position <= r.delivered {
		if r.sums[chunk.Position-1] != sum {
			return sinkError{refusal.Maybe(refusal.CodeBackendFailed, "the engine moved to gives another answer")}
		}
		return nil
	}
	if r.delivered == 0 {
		r.place.firstToken = time.Since(r.place.begun)
	}
	if err := r.sink.Chunk(chunk); err != nil {
		return sinkError{err}
	}
	r.delivered = chunk.Position
	r.sums = append(r.sums, sum)
	return nil
}

// cancel tells the engine that nobody waits for the answer any more.
func (r *relay) cancel() {
	if r.address == "" {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
	defer done()
	_ = r.server.config.Engines.Cancel(ctx, r.address, r.generation.ID)
}

// sinkError marks an error that no other engine can mend.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

func isSinkError(err error) bool {
	var marked sinkError
	return errors.As(err, &marked)
}

// contentSum hashes what a chunk says, without its envelope, in which engines
// may write their own name or time.
func contentSum(data []byte) uint64 {
	return xxhash.Sum64(content(data))
}

// withSeed fixes the seed of the sampling if the caller left it open, so that
// another engine can repeat the answer after a failure in the middle of it.
func withSeed(body []byte, id string) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return body
	}
	if _, set := fields["seed"]; set {
		return body
	}
	const seedBits = 31 // engines take a positive 32-bit number
	seed, err := json.Marshal(xxhash.Sum64String(id) >> (64 - seedBits))
	if err != nil {
		return body
	}
	fields["seed"] = seed
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
