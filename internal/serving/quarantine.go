package serving

import (
	"context"
	"errors"
	"net/http"

	"bergamotreel/admission/quarantine"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// Quarantine keeps requests that crash backend servers away from them. Its methods may
// be called from any goroutine.
type Quarantine interface {
	// Suspects tells whether there is any; while there is none, requests are not looked up.
	Suspects() bool
	// Refusal is the answer to a request that must not be sent, nil for any other.
	Refusal(request quarantine.Fingerprint) *refusal.Refusal
	// Broken tells that the connection to a backend server ended while it ran a request.
	Broken(backend string, request quarantine.Fingerprint)
	// Answered tells that a backend server answered a request whole and successfully.
	Answered(request quarantine.Fingerprint)
}

// quarantined is the refusal of a request that must not be sent, nil for any other.
func (f *forwarding) quarantined() *refusal.Refusal {
	q := f.server.config.Quarantine
	if q == nil || !q.Suspects() {
		return nil
	}
	return q.Refusal(f.contentHash())
}

// reportRun tells the quarantine how an attempt ended. A failure that the backend server
// itself answered with, and an end for a reason of this side's, accuse nobody.
func (f *forwarding) reportRun(ctx context.Context, head *service.ForwardResponse, err error) {
	q := f.server.config.Quarantine
	switch {
	case q == nil:
	case err == nil:
		if q.Suspects() && head.Status < http.StatusMultipleChoices {
			q.Answered(f.contentHash())
		}
	case f.verdict.ran && ctx.Err() == nil && !isSinkError(err) && !errors.Is(err, errServerFailed):
		q.Broken(f.place.backend, f.contentHash())
	}
}

// contentHash is the request's fingerprint, worked out once.
func (f *forwarding) contentHash() quarantine.Fingerprint {
	if f.fingerprint == nil {
		r := &f.request
		content := quarantine.Content{
			Workspace: r.WorkspaceName(), Method: r.Method, Host: r.Host, URI: r.URI, Caller: r.CallerHost, Body: r.Body,
		}
		hash := content.Fingerprint()
		f.fingerprint = &hash
	}
	return *f.fingerprint
}
