package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"strconv"
	"time"

	sse "github.com/tmaxmax/go-sse"
)

const (
	// MaxChunk bounds one event of a stream, in bytes.
	MaxChunk = 1 << 20
	// doneData is the data of the event that ends a whole answer.
	doneData = "[DONE]"
	// drainTimeout bounds waiting for the end of the HTTP body after the last
	// event. Only then can the connection be used again; an engine closes the
	// body at once, so this never comes near a caller's time.
	drainTimeout = 20 * time.Millisecond
)

// httpStream reads one stream from an HTTP body.
type httpStream struct {
	body   io.ReadCloser
	cancel context.CancelFunc
	next   func() (sse.Event, error, bool)
	stop   func()
	check  *Check
	ended  error
}

// open sends the request of a stream and checks whose stream the answer is.
func (c *HTTPClient) open(request *http.Request, id string, from uint64) (Stream, error) {
	ctx, cancel := context.WithCancel(request.Context())
	request = request.WithContext(ctx)
	request.Header.Set(HeaderRequestID, id)
	request.Header.Set("Accept", "text/event-stream")
	response, err := c.send(request)
	if err != nil {
		cancel()
		return nil, err
	}
	if got := response.Header.Get(HeaderRequestID); got != id {
		cancel()
		response.Body.Close()
		return nil, outcomeUnknown(fmt.Errorf("answer of another request, %q", got))
	}
	config := &sse.ReadConfig{MaxEventSize: MaxChunk}
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](sse.Read(response.Body, config)))
	return &httpStream{body: response.Body, cancel: cancel, next: next, stop: stop, check: NewCheck(id, from)}, nil
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

func (s *httpStream) read() (Chunk, error) {
	event, err, ok := s.next()
	if err != nil {
		return Chunk{}, brokenStream(err)
	}
	if !ok {
		return Chunk{}, brokenStream(errors.New("body ended before the answer"))
	}
	if event.Type != "" {
		return Chunk{}, brokenStream(fmt.Errorf("event %q: %s", event.Type, event.Data))
	}
	position, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return Chunk{}, brokenStream(err)
	}
	if event.Data == doneData {
		return Chunk{}, s.end(position)
	}
	data := []byte(event.Data)
	return Chunk{Position: position, Data: data}, s.check.Take(position, data)
}

func (s *httpStream) end(position uint64) error {
	if err := s.check.End(position); err != nil {
		return err
	}
	return io.EOF
}

// Close implements Stream. It does not cancel the stream on the engine.
func (s *httpStream) Close() error {
	if s.ended == io.EOF {
		s.drain()
	}
	s.stop()
	s.cancel()
	return s.body.Close()
}

// drain reads the body to its end, so that the connection can be used again.
func (s *httpStream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _, more := s.next()
	if !more {
		return
	}
	// Something follows the end: the connection is not fit for use.
	s.cancel()
}
