// Package service defines the interfaces to backend servers: calls to plain
// services, which answer ordinary HTTP calls, and forwarding of callers' requests.
package service

import (
	"context"
	"net/http"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("service")

var (
	// ErrNotSent reports that no byte of the call reached the backend server.
	ErrNotSent = errs.New("call not sent")
	// ErrOutcomeUnknown reports that the call was sent and its answer was lost.
	ErrOutcomeUnknown = errs.New("call outcome unknown")
)

// Call is one call to a plain service.
type Call struct {
	// RequestID identifies the request on every hop.
	RequestID string
	Method    string
	// Path is the path within the service, with its query.
	Path   string
	Header http.Header
	Body   []byte
	// ReserveAnswer takes memory for n more bytes of the answer before they are kept, and reports whether there is as much.
	// Without memory the call ends with ErrOutcomeUnknown. Nil stands for no limit.
	ReserveAnswer func(n int64) bool
}

// Answer is a complete answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls the plain services.
type Client interface {
	// Do sends the call once, without retries, and returns the whole answer. It
	// fails with ErrNotSent or ErrOutcomeUnknown.
	Do(ctx context.Context, address string, call Call) (Answer, error)
}
