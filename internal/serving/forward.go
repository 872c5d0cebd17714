package serving

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/quarantine"
	"bergamotreel/caller"
	"bergamotreel/contract"
	"bergamotreel/internal/telemetry"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

const (
	// bufferedAnswer bounds the answers that are read whole before any of it is
	// passed on, so that one that is cut off can be asked for again.
	maxBufferedAnswer = 64 << 10
	// pieceBytes is how much of an answer is passed on at a time.
	copyBufferSize = 16 << 10
	// patienceRatio times the route's target latency, and patienceLeast at least,
	// is how long a repeatable request waits for the head of its answer before it
	// is tried elsewhere. Well beyond the target it earns little by waiting on.
	headTimeoutFactor = 3
	minHeadTimeout    = 500 * time.Millisecond
	// streamSilence is the longest pause in a stream that can be resumed elsewhere:
	// far beyond that between two events, and within what callers wait.
	resumableStallTimeout = 2 * time.Second
)

// errImpatient ends an attempt that another backend server may serve sooner.
var errHeadTimeout = errors.New("no answer within the route's patience")

// ForwardDirectory tells where a candidate can be reached.
type ForwardDirectory interface {
	Directory
	// Target returns where a backend server is, false if it is gone.
	Target(backend string) (service.Target, bool)
	// RecordUnitNotHeld tells that a backend server turned a request away as it doesn't hold
	// the unit.
	RecordUnitNotHeld(backend, unit string)
	// MarkUnreachable tells that no connection to a backend server came about, Reached
	// that it answered.
	MarkUnreachable(backend string)
	MarkReachable(backend string)
	// MarkLeaving tells that a backend server said that it leaves.
	MarkLeaving(backend string)
	// RecordLimit tells what an answer of a backend server said of further requests.
	RecordLimit(backend string, limit service.Limit)
	// TryUsePermit uses one of the permits that a Limited candidate came with, false if they
	// were used meanwhile or have lapsed.
	TryUsePermit(backend string) bool
}

// Forward passes an opaque request on to a backend server, and its answer back.
// It fails with a refusal, or with any error once the answer has begun.
func (s *Server) Forward(ctx context.Context, r caller.RelayRequest, answer caller.RelayAnswer) error {
	ctx, cancel := context.WithDeadline(ctx, r.GiveUp)
	defer cancel()
	request, query := s.describeForward(r)
	known := s.findCandidates(request.Unit)
	f := &forwarding{server: s, request: r, answer: answer, lastEventID: r.ResumeAfter, readyAtArrival: hasReadyCandidate(known)}
	if refused := f.quarantineRefusal(); refused != nil {
		s.logNotSent(r.ID, request.Unit, f.readyAtArrival, refused)
		return refused
	}
	s.recordForward(r)
	p, w, refused := s.admit(request, query, known)
	if refused != nil {
		s.logNotSent(r.ID, request.Unit, f.readyAtArrival, refused)
		return refused
	}
	f.pending = p
	err := f.run(ctx, w)
	p.finish(ctx, err, f.outcome)
	return p.correctRan(err)
}

