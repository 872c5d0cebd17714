// Package serving executes accepted requests. A request waits until package
// admission lets it proceed, is sent to a backend server that package routing picks,
// and its answer is relayed, resumed or moved to another server. It ends with the
// complete answer or a refusal.
package serving

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/admission/stopping"
	"bergamotreel/engine"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/routing/pace"
	"bergamotreel/service"
)

// Directory knows which backend servers can serve a unit now.
type Directory interface {
	// Candidates returns the engines with a valid right to hold the unit.
	Candidates(unit string) []routing.Candidate
	// Servers returns the backend servers of a plain service.
	Servers(service string) []routing.Candidate
	// ReportMissing reports units that requests wait for, with their demand.
	ReportMissing(demand []admission.Demand)
	// UnavailableRefusal returns the refusal for a unit that no engine can serve and
	// that cannot be loaded now, nil for any other.
	UnavailableRefusal(unit string) *refusal.Refusal
	// RequestStatus requests an update of an engine's status.
	RequestStatus(engine string)
}

// Config contains the dependencies and settings of a Server.
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
	// another engine; the default is 10 s, far more than the 80 ms between tokens.
	StallTimeout time.Duration
	// RetryShare and RetryWindow are admission.RetryBudget's Share and Window.
	RetryShare  float64
	RetryWindow time.Duration
	// RetrySlack returns this VM's part of the retries that all entry VMs together may make
	// at a service beyond RetryShare. Without it, this VM counts as the only one, and this
	// process as its first.
	RetrySlack func() float64
	// Forwarder and ForwardDirectory serve requests that are forwarded unchanged;
	// both are nil in a server that doesn't forward. Engines is nil in a server that
	// only forwards.
	Forwarder        service.Forwarder
	ForwardDirectory ForwardDirectory
	// Pace, if not nil, records how fast engines write streams. Forwarded streams with a target for
	// their gaps then go to engines that can keep their targets, as far as Directory knows their pace.
	Pace PaceRecorder
	// Quarantine may be nil: then no forwarded request is refused for earlier crashes.
	Quarantine Quarantine
	// BackendQueues may be nil: then backend servers get no more requests than they have slots.
	BackendQueues BackendQueues
}

const (
	defaultStallTimeout = 10 * time.Second
	// idlePollInterval bounds the time between two passes over the queue, in case
	// a wake-up for a change of a backend server was missed.
	idlePollInterval = 250 * time.Millisecond
	// missingReportInterval is the minimum time between two reports of the same
	// missing unit to the planner; the first report is sent at once.
	missingReportInterval = 200 * time.Millisecond
	// shortRetryAfter is the retry delay for callers after a failure that may pass
	// quickly.
	shortRetryAfter = time.Second
)

// Server holds the queue of one entry VM. Its methods may be called from any
// goroutine.
type Server struct {
	config Config
	wake   chan struct{}
	// receivedAt is when a backend server last sent something, or the first attempt after a time
	// without any began, in Unix nanoseconds.
	receivedAt atomic.Int64
	abandoned  chan abandonedRequest
	// eventMemory holds the unfinished events of all streams.
	eventMemory eventMemory

	startedAt time.Time
	// streamLengths estimates how many events streams have, by pool.
	streamLengths *pace.Lengths
	// numberings is how the ids of streams rise, by service.
	numberings numberings

	mu     sync.Mutex
	budget *admission.RetryBudget
	// serviceBudgets are the retry budgets of forwarded requests, by service.
	serviceBudgets map[string]*admission.RetryBudget
	// answered holds the backend servers that have answered this process.
	answered map[string]bool
	// unsettled holds the attempts of forwarded requests that may arrive later.
	unsettled admission.UnsettledAttempts
	waiters   map[*admission.Ticket]*waiter
	// waitersByPool and waitersByUnit count the waiters of each pool and unit.
	waitersByPool, waitersByUnit map[string]int
	// loadingUnits are the units that had candidates, but none ready, when last checked.
	loadingUnits map[string]bool
	// missingReportedAt is when each unit was last reported as missing.
	missingReportedAt map[string]time.Time
	// incarnations counts the calls of Forget and DropInFlight for each engine: the end of
	// an attempt from before such a call must not reduce the load recorded since.
	incarnations map[string]uint64
	// cacheCursors has an entry for each engine that this VM sent a stream to.
	cacheCursors map[string]*cacheCursor
	// activeUnits are the requests in flight on backend servers, by unit.
	activeUnits map[string]unitActivity
	// runningCounts is the number of these requests by backend server and unit.
	runningCounts map[runKey]int
	// notContinuing are the backend servers that recently didn't continue a stream.
	notContinuing map[string]notContinuing
	// otherWeights are the backend servers that were found not to have the weights of streams.
	otherWeights otherWeights
	openRequests int
	// stopped is set by RefuseWaiting, also at the end of Run: from then on, requests
	// are refused instead of queued, as nothing would end their wait.
	stopped bool
	// schedule holds the times of the planned stop.
	schedule stopping.Schedule
	// durations estimates how long forwarded requests take.
	durations *stopping.Durations
}

// New returns a server; Run must be called for it to work.
func New(config Config) *Server {
	if config.StallTimeout == 0 {
		config.StallTimeout = defaultStallTimeout
	}
	startedAt := time.Now()
	return &Server{
		config:            config,
		startedAt:         startedAt,
		budget:            newRetryBudget(&config, startedAt),
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
		streamLengths:     pace.NewLengths(),
		durations:         stopping.NewDurations(),

		activeUnits:   make(map[string]unitActivity),
		runningCounts: make(map[runKey]int),
		notContinuing: make(map[string]notContinuing),
		answered:      make(map[string]bool),
	}
}

// Wake triggers another pass over the queue. Call it when the state of a backend
// server has changed.
func (s *Server) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// WithLockedState calls f with the admission controller and the router while holding
// the server's lock.
func (s *Server) WithLockedState(f func(*admission.Controller, *routing.Router)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.config.Admission, s.config.Router)
}

// Forget drops the state of an engine that left the VM list or restarted: its
// cached prefixes are gone, and what it ran no longer counts as its load.
func (s *Server) Forget(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Router.Forget(engine)
	s.incarnations[engine]++
	delete(s.cacheCursors, engine)
	delete(s.answered, engine)
}

// DropInFlight no longer counts this VM's requests in flight on a backend server as its load.
// Their connections are dead, so they end only when these are given up, while the backend server
// has finished most of them.
func (s *Server) DropInFlight(backend string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Router.DropInFlight(time.Now(), backend)
	s.incarnations[backend]++
}

// OpenRequests returns the number of requests that wait or are in flight.
func (s *Server) OpenRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openRequests
}

// Run runs the server's background tasks until ctx ends. It then refuses all waiting
// requests.
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

// dispatchLoop assigns waiting requests to backend servers until ctx ends.
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

// BeginStop makes the server refuse forwarded requests before they are sent to a backend server, once the schedule has no
// time for them. A process that was suspended may still read requests long after the load balancer has reacted.
func (s *Server) BeginStop(schedule stopping.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule = schedule
}

// RefuseWaiting refuses all waiting requests, and from now on all that would wait.
// Without it, a request that waits at the end of Run would wait until its caller
// gives up, and one that waits at the end of a graceful shutdown would lose its
// connection unanswered.
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
