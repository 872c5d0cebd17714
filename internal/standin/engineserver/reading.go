package engineserver

import (
	"context"
	"errors"
	"io"

	"bergamotreel/engine"
)

// errBroken says that the stream was broken off: by a crash, a cancellation, a
// hand-over or a fault.
var errBroken = errors.New("stream broken off")

// errEndedEarly says that a fault ends the answer's body in good order.
var errEndedEarly = errors.New("stream ended early")

// Reading is one reader's place in a stream.
type StreamReader struct {
	engine *Engine
	stream *stream
	next   uint64
	given  int
}

func (e *Engine) newReading(s *stream, from uint64) *StreamReader {
	return &StreamReader{engine: e, stream: s, next: from}
}

// Resume reads a stream again from a position on, which counts from 1.
func (e *Engine) Resume(ctx context.Context, id string, from uint64) (*StreamReader, error) {
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	if from == 0 {
		return nil, refuse(engine.CodeBadRequest, engine.ErrBadRequest, "positions count from 1")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return nil, refuse(engine.CodeUnknownStream, engine.ErrUnknownStream, "%s", id)
	}
	return e.newReading(s, from), nil
}

// Next waits for the next chunk. After the whole answer it fails with io.EOF
// and the chunk holds the position of the end.
func (r *StreamReader) Next(ctx context.Context) (engine.Chunk, error) {
	for {
		if err := r.engine.enter(ctx); err != nil {
			return engine.Chunk{}, err
		}
		chunk, changed, err := r.try()
		if changed == nil {
			return chunk, err
		}
		select {
		case <-changed:
		case <-r.stream.broken:
			return r.lastTry()
		case <-ctx.Done():
			return engine.Chunk{}, ctx.Err()
		}
	}
}

// lastTry reads what came before the stream was broken off.
func (r *StreamReader) lastTry() (engine.Chunk, error) {
	chunk, changed, err := r.try()
	if changed != nil {
		return engine.Chunk{}, errBroken
	}
	return chunk, err
}

// try reads without waiting; it returns a channel to wait on if nothing is there.
func (r *StreamReader) try() (engine.Chunk, <-chan struct{}, error) {
	e, s := r.engine, r.stream
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || e.streams[s.request.ID] != s {
		return engine.Chunk{}, nil, errBroken
	}
	if drop := e.faults.DropStreamsAfter; drop > 0 && r.given >= drop {
		return engine.Chunk{}, nil, r.dropError()
	}
	if r.next > uint64(len(s.chunks)) {
		if s.whole {
			return engine.Chunk{Position: uint64(len(s.chunks)) + 1}, nil, io.EOF
		}
		return engine.Chunk{}, s.changed, nil
	}
	chunk := engine.Chunk{Position: r.next, Data: s.chunks[r.next-1]}
	if e.faults.ForeignChunkPosition == r.next {
		chunk.Data = foreignChunk(s)
	}
	r.next++
	r.given++
	return chunk, nil, nil
}

func (r *StreamReader) dropError() error {
	if r.engine.faults.EndStreamsEarly {
		return errEndedEarly
	}
	return errBroken
}

// foreignChunk is a well-formed chunk of a stream that is not s.
func foreignChunk(s *stream) []byte {
	other := *s
	other.request.ID += "-other"
	return other.tokenChunk(0)
}
