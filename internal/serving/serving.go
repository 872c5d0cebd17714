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
	// ReportMissing is called when requests wait for a unit that no candidate has ready.
	ReportMissing(demand []admission.Demand)
	// UnavailableRefusal is the refusal for a unit that has no engine to answer and cannot
	// get one now, nil for any other.
	UnavailableRefusal(unit string) *refusal.Refusal
	// RequestStatus asks for fresh news of an engine.
	RequestStatus(engine string)
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
	// StallTimeout is the longest silence within a stream before it moves to
	// another engine; the default is 10 s, far beyond 80 ms between tokens.
	StallTimeout time.Duration
	// RetryShare is admission.RetryBudget's Share.
	RetryShare float64
	// Forwarder and Forwards are for requests that are passed on unchanged; a
	// server without them has none. Engines is nil in one that has only these.
	Forwarder        service.Forwarder
	ForwardDirectory ForwardDirectory
	// Quarantine may be nil: then no forwarded request is refused for what it did before.
	Quarantine Quarantine
}

const (
	defaultStallTimeout = 10 * time.Second
	// idleTick bounds the time between two looks at the queue, in case that news
	// of a backend server was missed.
	idleTick = 250 * time.Millisecond
	// missingEvery bounds how often the planner is told that a unit is missing,
	// beside the first time.
	missingEvery = 200 * time.Millisecond
	// comeBackSoon is when to come back after a failure that may pass quickly.
	comeBackSoon = time.Second
)

// Server holds the queue of one entry VM. Its methods may be called from any
// goroutine.
type Server struct {
	config    Config
	wake      chan struct{}
	abandoned chan abandonment

	mu     sync.Mutex
	budget admission.RetryBudget
	// budgets are those of forwarded requests, by service.
	budgets map[string]*admission.RetryBudget
	waiters map[*admission.Ticket]*waiter
	// pools and units count the waiters of each pool and unit.
	pools, units map[string]int
	// loading are the units that had candidates, but none ready, when last seen.
	loading map[string]bool
	// missingAt is when each unit was last told as missing.
	missingAt map[string]time.Time
	// starts counts for each engine how often Forget was called: an attempt of
	// before must not be subtracted from what runs there since.
	starts map[string]uint64
	// caches is one entry for each engine that this VM sent a stream to.
	caches map[string]*cacheReader
	// onBackends is what runs on backend servers, by unit.
	onBackends map[string]unitRun
	// runs is the same by backend server and unit.
	runs    map[runKey]int
	running int
	// stopped is set when Run has ended: nobody would end a wait any more.
	stopped bool
}

// New makes a server; Run must be started for it to work.
func New(config Config) *Server {
	if config.StallTimeout == 0 {
		config.StallTimeout = defaultStallTimeout
	}
	return &Server{
		config:    config,
		budget:    admission.RetryBudget{Share: config.RetryShare},
		budgets:   make(map[string]*admission.RetryBudget),
		wake:      make(chan struct{}, 1),
		abandoned: make(chan abandonment, maxAbandoned),
		waiters:   make(map[*admission.Ticket]*waiter),
		pools:     make(map[string]int),
		units:     make(map[string]int),
		loading:   make(map[string]bool),
		missingAt: make(map[string]time.Time),
		starts:    make(map[string]uint64),
		caches:    make(map[string]*cacheReader),

		onBackends: make(map[string]unitRun),
		runs:       make(map[runKey]int),
	}
}

// Wake has the queue looked at again: a backend server has news.
func (s *Server) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// WithLockedState calls f with the decision state, under the server's lock.
func (s *Server) WithLockedState(f func(*admission.Controller, *routing.Router)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.config.Admission, s.config.Router)
}

// Forget drops what is known of an engine that left the VM list or restarted:
// its cached prefixes are gone, and what it ran is no longer its load.
func (s *Server) Forget(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Router.Forget(engine)
	s.starts[engine]++
	delete(s.caches, engine)
}

// OpenRequests tells how many requests wait or run.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Run does the server's duties until ctx ends. Whoever waits then is refused.
func (s *Server) Run(ctx context.Context) {
	var duties sync.WaitGroup
	defer duties.Wait()
	if s.config.Engines != nil {
		duties.Go(func() { s.readCaches(ctx) })
	}
	for range cancellers {
		duties.Go(func() { s.cancelAbandoned(ctx) })
	}
	s.giveOut(ctx)
	s.RefuseWaiting()
}

// giveOut gives waiting requests to backend servers.
func (s *Server) giveOut(ctx context.Context) {
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		missing := s.dispatch(time.Now())
		if len(missing) > 0 {
			s.config.Directory.ReportMissing(missing)
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

// RefuseWaiting refuses all who wait, now and from now on. Failure: without it a
// request that waits at the end of Run would wait until its caller gives up, and one
// that waits at the end of a graceful shutdown would lose its connection unanswered.
func (s *Server) RefuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for ticket := range s.waiters {
		s.assign(ticket, assignment{refused: stopping()})
	}
}

func stopping() *refusal.Refusal {
	return refusal.New(refusal.CodeShuttingDown, comeBackSoon, "this entry VM is stopping")
}
