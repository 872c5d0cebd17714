package serving

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bergamotreel/routing"
	"bergamotreel/service"
)

// attempt sends the request to the assigned backend server and forwards the answer.
// It sets f.outcome.
func (f *forwarding) attempt(ctx context.Context) error {
	f.attempts++
	f.lastReceived, f.pieces, f.keptSilent = time.Time{}, 0, false
	f.framing, f.eventStream, f.boundary = "", false, eventBoundary{}
	f.tracking.beginAttempt()
	f.order.beginAttempt()
	f.pace = streamPace{isWhole: len(f.order.lastID) == 0}
	target, ok := f.server.forwardDirectory().Target(f.pending.backend)
	if !ok {
		f.outcome = attemptOutcome{excludeBackend: true}
		return service.ErrNotSent
	}
	f.target = target
	if !f.mayContinueAt(ctx) {
		f.outcome = attemptOutcome{excludeBackend: true}
		return errors.Join(service.ErrNotSent, errStartUnverified)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := f.startStallGuard(cancel)
	defer guard.stop()
	head, err := f.server.config.Forwarder.Forward(ctx, target, f.backendRequest())
	f.recordBackendSignals(head, err)
	if head != nil {
		f.server.recordReceived(time.Now())
	}
	if f.tracking.current = classifyArrival(head, err); f.tracking.current == arrivalSettled {
		f.tracking.isSettled.Store(true)
		f.settleArrival(head != nil)
	}
	if err == nil {
		f.attemptsRun++
		f.server.forwardDirectory().MarkReachable(target)
		err = f.verifyAndDeliver(ctx, head, guard)
		_ = head.Body.Close()
	} else if errors.Is(err, service.ErrOutcomeUnknown) {
		f.attemptsRun++
	}
	guard.stop()
	f.server.numberings.record(f.request.Service, &f.order)
	f.keptSilent = guard.keptSilent && !guard.ended
	err = withGuardCause(ctx, err)
	f.classifyAttempt(err)
	f.recordQueueResult(err)
	if err != nil && f.outcome.mayHaveRun {
		f.server.forwardDirectory().RecordAbandoned(f.pending.backend)
	}
	if f.hasConnectionBroken(ctx, err) {
		f.server.forwardDirectory().DoubtStart(target)
	}
	f.reportToQuarantine(ctx, head, err)
	f.server.forwardDirectory().RecordRunEnd(f.pending.backend)
	f.finishPace(err)
	return err
}

// mayContinueAt reports whether the target may be sent a stream to continue. It may have been found to have started
// again after it was picked. If its connections broke, its start is verified before an attempt is spent on it.
func (f *forwarding) mayContinueAt(ctx context.Context) bool {
	directory := f.server.forwardDirectory()
	switch {
	case f.origin.Version == "":
		return true
	case f.target.Version != f.origin.Version:
		return false
	}
	return directory.IsStartConfirmed(f.target, time.Time{}) || directory.VerifyStart(ctx, f.target)
}

// hasConnectionBroken reports whether an attempt that may have run ended with its connection, and not because
// this side or the caller ended it.
func (f *forwarding) hasConnectionBroken(ctx context.Context, err error) bool {
	return err != nil && f.outcome.mayHaveRun && ctx.Err() == nil && !isTerminalError(err) &&
		!errors.Is(err, errServerFailed) && !errors.Is(err, errStartUnverified) && !isWrongEvents(err)
}

// recordBackendSignals passes what the answer says of its backend server to the
// directory and the router: that it is leaving, a cooldown, a limit, and a bound on its
// rejections. A successful answer without a limit lifts the limit; refusals and failures without one don't.
func (f *forwarding) recordBackendSignals(head *service.ForwardResponse, err error) {
	f.limit, f.leaving, f.cooldown, f.maxRejections = service.Limit{}, false, 0, 0
	if head == nil {
		return
	}
	f.limit, f.leaving, f.cooldown, f.maxRejections = head.Limit, head.Leaving, head.Cooldown, head.MaxRejections
	if head.Leaving && f.pending.isCurrentIncarnation() {
		f.server.forwardDirectory().MarkLeaving(f.pending.backend)
	}
	if head.Weights != 0 && f.request.Model != "" && f.pending.isCurrentIncarnation() {
		f.server.forwardDirectory().RecordWeights(f.pending.backend, f.request.Model, head.Weights)
	}
	if head.Cooldown > 0 {
		f.pending.startCooldown(time.Now().Add(head.Cooldown))
	}
	f.server.forwardDirectory().RecordMaxRejections(f.pending.backend, head.MaxRejections, isRejection(err))
	if head.Limit.Limited || (err == nil && head.Status < http.StatusMultipleChoices) {
		f.server.forwardDirectory().RecordLimit(f.pending.backend, head.Limit)
	}
}

// isRejection reports whether a backend server rejected the request although it is the one that
// was meant and holds what the request needs.
func isRejection(err error) bool {
	return errors.Is(err, service.ErrNotRun) && !errors.Is(err, service.ErrWrongServer)
}

// startStallGuard starts a guard that ends the attempt if the backend server is silent
// for too long and another one has been reserved for the request.
func (f *forwarding) startStallGuard(cancel context.CancelCauseFunc) *stallGuard {
	route := f.request.Route
	headTimeout := max(headTimeoutFactor*route.TargetLatency, minHeadTimeout)
	guard := newStallGuard(headTimeout, resumableStallTimeout, cancel, errHeadTimeout, f.secureReplacement)
	if !route.IsRepeatable() || f.attemptsRun+1 >= route.MaxAttempts {
		guard.stop() // no further attempt is allowed
	}
	return guard
}

func (f *forwarding) backendRequest() service.ForwardRequest {
	out := f.request.ForwardRequest
	out.ResumeAfter = string(f.order.lastID)
	out.Weights = f.origin.Weights
	out.Sendings = &f.sendings
	out.Urgency = -1
	if f.request.Model != "" {
		out.Urgency = max(0, -f.request.Priority())
	}
	return out
}

// classifyAttempt sets f.outcome according to the error that ended the attempt, and
// records in the directory what it shows of the backend server.
func (f *forwarding) classifyAttempt(err error) {
	switch {
	case err == nil:
		f.outcome = attemptOutcome{routerResult: routing.Result{OK: true}, mayHaveRun: true}
	case isTerminalError(err):
		f.outcome = attemptOutcome{mayHaveRun: true}
	case errors.Is(err, service.ErrNotSent):
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			f.server.forwardDirectory().MarkUnreachable(f.target, err)
		}
		f.outcome = attemptOutcome{routerResult: routing.Result{Failed: true, NotRun: true}, excludeBackend: true}
	case hasOtherWeights(err):
		f.recordOtherWeights()
		f.outcome = attemptOutcome{mayHaveRun: errors.Is(err, errOtherWeights), excludeBackend: true}
		f.outcome.routerResult.NotRun = !f.outcome.mayHaveRun
	case errors.Is(err, service.ErrWrongServer):
		unit, _ := SplitVersion(f.pending.query.Unit)
		f.server.forwardDirectory().RecordUnitNotHeld(f.pending.backend, unit)
		f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}, excludeBackend: true}
	case errors.Is(err, errStartUnverified):
		f.outcome = attemptOutcome{mayHaveRun: true, excludeBackend: true}
	case errors.Is(err, errNotContinued): // shows nothing of how the server runs new requests
		f.server.recordNotContinuing(time.Now(), f.pending)
		f.outcome = attemptOutcome{mayHaveRun: true, excludeBackend: true}
	case errors.Is(err, service.ErrNotRun):
		f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
	default:
		f.outcome = attemptOutcome{routerResult: routing.Result{Failed: true}, mayHaveRun: true, excludeBackend: true}
	}
}
