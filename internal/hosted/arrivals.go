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

// arrivals are the models that requests wait for, with the time at which the VM that
// plans expects them to be there. Requests that can't wait so long are refused at once,
// with that time. It is safe for concurrent use.
type readyEstimates struct {
	node *Node

	mu      sync.Mutex
	readyAt map[modelKey]time.Time
}

func newReadyEstimates(n *Node) *readyEstimates {
	return &readyEstimates{node: n, readyAt: make(map[modelKey]time.Time)}
}

// replace takes what the VM that plans expects now.
func (a *readyEstimates) replace(now time.Time, coming []entryvm.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.readyAt
	a.readyAt = make(map[modelKey]time.Time, len(coming))
	for _, c := range coming {
		key := modelKey{c.Service, c.Model}
		if a.node.backends.hasModel(c.Service, c.Model) {
			continue // newer news than the planner had
		}
		a.readyAt[key] = now.Add(c.In)
		a.setReadyTime(key, a.readyAt[key], true)
		if _, known := before[key]; !known {
			a.node.config.Logger.Debug("model expected", zap.String("service", c.Service), zap.String("model", c.Model),
				zap.Duration("in", c.In))
		}
	}
	for key := range before {
		if _, still := a.readyAt[key]; !still {
			a.setReadyTime(key, time.Time{}, false)
		}
	}
}

// arrived ends the expectation of a model that an engine holds.
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

// expect tells admission. Call with mu held.
func (a *readyEstimates) setReadyTime(key modelKey, at time.Time, known bool) {
	pool := serving.ModelUnit{Service: key.service, Model: key.model}.Pool()
	a.node.serving.Decide(func(c *admission.Controller, _ *routing.Router) { c.SetReadyTime(pool, at, known) })
}
