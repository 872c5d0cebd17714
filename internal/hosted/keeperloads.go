package hosted

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/engine"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
)

const (
	// copyMargin is beyond the time that a load from an engine's own copy should take,
	// before it is taken for done: the order's way to the engine and timers that fire late.
	copyMargin = 10 * time.Millisecond
	// confirmWithin is how long an engine may take to say that such a load is done. Its
	// status lags by some hundred milliseconds.
	confirmWithin = time.Second
	// distrustFor is how long loads are not taken for done early after one that was not:
	// whatever slowed it, a busy disk or a slow engine, lasts some seconds.
	distrustFor = 15 * time.Second
)

var (
	loadsForeseen = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="confirmed"}`)
	loadsMissed   = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="missed"}`)
)

// loadTrust tells whether loads from engines' own copies end when they should. Load
// pattern: rare models follow each other on an engine every two seconds, and its status
// says 0.3 s late that one is there; each swap and each request that waits for it lasted
// that much longer. It is not safe for concurrent use.
type loadTrust struct{ doubtfulUntil time.Time }

func (l *loadTrust) trusts(now time.Time) bool { return !now.Before(l.doubtfulUntil) }

// missed notes a load that was not done when it should have been.
func (l *loadTrust) missed(now time.Time) { l.doubtfulUntil = now.Add(distrustFor) }

func (k *keeper) trustsLoads() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.trust.trusts(time.Now())
}

// awaitLoad waits until the model should be there, or until the engine says so.
func (k *keeper) awaitLoad(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) error {
	deadline := time.Now().Add(loadSlack*args.Takes + loadExtra)
	if !pause.For(ctx, args.Takes+copyMargin) {
		return ctx.Err()
	}
	if args.Copied && k.trustsLoads() {
		if err := k.hold(e, started, args.Load); err != nil {
			return err
		}
		go k.confirm(ctx, e, started, args)
		return nil
	}
	for {
		done, err := k.loadDone(ctx, e, started, args.Load)
		if err != nil {
			return err
		}
		if done {
			return k.hold(e, started, args.Load)
		}
		if time.Now().After(deadline) {
			return errLate
		}
		if !pause.For(ctx, statusPause) {
			return ctx.Err()
		}
	}
}

// loadDone asks the engine whether it holds a model by now. Only an engine that is gone or
// has started again is an error.
func (k *keeper) loadDone(ctx context.Context, e *keptEngine, started int64, model string) (bool, error) {
	status, err := k.status(ctx, e)
	if errors.Is(err, errGone) {
		return false, err
	}
	counts := err == nil && k.saw(e, status)
	if k.startOf(e) != started {
		return false, errStartedAgain
	}
	return counts && holdsReady(status, model), nil
}

// confirm asks the engine whether it holds a model that was taken for loaded. If not, that
// is taken back, and the next loads are waited for.
func (k *keeper) confirm(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) {
	deadline := time.Now().Add(confirmWithin)
	for pause.For(ctx, statusPause) {
		done, err := k.loadDone(ctx, e, started, args.Load)
		if err != nil || !k.holds(e, args.Load) {
			return // it has started again, or the model is being replaced
		}
		if done {
			loadsForeseen.Inc()
			return
		}
		if time.Now().After(deadline) {
			k.takeBack(ctx, e, args.Load)
			return
		}
	}
}

// takeBack forgets a model that was taken for loaded.
func (k *keeper) takeBack(ctx context.Context, e *keptEngine, model string) {
	loadsMissed.Inc()
	k.node.config.Logger.Warn("load takes longer than it should", zap.String("engine", e.id), zap.String("model", model))
	k.mu.Lock()
	k.trust.missed(time.Now())
	k.mu.Unlock()
	e.mu.Lock()
	e.known = false
	e.mu.Unlock()
	k.resyncEngine(ctx, e)
}

// holds tells whether a model is held and stays.
func (k *keeper) holds(e *keptEngine, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[model]
	return m != nil && !m.retiring
}

// hold notes a model that was loaded on a start of the engine.
func (k *keeper) hold(e *keptEngine, started int64, model string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started != started {
		return errStartedAgain
	}
	if e.models[model] == nil {
		e.models[model] = &keptModel{adapters: make(map[string]*keptAdapter)}
	}
	return nil
}

func holdsReady(status engine.Status, model string) bool {
	for _, unit := range status.Units {
		if unit.Unit == model && unit.Base == "" && unit.Phase == engine.PhaseReady {
			return true
		}
	}
	return false
}
