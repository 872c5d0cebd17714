package serving

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bergamotreel/admission"
	"bergamotreel/caller"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// Claims records calls that must not be repeated, across all entry VMs.
type Claims interface {
	// Begin claims the call. It returns either the claim, if this VM is to
	// dispatch the call, or the answer to the call's first arrival. Otherwise it
	// fails with a refusal.
	Begin(ctx context.Context, call caller.ServiceCall) (Claim, *service.Answer, error)
}

// Claim is the right to dispatch one call once. Exactly one of its methods must be
// called, exactly once.
type Claim interface {
	// Complete records the answer to return to later arrivals of the same call.
	Complete(service.Answer)
	// Release releases the claim: no byte of the call was sent, nor will be.
	Release()
	// MarkUnknown keeps the claim without an answer: the call may have run.
	MarkUnknown()
}

// Call returns the complete answer of a plain service or fails with a refusal.
func (s *Server) Call(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Arrived.Add(call.Service.MaxWait))
	defer cancel()
	if call.AtMostOnce && call.IdempotencyKey != "" {
		return s.callClaimed(ctx, call)
	}
	return s.callWithoutClaim(ctx, call)
}

// callClaimed dispatches the call only if it is its first arrival at any entry VM.
func (s *Server) callClaimed(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	claim, first, err := s.config.Claims.Begin(ctx, call)
	if err != nil {
		return service.Answer{}, err
	}
	if first != nil {
		return *first, nil
	}
	answer, err := s.callWithoutClaim(ctx, call)
	switch {
	case err == nil:
		claim.Complete(answer)
	case refusal.FromError(err).Ran == refusal.RanNo:
		claim.Release()
	default:
		claim.MarkUnknown()
	}
	return answer, err
}

// callWithoutClaim admits the call, queues it and sends it to a backend server.
func (s *Server) callWithoutClaim(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	request := admission.Request{
		ID: call.RequestID, Customer: call.Identity.Customer,
		Unit: servicePool(call.Service.Name), Pool: servicePool(call.Service.Name),
		Priority: call.Service.Priority + call.Identity.Priority,
		Arrived:  call.Arrived, Deadline: call.Arrived.Add(call.Service.MaxWait), Cost: 1,
	}
	query := routing.Query{Unit: request.Unit, Pool: request.Pool, Domain: s.config.Domain}
	p, w, refused := s.admit(request, query, s.findCandidates(request.Unit))
	if refused != nil {
		return service.Answer{}, refused
	}
	answer, outcome, err := s.sendCall(ctx, p, w, call)
	p.finish(ctx, err, outcome)
	return answer, p.correctRan(err)
}

// sendCall waits for a backend server and sends the call. It tries again after an
// attempt that didn't run, and after one that may have run if the call is
// repeatable and the retry budget allows it. It also returns the outcome of the
// last attempt.
func (s *Server) sendCall(ctx context.Context, p *pendingRequest, w *waiter, call caller.ServiceCall) (service.Answer, attemptOutcome, error) {
	err := p.waitForBackend(ctx, w)
	for err == nil {
		answer, callErr := s.config.Services.Do(ctx, p.backend, call.Call)
		outcome := classifyCallError(callErr)
		if callErr == nil {
			p.recordFirstToken(time.Now())
			return answer, outcome, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && !outcome.mayHaveRun) {
			outcome.routerResult = routing.Result{} // the caller disconnected or its deadline passed: not a fault of the backend server
		}
		p.mayHaveRun = p.mayHaveRun || outcome.mayHaveRun
		if p.mayHaveRun && (ctx.Err() != nil || !isRepeatable(call) || !p.allowRetry()) {
			return answer, outcome, refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "the call was sent and its answer was lost")
		}
		err = p.requeue(ctx, outcome)
	}
	return service.Answer{}, attemptOutcome{}, callRefusal(ctx, err)
}

// callRefusal returns the refusal for a call whose wait ended with err.
func callRefusal(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.CodeWaitTooLong, shortRetryAfter, "no backend server within the longest wait")
	}
	return refusal.New(refusal.CodeInternal, 0, "the caller left")
}

// isRepeatable reports whether the call may be sent again after it may have run.
// It is false for calls that the contract marks as once, and for methods that
// aren't idempotent.
func isRepeatable(call caller.ServiceCall) bool {
	if call.AtMostOnce {
		return false
	}
	return call.Method != http.MethodPost && call.Method != http.MethodPatch
}
