package engineserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"

	"bergamotreel/engine"
)

// InMemoryClient is an engine.Client that calls engines of the same process directly
// instead of over HTTP. It is safe for concurrent use.
type InMemoryClient struct {
	mu          sync.Mutex
	engines     map[string]*Engine
	unreachable map[string]bool
}

var _ engine.Client = (*InMemoryClient)(nil)

// NewInMemoryClient returns a client without engines.
func NewInMemoryClient() *InMemoryClient {
	return &InMemoryClient{engines: map[string]*Engine{}, unreachable: map[string]bool{}}
}

// Put makes the engine reachable under the address.
func (c *InMemoryClient) Put(address string, e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines[address] = e
}

// Engine returns the engine at an address, or nil if there is none.
func (c *InMemoryClient) Engine(address string) *Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[address]
}

// SetUnreachable sets whether this client can connect to an address. While it
// cannot, new calls fail with engine.ErrNotSent; calls in flight continue.
func (c *InMemoryClient) SetUnreachable(address string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[address] = unreachable
}

// findReachable returns the engine at an address. It returns engine.ErrNotSent if
// ctx has ended or a connection to the engine would fail.
func (c *InMemoryClient) findReachable(ctx context.Context, address string) (*Engine, error) {
	c.mu.Lock()
	e, ok := c.engines[address]
	unreachable := c.unreachable[address]
	c.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, wrapError(engine.ErrNotSent, err)
	}
	if !ok || unreachable || !e.isUp() {
		return nil, wrapError(engine.ErrNotSent, errDown)
	}
	return e, nil
}

func (e *Engine) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// Status implements engine.Client.
func (c *InMemoryClient) Status(ctx context.Context, address string) (engine.Status, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return engine.Status{}, err
	}
	status, err := e.Status(ctx)
	return status, toClientError(err)
}

// Order implements engine.Client.
func (c *InMemoryClient) Order(ctx context.Context, address string, order engine.Order) (engine.Status, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return engine.Status{}, err
	}
	status, err := e.Order(ctx, order)
	if err != nil {
		return engine.Status{}, toClientError(err)
	}
	return status, nil
}

// Generate implements engine.Client.
func (c *InMemoryClient) Generate(ctx context.Context, address string, request engine.Request) (engine.Stream, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return nil, err
	}
	reader, err := e.Generate(ctx, request)
	if err != nil {
		return nil, toClientError(err)
	}
	return newFleetStream(ctx, reader, request.ID, 1), nil
}

// Resume implements engine.Client.
func (c *InMemoryClient) Resume(ctx context.Context, address string, id string, from uint64) (engine.Stream, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return nil, err
	}
	reader, err := e.Resume(ctx, id, from)
	if err != nil {
		return nil, toClientError(err)
	}
	return newFleetStream(ctx, reader, id, from), nil
}

// Cancel implements engine.Client.
func (c *InMemoryClient) Cancel(ctx context.Context, address string, id string) error {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return err
	}
	return toClientError(e.Cancel(ctx, id))
}

// CacheEvents implements engine.Client.
func (c *InMemoryClient) CacheEvents(ctx context.Context, address string, after uint64) ([]engine.CacheEvent, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return nil, err
	}
	events, err := e.CacheEvents(ctx, after)
	return events, toClientError(err)
}

// ExportKV implements engine.Client.
func (c *InMemoryClient) ExportKV(ctx context.Context, address string, id string) ([]byte, error) {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return nil, err
	}
	data, err := e.ExportKV(ctx, id)
	return data, toClientError(err)
}

// ImportKV implements engine.Client.
func (c *InMemoryClient) ImportKV(ctx context.Context, address string, id string, data []byte) error {
	e, err := c.findReachable(ctx, address)
	if err != nil {
		return err
	}
	return toClientError(e.ImportKV(ctx, id, data))
}

// fleetStream validates the chunks that it reads just as the HTTP client does.
type fleetStream struct {
	ctx    context.Context
	cancel context.CancelFunc
	reader *StreamReader
	check  *engine.StreamChecker
	endErr error
}

func newFleetStream(ctx context.Context, reader *StreamReader, id string, from uint64) *fleetStream {
	ctx, cancel := context.WithCancel(ctx)
	return &fleetStream{ctx: ctx, cancel: cancel, reader: reader, check: engine.NewStreamChecker(id, from)}
}

// Next implements engine.Stream.
func (s *fleetStream) Next() (engine.Chunk, error) {
	if s.endErr != nil {
		return engine.Chunk{}, s.endErr
	}
	chunk, err := s.reader.Next(s.ctx)
	switch {
	case err == nil:
		err = s.check.CheckChunk(chunk.Position, chunk.Data)
	case err == io.EOF:
		if checkErr := s.check.CheckEnd(chunk.Position); checkErr != nil {
			err = checkErr
		}
	default:
		err = wrapError(engine.ErrBrokenStream, err)
	}
	s.endErr = err
	return chunk, err
}

// Close implements engine.Stream.
func (s *fleetStream) Close() error {
	s.cancel()
	return nil
}

// toClientError converts an error of Engine to the one that a network client
// returns: a refusal stays as it is, any other error is ErrOutcomeUnknown.
func toClientError(err error) error {
	var refusalErr *refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusalErr):
		return engine.Error.Wrap(err)
	}
	return wrapError(engine.ErrOutcomeUnknown, err)
}

func wrapError(kind, err error) error {
	return engine.Error.Wrap(fmt.Errorf("%w: %w", kind, err))
}
