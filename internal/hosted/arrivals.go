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
type arrivals struct {
	node *Node

	mu sync.Mutex
	at map[modelKey]time.Time
}

func newArrivals(n *Node) *arrivals { return &arrivals{node: n, at: make(map[modelKey]time.Time)} }

// replace takes what the VM that plans expects now.
func (a *arrivals) replace(now time.Time, coming []entryvm.Arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.at
	a.at = make(map[modelKey]time.Time, len(coming))
	for _, c := range coming {
		key := modelKey{c.Service, c.Model}
		if a.node.backends.holds(c.Service, c.Model) {
			continue // newer news than the planner had
		}
		a.at[key] = now.Add(c.In)
		a.expect(key, a.at[key], true)
		if _, known := before[key]; !known {
			a.node.config.Logger.Debug("model expected", zap.String("service", c.Service), zap.String("model", c.Model),
				zap.Duration("in", c.In))
		}
	}
	for key := range before {
		if _, still := a.at[key]; !still {
			a.expect(key, time.Time{}, false)
		}
	}
}

// arrived ends the expectation of a model that an engine holds.
func (a *arrivals) arrived(service, model string) {
	key := modelKey{service, model}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.at[key]; !known || !a.node.backends.holds(service, model) {
		return
	}
	delete(a.at, key)
	a.expect(key, time.Time{}, false)
}

// expect tells admission. Call with mu held.
func (a *arrivals) expect(key modelKey, at time.Time, known bool) {
	pool := serving.ModelUnit{Service: key.service, Model: key.model}.Pool()
	a.node.serving.Decide(func(c *admission.Controller, _ *routing.Router) { c.SetReadyTime(pool, at, known) })
}
