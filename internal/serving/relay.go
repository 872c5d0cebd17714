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
	// maxResumes bounds the consecutive resumes of a stream on its engine that bring
	// no further chunk.
	maxResumes = 5
	// resumeInterval is the time before each of them except the first: a stream whose
	// connection broke is resumed at once, while a connection that can't be opened
	// needs time.
	resumeInterval = 100 * time.Millisecond
)

// relay is the state of a generation whose answer is relayed to the caller.
type relay struct {
	server     *Server
	pending    *pendingRequest
	generation caller.Generation
	sink       caller.Sink
	// holder is the sink if it can hold chunks, else nil.
	holder   caller.BufferingSink
	deadline time.Time

	// delivered is the position of the last chunk that the sink got; deliveredHashes
	// are the hashes of all of them, to compare when another engine repeats them.
	delivered       uint64
	deliveredHashes []uint64
	// outcome is that of the last attempt.
	outcome attemptOutcome
	// moves counts the engines on which the stream broke; moveDeadline is when the
	// search for another one ends.
	moves        int
	moveDeadline time.Time
}

// attempt runs the request on the assigned engine and resumes its stream there. It
// fails with the errors that package engine documents for Generate or, once the
// request may run, with an error that doesn't claim anything else.
func (r *relay) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := r.startStallGuard(cancel)
	defer guard.stop()
	stream, err := r.openStream(ctx)
	if err == nil {
		err = r.followStream(ctx, stream, guard)
	}
	return withGuardCause(ctx, err)
}

// openStream starts the stream. If the engine's answer is lost, it is unknown whether
// the engine runs the request; a resume finds out and can't start it a second time.
func (r *relay) openStream(ctx context.Context) (engine.Stream, error) {
	client := r.server.config.Engines
	stream, err := client.Generate(ctx, r.pending.backend, r.generation.Request)
	if !errors.Is(err, engine.ErrOutcomeUnknown) || ctx.Err() != nil {
		return stream, err
	}
	stream, resumeErr := client.Resume(ctx, r.pending.backend, r.generation.ID, 1)
	if resumeErr != nil {
		return nil, err
	}
	return stream, nil
}

// followStream reads the stream to its end and resumes it where it breaks.
func (r *relay) followStream(ctx context.Context, stream engine.Stream, guard *stallGuard) error {
	position, failedResumes := uint64(0), 0
	for {
		before := position
		var err error
		position, err = r.readChunks(stream, position, guard)
		_ = stream.Close()
		if err == nil || isSinkError(err) || ctx.Err() != nil {
			return err
		}
		if position > before {
			failedResumes = 0
		}
		stream, failedResumes, err = r.resumeStream(ctx, position+1, failedResumes)
		if err != nil {
			return brokenStreamError(err)
		}
	}
}

// resumeStream resumes the stream on its engine; failedResumes counts the resumes
// since the last chunk.
func (r *relay) resumeStream(ctx context.Context, from uint64, failedResumes int) (engine.Stream, int, error) {
	for {
		if failedResumes == maxResumes {
			return nil, failedResumes, errNoProgress
		}
		if failedResumes > 0 && !pause.For(ctx, resumeInterval) {
			return nil, failedResumes, ctx.Err()
		}
		failedResumes++
		stream, err := r.server.config.Engines.Resume(ctx, r.pending.backend, r.generation.ID, from)
		if err == nil || errors.Is(err, engine.ErrUnknownStream) || ctx.Err() != nil {
			return stream, failedResumes, err
		}
	}
}

// brokenStreamError hides the error of a failed resume behind ErrBrokenStream. If the
// engine no longer listens, the resume fails with ErrNotSent; unhidden, this would
// tell the caller that its request didn't run.
func brokenStreamError(err error) error {
	return fmt.Errorf("%w: %v", engine.ErrBrokenStream, err)
}

// startStallGuard starts a guard that ends the attempt if its first token is late or
// its stream stalls.
func (r *relay) startStallGuard(cancel context.CancelCauseFunc) *stallGuard {
	stallTimeout := r.server.config.StallTimeout
	if r.delivered == 0 {
		return newStallGuard(time.Until(r.deadline), stallTimeout, cancel, errLate)
	}
	return newStallGuard(stallTimeout, stallTimeout, cancel, errStalled)
}

// withGuardCause adds the guard's reason to an error that the guard caused.
func withGuardCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if err != nil && (errors.Is(cause, errLate) || errors.Is(cause, errStalled) || errors.Is(cause, errHeadTimeout)) {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// readChunks delivers chunks until the stream ends; it returns the last position read.
func (r *relay) readChunks(stream engine.Stream, position uint64, guard *stallGuard) (uint64, error) {
	pending, _ := stream.(engine.PendingStream)
	for {
		chunk, err := stream.Next()
		if err != nil {
			return position, r.handleStreamEnd(position, err)
		}
		position = chunk.Position
		now := time.Now()
		guard.recordProgress(now)
		more := pending != nil && pending.HasPending()
		if err := r.deliver(now, chunk, more); err != nil {
			return position, err
		}
	}
}

// handleStreamEnd turns the error that ended the stream into the result of reading
// it. It releases the chunks that the sink holds first, as a resume may take long.
func (r *relay) handleStreamEnd(position uint64, err error) error {
	if r.holder != nil {
		if releaseErr := r.holder.Flush(); releaseErr != nil {
			return sinkError{releaseErr}
		}
	}
	if errors.Is(err, io.EOF) {
		return r.checkComplete(position)
	}
	return err
}

// checkComplete fails if the answer ended before the last delivered chunk: after a
// move, the answer of the new engine may be shorter than what the caller already has.
func (r *relay) checkComplete(position uint64) error {
	if position < r.delivered {
		return sinkError{errMismatch}
	}
	return nil
}

// deliver handles a chunk that arrived at the time now; more says that the next one
// has been received too. The first token is recorded only after the caller got it.
func (r *relay) deliver(now time.Time, chunk engine.Chunk, more bool) error {
	err := r.sendOrCompare(chunk, more)
	if r.pending.timeToFirstToken == 0 {
		r.pending.recordFirstToken(now)
	}
	return err
}

// sendOrCompare sends a new chunk to the sink. A chunk at a position that was
// delivered before the stream moved must have the same content: otherwise the caller
// would get parts of two different answers.
func (r *relay) sendOrCompare(chunk engine.Chunk, more bool) error {
	hash := hashContent(chunk.Data)
	if chunk.Position <= r.delivered {
		if r.deliveredHashes[chunk.Position-1] != hash {
			return sinkError{errMismatch}
		}
		return nil
	}
	if err := r.sendToSink(chunk, more); err != nil {
		return sinkError{err}
	}
	r.delivered = chunk.Position
	r.deliveredHashes = append(r.deliveredHashes, hash)
	return nil
}

// sendToSink sends chunks that have been received together in one write if the sink
// supports it; no chunk waits for one that hasn't been received.
func (r *relay) sendToSink(chunk engine.Chunk, more bool) error {
	if more && r.holder != nil {
		return r.holder.BufferChunk(chunk)
	}
	return r.sink.WriteChunk(chunk)
}
