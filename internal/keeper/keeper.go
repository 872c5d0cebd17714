// Package keeper implements an entry VM's role as a keeper of engines: it holds the
// session, acquires engines, sends the orders that follow from the control state,
// and helps to end the sessions of VMs that are gone.
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
	// checkInterval is how often sessions and engines are checked.
	checkInterval = 500 * time.Millisecond
	// settleGracePeriod is how long other VMs leave it to the chosen VM to end a
	// session or an engine: several check intervals and an append.
	settleGracePeriod = 3 * time.Second
	// expireRetryInterval is the pause before ending this VM's session is retried.
	expireRetryInterval = 200 * time.Millisecond
	// closeTimeout bounds closing the session at a graceful shutdown.
	closeTimeout = 3 * time.Second
)

// Control is the part of the control stream that a keeper uses.
type Control interface {
	View(func(*state.State))
	Propose(context.Context, state.Proposal) (state.Outcome, error)
	Ready() <-chan struct{}
}

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	VM, Incarnation, Domain string
	Control                 Control
	Engines                 engine.Client
	Logger                  *zap.Logger
	Lease                   lease.Config
	MessageLifetime         time.Duration
	// AssignedEngines returns the addresses of the engines that this VM should keep
	// now.
	AssignedEngines func() []string
	// OutageDemand returns the units that requests wait for while the log is
	// unreachable, nil while it is reachable. They are loaded by existing standby
	// rights in the control state: the memory of these is already accounted for, so
	// safety needs no new record.
	OutageDemand func() map[string]bool
	// ShouldSettle reports whether this VM is chosen to end and settle the session
	// of another. A second VM that does so only adds log appends; safety does not
	// depend on it. Therefore, where the chosen one does not act (it may be cut off
	// from the log), all others do after settleGracePeriod.
	ShouldSettle func(vm string) bool
	// UsesRelay reports whether a relay collects the renewals of this VM's session
	// from its digests; nil means never.
	UsesRelay func() bool
	// RequestedRenewals returns the renewals that other VMs request from this VM as
	// their relay, and false if it is not a relay; nil means never.
	RequestedRenewals func() ([]state.Renewal, bool)
	// DomainOf returns an engine's failure domain.
	DomainOf func(engine string) string
	// RecordStatus receives the result of each status request, and the status in
	// the answer to each order.
	RecordStatus func(engine string, status engine.Status, err error)
}

// Keeper keeps engines for one entry VM.
type Keeper struct {
	config Config

	mu         sync.Mutex
	departures *lease.Departures
	observer   *lease.Observer
	workers    map[string]*worker
	// workerCounts counts the workers of each session of this VM, including stopped
	// ones until their last order has ended.
	workerCounts map[state.SessionID]int
	// session is the live session, 0 if there is none; holder tracks its lease.
	session         state.SessionID
	holder          *lease.Holder
	renewalSequence uint64
	// relayRequestNumber counts the renewals requested from a relay, and
	// relayRequestedAt is when the newest was requested. confirmedRelayRequest is
	// the newest that was applied. relayedAt is when this VM last proposed the
	// renewals of others.
	relayRequestNumber, confirmedRelayRequest uint64
	relayRequestedAt, relayedAt               time.Time
	// unsettledSessions are sessions of this VM that are settled after they have
	// ended, with the time at which their last order can no longer arrive.
	unsettledSessions map[state.SessionID]time.Time
	// pendingReleases are engines whose release was proposed and is not known to be
	// applied.
	pendingReleases map[string]bool
	// pendingLoads holds the pendingLoadsUntil of each engine's newest worker that
	// ended.
	pendingLoads map[string]map[string]time.Time
	// endingsFoundAt holds when each ending that is due now was first found due.
	endingsFoundAt map[endingKey]time.Time
	// reassignedSince holds since when each engine that this VM keeps should have
	// another keeper.
	reassignedSince map[string]time.Time
	// outageUnits holds until when a unit stays loaded by a standby right.
	outageUnits map[string]time.Time
	// firstSession is the first session of this process. duplicates records the
	// sessions that other processes hold under its name, by incarnation.
	firstSession state.SessionID
	duplicates   map[string]*duplicateRecord
	// stopping is set by a graceful shutdown: no new session is opened and no
	// worker started.
	stopping bool
	group    sync.WaitGroup
}

// New returns a keeper. It does nothing until Run is called.
func New(config Config) *Keeper {
	if config.UsesRelay == nil {
		config.UsesRelay = func() bool { return false }
	}
	if config.RequestedRenewals == nil {
		config.RequestedRenewals = func() ([]state.Renewal, bool) { return nil, false }
	}
	return &Keeper{
		config:            config,
		departures:        lease.NewDepartures(config.Lease, config.VM, config.Incarnation, time.Now()),
		observer:          lease.NewObserver(config.Lease),
		workers:           make(map[string]*worker),
		workerCounts:      make(map[state.SessionID]int),
		unsettledSessions: make(map[state.SessionID]time.Time),
		pendingReleases:   make(map[string]bool),
		pendingLoads:      make(map[string]map[string]time.Time),
		outageUnits:       make(map[string]time.Time),
		duplicates:        make(map[string]*duplicateRecord),
	}
}

// ApplyList applies a version of the VM list, given the names of all VMs and
// engines.
func (k *Keeper) ApplyList(now time.Time, version uint64, names []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.departures.ApplyList(now, version, names)
}

// Session returns the live session, 0 if there is none.
func (k *Keeper) Session() state.SessionID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

// Run maintains sessions and engines until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	defer k.group.Wait()
	select {
	case <-k.config.Control.Ready():
	case <-ctx.Done():
		return
	}
	var loops sync.WaitGroup
	defer loops.Wait()
	loops.Go(func() { pause.Every(ctx, checkInterval, k.maintainSession) })
	loops.Go(func() { pause.Every(ctx, checkInterval, k.proposeRelayedRenewals) })
	loops.Go(func() { pause.Every(ctx, checkInterval, k.syncEngines) })
	loops.Go(func() { pause.Every(ctx, checkInterval, k.endSessions) })
	loops.Go(func() { pause.Every(ctx, checkInterval, k.updateOutageUnits) })
	<-ctx.Done()
}

// Stop shuts the keeper down gracefully: workers finish their current order, then
// the session is closed, which releases the engines and settles the session. If an
// order may still arrive, the session is ended without being settled.
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

// expireOwnSession ends the session without settling it: an unanswered order may
// still arrive, but another VM can acquire the engines immediately. The session is
// settled when this VM departs. A renewal in flight may be applied first, so the
// proposal is repeated.
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

// hasPendingLoad reports whether a load order of the session may still arrive.
func (k *Keeper) hasPendingLoad(session state.SessionID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.unsettledSessions[session])
}

// syncEngines starts a worker for each engine that this session keeps, proposes to
// acquire the assigned ones that have no keeper, and releases those that other VMs
// should keep.
func (k *Keeper) syncEngines(ctx context.Context) {
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
	if k.stopping || k.session != session || k.isBeingReleased(address, time.Now()) {
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
		if pendingUntil.After(k.unsettledSessions[session]) {
			k.unsettledSessions[session] = pendingUntil
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
