// Package sendonce sends an HTTP request at most once and tells truthfully
// whether any byte of it left this process. The clients of backend servers need
// both: a refusal says "not run" only where nothing was sent.
package sendonce

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// dialTimeout bounds connecting: backend servers are milliseconds away, so
	// a second without an answer means "not there".
	dialTimeout = time.Second
	// idleTimeout closes unused connections before a backend server's own limit
	// (commonly 60 s or more) does.
	idleTimeout = 30 * time.Second
	// idleConns is how many unused connections to one backend server are kept.
	maxIdleConnsPerHost = 64
)

// errPoisoned is what a write on a connection meets after its request was
// declared "not sent".
var errWriteDisabled = errors.New("connection belongs to a request given up before it was sent")

// NewClient returns an HTTP client whose connections count what is written. It
// has no overall timeout: callers bound each request by its context.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDial(dialer.DialContext)
}

// Dial makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClientDialing is NewClient over connections from dial.
func NewClientWithDial(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: inner}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleTimeout,
		// The answer goes on as it came.
		DisableCompression: true,
	}}
}

// conn counts the bytes that the operating system took.
type countingConn struct {
	net.Conn

	mu             sync.Mutex
	written        int64
	writing        bool
	writesDisabled bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	c.writing = false
	return n, err
}

func (c *countingConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesDisabled {
		return errWriteDisabled
	}
	c.writing = true
	return nil
}

// total is how many bytes were written so far.
func (c *countingConn) totalWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sentSince tells whether bytes were, or are just being, written after the
// given total. Failure: the request is given up while net/http's writer
// goroutine is about to write it; the caller would be told "not sent" and the
// bytes would leave a moment later. So where the answer is no, the connection
// is closed to all further writes under the same lock.
func (c *countingConn) hasSentSince(total int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written > total {
		return true
	}
	c.writesDisabled = true
	return false
}

// Attempt is one sending of one request.
type Attempt struct {
	mu            sync.Mutex
	started       bool
	sent          bool
	conn          *countingConn
	writtenBefore int64
}

// Trace returns a context whose request the attempt follows.
func (a *Attempt) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.markStarted() },
		GotConn: func(info httptrace.GotConnInfo) { a.setConn(info.Conn) },
	})
}

func (a *Attempt) markStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
}

func (a *Attempt) setConn(inner net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil && a.conn.hasSentSince(a.writtenBefore) {
		a.sent = true
	}
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	counted, ok := inner.(*countingConn)
	if !ok {
		// A connection that does not count: from here on nothing is known.
		a.sent = true
		return
	}
	a.conn = counted
	a.writtenBefore = counted.totalWritten()
}

// Sent tells, after the request failed, whether any byte of it may have left.
// Once it said no, none will. Whatever it cannot follow counts as sent.
func (a *Attempt) MaybeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent || !a.started {
		return true
	}
	return a.conn != nil && a.conn.hasSentSince(a.writtenBefore)
}

// Body returns a request body that net/http cannot send a second time. Failure:
// on a reused connection that breaks before the answer, net/http silently
// repeats requests it takes for idempotent (GET, or with an Idempotency-Key
// header) if their body is absent or can be rewound; a call would run twice. A
// body that is present and has no GetBody is never repeated.
func NewBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// Do sends the request without following redirects. The request's body must
// come from Body and its GetBody must be nil. The second result is whether any
// byte may have left, which matters only beside an error.
func Do(client *http.Client, request *http.Request) (*http.Response, bool, error) {
	ctx := request.Context()
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	noRedirectClient := *client
	noRedirectClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	var attempt Attempt
	answer, err := noRedirectClient.Do(request.WithContext(attempt.Trace(ctx)))
	if err != nil {
		return nil, attempt.MaybeSent(), err
	}
	return answer, true, nil
}
