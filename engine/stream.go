package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// MaxChunk bounds one event of a stream, in bytes.
	MaxChunkBytes = 1 << 20
	// drainTimeout bounds waiting for the end of the HTTP body after the last
	// event. Only then can the connection be used again; an engine closes the
	// body at once, so this never comes near a caller's time.
	drainTimeout = 20 * time.Millisecond
)

var _ PendingStream = (*httpStream)(nil)

// httpStream reads one stream from an HTTP body.
type httpStream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	events *eventReader
	check  *StreamChecker
	ended  error
	// open counts this stream until closed.
	open   *atomic.Int64
	closed bool
}

// open sends the request of a stream and checks whose stream the answer is.
func (c *HTTPClient) open(request *http.Request, id string, from uint64) (Stream, error) {
	ctx, cancel := context.WithCancel(request.Context())
	request = request.WithContext(ctx)
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set("Accept", "text/event-stream")
	through, open := c.streamsThrough(request)
	response, err := c.send(through, request)
	if err != nil {
		cancel()
		open.Add(-1)
		return nil, err
	}
	if got := response.Header.Get(HeaderRequestID); got != id {
		cancel()
		response.Body.Close()
		open.Add(-1)
		return nil, outcomeUnknown(fmt.Errorf("answer of another request, %q", got))
	}
	events := newEventReader(response.Body)
	return &httpStream{
		body: response.Body, cancel: cancel, events: events, check: NewStreamChecker(id, from), open: open,
	}, nil
}

// Next implements Stream.
func (s *httpStream) Next() (Chunk, error) {
	if s.ended != nil {
		return Chunk{}, s.ended
	}
	chunk, err := s.read()
	if err != nil {
		s.ended = err
	}
	return chunk, err
}

// Pending implements Pending.
func (s *httpStream) HasPending() bool { return s.ended == nil && s.events.pending() }

func (s *httpStream) read() (Chunk, error) {
	e, err := s.events.next()
	if err == io.EOF {
		return Chunk{}, brokenStream(errors.New("body ended before the answer"))
	}
	if err != nil {
		return Chunk{}, brokenStream(err)
	}
	if e.name != "" {
		return Chunk{}, brokenStream(fmt.Errorf("event %q: %s", e.name, e.data))
	}
	position, err := strconv.ParseUint(string(e.id), 10, 64)
	if err != nil {
		return Chunk{}, brokenStream(err)
	}
	if string(e.data) == doneData {
		return Chunk{}, s.end(position)
	}
	return Chunk{Position: position, Data: e.data}, s.check.CheckChunk(position, e.data)
}

func (s *httpStream) end(position uint64) error {
	if err := s.check.CheckEnd(position); err != nil {
		return err
	}
	return io.EOF
}

// Close implements Stream. It does not cancel the stream on the engine.
func (s *httpStream) Close() error {
	if s.ended == io.EOF {
		s.drain()
	}
	s.cancel()
	if !s.closed {
		s.closed = true
		s.open.Add(-1)
	}
	return s.body.Close()
}

// drain reads the body to its end, so that the connection can be used again.
func (s *httpStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	if _, err := s.events.next(); err == io.EOF {
		return
	}
	// Something follows the end: the connection is not fit for use.
	s.cancel()
}
