package engine

import (
	"net/http"
	"sync/atomic"
)

// selectStreamClient selects the HTTP client for a stream and counts the stream;
// the caller decrements the returned counter when the stream ends.
func (c *HTTPClient) selectStreamClient(request *http.Request) (*http.Client, *atomic.Int64) {
	client, openStreams := c.http, &c.dedicatedStreams
	if c.supportsHTTP2(request.URL.Host) && c.dedicatedStreams.Load() >= c.maxDedicatedStreams {
		client, openStreams = c.multiplexed, &c.sharedStreams
	}
	openStreams.Add(1)
	return client, openStreams
}

func (c *HTTPClient) supportsHTTP2(address string) bool {
	if c.multiplexed == nil {
		return false
	}
	_, ok := c.http2Addresses.Load(address)
	return ok
}

// recordHTTP2Support records whether the engine supports HTTP/2 according to its
// answer, nil after a failure. An engine without HTTP/2 may take over the address,
// and every stream to it would fail. So a failed call over HTTP/2 disables HTTP/2
// for the address until an answer announces it again. A call whose context ended
// says nothing about the engine.
func (c *HTTPClient) recordHTTP2Support(client *http.Client, request *http.Request, response *http.Response) {
	switch {
	case c.multiplexed == nil:
	case response == nil && client == c.multiplexed && request.Context().Err() == nil:
		c.http2Addresses.Delete(request.URL.Host)
	case response == nil || client == c.multiplexed:
	case response.Header.Get(HeaderStreamsOver) == StreamsOverHTTP2:
		c.http2Addresses.Store(request.URL.Host, true)
	default:
		c.http2Addresses.Delete(request.URL.Host)
	}
}
