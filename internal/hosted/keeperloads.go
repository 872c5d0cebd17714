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
	copiedLoadMargin = 10 * time.Millisecond
	// confirmWithin is how long an engine may take to say that such a load is done. Its
	// status lags by some hundred milliseconds.
	loadConfirmTimeout = time.Second
	// distrustFor is how long loads are not taken for done early after one that was not:
	// whatever slowed it, a busy disk or a slow engine, lasts some seconds.
	loadPredictionBackoff = 15 * time.Second
)

var (
	predictedLoadsConfirmed = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="confirmed"}`)
	predictedLoadsMissed    = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="missed"}`)
)

// loadTrust tells whether loads from engines' own copies end when they should. Load
// pattern: rare models follow each other on an engine every two seconds, and its status
// says 0.3 s late that one is there; each swap and each request that waits for it lasted
// that much longer. It is not safe for concurrent use.
type loadPredictor struct{ unreliableUntil time.Time }

func (l *loadPredictor) isReliable(now time.Time) bool { return !now.Before(l.unreliableUntil) }

// missed notes a load that was not done when it should have been.
func (l *loadPredictor) recordMiss(now time.Time) { l.unreliableUntil = now.Add(loadPredictionBackoff) }

func (k *keeper) canPredictLoads() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loadPrediction.isReliable(time.Now())
}

// awaitLoad waits until the model should be there, or until the engine says so.
func (k *keeper) waitForLoad(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) error {
	deadline := time.Now().Add(loadTimeoutFactor*args.Takes + loadTimeoutMargin)
	if !pause.For(ctx, args.Takes+copiedLoadMargin) {
		return ctx.Err()
	}
	if args.Copied && k.canPredictLoads() {
		if err := k.markLoaded(e, started, args.Load); err != nil {
			return err
		}
		go k.confirmLoad(ctx, e, started, args)
		return nil
	}
	for {
		done, err := k.isLoadDone(ctx, e, started, args.Load)
		if err != nil {
			return err
		}
		if done {
			return k.markLoaded(e, started, args.Load)
		}
		if time.Now().After(deadline) {
			return errTimedOut
		}
		if !pause.For(ctx, statusPollInterval) {
			return ctx.Err()
		}
	}
}

// loadDone asks the engine whether it holds a model by now. Only an engine that is gone or
// has started again is an error.
func (k *keeper) isLoadDone(ctx context.Context, e *keptEngine, started int64, model string) (bool, error) {
	status, err := k.queryStatus(ctx, e)
	if errors.Is(err, errEngineGone) {
		return false, err
	}
	counts := err == nil && k.checkStatusStart(e, status)
	if k.startOf(e) != started {
		return false, errEngineRestarted
	}
	return counts && reportsModelReady(status, model), nil
}

// confirm asks the engine whether it holds a model that was taken for loaded. If not, that
// is taken back, and the next loads are waited for.
func (k *keeper) confirmLoad(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) {
	deadline := time.Now().Add(loadConfirmTimeout)
	for pause.For(ctx, statusPollInterval) {
		done, err := k.isLoadDone(ctx, e, started, args.Load)
		if err != nil || !k.holdsActiveModel(e, args.Load) {
			return // it has started again, or the model is being replaced
		}
		if done {
			predictedLoadsConfirmed.Inc()
			return
		}
		if time.Now().After(deadline) {
			k.revertPredictedLoad(ctx, e, args.Load)
			return
		}
	}
}

// takeBack forgets a model that was taken for loaded.
func (k *keeper) revertPredictedLoad(ctx context.Context, e *keptEngine, model string) {
	predictedLoadsMissed.Inc()
	k.node.config.Logger.Warn("load takes longer than it should", zap.String("engine", e.id), zap.String("model", model))
	k.mu.Lock()
	k.loadPrediction.recordMiss(time.Now())
	k.mu.Unlock()
	e.mu.Lock()
	e.statusKnown = false
	e.mu.Unlock()
	k.settle(ctx, e)
}

// holds tells whether a model is held and stays.
func (k *keeper) holdsActiveModel(e *keptEngine, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[model]
	return m != nil && !m.retiring
}

// hold notes a model that was loaded on a start of the engine.
func (k *keeper) markLoaded(e *keptEngine, started int64, model string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.started != started {
		return errEngineRestarted
	}
	if e.models[model] == nil {
		e.models[model] = &keptModel{adapters: make(map[string]*keptAdapter)}
	}
	return nil
}

func reportsModelReady(status engine.Status, model string) bool {
	for _, unit := range status.Units {
		if unit.Unit == model && unit.Base == "" && unit.Phase == engine.PhaseReady {
			return true
		}
	}
	return false
}