func (s *Server) describeForward(r caller.RelayRequest) (admission.Request, routing.Query) {
	unit, pool := servicePool(r.Service), servicePool(r.Service)
	if r.Model != "" {
		held := ModelUnit{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
		unit, pool = held.String(), held.Pool()
	}
	request := admission.Request{
		ID: r.ID, Customer: r.Customer, Unit: unit, Pool: pool, Priority: r.Priority(),
		Arrived: r.Arrived, Deadline: r.BeginBy, Cost: 1,
	}
	return request, routing.Query{Unit: unit, Pool: pool, Domain: s.config.Domain, Prefixes: r.Prefixes}
}

// forwarding is one opaque request on its way.
type forwarding struct {
	server  *Server
	pending *pendingRequest
	request caller.RelayRequest
	answer  caller.RelayAnswer
	outcome attemptOutcome
	// runs counts the attempts that may have run.
	attemptsRun int
	// resume is the last event that the caller has, empty before the first.
	lastEventID string
	// limit is what the newest attempt's answer named, leaving whether it said that the
	// backend server leaves, rest what it asked for.
	limit    service.Limit
	leaving  bool
	cooldown time.Duration
	// fingerprint is for contentHash.
	fingerprint *quarantine.Fingerprint
	// arrivedReady is whether a backend server was ready for it at its arrival.
	readyAtArrival bool
}

// run goes on until the answer is whole or given up.
func (f *forwarding) run(ctx context.Context, w *waiter) error {
	err := f.pending.waitForBackend(ctx, w)
	if err != nil {
		f.server.logNotSent(f.request.ID, f.pending.query.Unit, f.readyAtArrival, err)
	}
	for err == nil {
		// Again, as it may have waited.
		if refused := f.quarantineRefusal(); refused != nil {
			f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
			return refused
		}
		err = f.attempt(ctx)
		f.logAttempt(err)
		if err == nil {
			return nil
		}
		err = f.handleFailure(ctx, err)
	}
	return f.finalError(ctx, err)
}

// final turns the end of a wait into the answer to the caller.
func (f *forwarding) finalError(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &refused), f.answer.Begun():
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && f.pending.mayHaveRun:
		return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "no answer in time")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.CodeWaitTooLong, shortRetryAfter, "no backend server within the longest wait")
	default:
		return err
	}
}

// next decides what follows a failed attempt: another one, or the end.
func (f *forwarding) handleFailure(ctx context.Context, cause error) error {
	if f.outcome.mayHaveRun {
		f.pending.mayHaveRun = true
	}
	switch {
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.Canceled) {
			f.outcome = attemptOutcome{} // the caller left; that blames nobody
		}
		return ctx.Err()
	case isSinkError(cause):
		return cause
	case !f.outcome.mayHaveRun && errors.Is(cause, service.ErrNotSent):
		return f.pending.requeue(ctx, f.outcome)
	case f.outcome.mayHaveRun && !f.canRepeat():
		return f.brokenAnswerError(cause)
	case !f.pending.allowServiceRetry(f.request.Service):
		return f.overBudgetError(cause)
	default:
		return f.pending.requeue(ctx, f.outcome)
	}
}

// mayRepeat tells whether a request that may have run may be sent once more.
func (f *forwarding) canRepeat() bool {
	route := f.request.Route
	if !route.Repeatable() || f.attemptsRun >= route.MaxAttempts {
		return false
	}
	return !f.answer.Begun() || (route.Repeat == contract.RepeatResume && f.lastEventID != "")
}

func (f *forwarding) brokenAnswerError(cause error) error {
	if f.answer.Begun() {
		return cause
	}
	return refusal.NewMaybeRan(refusal.CodeBackendFailed, "%v", cause)
}

func (f *forwarding) overBudgetError(cause error) error {
	if f.answer.Begun() {
		return cause
	}
	if f.pending.mayHaveRun {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the retry budget is spent: %v", cause)
	}
	return refusal.New(refusal.CodeNoCapacity, shortRetryAfter, "not run, and the retry budget is spent: %v", cause)
}

