// Package httpjson holds the few lines of HTTP with JSON bodies that the
// clients of the platform's services and their stand-ins share.
package httpjson

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// DialTimeout bounds connecting: a failure domain's round trip is below a
	// millisecond and a region's below 300 ms, so a second means "not there".
	DialTimeout = time.Second
	// MaxBody bounds what is read of one JSON body, in bytes.
	MaxBody = 64 << 20
	// idleConns is how many idle connections a client keeps to one peer.
	idleConns = 16
	// idleTimeout closes idle connections.
	idleTimeout = 90 * time.Second
)

// DefaultClient returns a client for one peer service: no proxy, no overall
// timeout (callers bound each call by its context).
func DefaultClient() *http.Client {
	dialer := net.Dialer{Timeout: DialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
	}}
}

// ErrorBody is the JSON body of every answer that is not a success.
type ErrorBody struct {
	Error string `json:"error"`
}

// StatusError is an answer whose status is not 200.
type StatusError struct {
	Status  int
	Message string
}

// Error gives the status and the peer's own words.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

// IsStatus tells whether err is a StatusError with the given status.
func IsStatus(err error, status int) bool {
	var answered *StatusError
	return errors.As(err, &answered) && answered.Status == status
}

// Call sends a request without a body and decodes the answer into out. It fails
// with a StatusError where the peer answered with another status than 200.
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

// Decode reads an answer's JSON body into out, or gives a StatusError.
func Decode(answer *http.Response, out any) error {
	body, err := Read(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Read returns an answer's body, or gives a StatusError.
func Read(answer *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, MaxBody))
	if err != nil {
		return nil, err
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
	// A failed write means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// ReplyError writes an ErrorBody with the given status.
func ReplyError(w http.ResponseWriter, status int, err error) {
	Reply(w, status, ErrorBody{Error: err.Error()})
}
