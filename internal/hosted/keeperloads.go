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
	// copiedLoadMargin is added to the expected time of a load from the engine's own copy
	// before it counts as done: it covers the order's transit and timers that fire late.
	copiedLoadMargin = 10 * time.Millisecond
	// loadConfirmTimeout bounds the wait for the status that confirms such a load. An
	// engine's status lags by some hundred milliseconds.
	loadConfirmTimeout = time.Second
	// loadPredictionBackoff is how long no load is predicted after a wrong prediction:
	// the cause, a busy disk or a slow engine, lasts some seconds.
	loadPredictionBackoff = 15 * time.Second
)

var (
	predictedLoadsConfirmed = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="confirmed"}`)
	predictedLoadsMissed    = metrics.NewCounter(`bergamotreel_loads_foreseen_total{outcome="missed"}`)
)

// loadPredictor decides whether loads from engines' own copies count as done after their
// expected time, without a status. A status reports a load 0.3 s late; where rare models
// replace each other on an engine every two seconds, waiting for it would delay each swap
// and each request that waits for one by as much. It is not safe for concurrent use.
type loadPredictor struct{ unreliableUntil time.Time }

func (l *loadPredictor) isReliable(now time.Time) bool { return !now.Before(l.unreliableUntil) }

// recordMiss records a load that was not done after its expected time.
func (l *loadPredictor) recordMiss(now time.Time) { l.unreliableUntil = now.Add(loadPredictionBackoff) }

func (k *keeper) canPredictLoads() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loadPrediction.isReliable(time.Now())
}

// waitForLoad waits until the model should be loaded if loads can be predicted, else until
// the engine's status confirms it.
func (k *keeper) waitForLoad(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) error {
	deadline := time.Now().Add(loadTimeoutFactor*args.LoadTime + loadTimeoutMargin)
	if !pause.For(ctx, args.LoadTime+copiedLoadMargin) {
		return ctx.Err()
	}
	if args.HasLocalCopy && k.canPredictLoads() {
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

// isLoadDone requests the engine's status and reports whether the model is loaded. It
// fails only if the engine is gone or has restarted.
func (k *keeper) isLoadDone(ctx context.Context, e *keptEngine, started int64, model string) (bool, error) {
	status, err := k.queryStatus(ctx, e)
	if errors.Is(err, errEngineGone) {
		return false, err
	}
	valid := err == nil && k.checkStatusInstance(e, status)
	if k.instanceOf(e) != started {
		return false, errEngineRestarted
	}
	return valid && reportsModelReady(status, model), nil
}

// confirmLoad polls the engine's status for a model that was predicted to be loaded. If
// the model isn't there in time, the prediction is reverted, and the next loads wait for
// the engine's status.
func (k *keeper) confirmLoad(ctx context.Context, e *keptEngine, started int64, args entryvm.SwapArgs) {
	deadline := time.Now().Add(loadConfirmTimeout)
	for pause.For(ctx, statusPollInterval) {
		done, err := k.isLoadDone(ctx, e, started, args.Load)
		if err != nil || !k.holdsActiveModel(e, args.Load) {
			return // it has restarted, or the model is being replaced
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

// revertPredictedLoad requests the engine's status after a wrong prediction of a load and
// suspends further predictions.
func (k *keeper) revertPredictedLoad(ctx context.Context, e *keptEngine, model string) {
	predictedLoadsMissed.Inc()
	k.node.config.Logger.Warn("load takes longer than it should", zap.String("engine", e.id), zap.String("model", model))
	k.mu.Lock()
	k.loadPrediction.recordMiss(time.Now())
	k.mu.Unlock()
	e.mu.Lock()
	e.statusKnown = false
	e.mu.Unlock()
	k.resyncEngine(ctx, e)
}

// holdsActiveModel reports whether the engine holds the model and is not retiring it.
func (k *keeper) holdsActiveModel(e *keptEngine, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.models[model]
	return m != nil && !m.retiring
}

// markLoaded records that the given instance of the engine has loaded a model. It fails if
// the engine has restarted since.
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
