package sendonce

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// errUploadUnfinished reports that an answer ended with its connection although its request was not sent as a whole. On some
// systems a reset is reported to one call only: if that is a write of the request, the next read finds an end.
var errUploadUnfinished = fmt.Errorf("%w: the answer ended before its request was sent", io.ErrUnexpectedEOF)

// uploadEndTimeout bounds the wait for the end of a request whose answer has ended: the goroutine that writes may learn of the
// end a moment later than the one that reads.
const uploadEndTimeout = 100 * time.Millisecond

// answerChecker is an http.Transport that accepts only well-formed answers of HTTP/1.x, with a body that is as whole as it
// can be known to be.
type answerChecker struct{ *http.Transport }

// CheckAnswers returns a round tripper that sends through a transport and checks each answer where it is read: its head
// and interim answers fail with ErrInvalidAnswer, and the end of its body is io.EOF only if its trailer is well-formed and, for
// an answer that ends with its connection, its request was sent as a whole. It changes the transport's
// DialContext, which must be set. Heads over TLS are not checked.
func CheckAnswers(transport *http.Transport) http.RoundTripper {
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if _, ok := conn.(answerBeginner); ok {
			return conn, nil
		}
		return &scannedConn{Conn: conn}, nil
	}
	return &answerChecker{transport}
}

// answerBeginner is a connection that checks the heads of answers.
type answerBeginner interface{ beginAnswer() }

// RoundTrip implements http.RoundTripper.
func (c *answerChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	sent := upload{ended: make(chan struct{})}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(answerBeginner); ok {
				conn.beginAnswer()
			}
		},
		WroteRequest: sent.end,
	})
	answer, err := c.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	answer.Request = request
	answer.Body = &answerBody{ReadCloser: answer.Body, answer: answer, upload: &sent}
	return answer, nil
}

// upload is the sending of a request.
type upload struct {
	once  sync.Once
	ended chan struct{}
	err   error
}

func (u *upload) end(info httptrace.WroteRequestInfo) {
	u.once.Do(func() {
		u.err = info.Err
		close(u.ended)
	})
}

// isWhole reports whether the whole request was sent.
func (u *upload) isWhole() bool {
	timeout := time.NewTimer(uploadEndTimeout)
	defer timeout.Stop()
	select {
	case <-u.ended:
		return u.err == nil
	case <-timeout.C:
		return false
	}
}

// answerBody checks the end of an answer.
type answerBody struct {
	io.ReadCloser
	answer *http.Response
	upload *upload
	// end is the result of Read after the body's end, nil before.
	end error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = b.checkEnd()
		err = b.end
	}
	return n, err
}

// checkEnd returns io.EOF if the end of the body is that of a whole answer as far as it can be known.
func (b *answerBody) checkEnd() error {
	for name, values := range b.answer.Trailer {
		if !isField(name, values) {
			invalidAnswers.Inc()
			return fmt.Errorf("%w: malformed trailer", ErrInvalidAnswer)
		}
	}
	if IsUnframed(b.answer) && !b.upload.isWhole() {
		return errUploadUnfinished
	}
	return io.EOF
}

// isField reports whether a name and its values are well-formed.
func isField(name string, values []string) bool {
	return httpguts.ValidHeaderFieldName(name) &&
		!slices.ContainsFunc(values, func(value string) bool { return !httpguts.ValidHeaderFieldValue(value) })
}
