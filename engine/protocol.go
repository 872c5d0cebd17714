package engine

import "net/http"

// streamsThrough chooses the client of a stream.
func (c *HTTPClient) streamsThrough(request *http.Request) *http.Client {
	if c.multiplexed == nil {
		return c.http
	}
	if _, ok := c.speakers.Load(request.URL.Host); !ok {
		return c.http
	}
	return c.multiplexed
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
