// Package keeper is an entry VM's duty as a keeper of engines: it holds the
// session, takes engines, sends the orders that follow from the fold, and takes
// part in ending the sessions of VMs that are gone.
package keeper

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/internal/pause"
	"bergamotreel/lease"
	"bergamotreel/state"
)

const (
	// dutyTick is how often sessions and engines are looked after.
	dutyInterval = 500 * time.Millisecond
	// settleGrace is what others leave the chosen VM for ending what it should:
	// several of its duty ticks and an append.
	settleGracePeriod = 3 * time.Second
	// endPause is the pause before ending the own session is tried again.
	expireRetryInterval = 200 * time.Millisecond
	// closeTimeout bounds giving the session back at a graceful shutdown.
	closeTimeout = 3 * time.Second
)

// Control is what a keeper uses of the control stream.
type Control interface {
	View(func(*state.State))
	Propose(context.Context, state.Proposal) (state.Outcome, error)
	Ready() <-chan struct{}
}

// Config is what a Keeper needs.
type Config struct {
	VM, Incarnation, Domain string
	Control                 Control
	Engines                 engine.Client
	Logger                  *zap.Logger
	Lease                   lease.Config
	MessageLifetime         time.Duration
	// Keeps returns the engines that this VM should keep now, by address.
	AssignedEngines func() []string
	// Stranded returns the units that requests wait for while the log is out of
	// reach, nil while it answers. They are loaded by the standby rights that the
	// fold holds: these are counted already, so no record is needed for safety.
	OutageDemand func() map[string]bool
	// Settles tells whether this VM is the one that ends and settles the session
	// of another. Two that do so cost appends, never safety; so where the chosen
	// one does not (it may be cut off from the log), all others do after
	// settleGrace.
	ShouldSettle func(vm string) bool
	// Collected tells whether the renewals of this VM's session are collected by a
	// relay, which reads them in its digests; nil: never.
	UsesRelay func() bool
	// Asked returns the renewals that others ask of this VM as their relay, false
	// where it is none; nil: never.
	RequestedRenewals func() ([]state.Renewal, bool)
	// DomainOf is an engine's failure domain.
	DomainOf func(engine string) string
	// Saw is told each status that an engine gave.
	RecordStatus func(engine string, status engine.Status, err error)
}

// Keeper is the duty of one entry VM.
type Keeper struct {
	config Config

	mu         sync.Mutex
	departures *lease.Departures
	observer   *lease.Observer
	workers    map[string]*worker
	// running counts the workers of each own session, stopped ones included
	// until their last order has ended.
	workerCounts map[state.SessionID]int
	// session is the live session, 0 without one; holder its clock.
	session         state.SessionID
	holder          *lease.Holder
	renewalSequence uint64
	// asked counts the renewals that a relay was asked for, askedAt is when the
	// newest was; collectedAt is when this VM last proposed those of others.
	// confirmed is the newest that was folded.
	relayRequestNumber, confirmedRelayRequest uint64
	relayRequestedAt, relayedAt               time.Time
	// ending are own ended sessions, with when their last order has died out.
	endedSessions map[state.SessionID]time.Time
	// given are engines whose give-back was proposed and is not known to have landed.
	pendingReleases map[string]bool
	// doubts are the doubtfulUntil of each engine's newest worker that ended.
	pendingLoads map[string]map[string]time.Time
	// found is when each ending that is due now was first found due.
	endingsFoundAt map[endingKey]time.Time
	// surplus holds since when each engine that this VM keeps should have another
	// keeper.
	reassignedSince map[string]time.Time
	// stranded holds until when a unit stays loaded by a standby right.
	outageUnits map[string]time.Time
	// first is the first session of this process, rivals those that others hold
	// under its name, by incarnation.
	firstSession state.SessionID
	duplicates   map[string]*duplicateRecord
	// stopping is set by a graceful shutdown: no new session, no new engine.
	stopping bool
	group    sync.WaitGroup
}

// New makes a keeper; Run must be started for it to work.
func New(config Config) *Keeper {
	if config.UsesRelay == nil {
		config.UsesRelay = func() bool { return false }
	}
	if config.RequestedRenewals == nil {
		config.RequestedRenewals = func() ([]state.Renewal, bool) { return nil, false }
	}
	return &Keeper{
		config:          config,
		departures:      lease.NewDepartures(config.Lease, config.VM, config.Incarnation, time.Now()),
		observer:        lease.NewObserver(config.Lease),
		workers:         make(map[string]*worker),
		workerCounts:    make(map[state.SessionID]int),
		endedSessions:   make(map[state.SessionID]time.Time),
		pendingReleases: make(map[string]bool),
		pendingLoads:    make(map[string]map[string]time.Time),
		outageUnits:     make(map[string]time.Time),
		duplicates:      make(map[string]*duplicateRecord),
	}
}

// Listed takes an answer of the VM list: the names of all VMs and engines.
func (k *Keeper) ApplyList(now time.Time, version uint64, names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.departures.ApplyList(now, version, names)
}

