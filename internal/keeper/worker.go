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
	// workerTick is how often a keeper compares an engine with the fold when
	// nothing wakes it: a load's end or an engine's restart shows within it.
	workerTick = 500 * time.Millisecond
	// IdleTick is the same while all is as agreed: at twice a second, asking
	// was a third of an idle entry VM's processor time.
	IdlePollInterval = 2 * time.Second
	// orderTimeout bounds one order; the engine answers once it has taken it.
	orderTimeout = 5 * time.Second
	// proposeTimeout bounds one proposal.
	proposeTimeout = 5 * time.Second
	// restAfterFailure is how long a unit's next order waits after one failed, so
	// that a load that dies at once does not eat the weight store's rate.
	restAfterFailure = 2 * time.Second
)

// worker keeps one engine: one goroutine, so its orders go out one at a time.
type worker struct {
	keeper  *Keeper
	address string
	session state.SessionID
	wake    chan struct{}
	// woken is what the fold said of the engine at the last call of Keeper.Wake;
	// guarded by the keeper's mu.
	woken stamp
	// pause is how long to wait for a wake-up before the next round.
	pause  time.Duration
	stop   context.CancelFunc
	logger *zap.Logger

	fenced   engine.Token
	unloaded map[state.Revision]bool
	// doubtfulUntil is when a load order without an answer can't arrive any
	// more, by unit; restUntil when a unit may be ordered again.
	doubtfulUntil map[string]time.Time
	restUntil     map[string]time.Time
	incarnation   string
}

// newWorker takes over what an earlier worker of the engine left in doubt.
func newWorker(k *Keeper, address string, session state.SessionID, doubts map[string]time.Time) *worker {
	return &worker{
		keeper: k, address: address, session: session,
		wake:          make(chan struct{}, 1),
		pause:         workerTick,
		logger:        k.config.Logger.With(zap.String("engine", address)),
		unloaded:      make(map[state.Revision]bool),
		doubtfulUntil: doubts,
		restUntil:     make(map[string]time.Time),
	}
}

// run keeps the engine until ctx ends or the session is no longer its keeper.
// It returns when the last order without an answer can't arrive any more.
func (w *worker) run(ctx context.Context) time.Time {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		agreed, mine := w.agreed()
		if !mine {
			break
		}
		if w.round(ctx, agreed) {
			continue
		}
		timer.Reset(w.pause)
		select {
		case <-w.wake:
		case <-timer.C:
		case <-ctx.Done():
			return w.lastDoubt()
		}
	}
	return w.lastDoubt()
}

// settled tells whether the engine holds just what it should and nothing is under
// way, so that it may be asked less often.
func settled(agreed state.Engine, status engine.Status, steps []step) bool {
	if len(steps) > 0 {
		return false
	}
	for _, unit := range status.Units {
		if unit.Phase != engine.PhaseReady {
			return false
		}
	}
	for _, right := range agreed.Rights {
		if right.Withdrawn != 0 {
			return false
		}
	}
	return true
}

