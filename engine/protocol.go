package engine

import (
	"net/http"
	"sync/atomic"
)

// streamsThrough chooses the client of a stream and counts the stream; the
// caller subtracts it from the counter when it ends.
func (c *HTTPClient) streamsThrough(request *http.Request) (*http.Client, *atomic.Int64) {
	through, open := c.http, &c.alone
	if c.speaksHTTP2(request.URL.Host) && c.alone.Load() >= c.own {
		through, open = c.multiplexed, &c.shared
	}
	open.Add(1)
	return through, open
}

func (c *HTTPClient) speaksHTTP2(address string) bool {
	if c.multiplexed == nil {
		return false
	}
	_, ok := c.speakers.Load(address)
	return ok
}

// learn notes what the engine's answer, nil after a failure, says about
// HTTP/2. Failure: another engine takes the address and does not speak it, and
// every stream there fails. So a failed call over HTTP/2 is the last one, until
// the engine says again that it speaks it; a call that was given up here says
// nothing about the engine.
func (c *HTTPClient) learn(through *http.Client, request *http.Request, response *http.Response) {
	switch {
	case c.multiplexed == nil:
	case response == nil && through == c.multiplexed && request.Context().Err() == nil:
		c.speakers.Delete(request.URL.Host)
	case response == nil || through == c.multiplexed:
	case response.Header.Get(HeaderStreamsOver) == StreamsOverHTTP2:
		c.speakers.Store(request.URL.Host, true)
	default:
		c.speakers.Delete(request.URL.Host)
	}
}
