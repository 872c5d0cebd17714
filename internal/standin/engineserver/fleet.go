package engineserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"bergamotreel/engine"
)

// Fleet is an engine.Client over engines in the same process, in place of HTTP.
// It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	engines map[string]*Engine
	cut     map[string]bool
}

var _ engine.Client = (*Fleet)(nil)

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{engines: map[string]*Engine{}, cut: map[string]bool{}}
}

// Put makes the engine reachable under the address.
func (f *Fleet) Put(address string, e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[address] = e
}

// Engine returns the engine of an address, nil if there is none.
func (f *Fleet) Engine(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[address]
}

// Cut separates an address from this client, or joins it again: new calls fail
// with engine.ErrNotSent. Calls under way go on.
func (f *Fleet) SetUnreachable(address string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[address] = cut
}

// reach finds an engine that can be connected to.
func (f *Fleet) reach(ctx context.Context, address string) (*Engine, error) {
	f.mu.Lock()
	e, ok := f.engines[address]
	cut := f.cut[address]
	f.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, wrap(engine.ErrNotSent, err)
	}
	if !ok || cut || !e.isUp() {
		return nil, wrap(engine.ErrNotSent, errDown)
	}
	return e, nil
}

func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// Status implements engine.Client.
func (f *Fleet) Status(ctx context.Context, address string) (engine.Status, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return engine.Status{}, err
	}
	status, err := e.Status(ctx)
	return status, translate(err)
}

// Order implements engine.Client.
func (f *Fleet) Order(ctx context.Context, address string, order engine.Order) (engine.Status, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return engine.Status{}, err
	}
	status, err := e.Order(ctx, order)
	if err != nil {
		return engine.Status{}, translate(err)
	}
	return status, nil
}

// Generate implements engine.Client.
func (f *Fleet) Generate(ctx context.Context, address string, request engine.Request) (engine.Stream, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	reading, err := e.Generate(ctx, request)
	if err != nil {
		return nil, translate(err)
	}
	return newFleetStream(ctx, reading, request.ID, 1), nil
}

// Resume implements engine.Client.
func (f *Fleet) Resume(ctx context.Context, address string, id string, from uint64) (engine.Stream, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	reading, err := e.Resume(ctx, id, from)
	if err != nil {
		return nil, translate(err)
	}
	return newFleetStream(ctx, reading, id, from), nil
}

// Cancel implements engine.Client.
func (f *Fleet) Cancel(ctx context.Context, address string, id string) error {
	e, err := f.reach(ctx, address)
	if err != nil {
		return err
	}
	return translate(e.Cancel(ctx, id))
}

// CacheEvents implements engine.Client.
func (f *Fleet) CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	events, err := e.CacheEvents(ctx, after)
	return events, translate(err)
}

// ExportKV implements engine.Client.
func (f *Fleet) ExportKV(ctx context.Context, address string, id string) ([]byte, error) {
	e, err := f.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	data, err := e.ExportKV(ctx, id)
	return data, translate(err)
}

// ImportKV implements engine.Client.
func (f *Fleet) ImportKV(ctx context.Context, address string, id string, data []byte) error {
	e, err := f.reach(ctx, address)
	if err != nil {
		return err
	}
	return translate(e.ImportKV(ctx, id, data))
}

// fleetStream checks what it reads just as the HTTP client does.
type fleetStream struct {
	ctx     context.Context
	cancel  context.CancelFunc
	reading *StreamReader
	check   *engine.Check
	ended   error
}

func newFleetStream(ctx context.Context, reading *StreamReader, id string, from uint64) *fleetStream {
	ctx, cancel := context.WithCancel(ctx)
	return &fleetStream{ctx: ctx, cancel: cancel, reading: reading, check: engine.NewCheck(id, from)}
}

// Next implements engine.Stream.
func (s *fleetStream) Next() (engine.Chunk, error) {
	if s.ended != nil {
		return engine.Chunk{}, s.ended
	}
	chunk, err := s.reading.Next(s.ctx)
	switch {
	case err == nil:
		err = s.check.Take(chunk.Position, chunk.Data)
	case err == io.EOF:
		if broken := s.check.End(chunk.Position); broken != nil {
			err = broken
		}
	default:
		err = wrap(engine.ErrBrokenStream, err)
	}
	s.ended = err
	return chunk, err
}

// Close implements engine.Stream.
func (s *fleetStream) Close() error {
	s.cancel()
	return nil
}

// translate turns the core's errors into those of a client over a network.
func translate(err error) error {
	var refused *refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused):
		return engine.Error.Wrap(err)
	}
	return wrap(engine.ErrOutcomeUnknown, err)
}

func wrap(kind, err error) error {
	return engine.Error.Wrap(fmt.Errorf("%w: %w", kind, err))
}
