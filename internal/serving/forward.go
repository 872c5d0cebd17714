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
	bufferedAnswer = 64 << 10
	// pieceBytes is how much of an answer is passed on at a time.
	pieceBytes = 16 << 10
	// patienceRatio times the route's target latency, and patienceLeast at least,
	// is how long a repeatable request waits for the head of its answer before it
	// is tried elsewhere. Well beyond the target it earns little by waiting on.
	patienceRatio = 3
	patienceLeast = 500 * time.Millisecond
	// streamSilence is the longest pause in a stream that can be resumed elsewhere:
	// far beyond that between two events, and within what callers wait.
	streamSilence = 2 * time.Second
)

// errImpatient ends an attempt that another backend server may serve sooner.
var errImpatient = errors.New("no answer within the route's patience")

// ForwardDirectory tells where a candidate can be reached.
type ForwardDirectory interface {
	Directory
	// Target returns where a backend server is, false if it is gone.
	Target(backend string) (service.Target, bool)
	// Lacking tells that a backend server turned a request away as it doesn't hold
	// the unit.
	Lacking(backend, unit string)
	// Unreachable tells that no connection to a backend server came about, Reached
	// that it answered.
	Unreachable(backend string)
	Reached(backend string)
	// Leaving tells that a backend server said that it leaves.
	Leaving(backend string)
	// Limited tells what an answer of a backend server said of further requests.
	Limited(backend string, limit service.Limit)
	// SpendPermit uses one of the permits that a Limited candidate came with, false if they
	// were used meanwhile or have lapsed.
	SpendPermit(backend string) bool
}

// Forward passes an opaque request on to a backend server, and its answer back.
// It fails with a refusal, or with any error once the answer has begun.
func (s *Server) Forward(ctx context.Context, r caller.RelayRequest, answer caller.RelayAnswer) error {
	ctx, cancel := context.WithDeadline(ctx, r.GiveUp)
	defer cancel()
	request, query := s.describeForward(r)
	known := s.find(request.Unit)
	f := &forwarding{server: s, request: r, answer: answer, resume: r.ResumeAfter, arrivedReady: anyReady(known)}
	if refused := f.quarantined(); refused != nil {
		s.logNotSent(r.ID, request.Unit, f.arrivedReady, refused)
		return refused
	}
	s.countForward(r)
	p, w, refused := s.arrive(request, query, known)
	if refused != nil {
		s.logNotSent(r.ID, request.Unit, f.arrivedReady, refused)
		return refused
	}
	f.place = p
	err := f.run(ctx, w)
	p.end(ctx, err, f.verdict)
	return p.honest(err)
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
	place   *place
	request caller.RelayRequest
	answer  caller.RelayAnswer
	verdict verdict
	// runs counts the attempts that may have run.
	runs int
	// resume is the last event that the caller has, empty before the first.
	resume string
	// limit is what the newest attempt's answer named, leaving whether it said that the
	// backend server leaves, rest what it asked for.
	limit   service.Limit
	leaving bool
	rest    time.Duration
	// fingerprint is for contentHash.
	fingerprint *quarantine.Fingerprint
	// arrivedReady is whether a backend server was ready for it at its arrival.
	arrivedReady bool
}

// run goes on until the answer is whole or given up.
func (f *forwarding) run(ctx context.Context, w *waiter) error {
	err := f.place.wait(ctx, w)
	if err != nil {
		f.server.logNotSent(f.request.ID, f.place.query.Unit, f.arrivedReady, err)
	}
	for err == nil {
		// Again, as it may have waited.
		if refused := f.quarantined(); refused != nil {
			f.verdict = verdict{result: routing.Result{NotRun: true}}
			return refused
		}
		err = f.attempt(ctx)
		f.logAttempt(err)
		if err == nil {
			return nil
		}
		err = f.next(ctx, err)
	}
	return f.final(ctx, err)
}

// final turns the end of a wait into the answer to the caller.
func (f *forwarding) final(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	switch {
	case errors.As(err, &refused), f.answer.Begun():
		return err
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && f.place.mayHaveRun:
		return refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "no answer in time")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.CodeWaitTooLong, comeBackSoon, "no backend server within the longest wait")
	default:
		return err
	}
}

// next decides what follows a failed attempt: another one, or the end.
func (f *forwarding) next(ctx context.Context, cause error) error {
	if f.verdict.ran {
		f.place.mayHaveRun = true
	}
	switch {
	case ctx.Err() != nil:
		if errors.Is(ctx.Err(), context.Canceled) {
			f.verdict = verdict{} // the caller left; that blames nobody
		}
		return ctx.Err()
	case isSinkError(cause):
		return cause
	case !f.verdict.ran && errors.Is(cause, service.ErrNotSent):
		return f.place.again(ctx, f.verdict)
	case f.verdict.ran && !f.mayRepeat():
		return f.broken(cause)
	case !f.place.mayRepeatAt(f.request.Service):
		return f.overBudget(cause)
	default:
		return f.place.again(ctx, f.verdict)
	}
}

