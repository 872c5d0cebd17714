package engineserver

import (
	"context"
	"errors"
	"io"

	"bergamotreel/engine"
)

// errAborted means that the stream was aborted by a crash, a cancellation, the
// export of its KV cache or a fault.
var errAborted = errors.New("stream aborted")

// errEndedEarly means that a fault ends the answer's body cleanly but too early.
var errEndedEarly = errors.New("stream ended early")

// StreamReader reads the chunks of one stream from a position on.
type StreamReader struct {
	engine       *Engine
	stream       *stream
	nextPosition uint64
	delivered    int
}

func (e *Engine) newStreamReader(s *stream, from uint64) *StreamReader {
	return &StreamReader{engine: e, stream: s, nextPosition: from}
}

// Resume returns a reader of an existing stream that starts at position from;
// positions count from 1.
func (e *Engine) Resume(ctx context.Context, id string, from uint64) (*StreamReader, error) {
	if err := e.waitUntilRunning(ctx); err != nil {
		return nil, err
	}
	if from == 0 {
		return nil, newRefusal(engine.CodeBadRequest, engine.ErrBadRequest, "positions count from 1")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, newRefusal(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s", id)
	}
	return e.newStreamReader(s, from), nil
}

// Next waits for the next chunk and returns it. After the last chunk it returns
// io.EOF and a chunk that holds only the position of the end.
func (r *StreamReader) Next(ctx context.Context) (engine.Chunk, error) {
	for {
		if err := r.engine.waitUntilRunning(ctx); err != nil {
			return engine.Chunk{}, err
		}
		chunk, changed, err := r.tryNext()
		if changed == nil {
			return chunk, err
		}
		select {
		case <-changed:
		case <-r.stream.aborted:
			return r.readRemaining()
		case <-ctx.Done():
			return engine.Chunk{}, ctx.Err()
		}
	}
}

// readRemaining reads a chunk that was added before the stream was aborted, and
// returns errAborted if there is none.
func (r *StreamReader) readRemaining() (engine.Chunk, error) {
	chunk, changed, err := r.tryNext()
	if changed != nil {
		return engine.Chunk{}, errAborted
	}
	return chunk, err
}

// tryNext reads without waiting. If there is no chunk yet it returns a channel
// that is closed on the stream's next change.
func (r *StreamReader) tryNext() (engine.Chunk, <-chan struct{}, error) {
	e, s := r.engine, r.stream
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.streams[s.request.ID] != s {
		return engine.Chunk{}, nil, errAborted
	}
	if maxChunks := e.faults.DropStreamsAfter; maxChunks > 0 && r.delivered >= maxChunks {
		return engine.Chunk{}, nil, r.dropError()
	}
	if r.nextPosition > uint64(len(s.chunks)) {
		if s.complete {
			return engine.Chunk{Position: uint64(len(s.chunks)) + 1}, nil, io.EOF
		}
		return engine.Chunk{}, s.changed, nil
	}
	chunk := engine.Chunk{Position: r.nextPosition, Data: s.chunks[r.nextPosition-1]}
	if e.faults.ForeignChunkPosition == r.nextPosition {
		chunk.Data = newForeignChunk(s)
	}
	r.nextPosition++
	r.delivered++
	return chunk, nil, nil
}

func (r *StreamReader) dropError() error {
	if r.engine.faults.EndStreamsEarly {
		return errEndedEarly
	}
	return errAborted
}

// newForeignChunk returns a well-formed chunk of a stream other than s.
func newForeignChunk(s *stream) []byte {
	other := *s
	other.request.ID += "-other"
	return other.newTokenChunk(0)
}
