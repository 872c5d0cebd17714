package serving

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission"
	"bergamotreel/admission/quarantine"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/sendonce"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/routing/streamversion"
	"bergamotreel/service"
)

const (
	// A repeatable request waits headTimeoutFactor times the route's target latency,
	// but at least minHeadTimeout, for the beginning of its answer before it is tried
	// elsewhere, if another backend server is free. An answer that late is more likely to
	// come sooner from there.
	headTimeoutFactor = 3
	minHeadTimeout    = 500 * time.Millisecond
	// resumableStallTimeout is how long a stream may pause before it is resumed on
	// another backend server, if one is free: far longer than the time between two
	// events, and short enough for callers to wait.
	resumableStallTimeout = 2 * time.Second
)

// errHeadTimeout ends an attempt whose answer hasn't begun in time and that another
// backend server may serve sooner.
var errHeadTimeout = errors.New("no answer within the route's patience")

// errCallerLeft ends a request whose caller has closed its connection.
var errCallerLeft = fmt.Errorf("the caller has left: %w", context.Canceled)

// unsentOfLeftCallers counts the attempts that were not made because the caller had left.
var unsentOfLeftCallers = metrics.NewCounter("bergamotreel_relay_unsent_of_left_callers_total")

// errAborted ends a request whose handler panicked.
var errAborted = errors.New("the handler was aborted")

// errReplaced ends an attempt whose request continues on another backend server.
var errReplaced = errors.New("continued elsewhere")

// errStartUnverified ends an attempt to continue a stream whose backend server may have started again, so that
// its software version is unknown.
var errStartUnverified = errors.New("the backend server may have started again at another software version")

// ForwardDirectory is a Directory for forwarded requests: it also knows the addresses
// of backend servers and records what attempts show of their state.
type ForwardDirectory interface {
	Directory
	// Target returns the address of a backend server, false if it is gone.
	Target(backend string) (service.Target, bool)
	// RecordUnitNotHeld records that a backend server rejected a request because it
	// doesn't hold the unit.
	RecordUnitNotHeld(backend, unit string)
	// MarkUnreachable records that no connection to a target could be established, and
	// why; MarkReachable that it answered.
	MarkUnreachable(target service.Target, cause error)
	MarkReachable(target service.Target)
	// MarkLeaving records that a backend server announced that it is leaving.
	MarkLeaving(backend string)
	// RecordLimit records the limit on further requests in an answer of a backend
	// server, also that there is none.
	RecordLimit(backend string, limit service.Limit)
	// CountUnreachable returns how many backend servers hold the unit and can't be reached
	// from this VM.
	CountUnreachable(unit string) int
	// RecordMaxRejections records how many requests a backend server can reject within a
	// second before it crashes, 0 for no bound; rejected is whether it had no room for the
	// request.
	RecordMaxRejections(backend string, maxRejections int, rejected bool)
	// RecordWeights records the version of a model's weights that an answer of a backend server named.
	RecordWeights(backend, model string, weights int64)
	// RecordAbandoned records that an attempt ended without its whole answer, so that the
	// backend server may still work on the request.
	RecordAbandoned(backend string)
	// RecordRunEnd records that an attempt at a backend server is about to end.
	RecordRunEnd(backend string)
	// TryUsePermit uses one of the permits of a candidate with PermitRequired. It
	// returns false if they have been used meanwhile or have expired.
	TryUsePermit(backend string) bool
	// DoubtStart records a sign that a target may have started again: its connections broke.
	DoubtStart(target service.Target)
	// IsStartConfirmed reports whether a connection leads to the target's start over which the first answer came at a
	// time, zero if that isn't known: the target was found to run at that start later, and after the last DoubtStart.
	IsStartConfirmed(target service.Target, answeredAt time.Time) bool
	// VerifyStart asks a target whether it has started again since the target was returned. It
	// returns false also if that remains unknown.
	VerifyStart(ctx context.Context, target service.Target) bool
	// ExpectStream records that a stream has begun, and that RecordStream follows within maxVerification. Until
	// then its version is not known to anybody.
	ExpectStream(stream streamversion.Stream)
	// RecordStream records where a stream began, or that the weights of its model changed midway.
	RecordStream(stream streamversion.Stream, origin streamversion.Origin)
	// FindStreamVersion returns where a stream that its caller takes up has to go on, or a refusal.
	FindStreamVersion(ctx context.Context, stream streamversion.Stream) (streamversion.Origin, *refusal.Refusal)
}

