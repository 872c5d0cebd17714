// Package sendonce sends an HTTP request at most once and reports whether any
// byte of it may have left this process. The clients of backend servers need
// both: a refusal may say "not run" only if nothing was sent.
package sendonce

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/internal/tcpdial"
)

const (
	// dialTimeout limits connecting. Backend servers are milliseconds away, so
	// one that has not answered after a second is unreachable.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeout of backend servers (commonly
	// 60 s or more), so that this side closes unused connections first.
	idleTimeout = 30 * time.Second
	// maxIdleConnsPerHost limits the unused connections kept to one backend
	// server.
	maxIdleConnsPerHost = 64
	// MaxHeadBytes limits the head of an answer, together with the interim answers
	// before it. A faulty peer may send bytes without end, on many connections at once.
	MaxHeadBytes = 32 << 10
)

// ErrInvalidAnswer reports that a peer sent bytes that are no answer, a head that is
// cut off within a line or over MaxHeadBytes, or a status that ends no request.
var ErrInvalidAnswer = errors.New("invalid answer")

// ErrSameConnection reports that a request was not sent because its connection had carried it before.
var ErrSameConnection = errors.New("the connection has carried this request before")

var invalidAnswers = metrics.NewCounter("bergamotreel_invalid_answers_total")

// errWriteDisabled is returned by writes on a connection after its request was
// reported as not sent.
var errWriteDisabled = errors.New("writes disabled: the connection's request was abandoned before it was sent")

// NewClient returns an HTTP client whose connections count the bytes written. It
// has no overall timeout: callers limit each request by its context.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return NewClientWithDial(dialer.DialContext)
}

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClientWithDial returns a client like NewClient that makes its connections
// with dial.
func NewClientWithDial(dial DialFunc) *http.Client {
	return NewClientWithIdleTimeout(dial, idleTimeout)
}

// NewSingleUseClient returns a client like NewClientWithDial that makes a connection for each request, so that no
// late answer to an earlier request can be taken for the answer to the next one. It is for peers whose answers don't
// name their request.
func NewSingleUseClient(dial DialFunc) *http.Client {
	transport := newTransport(dial, idleTimeout)
	transport.DisableKeepAlives = true
	return &http.Client{Transport: CheckAnswers(transport)}
}

// NewClientWithIdleTimeout returns a client like NewClientWithDial that closes
// connections which have been unused for idle. Nothing of a request
// that was abandoned leaves this machine after its end; what has reached the server's machine may be read later.
func NewClientWithIdleTimeout(dial DialFunc, idle time.Duration) *http.Client {
	return &http.Client{Transport: CheckAnswers(newTransport(dial, idle))}
}

func newTransport(dial DialFunc, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if err := tcpdial.DiscardOnClose(inner); err != nil {
				_ = inner.Close()
				return nil, err
			}
			return &countingConn{scannedConn: scannedConn{Conn: inner}}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idle,
		// Answers are forwarded unchanged.
		DisableCompression:     true,
		MaxResponseHeaderBytes: MaxHeadBytes,
	}
}

// countingConn counts the bytes that the operating system accepted.
type countingConn struct {
	scannedConn

	mu             sync.Mutex
	written        int64
	writing        bool
	writesDisabled bool
	// answeredAt is when the first byte of the first answer was received, zero before.
	answeredAt time.Time
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

// markAnswered records that an answer has begun.
func (c *countingConn) markAnswered(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answeredAt.IsZero() {
		c.answeredAt = now
	}
}

// firstAnswerAt returns when the first answer began, zero before that.
func (c *countingConn) firstAnswerAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredAt
}

// totalWritten returns how many bytes were written so far.
func (c *countingConn) totalWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// hasSentSince reports whether bytes were written after the given total, or are
// being written. If not, it disables all further writes under the same lock.
// Otherwise net/http's writer goroutine could write an abandoned request after
// it was reported as not sent.
func (c *countingConn) hasSentSince(total int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written > total {
		return true
	}
	c.writesDisabled = true
	return false
}

// Attempt tracks one sending of one request.
type Attempt struct {
	mu      sync.Mutex
	started bool
	sent    bool
	// answered is whether any byte of an answer was received.
	answered      bool
	conn          *countingConn
	writtenBefore int64
	// sendings tracks all sendings of the request. refusedConn is whether the connection had carried it
	// before, so that nothing is sent.
	sendings    *Sendings
	refusedConn bool
}

// Trace returns a context for the request that the attempt tracks.
func (a *Attempt) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn:              func(string) { a.markStarted() },
		GotConn:              a.setConn,
		GotFirstResponseByte: func() { a.markAnswered() },
	})
}

func (a *Attempt) markStarted() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = true
}

