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
	// resumeInterval is the pause before the second and later consecutive resumes. The
	// first follows at once, since a broken connection can often be replaced
	// immediately; a connection that can't be opened needs time.
	resumeInterval = 100 * time.Millisecond
	// maxUnreplacedSilence is how long a stream may pause while no other engine can
	// continue it.
	maxUnreplacedSilence = 30 * time.Second
)

// generating is the state of a generation in progress.
type generating struct {
	server     *Server
	pending    *pendingRequest
	generation caller.Generation
	sink       caller.Sink
	// bufferingSink is the sink if it implements caller.BufferingSink, else nil.
	bufferingSink caller.BufferingSink
	deadline      time.Time

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
func (g *generating) attempt(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := g.startStallGuard(cancel)
	defer guard.stop()
	stream, err := g.openStream(ctx)
	if err == nil {
		err = g.followStream(ctx, stream, guard)
	}
	return withGuardCause(ctx, err)
}

// openStream starts the stream. If the engine's answer is lost, it is unknown whether
// the engine runs the request; a resume finds out and can't start it a second time.
func (g *generating) openStream(ctx context.Context) (engine.Stream, error) {
	client := g.server.config.Engines
	stream, err := client.Generate(ctx, g.pending.backend, g.generation.Request)
	if !errors.Is(err, engine.ErrOutcomeUnknown) || ctx.Err() != nil {
		return stream, err
	}
	stream, resumeErr := client.Resume(ctx, g.pending.backend, g.generation.ID, 1)
	if resumeErr != nil {
		return nil, err
	}
	return stream, nil
}

// followStream reads the stream to its end and resumes it where it breaks.
func (g *generating) followStream(ctx context.Context, stream engine.Stream, guard *stallGuard) error {
	position, failedResumes := uint64(0), 0
	for {
		before := position
		var err error
		position, err = g.readChunks(stream, position, guard)
		_ = stream.Close()
		if err == nil || isTerminalError(err) || ctx.Err() != nil {
			return err
		}
		if position > before {
			failedResumes = 0
		}
		stream, failedResumes, err = g.resumeStream(ctx, position+1, failedResumes)
		if err != nil {
			return brokenStreamError(err)
		}
	}
}

// resumeStream resumes the stream on its engine; failedResumes counts the resumes
// since the last chunk.
func (g *generating) resumeStream(ctx context.Context, from uint64, failedResumes int) (engine.Stream, int, error) {
	for {
		if failedResumes == maxResumes {
			return nil, failedResumes, errNoProgress
		}
		if failedResumes > 0 && !pause.For(ctx, resumeInterval) {
			return nil, failedResumes, ctx.Err()
		}
		failedResumes++
		stream, err := g.server.config.Engines.Resume(ctx, g.pending.backend, g.generation.ID, from)
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

// startStallGuard starts a guard that ends the attempt if its first token is late, or if
// its stream stalls and another engine can continue it.
func (g *generating) startStallGuard(cancel context.CancelCauseFunc) *stallGuard {
	startedAt, stallTimeout := time.Now(), g.server.config.StallTimeout
	firstTimeout, reason := stallTimeout, errStalled
	if g.delivered == 0 {
		firstTimeout, reason = time.Until(g.deadline), errLate
	}
	var guard *stallGuard
	secureReplacement := func() bool {
		silentSince := startedAt
		if guard.lastReceived.After(silentSince) {
			silentSince = guard.lastReceived
		}
		return time.Since(silentSince) >= maxUnreplacedSilence || g.pending.canMove()
	}
	guard = newStallGuard(firstTimeout, stallTimeout, cancel, reason, secureReplacement)
	return guard
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
func (g *generating) readChunks(stream engine.Stream, position uint64, guard *stallGuard) (uint64, error) {
	pending, _ := stream.(engine.PendingStream)
	for {
		chunk, err := stream.Next()
		if err != nil {
			return position, g.handleStreamEnd(position, err)
		}
		position = chunk.Position
		now := time.Now()
		if !guard.beginDelivery(now) {
			return position, errStalled
		}
		more := pending != nil && pending.HasPending()
		if err := g.deliver(now, chunk, more); err != nil {
			return position, err
		}
		guard.endDelivery(time.Now())
	}
}

// handleStreamEnd turns the error that ended the stream into the result of reading
// it. It first flushes the chunks that the sink has buffered, as a resume may take
// long.
func (g *generating) handleStreamEnd(position uint64, err error) error {
	if g.bufferingSink != nil {
		if flushErr := g.bufferingSink.Flush(); flushErr != nil {
			return terminalError{flushErr}
		}
	}
	if errors.Is(err, io.EOF) {
		return g.checkComplete(position)
	}
	return err
}

// checkComplete fails if the answer ended before the last delivered chunk: after a
// move, the answer of the new engine may be shorter than what the caller already has.
func (g *generating) checkComplete(position uint64) error {
	if position < g.delivered {
		return terminalError{errMismatch}
	}
	return nil
}

// deliver handles a chunk that arrived at the time now; more says that the next one
// has been received too. The first token is recorded only after the caller got it.
func (g *generating) deliver(now time.Time, chunk engine.Chunk, more bool) error {
	err := g.sendOrCompare(chunk, more)
	if g.pending.timeToFirstToken == 0 {
		g.pending.recordFirstToken(now)
	}
	return err
}

// sendOrCompare sends a new chunk to the sink. A chunk at a position that was
// delivered before the stream moved must have the same content: otherwise the caller
// would get parts of two different answers.
func (g *generating) sendOrCompare(chunk engine.Chunk, more bool) error {
	hash := hashContent(chunk.Data)
	if chunk.Position <= g.delivered {
		if g.deliveredHashes[chunk.Position-1] != hash {
			return terminalError{errMismatch}
		}
		return nil
	}
	if err := g.sendToSink(chunk, more); err != nil {
		return terminalError{err}
	}
	g.delivered = chunk.Position
	g.deliveredHashes = append(g.deliveredHashes, hash)
	return nil
}

// sendToSink sends chunks that have been received together in one write if the sink
// supports it; no chunk waits for one that hasn't been received.
func (g *generating) sendToSink(chunk engine.Chunk, more bool) error {
	if more && g.bufferingSink != nil {
		return g.bufferingSink.BufferChunk(chunk)
	}
	return g.sink.WriteChunk(chunk)
}