// Forward sends an opaque request to a backend server and returns its answer to the
// caller. It fails with a refusal, or with any error once the answer has begun.
func (s *Server) Forward(ctx context.Context, r caller.RelayRequest, answer caller.AnswerWriter) error {
	ctx, cancel := context.WithDeadline(ctx, r.AnswerDeadline)
	defer cancel()
	request, query := s.describeForward(r)
	origin, refused := s.findOrigin(ctx, &r)
	if refused != nil {
		s.logNotSent(r.ID, request.Unit, false, refused)
		return refused
	}
	request.Unit = BoundUnit(request.Unit, origin)
	query.Unit = request.Unit
	known := s.findCandidates(request.Unit)
	f := &forwarding{server: s, request: r, answer: answer, order: newEventOrder(r.ResumedAfter, s.numberings.step(r.Service)), origin: origin, readyAtArrival: hasReadyCandidate(known)}
	// Without a backend server to send it to, the request waits: by then it may have been cleared.
	if refused := f.quarantineRefusalOrTrial(); refused != nil && f.readyAtArrival {
		s.logNotSent(r.ID, request.Unit, f.readyAtArrival, refused)
		return refused
	}
	f.tracking.request = &admission.RequestArrivals{Budget: s.recordForward(r)}
	if refused := s.queueRefusal(&r, query.Pool); refused != nil {
		s.logNotSent(r.ID, request.Unit, f.readyAtArrival, refused)
		return refused
	}
	request.Trial = f.isTrial
	if f.order.canContinue() {
		query.Exclude = s.listNotContinuing(time.Now(), nil)
	}
	p, w, refused := s.admit(request, query, known)
	if refused != nil {
		s.logNotSent(r.ID, request.Unit, f.readyAtArrival, refused)
		return refused
	}
	f.pending = p
	return p.correctRan(f.runAndFinish(ctx, w))
}

// runAndFinish runs the request and returns what it holds, also if the caller's writer panics: net/http recovers, and a
// place that stayed taken would be lost on all VMs.
func (f *forwarding) runAndFinish(ctx context.Context, w *waiter) (err error) {
	err = errAborted
	defer func() {
		f.releaseReplacement()
		f.releaseRetry()
		f.dropUnsettled()
		f.pending.finish(ctx, err, f.outcome)
	}()
	return f.run(ctx, w)
}

// findOrigin returns where the request has to run if its caller takes up a stream with it.
func (s *Server) findOrigin(ctx context.Context, r *caller.RelayRequest) (streamversion.Origin, *refusal.Refusal) {
	if !r.Route.Stream || r.ResumedAfter == "" {
		return streamversion.Origin{}, nil
	}
	return s.forwardDirectory().FindStreamVersion(ctx, streamOf(r))
}

// streamOf returns the stream that a request begins or takes up.
func streamOf(r *caller.RelayRequest) streamversion.Stream {
	stream := streamversion.Stream{Workspace: r.WorkspaceName(), Service: r.Service, Model: r.Model, Request: r.ID}
	if r.ResumedAfter != "" {
		stream.Request = r.ResumedRequest
	}
	return stream
}

