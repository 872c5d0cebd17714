package sendonce

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"bergamotreel/internal/testkit"
)

// failingServer answers the first request of its first connection, and reads the
// second one and closes the connection. It answers all requests of later
// connections.
type failingServer struct {
	connections, requests atomic.Int32
}

func (s *failingServer) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go s.serve(far, s.connections.Add(1) == 1)
	return near, nil
}

func (s *failingServer) serve(c net.Conn, breaks bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		if breaks && n == 2 {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func newTestRequest(t *testing.T, ctx context.Context, method, body, key string) *http.Request {
	t.Helper()
	request := testkit.Value(http.NewRequestWithContext(ctx, method, "http://backend/book", nil))(t)
	request.Body, request.ContentLength = NewBody([]byte(body)), int64(len(body))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	return request
}

// expectSecondNotRepeated makes two calls over one connection. The first is
// answered; the second fails, must count as sent and must have been sent once.
func expectSecondNotRepeated(t *testing.T, client *http.Client, method, body string, requests *atomic.Int32) {
	t.Helper()
	defer client.CloseIdleConnections()
	first, _, err := Do(client, newTestRequest(t, t.Context(), method, body, "k1"))
	testkit.OK(t, err)
	first.Body.Close()
	synctest.Wait()
	_, sent, err := Do(client, newTestRequest(t, t.Context(), method, body, "k2"))
	testkit.That(t, err != nil && sent, "%s %q: sent %v, error %v", method, body, sent, err)
	testkit.Equal(t, fmt.Sprintf("%s %q: requests that came", method, body), requests.Load(), 2)
}

// Guards against a call that runs twice, such as a booking. The backend server
// runs the second call of a connection and fails before it answers. net/http
// takes this for a stale connection and repeats requests that it considers
// idempotent.
func TestBrokenAnswerIsNotRepeated(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", `{"slot":"7"}`} {
			synctest.Test(t, func(t *testing.T) {
				var s failingServer
				expectSecondNotRepeated(t, NewClientWithDial(s.dial), method, body, &s.requests)
			})
		}
	}
}

// stubConn accepts at most maxWritten bytes of each write and then fails.
type stubConn struct {
	net.Conn
	maxWritten int
}

func (c stubConn) Write(p []byte) (int, error) {
	return min(c.maxWritten, len(p)), io.ErrClosedPipe
}

// The connection fails before, during or after the operating system accepts the
// first byte. A request that may have been sent must count as sent.
func TestSentMatchesConnectionWrites(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	dialAccepting := func(maxWritten int) DialFunc {
		return func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			t.Cleanup(func() { near.Close(); far.Close() })
			return stubConn{near, maxWritten}, nil
		}
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	uncounted := &http.Client{Transport: &http.Transport{DialContext: dialAccepting(0)}}
	for name, c := range map[string]struct {
		client *http.Client
		ctx    context.Context
		sent   bool
	}{
		"refused connection":      {NewClientWithDial(refused), t.Context(), false},
		"context canceled before": {NewClientWithDial(refused), canceled, false},
		"no byte taken":           {NewClientWithDial(dialAccepting(0)), t.Context(), false},
		"one byte taken":          {NewClientWithDial(dialAccepting(1)), t.Context(), true},
		"uncounted writes":        {uncounted, t.Context(), true},
	} {
		_, sent, err := Do(c.client, newTestRequest(t, c.ctx, "POST", "{}", ""))
		testkit.That(t, err != nil && sent == c.sent, "%s: sent %v instead of %v, error %v", name, sent, c.sent, err)
	}
}

// Guards against a request that is sent after it was reported as not sent. The
// call is canceled while its connection is open and net/http's writer is about to
// write. A later write on that connection must fail; a write in progress must
// already count as sent.
func TestNoWriteAfterReportingNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		idle := &countingConn{scannedConn: scannedConn{Conn: near}}
		testkit.That(t, !idle.hasSentSince(0), "an unused connection counts as sent")
		testkit.WantError(t, "late write", testkit.Err(idle.Write([]byte("x"))), errWriteDisabled)
		busy := &countingConn{scannedConn: scannedConn{Conn: near}}
		go busy.Write([]byte("x")) // blocks: nobody reads
		synctest.Wait()
		testkit.That(t, busy.hasSentSince(0), "a write in progress does not count as sent")
		far.Close()
		near.Close()
	})
}

