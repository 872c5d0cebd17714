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
	// appendTimeout bounds an append whose context has no earlier deadline: a log
	// that is slower is treated as one that lost the answer.
	appendTimeout = 5 * time.Second
	// readGrace is what a read may take beyond its own wait.
	readGrace = 5 * time.Second
)

// Client reaches the log service over HTTP. It never sends an append twice.
type Client struct {
	baseURL string
	http    *http.Client
	name    string
}

// NewClient returns a client of the log at baseURL (http://IP:port). A nil
// httpClient means one that connects directly, without a proxy.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = httpjson.DefaultClient()
	}
	// A redirect would send the append a second time to another address.
	direct := *httpClient
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{baseURL: baseURL, http: &direct}
}

// Named returns the same client under a name that the log can see.
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
		return 0, wrap(ErrUnavailable, ctx.Err())
	}
	var sent sentTrace
	ctx = httptrace.WithClientTrace(ctx, sent.trace())
	request, err := c.request(ctx, http.MethodPost, stream, "", data)
	if err != nil {
		return 0, wrap(ErrUnavailable, err)
	}
	answer, err := c.http.Do(request)
	if err != nil && sent.surelyNot() {
		return 0, wrap(ErrUnavailable, err)
	}
	if err != nil {
		return 0, wrap(ErrOutcomeUnknown, err)
	}
	defer answer.Body.Close()
	return appended(answer)
}

// appended reads the answer of an append. Only an answer that by the protocol
// means "nothing stored" gives ErrUnavailable.
func appended(answer *http.Response) (Offset, error) {
	var body AppendAnswer
	err := httpjson.Decode(answer, &body)
	switch answer.StatusCode {
	case http.StatusOK:
		if err != nil || body.Offset == 0 {
			return 0, wrap(ErrOutcomeUnknown, errors.Join(err, errors.New("no offset in the answer")))
		}
		return body.Offset, nil
	case http.StatusRequestEntityTooLarge:
		return 0, wrap(ErrUnavailable, errors.Join(ErrTooLarge, err))
	case http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, wrap(ErrUnavailable, err)
	default:
		return 0, wrap(ErrOutcomeUnknown, err)
	}
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	query := url.Values{
		"from":    {strconv.FormatUint(uint64(from), 10)},
		"max":     {strconv.Itoa(max)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := c.request(ctx, http.MethodGet, stream, query.Encode(), nil)
	if err != nil {
		return Batch{}, wrap(ErrUnavailable, err)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return Batch{}, wrap(ErrUnavailable, err)
	}
	defer answer.Body.Close()
	return readBatch(answer)
}

func readBatch(answer *http.Response) (Batch, error) {
	trimmed := answer.StatusCode == http.StatusGone
	if trimmed {
		// The body is a batch here too.
		answer.StatusCode = http.StatusOK
	}
	var wire WireBatch
	if err := httpjson.Decode(answer, &wire); err != nil {
		return Batch{}, wrap(ErrUnavailable, err)
	}
	if trimmed {
		return DecodeBatch(wire), Error.Wrap(ErrTrimmed)
	}
	return DecodeBatch(wire), nil
}

// request builds a request to a stream's records.
func (c *Client) request(ctx context.Context, method, stream, query string, data []byte) (*http.Request, error) {
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

// sentTrace follows whether any byte of a request can have left. A false "not
// stored" lets a caller decide the same thing twice: it would see the first
// record appear after it had told its own caller "not run". So everything but a
// connection that never came about counts as sent.
//
// The transport asks for a second connection only when it wrote nothing to the
// first one (a POST without an idempotency key is otherwise never repeated), so
// the newest connection alone decides.
type sentTrace struct {
	// waiting is set while the transport looks for a connection and has none.
	waiting atomic.Bool
}

func (s *sentTrace) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { s.waiting.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { s.waiting.Store(false) },
	}
}

// surelyNot tells that no byte of the request left.
func (s *sentTrace) surelyNot() bool { return s.waiting.Load() }

func wrap(class, cause error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", class, cause))
}

var _ Log = (*Client)(nil)