func (s *Server) describeForward(r caller.RelayRequest) (admission.Request, routing.Query) {
	unit, pool := servicePool(r.Service), servicePool(r.Service)
	if r.Model != "" {
		modelUnit := ModelUnit{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
		unit, pool = modelUnit.String(), modelUnit.Pool()
	}
	request := admission.Request{
		ID: r.ID, Customer: r.Customer, Workspace: r.WorkspaceName(), Service: r.Service, Unit: unit, Pool: pool, Priority: r.Priority(),
		Arrived: r.Arrived, Deadline: r.BeginDeadline, Cost: 1,
		Target: r.Route.TargetLatency, CallerDeadline: r.AnswerDeadline,
	}
	return request, routing.Query{Unit: unit, Pool: pool, Domain: s.config.Domain, Prefixes: r.Prefixes, Pace: s.paceTargets(&r, pool)}
}

// forwarding is the state of one opaque request that is being forwarded.
type forwarding struct {
	server  *Server
	pending *pendingRequest
	request caller.RelayRequest
	answer  caller.AnswerWriter
	outcome attemptOutcome
	// target is where the current attempt is sent.
	target service.Target
	// attempts counts the attempts, attemptsRun those that may have run.
	attempts, attemptsRun int
	// order follows the events that the caller received.
	order eventOrder
	// lastReceived is when the current attempt last received data, or was ready for more
	// after it; zero before the first. pieces counts the pieces of data that it received.
	lastReceived time.Time
	pieces       int
	// tracking follows the arrivals of the attempts at their backend servers.
	tracking arrivalTracking
	// framing is how the current attempt's answer marks its end, empty before its head.
	framing string
	// eventStream is whether the current attempt's answer is an event stream, boundary where
	// in it the received data ends.
	eventStream bool
	boundary    eventBoundary
	// pace is what was measured of the current attempt's stream.
	pace streamPace
	// origin is where the stream has to go on, empty while it may begin anywhere.
	origin streamversion.Origin
	// verifying brings the software version of a stream once the start is verified that sent its first event, nil if that
	// isn't needed. verifyingWeights are the weights that are then recorded.
	verifying        <-chan string
	verifyingWeights int64
	// answerHead is the head that the caller's answer began with.
	answerHead *service.ForwardResponse
	// lastDelivered is when the caller received its last event, zero before the first.
	lastDelivered time.Time
	// keptSilent is whether the last attempt was silent for too long and went on, as
	// nothing could replace it.
	keptSilent bool
	// limit, leaving and cooldown are what the answer of the last attempt said: a
	// limit on further requests, whether the backend server is leaving, and for how
	// long it wants no requests.
	limit    service.Limit
	leaving  bool
	cooldown time.Duration
	// maxRejections is the bound on rejections that the answer of the last attempt named, 0 for
	// none.
	maxRejections int
	// replacement is what the stall guard reserved to continue the request elsewhere, nil
	// for nothing. While an attempt runs, it belongs to the guard.
	replacement *reservation
	// movedFrom is the backend server that the stall guard moved the request away from,
	// empty unless the current attempt is the first one after the move.
	movedFrom string
	// subjects caches the result of quarantineSubjects.
	subjects []quarantine.Subject
	// partsSoundAt is when the current attempt's answer shows that the parts of the prompt are sound,
	// progressDue when its progress is next reported to the quarantine.
	partsSoundAt, progressDue time.Time
	// sendings tracks the connections over which the request was sent.
	sendings sendonce.Sendings
	// isTrial is whether the next attempt is a trial of a refused request.
	isTrial bool
	// retry is the state of the permission for the current or next attempt, retryUsage that
	// of the budget when the permission was spent.
	retry      retryState
	retryUsage admission.RetryUsage
	// queueRejections counts the rejections by backend servers whose own queues are used.
	queueRejections int
	// readyAtArrival is whether a backend server was ready for the request when it arrived.
	readyAtArrival bool
}

// run makes attempts until the answer is complete or no further attempt is allowed.
func (f *forwarding) run(ctx context.Context, w *waiter) error {
	err := f.pending.waitForBackend(ctx, w)
	if err != nil {
		f.server.logNotSent(f.request.ID, f.pending.query.Unit, f.readyAtArrival, err)
	}
	for err == nil {
		if f.answer.HasCallerLeft() {
			return f.endUnsent()
		}
		// Check again: the request may have waited.
		if refused := f.quarantineRefusalOrTrial(); refused != nil {
			f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
			return refused
		}
		f.isTrial = false
		if refused := f.stoppingRefusal(time.Now()); refused != nil {
			f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
			return refused
		}
		if !f.spendRetry() {
			f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
			return f.overBudgetError(errRetryBudgetShrank)
		}
		err = f.attempt(ctx)
		f.logAttempt(err)
		f.countUnframed(err)
		if f.keptSilent {
			silentKept.Inc()
		}
		if err == nil {
			f.recordDuration(time.Now())
			return nil
		}
		f.recordAttemptEnd()
		endedForSilence := isEndedForSilence(err)
		err = f.handleFailure(ctx, err)
		if endedForSilence {
			f.countSilentAttempt(ctx, err)
		}
	}
	return f.finalError(ctx, err)
}

// endUnsent ends a request whose caller has left before an attempt. It returns the error that ends it.
func (f *forwarding) endUnsent() error {
	f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
	unsentOfLeftCallers.Inc()
	return errCallerLeft
}

// finalError turns the error that ended the request into the one for the caller.
func (f *forwarding) finalError(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &refused), f.answer.HasBegun():
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && f.pending.mayHaveRun:
		return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "no answer in time")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.CodeWaitTooLong, shortRetryAfter, "no backend server within the longest wait")
	default:
		return err
	}
}