func TestRedirectIsNotFollowed(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect} {
		calls := 0
		client := &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			calls++
			header := http.Header{"Location": {"http://elsewhere/"}}
			return &http.Response{StatusCode: status, Header: header, Body: http.NoBody, Request: r}, nil
		})}
		answer, _, err := Do(client, newTestRequest(t, t.Context(), "GET", "", ""))
		testkit.That(t, err == nil && answer.StatusCode == status && calls == 1,
			"%d: answer %v, error %v, %d calls", status, answer, err, calls)
	}
}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against an invalid answer that looks like a broken connection, and the other way round.
func TestInvalidAnswerIsReported(t *testing.T) {
	for answer, isInvalid := range map[string]bool{
		"no HTTP\r\n\r\n":                                         true,
		"HTTP/1.1 200 OK\r\nno field\r\n\r\n":                     true,
		"HTTP/1.1 200 OK\r\na: " + strings.Repeat("b", 1<<20):     true,
		strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<16): true,
		"":                            false,
		"HTTP/1.1 200 OK\r\na: b\r\n": false,
	} {
		listener := testkit.Value(net.Listen("tcp", "127.0.0.1:0"))(t)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, answer)
		}()
		request := testkit.Value(http.NewRequestWithContext(t.Context(), "POST", "http://"+listener.Addr().String(), nil))(t)
		request.Body = NewBody(nil)
		_, sent, err := Do(NewClient(), request)
		testkit.That(t, sent && err != nil && errors.Is(err, ErrInvalidAnswer) == isInvalid, "%.40q: %v", answer, err)
		listener.Close()
	}
}

// Guards against a request without a body that net/http repeats because its caller sent Idempotency-Key, or because
// of its method.
func TestBrokenAnswerToRequestWithoutBodyIsNotRepeated(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "DELETE"} {
		for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
			for _, body := range []io.ReadCloser{nil, http.NoBody} {
				synctest.Test(t, func(t *testing.T) {
					var s failingServer
					client := NewClientWithDial(s.dial)
					defer client.CloseIdleConnections()
					newRequest := func() *http.Request {
						request := newTestRequest(t, t.Context(), method, "", "")
						request.Body = body
						if header != "" {
							request.Header.Set(header, "k")
						}
						return request
					}
					first, _, err := Do(client, newRequest())
					testkit.OK(t, err)
					first.Body.Close()
					synctest.Wait()
					_, sent, err := Do(client, newRequest())
					testkit.That(t, err != nil && sent, "%s with %q: sent %v, error %v", method, header, sent, err)
					testkit.That(t, s.requests.Load() == 2, "%s with %q: %d requests came", method, header, s.requests.Load())
				})
			}
		}
	}
}

// Guards against answers whose status ends no request: one below 100 makes net/http's server panic, and after 101 the
// connection is read without end.
func TestStatusThatEndsNoRequest(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "101", "600", "999"} {
		synctest.Test(t, func(t *testing.T) {
			client := NewClientWithDial(func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					reader := bufio.NewReader(far)
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = fmt.Fprintf(far, "HTTP/1.1 %s x\r\nConnection: Upgrade\r\nUpgrade: y\r\n\r\n", status)
					_, _ = reader.ReadByte() // until the client closes
				}()
				return near, nil
			})
			defer client.CloseIdleConnections()
			_, sent, err := Do(client, newTestRequest(t, t.Context(), "POST", "{}", ""))
			testkit.That(t, sent && errors.Is(err, ErrInvalidAnswer), "status %s: sent %v, error %v", status, sent, err)
		})
	}
}
