package serving

import (
	"errors"

	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

var (
	// errLate ends an attempt whose first token missed the longest wait.
	errLate = errors.New("first token late")
	// errStalled ends an attempt that fell silent in the middle.
	errStalled = errors.New("stream stalled")
	// errFruitless gives up a stream that was resumed in vain.
	errFruitless = errors.New("resumed without one more chunk")
	// errMismatch says that an engine's answer differs from the part of another
	// engine's that the caller has.
	errMismatch = errors.New("the engine moved to gives another answer")
)

// verdict is what an attempt's end tells.
type verdict struct {
	// result is what it tells the router of the backend server's health.
	result routing.Result
	// ran is whether the request may have run there.
	ran bool
	// avoid is whether this request should keep away from there.
	avoid bool
	// final is the answer, where no other backend server would do better.
	final *refusal.Refusal
}

// judge reads the end of an attempt on an engine; err nil is a whole answer.
//
// A bad request and a caller that left blame no engine: else one caller could
// close the breakers that others depend on.
func judge(err error) verdict {
	switch {
	case err == nil:
		return verdict{result: routing.Result{OK: true}, ran: true}
	case errors.Is(err, errMismatch):
		final := refusal.NewMaybeRan(refusal.CodeBackendFailed, "%v", errMismatch)
		final.RetryAfter = comeBackSoon
		return verdict{ran: true, final: final}
	case isSinkError(err):
		return verdict{ran: true}
	case errors.Is(err, engine.ErrBadRequest):
		return verdict{final: refusal.New(refusal.CodeBadRequest, 0, "%v", err)}
	case errors.Is(err, engine.ErrBusy), errors.Is(err, engine.ErrNotLoaded):
		return verdict{result: routing.Result{NotRun: true}}
	case errors.Is(err, engine.ErrWrongRole), errors.Is(err, engine.ErrInUse), errors.Is(err, engine.ErrIDConflict):
		return verdict{avoid: true}
	case errors.Is(err, engine.ErrNotSent):
		return verdict{result: routing.Result{Failed: true, NotRun: true}, avoid: true}
	default:
		return verdict{result: routing.Result{Failed: true}, ran: true, avoid: true}
	}
}

// judgeCall reads the end of an attempt on a plain service's backend server.
func judgeCall(err error) verdict {
	switch {
	case err == nil:
		return verdict{result: routing.Result{OK: true}, ran: true}
	case errors.Is(err, service.ErrNotSent):
		return verdict{result: routing.Result{Failed: true, NotRun: true}, avoid: true}
	default:
		return verdict{result: routing.Result{Failed: true}, ran: true, avoid: true}
	}
}

// sinkError marks an error that no other engine can mend.
type sinkError struct{ error }

func (e sinkError) Unwrap() error { return e.error }

func isSinkError(err error) bool {
	var marked sinkError
	return errors.As(err, &marked)
}