// mayRepeat tells whether a request that may have run may be sent once more.
func (f *forwarding) mayRepeat() bool {
	route := f.request.Route
	if !route.Repeatable() || f.runs >= route.MaxAttempts {
		return false
	}
	return !f.answer.Begun() || (route.Repeat == contract.RepeatResume && f.resume != "")
}

func (f *forwarding) broken(cause error) error {
	if f.answer.Begun() {
		return cause
	}
	return refusal.NewMaybeRan(refusal.CodeBackendFailed, "%v", cause)
}

func (f *forwarding) overBudget(cause error) error {
	if f.answer.Begun() {
		return cause
	}
	if f.place.mayHaveRun {
		return refusal.NewMaybeRan(refusal.CodeBackendFailed, "the retry budget is spent: %v", cause)
	}
	return refusal.New(refusal.CodeNoCapacity, comeBackSoon, "not run, and the retry budget is spent: %v", cause)
}

// attempt sends the request to the assigned backend server and passes the answer
// on. It sets the verdict.
func (f *forwarding) attempt(ctx context.Context) error {
	target, ok := f.server.forwards().Target(f.place.backend)
	if !ok {
		f.verdict = verdict{avoid: true}
		return service.ErrNotSent
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := f.guard(cancel)
	defer guard.stop()
	head, err := f.server.config.Forwarder.Forward(ctx, target, f.outgoing())
	f.noteSignals(head, err)
	if err == nil {
		f.runs++
		f.server.forwards().Reached(f.place.backend)
		err = f.deliver(head, guard)
		_ = head.Body.Close()
	} else if errors.Is(err, service.ErrOutcomeUnknown) {
		f.runs++
	}
	err = guarded(ctx, err)
	f.judge(err)
	f.reportRun(ctx, head, err)
	return err
}

// noteSignals tells the directory what the answer says of its backend server: a limit, or
// that it names none; refusals and failures need not name one.
func (f *forwarding) noteSignals(head *service.Forwarded, err error) {
	f.limit, f.leaving, f.rest = service.Limit{}, false, 0
	if head == nil {
		return
	}
	f.limit, f.leaving, f.rest = head.Limit, head.Leaving, head.Rest
	if head.Leaving && f.place.sameStart() {
		f.server.forwards().Leaving(f.place.backend)
	}
	if head.Rest > 0 {
		f.place.rest(time.Now().Add(head.Rest))
	}
	if head.Limit.Named || (err == nil && head.Status < http.StatusMultipleChoices) {
		f.server.forwards().Limited(f.place.backend, head.Limit)
	}
}

// guard ends the attempt of a request that can be repeated, where the backend
// server is silent for too long; any other one waits to its end.
func (f *forwarding) guard(cancel context.CancelCauseFunc) *guard {
	route := f.request.Route
	if !route.Repeatable() || f.runs+1 >= route.MaxAttempts {
		return startGuard(time.Until(f.request.GiveUp)+time.Hour, time.Hour, cancel, errImpatient)
	}
	wait := max(patienceRatio*route.TargetLatency, patienceLeast)
	return startGuard(wait, streamSilence, cancel, errImpatient)
}

func (f *forwarding) outgoing() service.Forward {
	out := f.request.Forward
	out.ResumeAfter = f.resume
	out.Urgency = -1
	if f.request.Model != "" {
		out.Urgency = max(0, -f.request.Priority())
	}
	return out
}

// judge reads the end of an attempt.
func (f *forwarding) judge(err error) {
	switch {
	case err == nil:
		f.verdict = verdict{result: routing.Result{OK: true}, ran: true}
	case isSinkError(err):
		f.verdict = verdict{ran: true}
	case errors.Is(err, service.ErrNotSent):
		if !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
			f.server.forwards().Unreachable(f.place.backend)
		}
		f.verdict = verdict{result: routing.Result{Failed: true, NotRun: true}, avoid: true}
	case errors.Is(err, service.ErrWrongServer):
		f.server.forwards().Lacking(f.place.backend, f.place.query.Unit)
		f.verdict = verdict{result: routing.Result{NotRun: true}, avoid: true}
	case errors.Is(err, service.ErrNotRun):
		f.verdict = verdict{result: routing.Result{NotRun: true}}
	default:
		f.verdict = verdict{result: routing.Result{Failed: true}, ran: true, avoid: true}
	}
}

// errServerFailed says that the backend server answered with a failure of its own.
var errServerFailed = errors.New("the backend server failed")