// handleFailure decides what follows a failed attempt. It returns nil once the request
// has a backend server for another attempt, and otherwise the error that ends it.
func (f *forwarding) handleFailure(ctx context.Context, cause error) error {
	if f.outcome.mayHaveRun {
		f.pending.mayHaveRun = true
	}
	switch {
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.Canceled) {
			f.outcome = attemptOutcome{} // the caller disconnected: not a fault of the backend server
		}
		return ctx.Err()
	case isTerminalError(cause):
		return cause
	case f.replacement != nil:
		f.releaseRetry() // the replacement has reserved another one
		f.retry = retryReserved
		f.movedFrom = f.pending.backend
		f.pending.moveTo(f.replacement, f.outcome)
		f.replacement = nil
		return nil
	case !f.outcome.mayHaveRun && errors.Is(cause, service.ErrNotSent):
		return f.requeue(ctx)
	case f.outcome.mayHaveRun && !f.canRepeat():
		return f.brokenAnswerError(cause)
	case f.queueRejections >= maxQueueRejections:
		return f.rejectedError(cause)
	case !f.reserveRetry():
		return f.overBudgetError(cause)
	default:
		return f.requeue(ctx)
	}
}

// requeue waits for a backend server for another attempt. A caller that has received
// events waits for the next one as long as it did for the first.
func (f *forwarding) requeue(ctx context.Context) error {
	if !f.lastDelivered.IsZero() {
		f.pending.setDeadline(f.request.ContinueDeadline(f.lastDelivered))
	}
	if f.movedFrom != "" && !f.outcome.mayHaveRun {
		// The reserved server had no slot after all; the silent one may still be sound.
		delete(f.pending.query.Exclude, f.movedFrom)
	}
	f.movedFrom = ""
	f.excludeNotContinuing()
	f.awaitVersion(ctx, versionTimeout)
	return f.pending.requeueFor(ctx, f.outcome, f.unitToContinue())
}

// unitToContinue returns the unit that the next attempt needs. What backend servers of two software
// versions, or with weights of two versions, write doesn't fit together, so a stream goes on where it began.
func (f *forwarding) unitToContinue() string {
	unit, _ := SplitVersion(f.pending.query.Unit)
	return BoundUnit(unit, f.origin)
}

// canRepeat reports whether a request that may have run may be sent once more.
func (f *forwarding) canRepeat() bool {
	route := f.request.Route
	return route.IsRepeatable() && f.attemptsRun < route.MaxAttempts && f.canContinueAnswer()
}

// canContinueAnswer reports whether another attempt could continue what the caller has of
// the answer.
func (f *forwarding) canContinueAnswer() bool {
	route := f.request.Route
	return !f.answer.HasBegun() || (route.Repeat == contract.RepeatResume && f.order.canContinue() && isEventStream(route, f.answerHead))
}

func (f *forwarding) brokenAnswerError(cause error) error {
	if f.answer.HasBegun() {
		return cause
	}
	return refusal.NewMaybeRan(refusal.CodeBackendFailed, "%v", cause)
}

func (f *forwarding) overBudgetError(cause error) error {
	if f.answer.HasBegun() {
		return cause
	}
	if f.pending.mayHaveRun {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the retry budget is spent: %v", cause)
	}
	return refusal.New(refusal.CodeNoCapacity, shortRetryAfter, "not run, and the retry budget is spent: %v", cause)
}

// forwardDirectory returns the directory for forwarded requests.
func (s *Server) forwardDirectory() ForwardDirectory { return s.config.ForwardDirectory }
