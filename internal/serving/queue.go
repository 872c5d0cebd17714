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

var restsAsked = metrics.NewCounter("bergamotreel_backend_rests_asked_total")

// servicePoolPrefix marks the pools of plain services; model names can't hold
// a slash, so the two never meet.
const servicePoolPrefix = "service/"

func servicePool(name string) string { return servicePoolPrefix + name }

func serviceOfPool(pool string) (string, bool) {
	return strings.CutPrefix(pool, servicePoolPrefix)
}

// place is a request's place with the decision code, from Arrive to its end. It
// belongs to the request's goroutine, but for query.Exclude: that is the queue's
// while the request waits.
type place struct {
	server *Server
	ticket *admission.Ticket
	query  routing.Query
	// backend is where the current attempt runs, empty between attempts; start
	// is its count in Server.starts.
	backend string
	start   uint64
	// begun is when the current attempt began, firstToken how long its first
	// token took, zero before.
	begun      time.Time
	firstToken time.Duration
	// dispatched is when the request last left the queue, answered how long the
	// caller's first token took from then on, zero before.
	dispatched time.Time
	answered   time.Duration
	// mayHaveRun is whether any attempt of this request may have run.
	mayHaveRun bool
}

// arrive takes a request into the queue or refuses it.
func (s *Server) arrive(request admission.Request, query routing.Query, known []routing.Candidate) (*place, *waiter, *refusal.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	// Before Arrive, which would refuse for a load that has ended.
	s.observe(now, request.Unit, known)
	ticket, refused := s.config.Admission.Submit(now, request)
	if refused != nil {
		return nil, nil, refused
	}
	s.running++
	s.budget.RecordRequest(now)
	p := &place{server: s, ticket: ticket, query: query}
	w := s.register(p, time.Time{})
	s.assignAtOnce(now, w, known)
	return p, w, nil
}

// assignAtOnce gives a request that waits alone in its pool a backend server
// without the queue's duty, which would have to be woken first: some 40 µs
// before the first token. Where others wait, no place is free as a rule, and
// the duty looks once for many arrivals. Call with mu held.
func (s *Server) assignAtOnce(now time.Time, w *waiter, known []routing.Candidate) {
	if s.stopped || s.pools[w.query.Pool] > 1 {
		return
	}
	look := &lookup{server: s, now: now, units: map[string][]routing.Candidate{w.query.Unit: known}}
	s.dispatchPool(now, w.query.Pool, look)
}

// register puts the place into the queue. Call with mu held.
func (s *Server) register(p *place, failedAt time.Time) *waiter {
	w := &waiter{query: p.query, failedAt: failedAt, assign: make(chan assignment, 1)}
	if s.stopped {
		w.assign <- assignment{refused: stopping()}
		return w
	}
	s.waiters[p.ticket] = w
	s.pools[p.query.Pool]++
	s.units[p.query.Unit]++
	return w
}

// wait returns once the request has a backend server, or fails with a refusal.
func (p *place) wait(ctx context.Context, w *waiter) error {
	select {
	case a := <-w.assign:
		return p.take(a)
	default:
	}
	p.server.Wake()
	select {
	case a := <-w.assign:
		return p.take(a)
	case <-ctx.Done():
	}
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	select {
	case a := <-w.assign:
		return p.take(a)
	default:
	}
	p.server.forget(p.ticket, w)
	return ctx.Err()
}

func (p *place) take(a assignment) error {
	if a.refused != nil {
		return a.refused
	}
	p.enter(time.Now(), a.backend, a.start)
	p.dispatched = p.begun
	return nil
}

// enter begins an attempt.
func (p *place) enter(now time.Time, backend string, start uint64) {
	p.backend = backend
	p.start = start
	p.begun = now
	p.firstToken = 0
}

// again ends an attempt that delivered nothing and goes back to the queue. The
// request keeps its place there.
func (p *place) again(ctx context.Context, v verdict) error {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	p.leave(now, v)
	s.config.Admission.Requeue(now, p.ticket)
	w := s.register(p, now)
	s.mu.Unlock()
	return p.wait(ctx, w)
}

// leave ends the attempt, if there is one. Call with mu held.
func (p *place) leave(now time.Time, v verdict) {
	if p.backend == "" {
		return
	}
	result := v.result
	result.Pool = p.query.Pool
	result.TimeToFirstToken = p.firstToken
	if result.OK {
		result.ServiceTime = now.Sub(p.begun)
	}
	p.server.finished(now, p.backend, p.start, result)
	p.server.left(p.query.Unit)
	decrement(p.server.runs, runKey{p.backend, p.query.Unit})
	if v.avoid {
		p.avoid(p.backend)
	}
	p.backend = ""
}

// avoid keeps the request away from a backend server.
func (p *place) avoid(backend string) {
	if p.query.Exclude == nil {
		p.query.Exclude = make(map[string]bool)
	}
	p.query.Exclude[backend] = true
}

// move ends a broken attempt and picks another backend server at once: the
// request has been admitted and part of its answer delivered.
func (p *place) move(v verdict) bool {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.leave(now, v)
	choice, ok := s.config.Router.Pick(now, p.query, s.find(p.query.Unit))
	if !ok {
		return false
	}
	p.enter(now, choice.Engine, s.started(now, choice.Engine, p.query))
	return true
}

// answer notes the first token of the current attempt, or a service's answer,
// which came at the time now.
func (p *place) answer(now time.Time) {
	s := p.server
	p.firstToken = max(now.Sub(p.begun), 1) // zero would mean none
	if p.answered == 0 {
		p.answered = max(now.Sub(p.dispatched), 1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.isCurrent() {
		s.config.Router.RecordFirstToken(now, p.backend, p.query.Pool, p.firstToken)
	}
}

// rest has the attempt's backend server get nothing from this VM until then.
func (p *place) rest(until time.Time) {
	restsAsked.Inc()
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	if p.isCurrent() {
		p.server.config.Router.StartCooldown(p.backend, until)
	}
}

// sameStart tells whether the attempt's backend server is not known to have ended since.
func (p *place) sameStart() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.isCurrent()
}

// isCurrent is sameStart with mu held.
func (p *place) isCurrent() bool { return p.server.starts[p.backend] == p.start }

// mayRetry asks the retry budget.
func (p *place) mayRetry() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.budget.AllowRetry(time.Now())
}

// end gives the place back, once, whatever came of the request. The verdict is
// that of the attempt under way, if there is one.
func (p *place) end(ctx context.Context, err error, v verdict) {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	served := p.backend != ""
	p.leave(now, v)
	switch {
	case p.ticket.HasEnded():
	case ctx.Err() != nil, !served:
		s.config.Admission.Cancel(now, p.ticket)
	default:
		s.config.Admission.Finish(now, p.ticket, admission.Outcome{
			OK: err == nil, TimeToFirstToken: p.answered, ServiceTime: now.Sub(p.dispatched),
		})
	}
	// Nothing waits as a rule, and waking the duty would cost more than the rest.
	if len(s.waiters)+len(s.missingAt) > 0 {
		s.Wake()
	}
}

// honest makes a refusal tell what is known of all attempts. Failure: a first
// attempt that may have run and a second that surely did not would end in "ran:
// no", and the caller would have a thing done twice.
func (p *place) honest(err error) error {
	var refused *refusal.Refusal
	if !p.mayHaveRun || !errors.As(err, &refused) {
		return err
	}
	told := *refused
	told.Ran = refusal.RanMaybe
	return &told
}