func (w *worker) lastDoubt() time.Time {
	var last time.Time
	for _, until := range w.doubtfulUntil {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// agreed copies what the fold says of the engine, and tells whether this
// session keeps it.
func (w *worker) agreed() (state.Engine, bool) {
	var copied state.Engine
	mine := false
	w.keeper.config.Control.View(func(s *state.State) {
		e := s.Engines[w.address]
		if e == nil || e.KeeperSession != w.session {
			return
		}
		mine = true
		copied = *e
		copied.Rights = make(map[string]*state.Right, len(e.Rights))
		for unit, right := range e.Rights {
			r := *right
			// The fold changes this list in place.
			r.UnsettledSessions = slices.Clone(right.UnsettledSessions)
			copied.Rights[unit] = &r
		}
	})
	return copied, mine
}

// round asks the engine and takes the next steps. It tells whether something
// was done, so that the next round should follow at once.
func (w *worker) round(ctx context.Context, agreed state.Engine) bool {
	// What is doubtful is read before the engine is asked: a load order may arrive
	// just after the engine's answer and be too old to arrive just before a later
	// reading, and Gone would free a unit that is loaded.
	remembered := w.remembered(agreed)
	status, err := w.ask(ctx)
	if err != nil {
		return false
	}
	if status.Incarnation != w.incarnation {
		// A restarted engine is empty. What was answered before says nothing of it.
		w.incarnation = status.Incarnation
		clear(w.unloaded)
	}
	done := false
	steps := nextSteps(observation{agreed: agreed, status: status, memory: remembered})
	w.pause = workerTick
	if settled(agreed, status, steps) && len(remembered.resting) == 0 {
		w.pause = IdlePollInterval
	}
	for _, s := range steps {
		if ctx.Err() != nil {
			return false
		}
		done = w.take(ctx, s, status) || done
	}
	return done
}

func (w *worker) ask(ctx context.Context) (engine.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := w.keeper.config.Engines.Status(ctx, w.address)
	w.keeper.config.RecordStatus(w.address, status, err)
	return status, err
}

func (w *worker) remembered(agreed state.Engine) memory {
	now := time.Now()
	for withdrawal := range w.unloaded {
		if !stillThere(agreed, withdrawal) {
			delete(w.unloaded, withdrawal)
		}
	}
	return memory{
		fenced: w.fenced, unloaded: w.unloaded,
		doubtful: running(w.doubtfulUntil, now), resting: running(w.restUntil, now),
		stranded: w.keeper.strandedUnits(),
	}
}

func stillThere(agreed state.Engine, withdrawal state.Revision) bool {
	for _, r := range agreed.Rights {
		if r.Withdrawn == withdrawal {
			return true
		}
	}
	return false
}

// running drops what has passed and returns the rest as a set.
func running(until map[string]time.Time, now time.Time) map[string]bool {
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

func (w *worker) take(ctx context.Context, s step, status engine.Status) bool {
	switch s.kind {
	case stepMeet:
		return w.meet(ctx, status)
	case stepGone:
		return w.gone(ctx, s)
	default:
		return w.order(ctx, s)
	}
}

// order sends one order and remembers what its answer proves. A worker that is
// stopped meanwhile waits for the answer: without it nobody could tell whether
// the order still arrives, and the session could not be closed.
func (w *worker) order(ctx context.Context, s step) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
	defer cancel()
	status, err := w.keeper.config.Engines.Order(ctx, w.address, s.order)
	if err != nil {
		w.orderFailed(s, err)
		return false
	}
	w.keeper.config.RecordStatus(w.address, status, nil)
	w.logger.Info("ordered", zap.String("action", string(s.order.Action)), zap.String("unit", s.order.Unit),
		zap.Uint64("token", uint64(s.order.Token)))
	switch s.kind {
	case stepFence:
		w.fenced = s.order.Token
	case stepUnload:
		w.restUntil[s.order.Unit] = time.Now().Add(workerTick)
		if s.withdrawn != 0 {
			w.unloaded[s.withdrawn] = true
		}
	case stepLoad:
		w.restUntil[s.order.Unit] = time.Now().Add(restAfterFailure)
	}
	return s.kind == stepFence
}

func (w *worker) orderFailed(s step, err error) {
	now := time.Now()
	w.restUntil[s.order.Unit] = now.Add(restAfterFailure)
	if s.kind == stepLoad && mayArrive(err) {
		w.doubtfulUntil[s.order.Unit] = now.Add(w.keeper.config.MessageLifetime)
	}
	w.logger.Warn("order failed", zap.String("action", string(s.order.Action)),
		zap.String("unit", s.order.Unit), zap.Error(err))
}

// definite are the errors that prove that an order did nothing and never will.
var definite = []error{
	engine.ErrNotSent, engine.ErrStaleToken, engine.ErrNoMemory,
	engine.ErrNotLoaded, engine.ErrInUse, engine.ErrBadRequest,
}

// mayArrive tells whether the order that failed so may still take effect.
func mayArrive(err error) bool {
	return !slices.ContainsFunc(definite, func(no error) bool { return errors.Is(err, no) })
}

func (w *worker) meet(ctx context.Context, status engine.Status) bool {
	agreed, mine := w.agreed()
	if !mine {
		return false
	}
	domain := w.keeper.config.DomainOf(w.address)
	return w.propose(ctx, state.Proposal{EngineReport: &state.EngineReport{
		Engine: w.address, Keeper: agreed.Keeper, Incarnation: status.Incarnation, Domain: domain,
		MemoryBytes: status.MemoryBytes, ChecksTokens: status.ChecksTokens,
	}})
}

func (w *worker) gone(ctx context.Context, s step) bool {
	agreed, mine := w.agreed()
	if !mine {
		return false
	}
	return w.propose(ctx, state.Proposal{ConfirmUnload: &state.ConfirmUnload{
		Engine: w.address, Keeper: agreed.Keeper, Unit: s.order.Unit, Right: s.right,
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
