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

// Claims records calls that may not be repeated, over all entry VMs.
type Claims interface {
	// Begin claims the call. Exactly one of the first two results is set: the
	// claim, if this VM is to dispatch the call, or the answer of the call's
	// first arrival. Otherwise it fails with a refusal.
	Begin(ctx context.Context, call caller.ServiceCall) (Claim, *service.Answer, error)
}

// Claim is the right to dispatch one call, once. One of its methods must be
// called, once.
type Claim interface {
	// Done records the answer for later arrivals of the same call.
	Done(service.Answer)
	// NotRun gives the claim back: no byte of the call was sent, nor will be.
	NotRun()
	// Unknown keeps the claim: the call may have run.
	Unknown()
}

// Call returns the whole answer of a plain service or fails with a refusal.
func (s *Server) Call(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Arrived.Add(call.Service.MaxWait))
	defer cancel()
	if call.Once && call.IdempotencyKey != "" {
		return s.callClaimed(ctx, call)
	}
	return s.callPlaced(ctx, call)
}

// callClaimed dispatches only the first arrival of the call at any entry VM.
func (s *Server) callClaimed(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	claim, first, err := s.config.Claims.Begin(ctx, call)
	if err != nil {
		return service.Answer{}, err
	}
	if first != nil {
		return *first, nil
	}
	answer, err := s.callPlaced(ctx, call)
	switch {
	case err == nil:
		claim.Done(answer)
	case refusal.FromError(err).Ran == refusal.RanNo:
		claim.NotRun()
	default:
		claim.Unknown()
	}
	return answer, err
}

// callPlaced takes the call through the queue to a backend server.
func (s *Server) callPlaced(ctx context.Context, call caller.ServiceCall) (service.Answer, error) {
	request := admission.Request{
		ID: call.RequestID, Customer: call.Identity.Customer,
		Unit: servicePool(call.Service.Name), Pool: servicePool(call.Service.Name),
		Priority: call.Service.Priority + call.Identity.Priority,
		Arrived:  call.Arrived, Deadline: call.Arrived.Add(call.Service.MaxWait), Cost: 1,
	}
	query := routing.Query{Unit: request.Unit, Pool: request.Pool, Domain: s.config.Domain}
	p, w, refused := s.arrive(request, query, s.find(request.Unit))
	if refused != nil {
		return service.Answer{}, refused
	}
	answer, v, err := s.callQueued(ctx, p, w, call)
	p.end(ctx, err, v)
	return answer, p.honest(err)
}

// callQueued waits for a backend server and sends the call, until it was sent
// once, or until it may be repeated and the budget allows no more. It returns
// the verdict on the last attempt too.
func (s *Server) callQueued(ctx context.Context, p *place, w *waiter, call caller.ServiceCall) (service.Answer, verdict, error) {
	err := p.wait(ctx, w)
	for err == nil {
		answer, callErr := s.config.Services.Do(ctx, p.backend, call.Call)
		v := judgeCall(callErr)
		if callErr == nil {
			p.answer(time.Now())
			return answer, v, nil
		}
		if errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && !v.ran) {
			v.result = routing.Result{} // the caller left or came too late; that blames no one
		}
		p.mayHaveRun = p.mayHaveRun || v.ran
		if p.mayHaveRun && (ctx.Err() != nil || !repeatable(call) || !p.mayRetry()) {
			return answer, v, refusal.NewMaybeRan(refusal.CodeOutcomeUnknown, "the call was sent and its answer was lost")
		}
		err = p.again(ctx, v)
	}
	return service.Answer{}, verdict{}, callRefusal(ctx, err)
}

// callRefusal turns the end of a call's wait into its final answer.
func callRefusal(ctx context.Context, err error) error {
	var refused *refusal.Refusal
	if errors.As(err, &refused) {
		return refused
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.CodeWaitTooLong, comeBackSoon, "no backend server within the longest wait")
	}
	return refusal.New(refusal.CodeInternal, 0, "the caller left")
}

// repeatable tells whether the call may be sent again after it may have run:
// never one of the contract's once calls, nor a method that changes something
// each time it runs.
func repeatable(call caller.ServiceCall) bool {
	if call.Once {
		return false
	}
	return call.Method != http.MethodPost && call.Method != http.MethodPatch
}
