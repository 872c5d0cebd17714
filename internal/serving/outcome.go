package serving

import (
	"errors"

	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

var (
	// errLate ends an attempt whose first token missed the maximum wait.
	errLate = errors.New("first token late")
	// errStalled ends an attempt whose stream paused for too long.
	errStalled = errors.New("stream stalled")
	// errNoProgress ends a stream whose resumes brought no further chunk.
	errNoProgress = errors.New("resumed without one more chunk")
	// errMismatch reports that the answer of an engine differs from the part of
	// another engine's answer that the caller already has.
	errMismatch = errors.New("the engine moved to gives another answer")
)

// attemptOutcome describes how an attempt ended.
type attemptOutcome struct {
	// routerResult is what the attempt shows the router of the backend server's health.
	routerResult routing.Result
	// mayHaveRun is whether the request may have run on the backend server.
	mayHaveRun bool
	// excludeBackend is whether further attempts of this request should avoid it.
	excludeBackend bool
	// finalRefusal ends the request if another backend server couldn't help, else nil.
	finalRefusal *refusal.Refusal
}

// classifyEngineError returns the outcome of an attempt on an engine that ended with
// err; nil means a complete answer.
//
// A bad request and a caller that disconnected don't count as failures of the engine:
// otherwise one caller could open the breakers of engines that others depend on.
func classifyEngineError(err error) attemptOutcome {
	switch {
	case err == nil:
		return attemptOutcome{routerResult: routing.Result{OK: true}, mayHaveRun: true}
	case errors.Is(err, errMismatch):
		refused := refusal.NewMaybeRan(refusal.CodeBackendFailed, "%v", errMismatch)
		refused.RetryAfter = shortRetryAfter
		return attemptOutcome{mayHaveRun: true, finalRefusal: refused}
	case isTerminalError(err):
		return attemptOutcome{mayHaveRun: true}
	case errors.Is(err, engine.ErrBadRequest):
		return attemptOutcome{finalRefusal: refusal.New(refusal.CodeBadRequest, 0, "%v", err)}
	case errors.Is(err, engine.ErrBusy), errors.Is(err, engine.ErrNotLoaded):
		return attemptOutcome{routerResult: routing.Result{NotRun: true}}
	case errors.Is(err, engine.ErrWrongRole), errors.Is(err, engine.ErrInUse), errors.Is(err, engine.ErrIDConflict):
		return attemptOutcome{excludeBackend: true}
	case errors.Is(err, engine.ErrNotSent):
		return attemptOutcome{routerResult: routing.Result{Failed: true, NotRun: true}, excludeBackend: true}
	default:
		return attemptOutcome{routerResult: routing.Result{Failed: true}, mayHaveRun: true, excludeBackend: true}
	}
}

// classifyCallError returns the outcome of an attempt on a plain service's backend
// server that ended with err.
func classifyCallError(err error) attemptOutcome {
	switch {
	case err == nil:
		return attemptOutcome{routerResult: routing.Result{OK: true}, mayHaveRun: true}
	case errors.Is(err, service.ErrNotSent):
		return attemptOutcome{routerResult: routing.Result{Failed: true, NotRun: true}, excludeBackend: true}
	default:
		return attemptOutcome{routerResult: routing.Result{Failed: true}, mayHaveRun: true, excludeBackend: true}
	}
}

// terminalError marks an error that an attempt on another backend server can't fix.
type terminalError struct{ error }

func (e terminalError) Unwrap() error { return e.error }

func isTerminalError(err error) bool {
	var marked terminalError
	return errors.As(err, &marked)
}
