package sendonce

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// answerChecker is an http.Transport that accepts only well-formed answers of HTTP/1.x, with a body that is as whole as it
// can be known to be.
type answerChecker struct{ *http.Transport }

// CheckAnswers returns a round tripper that sends through a transport and checks each answer where it is read: its head
// and interim answers fail with ErrInvalidAnswer, and the end of its body is io.EOF only if its trailer is well-formed. It changes the transport's
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
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(answerBeginner); ok {
				conn.beginAnswer()
			}
		},
	})
	answer, err := c.Transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	answer.Request = request
	answer.Body = &answerBody{ReadCloser: answer.Body, answer: answer}
	return answer, nil
}

// answerBody checks the end of an answer.
type answerBody struct {
	io.ReadCloser
	answer *http.Response
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

// checkEnd returns io.EOF if the trailer is well-formed.
func (b *answerBody) checkEnd() error {
	for name, values := range b.answer.Trailer {
		if !isField(name, values) {
			invalidAnswers.Inc()
			return fmt.Errorf("%w: malformed trailer", ErrInvalidAnswer)
		}
	}
	return io.EOF
}

// isField reports whether a name and its values are well-formed.
func isField(name string, values []string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	for _, value := range values {
		for i := range len(value) {
			if isControl(value[i]) {
				return false
			}
		}
	}
	return name != ""
}
