package hosted

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/routing"
)

// readyEstimates holds the models that requests wait for and the time at which the planner
// expects each of them to be ready. Requests that can't wait that long are refused at once
// with that time. It is safe for concurrent use.
type readyEstimates struct {
	node *Node

	mu      sync.Mutex
	readyAt map[modelKey]time.Time
}

func newReadyEstimates(n *Node) *readyEstimates {
	return &readyEstimates{node: n, readyAt: make(map[modelKey]time.Time)}
}

// replace replaces the estimates by the planner's newest ones.
func (a *readyEstimates) replace(now time.Time, estimates []entryvm.ReadyEstimate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.readyAt
	a.readyAt = make(map[modelKey]time.Time, len(estimates))
	for _, e := range estimates {
		key := modelKey{e.Service, e.Model}
		if a.node.backends.hasModel(e.Service, e.Model) {
			continue // loaded since the planner made the estimate
		}
		a.readyAt[key] = now.Add(e.ReadyIn)
		a.setReadyTime(key, a.readyAt[key], true)
		if _, known := before[key]; !known {
			a.node.config.Logger.Debug("model expected", zap.String("service", e.Service), zap.String("model", e.Model),
				zap.Duration("in", e.ReadyIn))
		}
	}
	for key := range before {
		if _, still := a.readyAt[key]; !still {
			a.setReadyTime(key, time.Time{}, false)
		}
	}
}

// clearIfLoaded removes the estimate of a model if an engine holds the model.
func (a *readyEstimates) clearIfLoaded(service, model string) {
	key := modelKey{service, model}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.readyAt[key]; !known || !a.node.backends.hasModel(service, model) {
		return
	}
	delete(a.readyAt, key)
	a.setReadyTime(key, time.Time{}, false)
}

// setReadyTime passes an estimate to admission, or clears it if known is false. Call with mu
// held.
func (a *readyEstimates) setReadyTime(key modelKey, at time.Time, known bool) {
	pool := serving.ModelUnit{Service: key.service, Model: key.model}.Pool()
	a.node.serving.WithLockedState(func(c *admission.Controller, _ *routing.Router) { c.SetReadyTime(pool, at, known) })
}
