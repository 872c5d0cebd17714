package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"

	"bergamotreel/internal/sendonce"
)

// The header fields of the engine protocol; see docs/interfaces/backends.md.
const (
	// HeaderRequestID carries the request's id in requests and answers.
	HeaderRequestID = "X-Request-Id"
	// HeaderPriority carries the request's priority, a decimal integer.
	HeaderPriority = "X-Priority"
	// HeaderUnit carries the name of the model or adapter that answers.
	HeaderUnit = "X-Unit"
	// HeaderStreamsOver is set in an engine's answers over HTTP/1.1. The value
	// StreamsOverHTTP2 means that the engine also accepts streams over unencrypted
	// HTTP/2.
	HeaderStreamsOver = "X-Streams-Over"
	StreamsOverHTTP2  = "h2c"
)

// The codes of an engine's refusals, in the field "code" of the body.
const (
	CodeStaleToken    = "stale_token"    // 409: Order
	CodeIDConflict    = "id_conflict"    // 409: Generate
	CodeInUse         = "in_use"         // 409: Order
	CodeWrongRole     = "wrong_role"     // 409: Generate
	CodeNoMemory      = "no_memory"      // 507: Order
	CodeNotLoaded     = "not_loaded"     // 404: Generate, Order
	CodeUnknownStream = "unknown_stream" // 404: streams and KV
	CodeBusy          = "busy"           // 429: Generate
	CodeDraining      = "draining"       // 429: Generate
	CodeBadRequest    = "bad_request"    // 400
)

// MaxBodyBytes bounds a JSON answer and an exported KV cache.
const MaxBodyBytes = 256 << 20

// RefusalBody is the JSON body of an engine's refusal.
type RefusalBody struct {
	Code    string `json:"code"`
	Message string `json:"message,omitempty"`
	// Highest is the highest token that the engine has seen, with CodeStaleToken.
	Highest Token `json:"highest,omitempty"`
}

// refusalByCode maps the code of a refusal to its HTTP status and error. Status
// and code must both match: a 404 from an intermediary must not be taken for the
// engine's confirmation that it did nothing.
var refusalByCode = map[string]struct {
	status int
	err    error
}{
	CodeStaleToken:    {http.StatusConflict, ErrStaleToken},
	CodeIDConflict:    {http.StatusConflict, ErrIDConflict},
	CodeInUse:         {http.StatusConflict, ErrInUse},
	CodeWrongRole:     {http.StatusConflict, ErrWrongRole},
	CodeNoMemory:      {http.StatusInsufficientStorage, ErrNoMemory},
	CodeNotLoaded:     {http.StatusNotFound, ErrNotLoaded},
	CodeUnknownStream: {http.StatusNotFound, ErrUnknownStream},
	CodeBusy:          {http.StatusTooManyRequests, ErrBusy},
	CodeDraining:      {http.StatusTooManyRequests, ErrBusy},
	CodeBadRequest:    {http.StatusBadRequest, ErrBadRequest},
}

// HTTPClient is a Client over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	http *http.Client
	// multiplexed is nil if all streams use http.
	multiplexed *http.Client
	// maxDedicatedStreams bounds the streams, over all engines, that use a
	// connection of their own although the engine supports StreamsOverHTTP2.
	maxDedicatedStreams int64
	// dedicatedStreams and sharedStreams count the open streams over http and over
	// multiplexed.
	dedicatedStreams, sharedStreams atomic.Int64
	// http2Addresses holds the addresses whose newest answer announced
	// StreamsOverHTTP2.
	http2Addresses sync.Map
}

var _ Client = (*HTTPClient)(nil)

// NewClient returns a client that sends through httpClient. Only a client from
// sendonce.NewClient (or a wrapper around its transport) can recognize ErrNotSent
// on a reused connection; with any other one each failure after connecting is
// ErrOutcomeUnknown. The httpClient must have no timeout of its own, because
// streams last long; each call is bounded by its context.
func NewClient(httpClient *http.Client) *HTTPClient {
	return &HTTPClient{http: httpClient}
}

// WithMultiplexed returns a client that reads the streams of engines that announce
// StreamsOverHTTP2 through multiplexed, a client from
// sendonce.NewMultiplexedClient: one read of the connection then returns the
// tokens of many streams, and a stream needs no connection of its own.
//
// While fewer than maxDedicatedStreams streams have a dedicated connection, the
// next one gets one as well. Its request and its first token then pass through
// fewer goroutines on both sides, which saves 0.3 ms; its tokens cost more
// processor time, which matters only with many streams.
func (c *HTTPClient) WithMultiplexed(multiplexed *http.Client, maxDedicatedStreams int) *HTTPClient {
	return &HTTPClient{http: c.http, multiplexed: multiplexed, maxDedicatedStreams: int64(maxDedicatedStreams)}
}

