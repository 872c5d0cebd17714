package serving

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"bergamotreel/admission/quarantine"
	"bergamotreel/refusal"
	"bergamotreel/service"
)

// Quarantine refuses requests that crash backend servers. Its methods may be called
// from any goroutine.
type Quarantine interface {
	// HasSuspects reports whether any request is suspected; while there is none, requests
	// are not looked up.
	HasSuspects() bool
	// RefusalFor returns the refusal of a request that must not be sent, nil for any other. A
	// request is given by its subjects, the request itself first.
	RefusalFor(request []quarantine.Subject) *refusal.Refusal
	// BeginTrial reports whether a refused request may be sent all the same, once, to find out
	// whether it is still at fault.
	BeginTrial(request []quarantine.Subject) bool
	// RecordConnectionLost records that the connection to an instance of a backend server ended while it
	// ran a request.
	RecordConnectionLost(target service.Target, request []quarantine.Subject)
	// RecordAbandonedRun records that this VM stopped waiting for an instance of a backend server that
	// may go on running a request, given what of the request may still crash the server.
	RecordAbandonedRun(target service.Target, request []quarantine.Subject)
	// RecordAnswer records that an instance of a backend server answered a request, which it may survive
	// or not, and whether completely and successfully.
	RecordAnswer(target service.Target, request []quarantine.Subject, success bool)
	// RecordUnmarkedEnd records that an instance of a backend server answered a request successfully and
	// ended the answer with its connection, in good order: it was whole if the instance runs on.
	RecordUnmarkedEnd(target service.Target, request []quarantine.Subject)
	// RecordProgress records that a backend server has written the answer to a request for
	// soundAfter: a part of prompts that crashes servers does so as they begin to write.
	RecordProgress(request []quarantine.Subject)
}

// soundAfter is how long a backend server must have written an answer before this shows that the
// parts of the prompt are sound, and the interval at which it is reported again.
const soundAfter = 500 * time.Millisecond

// reportProgress reports the progress of a stream to the quarantine if it is due.
func (f *forwarding) reportProgress(now time.Time) {
	if f.pieces == 1 {
		f.partsSoundAt = now.Add(soundAfter)
		f.progressDue = f.partsSoundAt
		return
	}
	q := f.server.config.Quarantine
	if q == nil || now.Before(f.progressDue) || !q.HasSuspects() || len(f.request.PromptParts) == 0 {
		return
	}
	f.progressDue = now.Add(soundAfter)
	q.RecordProgress(f.quarantineSubjects())
}

// quarantineRefusal returns the refusal if the request must not be sent, nil otherwise.
func (f *forwarding) quarantineRefusal() *refusal.Refusal {
	q := f.server.config.Quarantine
	if q == nil || f.isTrial || !q.HasSuspects() {
		return nil
	}
	return q.RefusalFor(f.quarantineSubjects())
}

// quarantineRefusalOrTrial is quarantineRefusal, but makes a request that was not sent yet a trial
// instead if one is due and a backend server can run it now.
func (f *forwarding) quarantineRefusalOrTrial() *refusal.Refusal {
	refused := f.quarantineRefusal()
	canRun := f.attempts == 0 && (f.readyAtArrival || f.pending != nil)
	if refused != nil && canRun && f.server.config.Quarantine.BeginTrial(f.quarantineSubjects()) {
		f.isTrial = true
		return nil
	}
	return refused
}

// reportToQuarantine reports to the quarantine how an attempt ended. An
// attempt that this side or the caller ended shows nothing yet: the server may crash later.
func (f *forwarding) reportToQuarantine(ctx context.Context, head *service.ForwardResponse, err error) {
	q := f.server.config.Quarantine
	switch {
	case q == nil:
	case err == nil && head.Status < http.StatusMultipleChoices && head.Length == service.LengthUntilClose:
		q.RecordUnmarkedEnd(f.target, f.quarantineSubjects())
	case err == nil:
		q.RecordAnswer(f.target, f.quarantineSubjects(), head.Status < http.StatusMultipleChoices)
	case !f.outcome.mayHaveRun:
	case errors.Is(err, errServerFailed):
		q.RecordAnswer(f.target, f.quarantineSubjects(), false)
	case !f.hasConnectionBroken(ctx, err):
		q.RecordAbandonedRun(f.target, f.abandonedSubjects(time.Now()))
	default:
		q.RecordConnectionLost(f.target, f.quarantineSubjects())
	}
}

// abandonedSubjects returns what of the request may still crash the backend server after an attempt
// was abandoned: no longer the parts of a prompt to which the server has written an answer for
// soundAfter.
func (f *forwarding) abandonedSubjects(now time.Time) []quarantine.Subject {
	subjects := f.quarantineSubjects()
	if f.pieces > 0 && !now.Before(f.partsSoundAt) {
		return subjects[:1]
	}
	return subjects
}

// quarantineSubjects returns what of the request may crash backend servers, and computes it only
// once.
func (f *forwarding) quarantineSubjects() []quarantine.Subject {
	if f.subjects == nil {
		r := &f.request
		path, query, _ := strings.Cut(r.URI, "?")
		content := quarantine.Content{
			Workspace: r.WorkspaceName(), Method: r.Method, Host: r.Host, Path: path, Body: r.Body, Caller: r.CallerHost, Query: query,
			Model: r.Model, Prompt: r.Prompt, TokenCounts: r.TokenCounts, Headers: r.OtherHeaders, PromptParts: r.PromptParts,
		}
		if r.Adapter != "" {
			content.Model += "/" + r.Adapter
		}
		f.subjects = content.Subjects()
	}
	return f.subjects
}
