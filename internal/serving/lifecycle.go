package serving

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/admission"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

var cooldownsRequested = metrics.NewCounter("bergamotreel_backend_rests_asked_total")

// servicePoolPrefix marks the pools of plain services; model names can't hold
// a slash, so the two never meet.
const servicePoolPrefix = "service/"

func servicePool(name string) string { return servicePoolPrefix + name }

func parseServicePool(pool string) (string, bool) {
	return strings.CutPrefix(pool, servicePoolPrefix)
}

// place is a request's place with the decision code, from Arrive to its end. It
// belongs to the request's goroutine, but for query.Exclude: that is the queue's
// while the request waits.
type pendingRequest struct {
	server *Server
	ticket *admission.Ticket
	query  routing.Query
	// backend is where the current attempt runs, empty between attempts; start
	// is its count in Server.starts.
	backend     string
	incarnation uint64
	// begun is when the current attempt began, firstToken how long its first
	// token took, zero before.
	attemptStart     time.Time
	timeToFirstToken time.Duration
	// dispatched is when the request last left the queue, answered how long the
	// caller's first token took from then on, zero before.
	dispatchedAt time.Time
	timeToAnswer time.Duration
	// mayHaveRun is whether any attempt of this request may have run.
	mayHaveRun bool
}

// arrive takes a request into the queue or refuses it.
func (s *Server) admit(request admission.Request, query routing.Query, known []routing.Candidate) (*pendingRequest, *waiter, *refusal.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// Before Arrive, which would refuse for a load that has ended.
	s.updateReadyTime(now, request.Unit, known)
	ticket, refused := s.config.Admission.Submit(now, request)
	if refused != nil {
		return nil, nil, refused
	}
	s.openRequests++
	s.budget.RecordRequest(now)
	p := &pendingRequest{server: s, ticket: ticket, query: query}
	w := s.enqueue(p, time.Time{})
	s.tryAssign(now, w, known)
	return p, w, nil
}

// assignAtOnce gives a request that waits alone in its pool a backend server
// without the queue's duty, which would have to be woken first: some 40 µs
// before the first token. Where others wait, no place is free as a rule, and
// the duty looks once for many arrivals. Call with mu held.
func (s *Server) tryAssign(now time.Time, w *waiter, known []routing.Candidate) {
	if s.stopped || s.waitersByPool[w.query.Pool] > 1 {
		return
	}
	lookup := &candidateLookup{server: s, now: now, byUnit: map[string][]routing.Candidate{w.query.Unit: known}}
	s.dispatchPool(now, w.query.Pool, lookup)
}

// register puts the place into the queue. Call with mu held.
func (s *Server) enqueue(p *pendingRequest, failedAt time.Time) *waiter {
	w := &waiter{query: p.query, failedAt: failedAt, assigned: make(chan assignment, 1)}
	if s.stopped {
		w.assigned <- assignment{refused: stoppingRefusal()}
		return w
	}
	s.waiters[p.ticket] = w
	s.waitersByPool[p.query.Pool]++
	s.waitersByUnit[p.query.Unit]++
	return w
}

