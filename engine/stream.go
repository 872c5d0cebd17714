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
	// MaxChunkBytes bounds one event of a stream.
	MaxChunkBytes = 1 << 20
	// drainTimeout bounds the wait for the end of the HTTP body after the last event.
	// The connection can be reused only after that. An engine ends the body at once,
	// so the wait is short compared with a caller's timeout.
	drainTimeout = 20 * time.Millisecond
)

var _ PendingStream = (*httpStream)(nil)

// httpStream reads one stream from an HTTP body.
type httpStream struct {
	body    io.ReadCloser
	cancel  context.CancelFunc
	events  *eventReader
	checker *StreamChecker
	endErr  error
	// openStreams is the counter that includes this stream until it is closed.
	openStreams *atomic.Int64
	closed      bool
}

// openStream sends the request of a stream and checks that the answer belongs to
// it.
func (c *HTTPClient) openStream(request *http.Request, id string, from uint64) (Stream, error) {
	ctx, cancel := context.WithCancel(request.Context())
	request = request.WithContext(ctx)
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set("Accept", "text/event-stream")
	client, openStreams := c.selectStreamClient(request)
	response, err := c.send(client, request)
	if err != nil {
		cancel()
		openStreams.Add(-1)
		return nil, err
	}
	if got := response.Header.Get(HeaderRequestID); got != id {
		cancel()
		response.Body.Close()
		openStreams.Add(-1)
		return nil, outcomeUnknown(fmt.Errorf("answer of another request, %q", got))
	}
	events := newEventReader(response.Body)
	return &httpStream{
		body: response.Body, cancel: cancel, events: events, checker: NewStreamChecker(id, from), openStreams: openStreams,
	}, nil
}

// Next implements Stream.
func (s *httpStream) Next() (Chunk, error) {
	if s.endErr != nil {
		return Chunk{}, s.endErr
	}
	chunk, err := s.read()
	if err != nil {
		s.endErr = err
	}
	return chunk, err
}

// HasPending implements PendingStream.
func (s *httpStream) HasPending() bool { return s.endErr == nil && s.events.hasPending() }

func (s *httpStream) read() (Chunk, error) {
	e, err := s.events.next()
	if err == io.EOF {
		return Chunk{}, brokenStream(errors.New("body ended before the end event"))
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
		return Chunk{}, s.checkEnd(position)
	}
	return Chunk{Position: position, Data: e.data}, s.checker.CheckChunk(position, e.data)
}

func (s *httpStream) checkEnd(position uint64) error {
	if err := s.checker.CheckEnd(position); err != nil {
		return err
	}
	return io.EOF
}

// Close implements Stream. It does not cancel the stream on the engine.
func (s *httpStream) Close() error {
	if s.endErr == io.EOF {
		s.drain()
	}
	s.cancel()
	if !s.closed {
		s.closed = true
		s.openStreams.Add(-1)
	}
	return s.body.Close()
}

// drain reads the body to its end so that the connection can be reused.
func (s *httpStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	if _, err := s.events.next(); err == io.EOF {
		return
	}
	// The body didn't end after the last event: close the connection.
	s.cancel()
}
