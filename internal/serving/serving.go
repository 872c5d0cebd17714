// Package serving carries an accepted request to its one end: it waits for a
// place (package admission), goes to a backend server (package routing), is
// relayed, resumed or moved, and ends with the whole answer or a refusal.
package serving

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

// Directory tells which backend servers can take a unit now.
type Directory interface {
	// Candidates are the engines whose right to hold the unit stands.
	Candidates(unit string) []routing.Candidate
	// Servers are the backend servers of a plain service.
	Servers(service string) []routing.Candidate
	// Missing is called when requests wait for a unit that no candidate has ready.
	Missing(demand []admission.Demand)
	// Interest asks for fresh news of an engine.
	Interest(engine string)
}

// Config is what a Server needs.
type Config struct {
	Domain    string
	Directory Directory
	Engines   engine.Client
	Services  service.Client
	Claims    Claims
	Admission *admission.Controller
	Router    *routing.Router
	Logger    *zap.Logger
	// StallTimeout is the longest silence within a stream before it is resumed;
	// the default is 10 s, far beyond 80 ms between tokens.
	StallTimeout time.Duration
}

const (
	defaultStallTimeout = 10 * time.Second
	// idleTick bounds the time between two looks at the queue, in case that news
	// of a backend server was missed.
	idleTick = 250 * time.Millisecond
	// missingEvery bounds how often the planner is told that a unit is missing,
	// beside the first time.
	missingEvery = 200 * time.Millisecond
)

// assignment ends a waiting ticket's wait: an engine, or a refusal.
type assignment struct {
	backend string
	refused *refusal.Refusal
}

// waiter is a request in the queue.
type waiter struct {
	query  routing.Query
	assign chan assignment
}

// Server holds the queue of one entry VM. Its methods may be called from any
// goroutine.
type Server struct {
	config Config
	wake   chan struct{}

	mu      sync.Mutex
	budget  admission.RetryBudget
	waiters map[*admission.Ticket]*waiter
	// pools counts the waiters of each pool.
	pools map[string]int
	// missingAt is when each unit was last told as missing.
	missingAt map[string]time.Time
	running   int
}

// New makes a server; Run must be started for it to work.
func New(config Config) *Server {
	if config.StallTimeout == 0 {
		config.StallTimeout = defaultStallTimeout
	}
	return &Server{
		config:    config,
		wake:      make(chan struct{}, 1),
		waiters:   make(map[*admission.Ticket]*waiter),
		pools:     make(map[string]int),
		missingAt: make(map[string]time.Time),
	}
}

// Wake has the queue looked at again: a backend server has news.
func (s *Server) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Decide calls f with the decision state, under the server's lock.
func (s *Server) Decide(f func(*admission.Controller, *routing.Router)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.config.Admission, s.config.Router)
}

// Open tells how many requests wait or run.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Run gives waiting requests to backend servers until ctx ends.
func (s *Server) Run(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		missing := s.dispatch(time.Now())
		if len(missing) > 0 {
			s.config.Directory.Missing(missing)
		}
		timer.Reset(s.pause(time.Now()))
		select {
		case <-s.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) pause(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	pause := idleTick
	if at, ok := s.config.Admission.NextExpiry(); ok {
		pause = min(pause, at.Sub(now))
	}
	return max(pause, time.Millisecond)
}

// dispatch ends the waits that can end now, and returns what waits for units
// that are ready nowhere.
func (s *Server) dispatch(now time.Time) []admission.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expired := range s.config.Admission.Expire(now) {
		s.assign(expired.Ticket, assignment{refused: expired.Refusal})
	}
	look := &lookup{server: s, now: now, units: make(map[string][]routing.Candidate)}
	for pool, waiting := range s.pools {
		if waiting > 0 {
			s.dispatchPool(now, pool, look)
		}
	}
	return s.missing(now, look)
}

func (s *Server) dispatchPool(now time.Time, pool string, look *lookup) {
	for {
		ticket := s.config.Admission.Next(now, pool, look.fits)
		if ticket == nil {
			return
		}
		w := s.waiters[ticket]
		if w == nil {
			s.config.Admission.Finish(now, ticket, admission.Outcome{})
			continue
		}
		choice, ok := s.config.Router.Pick(now, w.query, look.candidates(ticket.Unit))
		if !ok {
			s.config.Admission.Requeue(now, ticket)
			return
		}
		s.config.Router.Started(now, choice.Engine, w.query.Pool, w.query.Prefixes)
		s.assign(ticket, assignment{backend: choice.Engine})
	}
}

// assign ends the wait of a ticket. Call with mu held.
func (s *Server) assign(ticket *admission.Ticket, a assignment) {
	w, ok := s.waiters[ticket]
	if !ok {
		return
	}
	s.forget(ticket, w)
	w.assign <- a
}

func (s *Server) forget(ticket *admission.Ticket, w *waiter) {
	delete(s.waiters, ticket)
	s.pools[w.query.Pool]--
	if s.pools[w.query.Pool] == 0 {
		delete(s.pools, w.query.Pool)
	}
}

// missing picks the demand for units that no candidate has ready.
func (s *Server) missing(now time.Time, look *lookup) []admission.Demand {
	if len(s.waiters) == 0 {
		clear(s.missingAt)
		return nil
	}
	var out []admission.Demand
	for _, demand := range s.config.Admission.Demand(now) {
		for _, c := range look.candidates(demand.Unit) {
			s.config.Directory.Interest(c.Engine)
		}
		if now.Sub(s.missingAt[demand.Unit]) < missingEvery {
			continue
		}
		s.missingAt[demand.Unit] = now
		out = append(out, demand)
	}
	return out
}

// lookup remembers the candidates of each unit for one look at the queue.
type lookup struct {
	server *Server
	now    time.Time
	units  map[string][]routing.Candidate
}

func (l *lookup) candidates(unit string) []routing.Candidate {
	if known, ok := l.units[unit]; ok {
		return known
	}
	found := l.server.find(unit)
	l.units[unit] = found
	return found
}

// fits tells whether a backend server could take the ticket now.
func (l *lookup) fits(ticket *admission.Ticket) bool {
	w := l.server.waiters[ticket]
	if w == nil {
		return true
	}
	candidates := l.candidates(ticket.Unit)
	if allExcluded(candidates, w.query.Exclude) {
		// The request has failed on each of them. Keeping away from all would
		// leave it without any; the router's breaker still holds off sick ones.
		clear(w.query.Exclude)
	}
	for _, c := range candidates {
		usable := c.Ready && !c.Leaving && !w.query.Exclude[c.Engine]
		if usable && l.server.config.Router.Free(l.now, c) > 0 {
			return true
		}
	}
	return false
}

func allExcluded(candidates []routing.Candidate, excluded map[string]bool) bool {
	if len(excluded) == 0 {
		return false
	}
	for _, c := range candidates {
		if c.Ready && !c.Leaving && !excluded[c.Engine] {
			return false
		}
	}
	return true
}

// find returns the candidates for a unit, or for a plain service's pool.
func (s *Server) find(unit string) []routing.Candidate {
	if name, ok := serviceOfPool(unit); ok {
		return s.config.Directory.Servers(name)
	}
	return s.config.Directory.Candidates(unit)
}