// wait returns once the request has a backend server, or fails with a refusal.
func (p *pendingRequest) waitForBackend(ctx context.Context, w *waiter) error {
	select {
	case a := <-w.assigned:
		return p.acceptAssignment(a)
	default:
	}
	p.server.Wake()
	select {
	case a := <-w.assigned:
		return p.acceptAssignment(a)
	case <-ctx.Done():
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	select {
	case a := <-w.assigned:
		return p.acceptAssignment(a)
	default:
	}
	p.server.removeWaiter(p.ticket, w)
	return ctx.Err()
}

func (p *pendingRequest) acceptAssignment(a assignment) error {
	if a.refused != nil {
		return a.refused
	}
	p.beginAttempt(time.Now(), a.backend, a.incarnation)
	p.dispatchedAt = p.attemptStart
	return nil
}

// enter begins an attempt.
func (p *pendingRequest) beginAttempt(now time.Time, backend string, incarnation uint64) {
	p.backend = backend
	p.incarnation = incarnation
	p.attemptStart = now
	p.timeToFirstToken = 0
}

// again ends an attempt that delivered nothing and goes back to the queue. The
// request keeps its place there.
func (p *pendingRequest) requeue(ctx context.Context, outcome attemptOutcome) error {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	p.endAttempt(now, outcome)
	s.config.Admission.Requeue(now, p.ticket)
	w := s.enqueue(p, now)
	s.mu.Unlock()
	return p.waitForBackend(ctx, w)
}

// leave ends the attempt, if there is one. Call with mu held.
func (p *pendingRequest) endAttempt(now time.Time, outcome attemptOutcome) {
	if p.backend == "" {
		return
	}
	result := outcome.routerResult
	result.Pool = p.query.Pool
	result.TimeToFirstToken = p.timeToFirstToken
	if result.OK {
		result.ServiceTime = now.Sub(p.attemptStart)
	}
	p.server.recordFinish(now, p.backend, p.incarnation, result)
	p.server.recordUnitEnd(p.query.Unit)
	decrement(p.server.runningCounts, backendUnit{p.backend, p.query.Unit})
	if outcome.excludeBackend {
		p.exclude(p.backend)
	}
	p.backend = ""
}

// avoid keeps the request away from a backend server.
func (p *pendingRequest) exclude(backend string) {
	if p.query.Exclude == nil {
		p.query.Exclude = make(map[string]bool)
	}
	p.query.Exclude[backend] = true
}

// move ends a broken attempt and picks another backend server at once: the
// request has been admitted and part of its answer delivered.
func (p *pendingRequest) tryMove(outcome attemptOutcome) bool {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.endAttempt(now, outcome)
	choice, ok := s.config.Router.Pick(now, p.query, s.findCandidates(p.query.Unit))
	if !ok {
		return false
	}
	p.beginAttempt(now, choice.Engine, s.recordStart(now, choice.Engine, p.query))
	return true
}

// answer notes the first token of the current attempt, or a service's answer,
// which came at the time now.
func (p *pendingRequest) recordFirstToken(now time.Time) {
	s := p.server
	p.timeToFirstToken = max(now.Sub(p.attemptStart), 1) // zero would mean none
	if p.timeToAnswer == 0 {
		p.timeToAnswer = max(now.Sub(p.dispatchedAt), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.isCurrentIncarnationLocked() {
		s.config.Router.RecordFirstToken(now, p.backend, p.query.Pool, p.timeToFirstToken)
	}
}

// rest has the attempt's backend server get nothing from this VM until then.
func (p *pendingRequest) startCooldown(until time.Time) {
	cooldownsRequested.Inc()
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if p.isCurrentIncarnationLocked() {
		p.server.config.Router.StartCooldown(p.backend, until)
	}
}

// sameStart tells whether the attempt's backend server is not known to have ended since.
func (p *pendingRequest) isCurrentIncarnation() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.isCurrentIncarnationLocked()
}

// isCurrent is sameStart with mu held.
func (p *pendingRequest) isCurrentIncarnationLocked() bool {
	return p.server.incarnations[p.backend] == p.incarnation
}

// mayRetry asks the retry budget.
func (p *pendingRequest) allowRetry() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.budget.AllowRetry(time.Now())
}

// end gives the place back, once, whatever came of the request. The verdict is
// that of the attempt under way, if there is one.
func (p *pendingRequest) finish(ctx context.Context, err error, outcome attemptOutcome) {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests--
	served := p.backend != ""
	p.endAttempt(now, outcome)
	switch {
	case p.ticket.HasEnded():
	case ctx.Err() != nil, !served:
		s.config.Admission.Cancel(now, p.ticket)
	default:
		s.config.Admission.Finish(now, p.ticket, admission.Outcome{
			OK: err == nil, TimeToFirstToken: p.timeToAnswer, ServiceTime: now.Sub(p.dispatchedAt),
		})
	}
	// Nothing waits as a rule, and waking the duty would cost more than the rest.
	if len(s.waiters)+len(s.missingReportedAt) > 0 {
		s.Wake()
	}
}

// honest makes a refusal tell what is known of all attempts. Failure: a first
// attempt that may have run and a second that surely did not would end in "ran:
// no", and the caller would have a thing done twice.
func (p *pendingRequest) correctRan(err error) error {
	var refused *refusal.Refusal
	if !p.mayHaveRun || !errors.As(err, &refused) {
		return err
	}
	corrected := *refused
	corrected.Ran = refusal.RanMaybe
	return &corrected
}
