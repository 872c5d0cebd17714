// Package httpjson provides HTTP calls and replies with JSON bodies for the clients of the
// platform's services and for their stand-ins.
package httpjson

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"bergamotreel/internal/sendonce"
)

const (
	// DialTimeout bounds connecting. A round trip takes less than 1 ms within a failure
	// domain and less than 300 ms between regions, so a peer that takes a second is
	// unreachable.
	DialTimeout = time.Second
	// MaxBody bounds the bytes read of one JSON body.
	MaxBody = 64 << 20
	// maxIdleConns bounds the idle connections that a client keeps to one peer.
	maxIdleConns = 16
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 90 * time.Second
)

// DefaultClient returns a client for one peer service. It uses no proxy and has no overall
// timeout: callers bound each call by its context.
func DefaultClient() *http.Client { return TLSClient(nil) }

// TLSClient returns a client like DefaultClient with the configuration for https URLs, nil for the default.
func TLSClient(config *tls.Config) *http.Client {
	dialer := net.Dialer{Timeout: DialTimeout}
	return &http.Client{Transport: sendonce.CheckAnswers(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: sendonce.MaxHeadBytes,
		TLSClientConfig:        config,
	})}
}

// ErrorBody is the JSON body of every answer that reports an error.
type ErrorBody struct {
	Error string `json:"error"`
}

// StatusError is an answer whose status is not 200.
type StatusError struct {
	Status  int
	Message string
}

// Error returns the status and the peer's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// IsStatus reports whether err is a StatusError with the given status.
func IsStatus(err error, status int) bool {
	var answered *StatusError
	return errors.As(err, &answered) && answered.Status == status
}

// Call sends a request without a body and decodes the answer into out. It returns a
// StatusError if the status of the answer is not 200.
func Call(ctx context.Context, client *http.Client, method, url string, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return err
	}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return Decode(answer, out)
}

// Decode decodes an answer's JSON body into out, or returns a StatusError.
func Decode(answer *http.Response, out any) error {
	body, err := Read(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Read returns an answer's body, or a StatusError. It fails if the body may be cut off: it is longer than MaxBody, or has neither a
// length nor chunks.
func Read(answer *http.Response) ([]byte, error) {
	if sendonce.IsUnframed(answer) {
		return nil, sendonce.ErrUnframed
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, fmt.Errorf("answer over %d bytes", MaxBody)
	}
	if answer.StatusCode == http.StatusOK {
		return body, nil
	}
	var refused ErrorBody
	if json.Unmarshal(body, &refused) != nil {
		refused.Error = http.StatusText(answer.StatusCode)
	}
	return nil, &StatusError{Status: answer.StatusCode, Message: refused.Error}
}

// Reply writes body as the JSON answer with the given status.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected, so nobody can be told.
	_ = json.NewEncoder(w).Encode(body)
}

// ReplyError writes an ErrorBody with the given status.
func ReplyError(w http.ResponseWriter, status int, err error) {
	Reply(w, status, ErrorBody{Error: err.Error()})
}
