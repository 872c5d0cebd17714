package keeper

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/state"
)

const (
	// pollInterval is how often a keeper compares an engine with the control state
	// when nothing wakes it; the end of a load or a restart of the engine is
	// noticed within it.
	pollInterval = 500 * time.Millisecond
	// IdlePollInterval replaces it while the engine is as it should be: polling
	// twice a second took a third of an idle entry VM's processor time.
	IdlePollInterval = 2 * time.Second
	// orderTimeout bounds one order; the engine answers once it has accepted it.
	orderTimeout = 5 * time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// orderBackoff is how long a unit's next order waits after one failed, so that
	// a load that fails immediately does not use up the weight store's rate.
	orderBackoff = 2 * time.Second
)

// worker keeps one engine. It runs in one goroutine, so orders are sent one at a
// time.
type worker struct {
	keeper  *Keeper
	address string
	session state.SessionID
	wake    chan struct{}
	// lastVersion is the engine's recorded state at the last call of
	// Keeper.WakeChangedWorkers; guarded by the keeper's mu.
	lastVersion engineVersion
	// pollDelay is how long to wait for a wake-up before the next round.
	pollDelay time.Duration
	stop      context.CancelFunc
	logger    *zap.Logger

	fencedToken     engine.Token
	answeredUnloads map[state.Revision]bool
	// pendingLoadsUntil holds until when an unanswered load order may still arrive,
	// by unit; backoffUntil when a unit may be ordered again.
	pendingLoadsUntil map[string]time.Time
	backoffUntil      map[string]time.Time
	incarnation       string
}

// newWorker returns a worker that takes over the pending loads of the engine's
// previous worker.
func newWorker(k *Keeper, address string, session state.SessionID, pending map[string]time.Time) *worker {
	return &worker{
		keeper: k, address: address, session: session,
		wake:              make(chan struct{}, 1),
		pollDelay:         pollInterval,
		logger:            k.config.Logger.With(zap.String("engine", address)),
		answeredUnloads:   make(map[state.Revision]bool),
		pendingLoadsUntil: pending,
		backoffUntil:      make(map[string]time.Time),
	}
}

// run keeps the engine until ctx ends or the session is no longer its keeper. It
// returns the time at which the last unanswered load order can no longer arrive.
func (w *worker) run(ctx context.Context) time.Time {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		recorded, isKeeper := w.recordedEngine()
		if !isKeeper {
			break
		}
		if w.reconcile(ctx, recorded) {
			continue
		}
		timer.Reset(w.pollDelay)
		select {
		case <-w.wake:
		case <-timer.C:
		case <-ctx.Done():
			return w.lastPendingLoadUntil()
		}
	}
	return w.lastPendingLoadUntil()
}

// isConverged reports whether the engine holds exactly the units that it should and
// nothing is in progress, so that it may be polled less often.
func isConverged(recorded state.Engine, status engine.Status, steps []step) bool {
	if len(steps) > 0 {
		return false
	}
	for _, unit := range status.Units {
		if unit.Phase != engine.PhaseReady {
			return false
		}
	}
	for _, right := range recorded.Rights {
		if right.Withdrawn != 0 {
			return false
		}
	}
	return true
}