// Session is the live session, 0 without one.
func (k *Keeper) Session() state.SessionID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

// Run looks after sessions and engines until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.group.Wait()
	select {
	case <-k.config.Control.Ready():
	case <-ctx.Done():
		return
	}
	var duties sync.WaitGroup
	defer duties.Wait()
	duties.Go(func() { pause.Every(ctx, dutyInterval, k.maintainSession) })
	duties.Go(func() { pause.Every(ctx, dutyInterval, k.proposeRelayedRenewals) })
	duties.Go(func() { pause.Every(ctx, dutyInterval, k.acquireEngines) })
	duties.Go(func() { pause.Every(ctx, dutyInterval, k.endSessions) })
	duties.Go(func() { pause.Every(ctx, dutyInterval, k.updateOutageUnits) })
	<-ctx.Done()
}

// Stop ends the duty at a graceful shutdown: workers finish their order, then
// the session is closed, which gives the engines back and settles it.
func (k *Keeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	session := k.session
	k.session = 0
	for _, w := range k.workers {
		w.stop()
	}
	k.mu.Unlock()
	k.group.Wait()
	if session == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if !k.hasPendingLoad(session) {
		_, _ = k.config.Control.Propose(ctx, state.Proposal{SessionClose: &state.SessionClose{Session: session}})
		return
	}
	k.expireOwnSession(ctx, session)
}

// endOwn ends the session without settling it: an order without an answer may
// still arrive, but another VM can take the engines over at once. The VM's
// departure settles it. A renewal under way may land first.
func (k *Keeper) expireOwnSession(ctx context.Context, session state.SessionID) {
	for ctx.Err() == nil {
		var renewal state.Revision
		k.config.Control.View(func(s *state.State) {
			if known := s.Sessions[session]; known != nil && !known.Ended {
				renewal = known.LastRenewal
			}
		})
		if renewal == 0 {
			return
		}
		if _, ended := k.propose(ctx, state.Proposal{
			SessionExpire: &state.SessionExpire{Session: session, LastRenewal: renewal},
		}); ended {
			return
		}
		select {
		case <-time.After(expireRetryInterval):
		case <-ctx.Done():
		}
	}
}

// doubt tells whether an order of the session may still arrive.
func (k *Keeper) hasPendingLoad(session state.SessionID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.endedSessions[session])
}

// takeEngines starts a worker for each engine that this session keeps, and
// proposes to take those that it should keep and nobody does.
func (k *Keeper) acquireEngines(ctx context.Context) {
	session := k.Session()
	if session == 0 {
		return
	}
	assigned := k.config.AssignedEngines()
	for _, address := range assigned {
		k.acquireEngine(ctx, address, session)
	}
	var kept []string
	k.config.Control.View(func(s *state.State) { kept = s.EnginesKeptBy(session) })
	for _, address := range k.enginesToRelease(time.Now(), kept, assigned) {
		k.releaseEngine(ctx, address, session)
	}
	for _, address := range kept {
		k.startWorker(ctx, address, session)
	}
}

func (k *Keeper) acquireEngine(ctx context.Context, address string, session state.SessionID) {
	var previous state.Revision
	free := true
	k.config.Control.View(func(s *state.State) {
		if e := s.Engines[address]; e != nil {
			previous = e.Keeper
			free = e.KeeperSession == 0
		}
	})
	if !free {
		return
	}
	k.propose(ctx, state.Proposal{KeeperAcquire: &state.KeeperAcquire{
		Engine: address, Session: session, Previous: previous,
	}})
}

func (k *Keeper) startWorker(ctx context.Context, address string, session state.SessionID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopping || k.session != session || k.isHandoverDue(address, time.Now()) {
		return
	}
	if w, running := k.workers[address]; running && w.session == session {
		return
	}
	pending := maps.Clone(k.pendingLoads[address])
	if pending == nil {
		pending = make(map[string]time.Time)
	}
	w := newWorker(k, address, session, pending)
	workerCtx, stop := context.WithCancel(ctx)
	w.stop = stop
	k.workers[address] = w
	k.workerCounts[session]++
	k.group.Go(func() {
		defer stop()
		pendingUntil := w.run(workerCtx)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.workerCounts[session]--
		if k.workerCounts[session] == 0 {
			delete(k.workerCounts, session)
		}
		if k.workers[address] == w {
			delete(k.workers, address)
		}
		k.pendingLoads[address] = w.pendingLoadsUntil
		if pendingUntil.After(k.endedSessions[session]) {
			k.endedSessions[session] = pendingUntil
		}
	})
}

func (k *Keeper) propose(ctx context.Context, p state.Proposal) (state.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := k.config.Control.Propose(ctx, p)
	if err != nil {
		k.config.Logger.Debug("not proposed", zap.Error(err))
		return outcome, false
	}
	return outcome, outcome.Verdict == state.VerdictApplied
}
