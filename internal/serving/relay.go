package serving

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"bergamotreel/caller"
	"bergamotreel/engine"
	"bergamotreel/internal/pause"
)

const (
	// maxResumes bounds how often in a row a stream is taken up again on its
	// engine without one more chunk.
	maxResumes = 5
	// resumePause is the time before each of them but the first: a torn
	// connection is taken up at once, one that can't be opened needs time.
	resumePause = 100 * time.Millisecond
)

// relay is one request's answer on its way to the caller.
type relay struct {
	server     *Server
	place      *place
	generation caller.Generation
	sink       caller.Sink
	// holder is the sink if it can hold chunks, else nil.
	holder   caller.BufferingSink
	deadline time.Time

	// delivered is the position of the last chunk given to the sink, and sums
	// the hash of each, for comparing when another engine repeats them.
	delivered uint64
	sums      []uint64
	// verdict is that of the newest attempt.
	verdict verdict
	// moves counts the engines that broke the stream; moveUntil is when the
	// search for another one ends.
	moves     int
	moveUntil time.Time
}

// attempt runs the request on the assigned engine, resuming there. It fails with
// what package engine says of Generate, or, once the request may run, with an
// error that says nothing else.
func (r *relay) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := r.guard(cancel)
	defer guard.stop()
	stream, err := r.open(ctx)
	if err == nil {
		err = r.follow(ctx, stream, guard)
	}
	return guarded(ctx, err)
}

// open begins the stream. A lost answer does not tell whether the engine runs
// it; asking for the stream does, and starts nothing a second time.
func (r *relay) open(ctx context.Context) (engine.Stream, error) {
	client := r.server.config.Engines
	stream, err := client.Generate(ctx, r.place.backend, r.generation.Request)
	if !errors.Is(err, engine.ErrOutcomeUnknown) || ctx.Err() != nil {
		return stream, err
	}
	stream, resumeErr := client.Resume(ctx, r.place.backend, r.generation.ID, 1)
	if resumeErr != nil {
		return nil, err
	}
	return stream, nil
}

// follow reads the stream to its end and resumes it where it breaks.
func (r *relay) follow(ctx context.Context, stream engine.Stream, guard *guard) error {
	position, fruitless := uint64(0), 0
	for {
		before := position
		var err error
		position, err = r.pump(stream, position, guard)
		_ = stream.Close()
		if err == nil || isSinkError(err) || ctx.Err() != nil {
			return err
		}
		if position > before {
			fruitless = 0
		}
		stream, fruitless, err = r.resume(ctx, position+1, fruitless)
		if err != nil {
			return broken(err)
		}
	}
}

// resume takes the stream up again on its engine; fruitless counts the tries
// since the last chunk.
func (r *relay) resume(ctx context.Context, from uint64, fruitless int) (engine.Stream, int, error) {
	for {
		if fruitless == maxResumes {
			return nil, fruitless, errFruitless
		}
		if fruitless > 0 && !pause.For(ctx, resumePause) {
			return nil, fruitless, ctx.Err()
		}
		fruitless++
		stream, err := r.server.config.Engines.Resume(ctx, r.place.backend, r.generation.ID, from)
		if err == nil || errors.Is(err, engine.ErrUnknownStream) || ctx.Err() != nil {
			return stream, fruitless, err
		}
	}
}

// broken hides what an error says of the call that met it. Failure: a stream
// that can't be resumed, as nothing listens any more, ends in ErrNotSent, and
// the caller would be told that its request did not run.
func broken(err error) error {
	return fmt.Errorf("%w: %v", engine.ErrBrokenStream, err)
}

// guard ends the attempt when its first token is late or it falls silent.
func (r *relay) guard(cancel context.CancelCauseFunc) *guard {
	silence := r.server.config.StallTimeout
	if r.delivered == 0 {
		return startGuard(time.Until(r.deadline), silence, cancel, errLate)
	}
	return startGuard(silence, silence, cancel, errStalled)
}

// guarded adds the guard's reason to the error that it caused.
func guarded(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errLate) || errors.Is(cause, errStalled) || errors.Is(cause, errImpatient)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// pump hands chunks on until the stream ends; it returns the last position read.
func (r *relay) pump(stream engine.Stream, position uint64, guard *guard) (uint64, error) {
	pending, _ := stream.(engine.Pending)
	for {
		chunk, err := stream.Next()
		if err != nil {
			return position, r.ended(position, err)
		}
		position = chunk.Position
		now := time.Now()
		guard.heard(now)
		more := pending != nil && pending.Pending()
		if err := r.deliver(now, chunk, more); err != nil {
			return position, err
		}
	}
}

// ended reads how the stream ended. What the sink holds goes out first: a resume
// may take long.
func (r *relay) ended(position uint64, err error) error {
	if r.holder != nil {
		if failed := r.holder.Flush(); failed != nil {
			return sinkError{failed}
		}
	}
	if errors.Is(err, io.EOF) {
		return r.whole(position)
	}
	return err
}

// whole checks an answer's end: an engine moved to may say less than the caller
// has already.
func (r *relay) whole(position uint64) error {
	if position < r.delivered {
		return sinkError{errMismatch}
	}
	return nil
}

// deliver takes a chunk that came at the time now; more says that the next one
// is here, too. What is to be noted of a first one is noted once the caller has
// it.
func (r *relay) deliver(now time.Time, chunk engine.Chunk, more bool) error {
	err := r.handOn(chunk, more)
	if r.place.firstToken == 0 {
		r.place.answer(now)
	}
	return err
}

// handOn gives a new chunk to the sink. A chunk that was delivered before, by
// the engine the stream moved from, must say the same again: otherwise the
// caller would get two halves of different answers.
func (r *relay) handOn(chunk engine.Chunk, more bool) error {
	sum := contentSum(chunk.Data)
	if chunk.Position <= r.delivered {
		if r.sums[chunk.Position-1] != sum {
			return sinkError{errMismatch}
		}
		return nil
	}
	if err := r.give(chunk, more); err != nil {
		return sinkError{err}
	}
	r.delivered = chunk.Position
	r.sums = append(r.sums, sum)
	return nil
}

// give lets chunks that are here together go out together, where the sink can;
// none waits for one that is not here.
func (r *relay) give(chunk engine.Chunk, more bool) error {
	if more && r.holder != nil {
		return r.holder.BufferChunk(chunk)
	}
	return r.sink.WriteChunk(chunk)
}