// deliver passes the answer on.
func (f *forwarding) deliver(head *service.Forwarded, guard *guard) error {
	failed := head.Status >= http.StatusInternalServerError
	switch {
	case failed && f.mayRepeat():
		return errServerFailed
	case failed && f.answer.Begun():
		return errServerFailed // a resumed stream can't go on with a failure
	case f.request.Route.Repeat == contract.RepeatResume && !failed:
		return f.deliverEvents(head, guard)
	case f.request.Route.Repeat == contract.RepeatSafe && head.Length >= 0 && head.Length <= bufferedAnswer:
		return f.deliverWhole(head, guard)
	default:
		return f.deliverPieces(head, guard)
	}
}

// deliverWhole reads the answer to its end before it passes anything on.
func (f *forwarding) deliverWhole(head *service.Forwarded, guard *guard) error {
	body := make([]byte, head.Length)
	if _, err := io.ReadFull(head.Body, body); err != nil {
		return err
	}
	// The end must come too: what follows would belong to no request.
	if n, err := head.Body.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		return errors.Join(errors.New("answer without its end"), err)
	}
	f.answered(guard)
	f.begin(head)
	if len(body) == 0 {
		return nil
	}
	return f.pass(body)
}

var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// deliverPieces passes the answer on as it comes.
func (f *forwarding) deliverPieces(head *service.Forwarded, guard *guard) error {
	piece := pieces.Get().(*[pieceBytes]byte)
	defer pieces.Put(piece)
	for {
		n, err := head.Body.Read(piece[:])
		if n > 0 {
			f.answered(guard)
			f.begin(head)
			if err := f.pass(piece[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			f.begin(head)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// deliverEvents passes whole events on and remembers the last one.
func (f *forwarding) deliverEvents(head *service.Forwarded, guard *guard) error {
	head.Length = -1 // of the first attempt only
	events := newEventReader(head.Body)
	for {
		whole, err := events.next()
		if len(whole) > 0 {
			f.answered(guard)
			f.begin(head)
			if err := f.pass(whole); err != nil {
				return err
			}
			if events.lastID != "" {
				f.resume = events.lastID
			}
		}
		if errors.Is(err, io.EOF) {
			f.begin(head)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// begin sends the head of the first attempt that brings something; a resumed
// stream keeps it.
func (f *forwarding) begin(head *service.Forwarded) {
	if !f.answer.Begun() {
		f.answer.Begin(head.Status, head.Header, head.Length)
	}
}

func (f *forwarding) pass(piece []byte) error {
	if err := f.answer.Write(piece); err != nil {
		return sinkError{err}
	}
	return nil
}

// answered notes the first and each further sign of the answer.
func (f *forwarding) answered(guard *guard) {
	now := time.Now()
	guard.heard(now)
	if f.place.firstToken == 0 {
		f.place.answer(now)
	}
}

// logAttempt tells what became of an attempt, and on what it was decided.
func (f *forwarding) logAttempt(err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	fields := []zap.Field{
		zap.String("request", f.request.ID), zap.String("unit", f.place.query.Unit),
		zap.String("backend", f.place.backend), zap.Int("try", f.place.ticket.Attempts),
		zap.Bool("ready_at_arrival", f.arrivedReady),
		zap.Duration("waited", f.place.begun.Sub(f.request.Arrived)), zap.Duration("first", f.place.firstToken),
		zap.Duration("ran", time.Since(f.place.begun)),
		zap.String("outcome", outcome), zap.Bool("may_have_run", f.verdict.ran), telemetry.Reason(err),
	}
	if f.limit.Named {
		fields = append(fields, zap.Float64("backend_limit", f.limit.PerSecond))
	}
	if f.rest > 0 {
		fields = append(fields, zap.Duration("backend_rest", f.rest))
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
func (s *Server) logNotSent(id, unit string, arrivedReady bool, err error) {
	s.config.Logger.Info("not sent", zap.String("request", id), zap.String("unit", unit),
		zap.Bool("ready_at_arrival", arrivedReady), telemetry.Reason(err))
}

// forwards is the directory of a server that forwards.
func (s *Server) forwards() ForwardDirectory { return s.config.Forwards }

// countForward counts a request for its service's retry budget.
func (s *Server) countForward(r caller.RelayRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budgetOf(r.Service).RecordRequest(r.Arrived)
}

// mayRepeatAt asks the retry budget of a service.
func (p *place) mayRepeatAt(service string) bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service).AllowRetry(time.Now())
}

// budgetOf returns the service's own retry budget: with one for all of them, the
// traffic of a large service would pay for a flood of retries at a small one.
// Call with mu held.
func (s *Server) budgetOf(service string) *admission.RetryBudget {
	budget := s.budgets[service]
	if budget == nil {
		budget = &admission.RetryBudget{Share: s.config.RetryShare}
		s.budgets[service] = budget
	}
	return budget
}
