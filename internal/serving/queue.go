package serving

import (
	"context"
	"strings"
	"time"

	"bergamotreel/admission"
	"bergamotreel/refusal"
	"bergamotreel/routing"
)

// servicePoolPrefix marks the pools of plain services; model names can't hold
// a slash, so the two never meet.
const servicePoolPrefix = "service/"

func servicePool(name string) string { return servicePoolPrefix + name }

func serviceOfPool(pool string) (string, bool) {
	return strings.CutPrefix(pool, servicePoolPrefix)
}

// place is a request's place with the decision code, from Arrive to its end.
type place struct {
	server *Server
	ticket *admission.Ticket
	query  routing.Query
	// backend is where the current attempt runs, empty between attempts.
	backend string
	begun   time.Time
	// FirstToken is the time to the first token of the current attempt.
	firstToken time.Duration
}

// arrive takes a request into the queue or refuses it.
func (s *Server) arrive(request admission.Request, query routing.Query) (*place, *waiter, *refusal.Refusal) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	ticket, refused := s.config.Admission.Arrive(now, request)
	if refused != nil {
		return nil, nil, refused
	}
	s.running++
	s.budget.Sent(now)
	query.Exclude = make(map[string]bool)
	p := &place{server: s, ticket: ticket, query: query}
	return p, s.register(p), nil
}

// register puts the place into the queue. Call with mu held.
func (s *Server) register(p *place) *waiter {
	w := &waiter{query: p.query, assign: make(chan assignment, 1)}
	s.waiters[p.ticket] = w
	s.pools[p.query.Pool]++
	return w
}

// wait returns once the request has a backend server, or fails with a refusal.
func (p *place) wait(ctx context.Context, w *waiter) error {
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
	p.backend = a.backend
	p.begun = time.Now()
	p.firstToken = 0
	return nil
}

// again ends an attempt in which nothing ran and goes back to the queue. The
// request keeps its place there.
func (p *place) again(ctx context.Context, result routing.Result, exclude bool) error {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	s.config.Router.Finished(now, p.backend, result)
	if exclude {
		p.query.Exclude[p.backend] = true
	}
	p.backend = ""
	s.config.Admission.Requeue(now, p.ticket)
	w := s.register(p)
	s.mu.Unlock()
	return p.wait(ctx, w)
}

// move ends a broken attempt and picks another backend server at once: the
// request has been admitted and part of its answer delivered.
func (p *place) move() bool {
	s := p.server
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Router.Finished(now, p.backend, routing.Result{Failed: true})
	p.query.Exclude[p.backend] = true
	p.backend = ""
	choice, ok := s.config.Router.Pick(now, p.query, s.find(p.query.Unit))
	if !ok {
		return false
	}
	s.config.Router.Started(now, choice.Engine, p.query.Pool, p.query.Prefixes)
	p.backend = choice.Engine
	return true
}

// mayRetry asks the retry budget.
func (p *place) mayRetry() bool {
	p.server.mu.Lock()
	defer p.server.mu.Unlock()
	return p.server.budget.Retry(time.Now())
}

// end gives the place back, once, whatever came of the request.
func (p *place) end(ctx context.Context, err error) {
	s := p.server
	now := time.Now()
	left := ctx.Err() != nil
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if p.backend != "" {
		s.config.Router.Finished(now, p.backend, routing.Result{
			OK: err == nil, Failed: err != nil && !left, FirstToken: p.firstToken,
		})
	}
	switch {
	case p.ticket.Ended():
	case left:
		s.config.Admission.Leave(now, p.ticket)
	default:
		s.config.Admission.Finish(now, p.ticket, admission.Outcome{
			OK: err == nil, FirstToken: p.firstToken, Served: now.Sub(p.begun),
		})
	}
	s.Wake()
}