// SharedStreams returns how many open streams have no connection of their own.
func (c *HTTPClient) SharedStreams() int { return int(c.sharedStreams.Load()) }

// Status implements Client.
func (c *HTTPClient) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := c.callJSON(ctx, http.MethodGet, makeURL(address, "/v1/status"), nil, &status)
	return status, err
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) (Status, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return Status{}, notSent(err)
	}
	var status Status
	err = c.callJSON(ctx, http.MethodPost, makeURL(address, "/v1/orders"), body, &status)
	return status, err
}

// Generate implements Client.
func (c *HTTPClient) Generate(ctx context.Context, address string, request Request) (Stream, error) {
	httpRequest, err := newRequest(ctx, http.MethodPost, makeURL(address, request.Path), request.Body)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set(HeaderPriority, strconv.Itoa(request.Priority))
	httpRequest.Header.Set(HeaderUnit, request.Unit)
	return c.openStream(httpRequest, request.ID, 1)
}

// Resume implements Client.
func (c *HTTPClient) Resume(ctx context.Context, address string, id string, from uint64) (Stream, error) {
	target := makeURL(address, streamPath(id)) + "?from=" + strconv.FormatUint(from, 10)
	httpRequest, err := newRequest(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, err
	}
	return c.openStream(httpRequest, id, from)
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, address string, id string) error {
	return c.callJSON(ctx, http.MethodDelete, makeURL(address, streamPath(id)), nil, nil)
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	target := makeURL(address, "/v1/cache/events") + "?after=" + strconv.FormatUint(after, 10)
	var events []CacheEvent
	err := c.callJSON(ctx, http.MethodGet, target, nil, &events)
	return events, err
}

// ExportKV implements Client.
func (c *HTTPClient) ExportKV(ctx context.Context, address string, id string) ([]byte, error) {
	return c.call(ctx, http.MethodGet, makeURL(address, kvPath(id)), nil)
}

// ImportKV implements Client.
func (c *HTTPClient) ImportKV(ctx context.Context, address string, id string, data []byte) error {
	_, err := c.call(ctx, http.MethodPut, makeURL(address, kvPath(id)), data)
	return err
}

// callJSON sends the request once and decodes the answer into out unless out is
// nil.
func (c *HTTPClient) callJSON(ctx context.Context, method, target string, body []byte, out any) error {
	answer, err := c.call(ctx, method, target, body)
	if err != nil || out == nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return outcomeUnknown(err)
	}
	return nil
}

// call sends the request once and returns the whole body of a 200 answer.
func (c *HTTPClient) call(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	request, err := newRequest(ctx, method, target, body)
	if err != nil {
		return nil, err
	}
	response, err := c.send(c.http, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if sendonce.IsUnframed(response) {
		return nil, outcomeUnknown(sendonce.ErrUnframed)
	}
	return readBody(response)
}

// send sends the request once and turns every answer but 200 into an error.
func (c *HTTPClient) send(client *http.Client, request *http.Request) (*http.Response, error) {
	response, sent, err := sendonce.Do(client, request)
	c.recordHTTP2Support(client, request, response)
	if err != nil && !sent {
		return nil, notSent(err)
	}
	if err != nil {
		return nil, outcomeUnknown(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	return nil, refusalError(response)
}

func newRequest(ctx context.Context, method, target string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, nil)
	if err != nil {
		return nil, notSent(err)
	}
	if body != nil {
		request.Body = sendonce.NewBody(body)
		request.ContentLength = int64(len(body))
	}
	return request, nil
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, outcomeUnknown(err)
	}
	if len(body) > MaxBodyBytes {
		return nil, outcomeUnknown(fmt.Errorf("answer over %d bytes", MaxBodyBytes))
	}
	return body, nil
}

// refusalError returns the error for an answer that is not 200. An answer without
// a known code doesn't tell whether the engine ran the request.
func refusalError(response *http.Response) error {
	body, err := readBody(response)
	if err != nil {
		return err
	}
	var refused RefusalBody
	if err := json.Unmarshal(body, &refused); err != nil {
		return outcomeUnknown(fmt.Errorf("status %d without a code", response.StatusCode))
	}
	known, ok := refusalByCode[refused.Code]
	if !ok || known.status != response.StatusCode {
		return outcomeUnknown(fmt.Errorf("status %d, code %q", response.StatusCode, refused.Code))
	}
	return Error.Wrap(fmt.Errorf("%w: %s (highest token %d)", known.err, refused.Message, refused.Highest))
}

func notSent(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err))
}

func outcomeUnknown(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
}

func makeURL(address, path string) string {
	return "http://" + address + path
}

func streamPath(id string) string { return "/v1/streams/" + url.PathEscape(id) }

func kvPath(id string) string { return "/v1/kv/" + url.PathEscape(id) }
