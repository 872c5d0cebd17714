package service

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// ErrNotRun says that the backend server got the request and confirmed that it
// did not run it and will not.
var ErrNotRun = errs.New("not run by the backend server")

// ErrWrongServer comes together with ErrNotRun: another backend server, or a
// later start of the same, answers at the address; or it lacks what was asked for.
var ErrWrongServer = errs.New("not the backend server that was meant")

// ErrRefused comes together with ErrNotSent: the backend server's machine answered that
// nothing accepts connections at its address, so its process has ended.
var ErrConnectionRefused = errs.New("connection refused")

// Target is the backend server that a request is sent to.
type Target struct {
	// ID names one start of the backend server; any other refuses the request.
	ID, Address string
}

// Forward is a request that is passed on unchanged.
type ForwardRequest struct {
	// RequestID identifies the request on every hop.
	RequestID string
	Method    string
	// URI is path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when the backend server may stop working.
	Deadline time.Time
	// Urgency orders requests within a model engine, 0 first; -1 for none.
	Urgency int
	// ForWorkspace is the workspace whose API key the caller has, empty for none.
	CallerWorkspace string
	// ResumeAfter is the id of the last event that the caller has of a broken
	// stream, empty for a request from its start.
	ResumeAfter string
}

// Limit is what a backend server in need says of the requests that it takes from all
// entry VMs together.
type Limit struct {
	// Named is whether it says anything.
	Limited bool
	// PerSecond is the most requests a second, turned away or not.
	PerSecond float64
}

// Forwarded is the head of an answer and its body to come.
type ForwardResponse struct {
	Status int
	// Header is without those that concern one connection only.
	Header http.Header
	// Length is the body's, -1 where it is not known before its end.
	Length int64
	// Body ends with io.EOF only after the whole answer. Any other error means
	// that the answer was cut off. It must be closed.
	Body io.ReadCloser
	// Limit is what the answer says of further requests.
	Limit Limit
	// Leaving is whether the answer says that the backend server is about to end.
	Leaving bool
	// Rest is how long the backend server, which turned the request away, wants none from
	// this entry VM; 0 where it doesn't say.
	Cooldown time.Duration
}

// Forwarder passes requests on to backend servers.
type Forwarder interface {
	// Forward sends the request once, never again, and returns when the answer's
	// head is there. It fails with ErrNotSent, ErrNotRun or ErrOutcomeUnknown; with
	// ErrNotRun comes a Forwarded without a body, for what else the answer says. The
	// end of ctx breaks off the request at the backend server, also while the body
	// is read.
	Forward(ctx context.Context, target Target, request ForwardRequest) (*ForwardResponse, error)
	// Probe tells whether a backend server accepts connections. It fails with ErrNotSent.
	Probe(ctx context.Context, target Target) error
}