func (w *worker) lastPendingLoadUntil() time.Time {
	var last time.Time
	for _, until := range w.pendingLoadsUntil {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// recordedEngine copies the engine's state in the control state and reports whether
// this session keeps it.
func (w *worker) recordedEngine() (state.Engine, bool) {
	var copied state.Engine
	isKeeper := false
	w.keeper.config.Control.View(func(s *state.State) {
		e := s.Engines[w.address]
		if e == nil || e.KeeperSession != w.session {
			return
		}
		isKeeper = true
		copied = *e
		copied.Rights = make(map[string]*state.Right, len(e.Rights))
		for unit, right := range e.Rights {
			r := *right
			// Applying records changes this list in place.
			r.UnsettledSessions = slices.Clone(right.UnsettledSessions)
			copied.Rights[unit] = &r
		}
	})
	return copied, isKeeper
}

// reconcile polls the engine and takes the next steps. It reports whether something
// was done, so that the next round should follow immediately.
func (w *worker) reconcile(ctx context.Context, recorded state.Engine) bool {
	// Pending loads are read before the engine is polled. A load order may arrive
	// just after the engine's answer; a later reading could find it too old to
	// arrive, and ConfirmUnload would free a unit that is loaded.
	orders := w.orderState(recorded)
	status, err := w.fetchStatus(ctx)
	if err != nil {
		return false
	}
	if status.Incarnation != w.incarnation {
		// A restarted engine is empty. Earlier answers prove nothing about it.
		w.incarnation = status.Incarnation
		clear(w.answeredUnloads)
	}
	done := false
	steps := nextSteps(observation{recorded: recorded, status: status, orders: orders})
	w.pollDelay = pollInterval
	if isConverged(recorded, status, steps) && len(orders.inBackoff) == 0 {
		w.pollDelay = IdlePollInterval
	}
	for _, s := range steps {
		if ctx.Err() != nil {
			return false
		}
		done = w.execute(ctx, s, status) || done
	}
	return done
}

func (w *worker) fetchStatus(ctx context.Context) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := w.keeper.config.Engines.Status(ctx, w.address)
	w.keeper.config.RecordStatus(w.address, status, err)
	return status, err
}

func (w *worker) orderState(recorded state.Engine) orderState {
	now := time.Now()
	for withdrawal := range w.answeredUnloads {
		if !isWithdrawalPending(recorded, withdrawal) {
			delete(w.answeredUnloads, withdrawal)
		}
	}
	return orderState{
		fencedToken: w.fencedToken, answeredUnloads: w.answeredUnloads,
		pendingLoads: unexpired(w.pendingLoadsUntil, now), inBackoff: unexpired(w.backoffUntil, now),
		outageUnits: w.keeper.currentOutageUnits(),
	}
}

func isWithdrawalPending(recorded state.Engine, withdrawal state.Revision) bool {
	for _, r := range recorded.Rights {
		if r.Withdrawn == withdrawal {
			return true
		}
	}
	return false
}

// unexpired drops what has expired and returns the rest as a set.
func unexpired(until map[string]time.Time, now time.Time) map[string]bool {
	set := make(map[string]bool, len(until))
	for unit, t := range until {
		if now.Before(t) {
			set[unit] = true
			continue
		}
		delete(until, unit)
	}
	return set
}

func (w *worker) execute(ctx context.Context, s step, status engine.Status) bool {
	switch s.kind {
	case stepReport:
		return w.reportEngine(ctx, status)
	case stepConfirmUnload:
		return w.confirmUnload(ctx, s)
	default:
		return w.sendOrder(ctx, s)
	}
}

// sendOrder sends one order and records what its answer proves. A worker that is
// stopped meanwhile waits for the answer: without it nobody could tell whether the
// order may still arrive, and the session could not be closed.
func (w *worker) sendOrder(ctx context.Context, s step) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	status, err := w.keeper.config.Engines.Order(ctx, w.address, s.order)
	if err != nil {
		w.handleOrderError(s, err)
		return false
	}
	w.keeper.config.RecordStatus(w.address, status, nil)
	w.logger.Info("ordered", zap.String("action", string(s.order.Action)), zap.String("unit", s.order.Unit),
		zap.Uint64("token", uint64(s.order.Token)))
	switch s.kind {
	case stepFence:
		w.fencedToken = s.order.Token
	case stepUnload:
		w.backoffUntil[s.order.Unit] = time.Now().Add(pollInterval)
		if s.withdrawn != 0 {
			w.answeredUnloads[s.withdrawn] = true
		}
	case stepLoad:
		w.backoffUntil[s.order.Unit] = time.Now().Add(orderBackoff)
	}
	return s.kind == stepFence
}

func (w *worker) handleOrderError(s step, err error) {
	now := time.Now()
	w.backoffUntil[s.order.Unit] = now.Add(orderBackoff)
	if s.kind == stepLoad && canTakeEffect(err) {
		w.pendingLoadsUntil[s.order.Unit] = now.Add(w.keeper.config.MessageLifetime)
	}
	w.logger.Warn("order failed", zap.String("action", string(s.order.Action)),
		zap.String("unit", s.order.Unit), zap.Error(err))
}

// errorsWithoutEffect are the errors that prove that an order did nothing and never
// will.
var errorsWithoutEffect = []error{
	engine.ErrNotSent, engine.ErrStaleToken, engine.ErrNoMemory,
	engine.ErrNotLoaded, engine.ErrInUse, engine.ErrBadRequest,
}

// canTakeEffect reports whether an order that failed with err may still take
// effect.
func canTakeEffect(err error) bool {
	return !slices.ContainsFunc(errorsWithoutEffect, func(target error) bool { return errors.Is(err, target) })
}

func (w *worker) reportEngine(ctx context.Context, status engine.Status) bool {
	recorded, isKeeper := w.recordedEngine()
	if !isKeeper {
		return false
	}
	domain := w.keeper.config.DomainOf(w.address)
	return w.propose(ctx, state.Proposal{EngineReport: &state.EngineReport{
		Engine: w.address, Keeper: recorded.Keeper, Incarnation: status.Incarnation, Domain: domain,
		MemoryBytes: status.MemoryBytes, ChecksTokens: status.ChecksTokens,
	}})
}

func (w *worker) confirmUnload(ctx context.Context, s step) bool {
	recorded, isKeeper := w.recordedEngine()
	if !isKeeper {
		return false
	}
	return w.propose(ctx, state.Proposal{ConfirmUnload: &state.ConfirmUnload{
		Engine: w.address, Keeper: recorded.Keeper, Unit: s.order.Unit, Right: s.right,
	}})
}

func (w *worker) propose(ctx context.Context, p state.Proposal) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := w.keeper.config.Control.Propose(ctx, p)
	if err != nil {
		return false
	}
	return outcome.Verdict == state.VerdictApplied
}