// attempt sends the request to the assigned backend server and passes the answer
// on. It sets the verdict.
func (f *forwarding) attempt(ctx context.Context) error {
	target, ok := f.server.forwardDirectory().Target(f.pending.backend)
	if !ok {
		f.outcome = attemptOutcome{excludeBackend: true}
		return service.ErrNotSent
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := f.startStallGuard(cancel)
	defer guard.stop()
	head, err := f.server.config.Forwarder.Forward(ctx, target, f.backendRequest())
	f.recordBackendSignals(head, err)
	if err == nil {
		f.attemptsRun++
		f.server.forwardDirectory().MarkReachable(f.pending.backend)
		err = f.deliver(head, guard)
		_ = head.Body.Close()
	} else if errors.Is(err, service.ErrOutcomeUnknown) {
		f.attemptsRun++
	}
	err = withGuardCause(ctx, err)
	f.classifyAttempt(err)
	f.reportToQuarantine(ctx, head, err)
	return err
}

// noteSignals tells the directory what the answer says of its backend server: a limit, or
// that it names none; refusals and failures need not name one.
func (f *forwarding) recordBackendSignals(head *service.Forwarded, err error) {
	f.limit, f.leaving, f.cooldown = service.Limit{}, false, 0
	if head == nil {
		return
	}
	f.limit, f.leaving, f.cooldown = head.Limit, head.Leaving, head.Rest
	if head.Leaving && f.pending.isCurrentIncarnation() {
		f.server.forwardDirectory().MarkLeaving(f.pending.backend)
	}
	if head.Rest > 0 {
		f.pending.startCooldown(time.Now().Add(head.Rest))
	}
	if head.Limit.Named || (err == nil && head.Status < http.StatusMultipleChoices) {
		f.server.forwardDirectory().RecordLimit(f.pending.backend, head.Limit)
	}
}

// guard ends the attempt of a request that can be repeated, where the backend
// server is silent for too long; any other one waits to its end.
func (f *forwarding) startStallGuard(cancel context.CancelCauseFunc) *stallGuard {
	route := f.request.Route
	if !route.Repeatable() || f.attemptsRun+1 >= route.MaxAttempts {
		return newStallGuard(time.Until(f.request.GiveUp)+time.Hour, time.Hour, cancel, errHeadTimeout)
	}
	wait := max(headTimeoutFactor*route.TargetLatency, minHeadTimeout)
	return newStallGuard(wait, resumableStallTimeout, cancel, errHeadTimeout)
}

func (f *forwarding) backendRequest() service.Forward {
	out := f.request.Forward
	out.ResumeAfter = f.lastEventID
	out.Urgency = -1
	if f.request.Model != "" {
		out.Urgency = max(0, -f.request.Priority())
	}
	return out
}

// judge reads the end of an attempt.
func (f *forwarding) classifyAttempt(err error) {
	switch {
	case err == nil:
		f.outcome = attemptOutcome{routerResult: routing.Result{OK: true}, mayHaveRun: true}
	case isSinkError(err):
		f.outcome = attemptOutcome{mayHaveRun: true}
	case errors.Is(err, service.ErrNotSent):
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			f.server.forwardDirectory().MarkUnreachable(f.pending.backend)
		}
		f.outcome = attemptOutcome{routerResult: routing.Result{Failed: true, NotRun: true}, excludeBackend: true}
	case errors.Is(err, service.ErrWrongServer):
		f.server.forwardDirectory().RecordUnitNotHeld(f.pending.backend, f.pending.query.Unit)
		f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}, excludeBackend: true}
	case errors.Is(err, service.ErrNotRun):
		f.outcome = attemptOutcome{routerResult: routing.Result{NotRun: true}}
	default:
		f.outcome = attemptOutcome{routerResult: routing.Result{Failed: true}, mayHaveRun: true, excludeBackend: true}
	}
}

// errServerFailed says that the backend server answered with a failure of its own.
var errServerFailed = errors.New("the backend server failed")

// deliver passes the answer on.
func (f *forwarding) deliver(head *service.Forwarded, guard *stallGuard) error {
	failed := head.Status >= http.StatusInternalServerError
	switch {
	case failed && f.canRepeat():
		return errServerFailed
	case failed && f.answer.Begun():
		return errServerFailed // a resumed stream can't go on with a failure
	case f.request.Route.Repeat == contract.RepeatResume && !failed:
		return f.deliverEvents(head, guard)
	case f.request.Route.Repeat == contract.RepeatSafe && head.Length >= 0 && head.Length <= maxBufferedAnswer:
		return f.deliverBuffered(head, guard)
	default:
		return f.deliverUnbuffered(head, guard)
	}
}

