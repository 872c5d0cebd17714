package platformlog

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"bergamotreel/internal/httpjson"
)

const (
	// appendTimeout bounds an append whose context has no earlier deadline. A log
	// that takes longer is treated as if its answer were lost.
	appendTimeout = 5 * time.Second
	// readTimeoutMargin is the time that a read may take in addition to its wait.
	readTimeoutMargin = 5 * time.Second
)

// Client accesses the log service over HTTP. It never sends an append twice.
type Client struct {
	baseURL string
	http    *http.Client
	name    string
}

// NewClient returns a client for the log at baseURL (http://IP:port). A nil
// httpClient selects one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	// Following a redirect would send the append a second time, to another address.
	direct := *httpClient
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: baseURL, http: &direct}
}

// WithName returns a copy of the client that sends the name to the log with each
// request.
func (c *Client) WithName(name string) *Client {
	named := *c
	named.name = name
	return &named
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if ctx.Err() != nil {
		return 0, wrapError(ErrUnavailable, ctx.Err())
	}
	var sent connectionTrace
	ctx = httptrace.WithClientTrace(ctx, sent.clientTrace())
	request, err := c.newRequest(ctx, http.MethodPost, stream, "", data)
	if err != nil {
		return 0, wrapError(ErrUnavailable, err)
	}
	answer, err := c.http.Do(request)
	if err != nil && sent.isNotSent() {
		return 0, wrapError(ErrUnavailable, err)
	}
	if err != nil {
		return 0, wrapError(ErrOutcomeUnknown, err)
	}
	defer answer.Body.Close()
	return decodeAppendAnswer(answer)
}

// decodeAppendAnswer decodes the answer to an append. It returns ErrUnavailable
// only for a status that by the protocol means that nothing was stored.
func decodeAppendAnswer(answer *http.Response) (Offset, error) {
	var body AppendAnswer
	err := httpjson.Decode(answer, &body)
	switch answer.StatusCode {
	case http.StatusOK:
		if err != nil || body.Offset == 0 {
			return 0, wrapError(ErrOutcomeUnknown, errors.Join(err, errors.New("no offset in the answer")))
		}
		return body.Offset, nil
	case http.StatusRequestEntityTooLarge:
		return 0, wrapError(ErrUnavailable, errors.Join(ErrTooLarge, err))
	case http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, wrapError(ErrUnavailable, err)
	default:
		return 0, wrapError(ErrOutcomeUnknown, err)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := c.newRequest(ctx, http.MethodGet, stream, query.Encode(), nil)
	if err != nil {
		return Batch{}, wrapError(ErrUnavailable, err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return Batch{}, wrapError(ErrUnavailable, err)
	}
	defer answer.Body.Close()
	return decodeReadAnswer(answer)
}

func decodeReadAnswer(answer *http.Response) (Batch, error) {
	trimmed := answer.StatusCode == http.StatusGone
	if trimmed {
		// The body of a 410 answer is a batch too; Decode accepts only 200.
		answer.StatusCode = http.StatusOK
	}
	var wire WireBatch
	if err := httpjson.Decode(answer, &wire); err != nil {
		return Batch{}, wrapError(ErrUnavailable, err)
	}
	if trimmed {
		return DecodeBatch(wire), Error.Wrap(ErrTrimmed)
	}
	return DecodeBatch(wire), nil
}

// newRequest returns a request for the records of a stream.
func (c *Client) newRequest(ctx context.Context, method, stream, query string, data []byte) (*http.Request, error) {
	address := c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
	if query != "" {
		address += "?" + query
	}
	var body io.Reader
	if data != nil {
		body = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, address, body)
	if err != nil {
		return nil, err
	}
	if c.name != "" {
		request.Header.Set(ClientHeader, c.name)
	}
	return request, nil
}

// connectionTrace records whether any byte of a request can have been sent. If an
// append were wrongly reported as not stored, its caller could make the same
// decision twice: the first record would appear in the stream after the caller had
// reported "not run". So a request counts as unsent only if no connection was ever
// established.
//
// The transport requests a second connection only if it wrote nothing to the
// first one (it never repeats a POST without an idempotency key otherwise), so
// the state of the newest connection is sufficient.
type connectionTrace struct {
	// waitingForConnection is set while the transport waits for a connection.
	waitingForConnection atomic.Bool
}

func (s *connectionTrace) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { s.waitingForConnection.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.waitingForConnection.Store(false) },
	}
}

// isNotSent reports whether certainly no byte of the request was sent.
func (s *connectionTrace) isNotSent() bool { return s.waitingForConnection.Load() }

func wrapError(class, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", class, cause))
}

var _ Log = (*Client)(nil)
