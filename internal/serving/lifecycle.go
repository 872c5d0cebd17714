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

// servicePoolPrefix marks the pools of plain services; model names can't contain
// a slash, so the two never collide.
const servicePoolPrefix = "service/"

func servicePool(name string) string { return servicePoolPrefix + name }

func parseServicePool(pool string) (string, bool) {
	return strings.CutPrefix(pool, servicePoolPrefix)
}

// pendingRequest is the state of a request in admission and routing, from its
// admission to its end. It belongs to the request's goroutine, except for
// query.Exclude, which belongs to the queue while the request waits.
type pendingRequest struct {
	server *Server
	ticket *admission.Ticket
	query  routing.Query
	// backend is the backend server of the current attempt, empty between attempts;
	// incarnation is its count in Server.incarnations.
	backend     string
	incarnation uint64
	// attemptStart is when the current attempt began; timeToFirstToken is the time
	// from then to its first token, zero before that token.
	attemptStart     time.Time
	timeToFirstToken time.Duration
	// dispatchedAt is when the request last left the queue; timeToAnswer is the time
	// from then to the first token of the caller's answer, zero before that token.
	dispatchedAt time.Time
	timeToAnswer time.Duration
	// mayHaveRun is whether any attempt of this request may have run.
	mayHaveRun bool
}

// admit admits a request to the queue or refuses it.
func (s *Server) admit(request admission.Request, query routing.Query, known []routing.Candidate) (*pendingRequest, *waiter, *refusal.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// Update the ready time first: Submit would refuse the request because of a load
	// that has ended.
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

// tryAssign assigns a backend server to a request that is the only one waiting in
// its pool. Waking the dispatch loop for it would take some 40 µs before the first
// token. If others wait, usually no slot is free, and the loop handles many arrivals
// in one pass. Call with mu held.
func (s *Server) tryAssign(now time.Time, w *waiter, known []routing.Candidate) {
	if s.stopped || s.waitersByPool[w.query.Pool] > 1 {
		return
	}
	lookup := &candidateLookup{server: s, now: now, byUnit: map[string][]routing.Candidate{w.query.Unit: known}}
	s.dispatchPool(now, w.query.Pool, lookup)
}

// enqueue adds the request to the queue. Call with mu held.
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

// waitForBackend returns nil once the request has a backend server. It fails with a
// refusal, or with the error of ctx.
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

// beginAttempt records the start of an attempt.
func (p *pendingRequest) beginAttempt(now time.Time, backend string, incarnation uint64) {
	p.backend = backend
	p.incarnation = incarnation
	p.attemptStart = now
	p.timeToFirstToken = 0
}

// requeue ends an attempt that delivered nothing and waits for a backend server
// again. The request keeps its position in the queue.
func (p *pendingRequest) requeue(ctx context.Context, outcome attemptOutcome) error {
	return p.requeueFor(ctx, outcome, p.query.Unit)
}

// requeueFor is requeue for a request that now needs another unit of its pool.
func (p *pendingRequest) requeueFor(ctx context.Context, outcome attemptOutcome, unit string) error {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	p.endAttempt(now, outcome)
	p.setUnit(unit)
	s.config.Admission.Requeue(now, p.ticket)
	w := s.enqueue(p, now)
	s.mu.Unlock()
	return p.waitForBackend(ctx, w)
}

// setUnit changes the unit that the request needs, between two attempts. Call with mu held.
func (p *pendingRequest) setUnit(unit string) {
	p.query.Unit = unit
	p.server.config.Admission.SetUnit(p.ticket, unit)
}

// setDeadline changes the time until which the request may wait when it is requeued.
func (p *pendingRequest) setDeadline(deadline time.Time) {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.config.Admission.SetDeadline(p.ticket, deadline)
}

// endAttempt ends the current attempt, if there is one. Call with mu held.
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
	p.server.recordEnd(now, p.backend, p.incarnation, p.query.Unit, result)
	if outcome.excludeBackend {
		p.exclude(p.backend)
	}
	p.backend = ""
}

// exclude excludes a backend server from further attempts of the request.
func (p *pendingRequest) exclude(backend string) {
	if p.query.Exclude == nil {
		p.query.Exclude = make(map[string]bool)
	}
	p.query.Exclude[backend] = true
}

// tryMove ends a broken attempt and picks another backend server without queueing,
// because the request has been admitted and part of its answer delivered. It
// returns false if no backend server can take it.
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

// canMove reports whether another backend server could take the current attempt's request.
func (p *pendingRequest) canMove() bool {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.findCandidates(p.query.Unit)
	return s.config.Router.CanPick(time.Now(), p.replacementQuery(candidates), candidates)
}

// recordFirstToken records that the first token of the current attempt, or the
// answer of a service, arrived at the time now.
func (p *pendingRequest) recordFirstToken(now time.Time) {
	s := p.server
	p.timeToFirstToken = max(now.Sub(p.attemptStart), 1) // zero means no token yet
	if p.timeToAnswer == 0 {
		p.timeToAnswer = max(now.Sub(p.dispatchedAt), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.isCurrentIncarnationLocked() {
		s.config.Router.RecordFirstToken(now, p.backend, p.query.Pool, p.timeToFirstToken)
	}
}

// startCooldown keeps this VM from sending requests to the attempt's backend server
// until the given time.
func (p *pendingRequest) startCooldown(until time.Time) {
	cooldownsRequested.Inc()
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if p.isCurrentIncarnationLocked() {
		p.server.config.Router.StartCooldown(p.backend, until)
	}
}

// isCurrentIncarnation reports whether this VM has recorded no end or restart of the
// attempt's backend server since the attempt began.
func (p *pendingRequest) isCurrentIncarnation() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.isCurrentIncarnationLocked()
}

// isCurrentIncarnationLocked is isCurrentIncarnation for callers that hold mu.
func (p *pendingRequest) isCurrentIncarnationLocked() bool {
	return p.server.incarnations[p.backend] == p.incarnation
}

// allowRetry reports whether the retry budget allows a retry, and counts it if so.
func (p *pendingRequest) allowRetry() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	p.server.budget.Slack = p.server.config.retrySlack()
	return p.server.budget.AllowRetry(time.Now())
}

// finish ends the request in admission and routing. It must be called exactly once,
// whatever the result of the request. The outcome is that of the attempt in flight,
// if there is one.
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
	// Usually nothing waits, and waking the dispatch loop would cost more than all of
	// the above.
	if len(s.waiters)+len(s.missingReportedAt) > 0 {
		s.Wake()
	}
}

// correctRan makes a refusal say "ran: maybe" if any attempt may have run. If a first
// attempt may have run and a second certainly didn't, the refusal of the second says
// "ran: no": the caller would repeat the request, and it could run twice.
func (p *pendingRequest) correctRan(err error) error {
	var refused *refusal.Refusal
	if !p.mayHaveRun || !errors.As(err, &refused) {
		return err
	}
	corrected := *refused
	corrected.Ran = refusal.RanMaybe
	return &corrected
}
