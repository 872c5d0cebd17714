package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bergamotreel/internal/sendonce"
)

const (
	// HeaderRequestID carries the request's id.
	HeaderRequestID = "X-Request-Id"
	// MaxAnswerBytes bounds the body of an answer.
	MaxAnswerBytes = 64 << 20
)

// hopByHopHeaders are the header fields that apply to one connection and are not
// forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// HTTPClient is a Client over HTTP. It is safe for concurrent use.
type HTTPClient struct {
	http *http.Client
}

var _ Client = (*HTTPClient)(nil)

// NewClient returns a client that sends through httpClient. Only a client from
// sendonce.NewClient (or a wrapper around its transport) can recognize ErrNotSent
// on a reused connection; with any other one each failure after connecting is
// ErrOutcomeUnknown.
func NewClient(httpClient *http.Client) *HTTPClient {
	return &HTTPClient{http: httpClient}
}

// Do implements Client. It returns every complete HTTP answer, whatever its
// status, as an Answer.
func (c *HTTPClient) Do(ctx context.Context, address string, call Call) (Answer, error) {
	request, err := newRequest(ctx, address, call)
	if err != nil {
		return Answer{}, notSent(err)
	}
	response, sent, err := sendonce.Do(c.http, request)
	if err != nil && !sent {
		return Answer{}, notSent(err)
	}
	if err != nil {
		return Answer{}, outcomeUnknown(err)
	}
	defer response.Body.Close()
	if sendonce.IsUnframed(response) {
		return Answer{}, outcomeUnknown(sendonce.ErrUnframed)
	}
	body, err := io.ReadAll(io.LimitReader(&reservingReader{response.Body, call.ReserveAnswer}, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, outcomeUnknown(err)
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, outcomeUnknown(fmt.Errorf("answer over %d bytes", MaxAnswerBytes))
	}
	return Answer{Status: response.StatusCode, Header: endToEndHeader(response.Header), Body: body}, nil
}

// errAnswerMemory reports that there is no memory for an answer.
var errAnswerMemory = errors.New("too many bytes of answers are held")

// reservingReader reserves memory for what it reads.
type reservingReader struct {
	source  io.Reader
	reserve func(n int64) bool
}

func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 && r.reserve != nil && !r.reserve(int64(n)) {
		return 0, errAnswerMemory
	}
	return n, err
}

func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, nil)
	if err != nil {
		return nil, err
	}
	if request.URL.Host != address {
		return nil, fmt.Errorf("path %q does not start with a slash", call.Path)
	}
	request.Header = endToEndHeader(call.Header)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Body = sendonce.NewBody(call.Body)
	request.ContentLength = int64(len(call.Body))
	return request, nil
}

// endToEndHeader returns a copy of the header without the hop-by-hop fields. It
// never returns nil.
func endToEndHeader(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = http.Header{}
	}
	StripHopByHopHeaders(copied)
	return copied
}

// StripHopByHopHeaders removes the hop-by-hop fields from a header: the standard ones
// and those that the field Connection names.
func StripHopByHopHeaders(header http.Header) {
	// Read Connection before the loop below removes it.
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

func notSent(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrNotSent, err))
}

func outcomeUnknown(err error) error {
	return Error.Wrap(fmt.Errorf("%w: %w", ErrOutcomeUnknown, err))
}