// deliverWhole reads the answer to its end before it passes anything on.
func (f *forwarding) deliverBuffered(head *service.Forwarded, guard *stallGuard) error {
	body := make([]byte, head.Length)
	if _, err := io.ReadFull(head.Body, body); err != nil {
		return err
	}
	// The end must come too: what follows would belong to no request.
	if n, err := head.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return errors.Join(errors.New("answer without its end"), err)
	}
	f.recordProgress(guard)
	f.beginAnswer(head)
	if len(body) == 0 {
		return nil
	}
	return f.writeAnswer(body)
}

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// deliverPieces passes the answer on as it comes.
func (f *forwarding) deliverUnbuffered(head *service.Forwarded, guard *stallGuard) error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := head.Body.Read(buffer[:])
		if n > 0 {
			f.recordProgress(guard)
			f.beginAnswer(head)
			if err := f.writeAnswer(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			f.beginAnswer(head)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deliverEvents passes whole events on and remembers the last one.
func (f *forwarding) deliverEvents(head *service.Forwarded, guard *stallGuard) error {
	head.Length = -1 // of the first attempt only
	events := newEventReader(head.Body)
	for {
		whole, err := events.next()
		if len(whole) > 0 {
			f.recordProgress(guard)
			f.beginAnswer(head)
			if err := f.writeAnswer(whole); err != nil {
				return err
			}
			if events.lastID != "" {
				f.lastEventID = events.lastID
			}
		}
		if errors.Is(err, io.EOF) {
			f.beginAnswer(head)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// begin sends the head of the first attempt that brings something; a resumed
// stream keeps it.
func (f *forwarding) beginAnswer(head *service.Forwarded) {
	if !f.answer.Begun() {
		f.answer.Begin(head.Status, head.Header, head.Length)
	}
}

func (f *forwarding) writeAnswer(data []byte) error {
	if err := f.answer.Write(data); err != nil {
		return sinkError{err}
	}
	return nil
}

// answered notes the first and each further sign of the answer.
func (f *forwarding) recordProgress(guard *stallGuard) {
	now := time.Now()
	guard.recordProgress(now)
	if f.pending.timeToFirstToken == 0 {
		f.pending.recordFirstToken(now)
	}
}

// logAttempt tells what became of an attempt, and on what it was decided.
func (f *forwarding) logAttempt(err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	fields := []zap.Field{
		zap.String("request", f.request.ID), zap.String("unit", f.pending.query.Unit),
		zap.String("backend", f.pending.backend), zap.Int("try", f.pending.ticket.Attempts),
		zap.Bool("ready_at_arrival", f.readyAtArrival),
		zap.Duration("waited", f.pending.attemptStart.Sub(f.request.Arrived)), zap.Duration("first", f.pending.timeToFirstToken),
		zap.Duration("ran", time.Since(f.pending.attemptStart)),
		zap.String("outcome", outcome), zap.Bool("may_have_run", f.outcome.mayHaveRun), telemetry.Reason(err),
	}
	if f.limit.Named {
		fields = append(fields, zap.Float64("backend_limit", f.limit.PerSecond))
	}
	if f.cooldown > 0 {
		fields = append(fields, zap.Duration("backend_rest", f.cooldown))
	}
	if f.leaving {
		fields = append(fields, zap.Bool("backend_leaving", true))
	}
	if f.fingerprint != nil {
		fields = append(fields, zap.Stringer("fingerprint", f.fingerprint))
	}
	f.server.config.Logger.Info("attempt", fields...)
}

// logNotSent tells of a request that was passed on to no backend server, and whether one had
// its unit when it came: else placement is where to look for the cause.
func (s *Server) logNotSent(id, unit string, readyAtArrival bool, err error) {
	s.config.Logger.Info("not sent", zap.String("request", id), zap.String("unit", unit),
		zap.Bool("ready_at_arrival", readyAtArrival), telemetry.Reason(err))
}

// forwards is the directory of a server that forwards.
func (s *Server) forwardDirectory() ForwardDirectory { return s.config.ForwardDirectory }

// countForward counts a request for its service's retry budget.
func (s *Server) recordForward(r caller.RelayRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceBudget(r.Service).RecordRequest(r.Arrived)
}

// mayRepeatAt asks the retry budget of a service.
func (p *pendingRequest) allowServiceRetry(service string) bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceBudget(service).AllowRetry(time.Now())
}

// budgetOf returns the service's own retry budget: with one for all of them, the
// traffic of a large service would pay for a flood of retries at a small one.
// Call with mu held.
func (s *Server) serviceBudget(service string) *admission.RetryBudget {
	budget := s.serviceBudgets[service]
	if budget == nil {
		budget = &admission.RetryBudget{Share: s.config.RetryShare}
		s.serviceBudgets[service] = budget
	}
	return budget
}