func (a *Attempt) markAnswered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = true
	if a.conn != nil {
		a.conn.markAnswered(time.Now())
	}
}

// isInvalidAnswer reports whether the error that ended the attempt is about the bytes that were
// received, and not about the connection or the request's context.
func (a *Attempt) isInvalidAnswer(err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	var connection net.Error
	return a.answered && !errors.As(err, &connection) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

func (a *Attempt) setConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	repeated := a.conn != nil && a.conn.hasSentSince(a.writtenBefore)
	if repeated {
		a.sent = true
		repeatsByTransport.Inc()
	}
	inner := info.Conn
	if secure, ok := inner.(*tls.Conn); ok {
		inner = secure.NetConn()
	}
	counted, ok := inner.(*countingConn)
	if !ok {
		// The connection does not count bytes, so the request may have been sent.
		a.sent = true
		return
	}
	a.conn = counted
	a.writtenBefore = counted.totalWritten()
	if a.sendings != nil && !a.sendings.addConn(counted, info, repeated) {
		a.refusedConn = !counted.hasSentSince(a.writtenBefore) // disables writes, so that net/http closes it
	}
}

// MaybeSent reports, after the request failed, whether any byte of it may have
// left. After it returned false, none will. A request that it cannot track
// counts as sent.
func (a *Attempt) MaybeSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sent || !a.started {
		return true
	}
	return a.conn != nil && a.conn.hasSentSince(a.writtenBefore)
}

// NewBody returns a request body that net/http cannot send a second time. If a
// reused connection breaks before the answer, net/http silently repeats requests
// that it considers idempotent (GET, or with an Idempotency-Key header) if their
// body is absent or can be rewound, and a call would run twice. It never repeats
// a request whose body is present and has no GetBody.
func NewBody(data []byte) io.ReadCloser {
	return io.NopCloser(bytes.NewReader(data))
}

// Do sends the request without following redirects. The request's body must
// come from NewBody, or there is none, and its GetBody is not used. The second result is whether
// any byte may have left; it is meaningful only with an error. Bytes that are no
// answer fail with ErrInvalidAnswer. With Sendings, a request that got a connection which had carried it
// before isn't sent and fails with ErrSameConnection; the connection is closed, and the next call gets another.
func Do(client *http.Client, request *http.Request) (*http.Response, bool, error) {
	ctx := request.Context()
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	noRedirectClient := *client
	noRedirectClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	attempt := Attempt{sendings: sendingsOf(ctx)}
	request = request.WithContext(attempt.Trace(ctx))
	preventRepeats(request)
	answer, err := noRedirectClient.Do(request)
	if err == nil && isFinalStatus(answer.StatusCode) {
		return answer, true, nil
	}
	if err == nil {
		_ = answer.Body.Close() // after 101 the body is the connection, which nobody else would end
		invalidAnswers.Inc()
		return nil, true, fmt.Errorf("%w: status %d", ErrInvalidAnswer, answer.StatusCode)
	}
	sent := attempt.MaybeSent()
	return nil, sent, attempt.classify(err, sent)
}

// classify adds ErrInvalidAnswer or ErrSameConnection to the error that ended the attempt.
func (a *Attempt) classify(err error, sent bool) error {
	if a.hasRefusedConn() && !sent {
		return fmt.Errorf("%w: %w", ErrSameConnection, err)
	}
	if errors.Is(err, ErrInvalidAnswer) {
		invalidAnswers.Inc()
		return err
	}
	var failed *url.Error // it implements net.Error, whatever its cause
	if errors.As(err, &failed) && a.isInvalidAnswer(failed.Err) {
		invalidAnswers.Inc()
		return fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
	}
	return err
}

// hasRefusedConn reports whether the connection had carried the request before.
func (a *Attempt) hasRefusedConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refusedConn
}

// isFinalStatus reports whether an answer with the status ends a request that asks for no other protocol (RFC 9110, 15).
func isFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// preventRepeats keeps net/http from sending the request a second time; see NewBody.
func preventRepeats(request *http.Request) {
	if request.Body == nil || request.Body == http.NoBody {
		request.Body, request.ContentLength = NewBody(nil), 0
	}
	request.GetBody = nil
}

// ErrUnframed reports that an answer ended with its connection, complete or not.
var ErrUnframed = errors.New("answer with neither length nor chunks")

// IsUnframed reports whether the body of an answer has neither a length nor chunks and ends with
// its connection (RFC 9112, 6.3). Its end doesn't show whether the answer was complete.
func IsUnframed(answer *http.Response) bool {
	return answer.ProtoMajor == 1 && answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 && !answer.Uncompressed &&
		answer.Request.Method != http.MethodHead
}
