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
	idlePollInterval = 250 * time.Millisecond
	// missingEvery bounds how often the planner is told that a unit is missing,
	// beside the first time.
	missingReportInterval = 200 * time.Millisecond
	// comeBackSoon is when to come back after a failure that may pass quickly.
	shortRetryAfter = time.Second
)

// Server holds the queue of one entry VM. Its methods may be called from any
// goroutine.
type Server struct {
	config    Config
	wake      chan struct{}
	abandoned chan abandonedRequest

	mu     sync.Mutex
	budget admission.RetryBudget
	// budgets are those of forwarded requests, by service.
	serviceBudgets map[string]*admission.RetryBudget
	waiters        map[*admission.Ticket]*waiter
	// pools and units count the waiters of each pool and unit.
	waitersByPool, waitersByUnit map[string]int
	// loading are the units that had candidates, but none ready, when last seen.
	loadingUnits map[string]bool
	// missingAt is when each unit was last told as missing.
	missingReportedAt map[string]time.Time
	// starts counts for each engine how often Forget was called: an attempt of
	// before must not be subtracted from what runs there since.
	incarnations map[string]uint64
	// caches is one entry for each engine that this VM sent a stream to.
	cacheCursors map[string]*cacheCursor
	// onBackends is what runs on backend servers, by unit.
	activeUnits map[string]unitActivity
	// runs is the same by backend server and unit.
	runningCounts map[backendUnit]int
	openRequests  int
	// stopped is set when Run has ended: nobody would end a wait any more.
	stopped bool
}

// New makes a server; Run must be started for it to work.
func New(config Config) *Server {
	if config.StallTimeout == 0 {
		config.StallTimeout = defaultStallTimeout
	}
	return &Server{
		config:            config,
		budget:            admission.RetryBudget{Share: config.RetryShare},
		serviceBudgets:    make(map[string]*admission.RetryBudget),
		wake:              make(chan struct{}, 1),
		abandoned:         make(chan abandonedRequest, maxAbandoned),
		waiters:           make(map[*admission.Ticket]*waiter),
		waitersByPool:     make(map[string]int),
		waitersByUnit:     make(map[string]int),
		loadingUnits:      make(map[string]bool),
		missingReportedAt: make(map[string]time.Time),
		incarnations:      make(map[string]uint64),
		cacheCursors:      make(map[string]*cacheCursor),

		activeUnits:   make(map[string]unitActivity),
		runningCounts: make(map[backendUnit]int),
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
	s.incarnations[engine]++
	delete(s.cacheCursors, engine)
}

// OpenRequests tells how many requests wait or run.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openRequests
}

// Run does the server's duties until ctx ends. Whoever waits then is refused.
func (s *Server) Run(ctx context.Context) {
	var workers sync.WaitGroup
	defer workers.Wait()
	if s.config.Engines != nil {
		workers.Go(func() { s.readCacheEventsLoop(ctx) })
	}
	for range cancelWorkers {
		workers.Go(func() { s.cancelAbandoned(ctx) })
	}
	s.dispatchLoop(ctx)
	s.RefuseWaiting()
}

// giveOut gives waiting requests to backend servers.
func (s *Server) dispatchLoop(ctx context.Context) {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	for {
		missing := s.dispatch(time.Now())
		if len(missing) > 0 {
			s.config.Directory.ReportMissing(missing)
		}
		timer.Reset(s.nextPollDelay(time.Now()))
		select {
		case <-s.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) nextPollDelay(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := idlePollInterval
	if at, ok := s.config.Admission.NextExpiry(); ok {
		delay = min(delay, at.Sub(now))
	}
	return max(delay, time.Millisecond)
}

// RefuseWaiting refuses all who wait, now and from now on. Failure: without it a
// request that waits at the end of Run would wait until its caller gives up, and one
// that waits at the end of a graceful shutdown would lose its connection unanswered.
func (s *Server) RefuseWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for ticket := range s.waiters {
		s.assign(ticket, assignment{refused: stoppingRefusal()})
	}
}

func stoppingRefusal() *refusal.Refusal {
	return refusal.New(refusal.CodeShuttingDown, shortRetryAfter, "this entry VM is stopping")
}
