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
	// HasSuspects tells whether there is any; while there is none, requests are not looked up.
	HasSuspects() bool
	// RefusalFor is the answer to a request that must not be sent, nil for any other.
	RefusalFor(request quarantine.Fingerprint) *refusal.Refusal
	// RecordConnectionLost tells that the connection to a backend server ended while it ran a request.
	RecordConnectionLost(backend string, request quarantine.Fingerprint)
	// RecordSuccess tells that a backend server answered a request whole and successfully.
	RecordSuccess(request quarantine.Fingerprint)
}

// quarantined is the refusal of a request that must not be sent, nil for any other.
func (f *forwarding) quarantineRefusal() *refusal.Refusal {
	q := f.server.config.Quarantine
	if q == nil || !q.HasSuspects() {
		return nil
	}
	return q.RefusalFor(f.requestFingerprint())
}

// reportRun tells the quarantine how an attempt ended. A failure that the backend server
// itself answered with, and an end for a reason of this side's, accuse nobody.
func (f *forwarding) reportToQuarantine(ctx context.Context, head *service.Forwarded, err error) {
	q := f.server.config.Quarantine
	switch {
	case q == nil:
	case err == nil:
		if q.HasSuspects() && head.Status < http.StatusMultipleChoices {
			q.RecordSuccess(f.requestFingerprint())
		}
	case f.outcome.mayHaveRun && ctx.Err() == nil && !isSinkError(err) && !errors.Is(err, errServerFailed):
		q.RecordConnectionLost(f.pending.backend, f.requestFingerprint())
	}
}

// contentHash is the request's fingerprint, worked out once.
func (f *forwarding) requestFingerprint() quarantine.Fingerprint {
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
