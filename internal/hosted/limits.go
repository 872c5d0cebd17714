package hosted

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/service"
)

// limits are the rates of requests that backend servers in need have named. It is safe
// for concurrent use.
type limits struct {
	node *Node

	mu    sync.Mutex
	named map[string]namedLimit
}

// namedLimit is what a backend server's newest answer said.
type namedLimit struct {
	perSecond float64
	at        time.Time
}

var (
	limitsNamed  = metrics.NewCounter("bergamotreel_backend_limits_named_total")
	limitsLifted = metrics.NewCounter("bergamotreel_backend_limits_lifted_total")
)

func newLimits(n *Node) *limits {
	return &limits{node: n, named: make(map[string]namedLimit)}
}

// Limited implements serving.ForwardDirectory.
func (n *Node) Limited(backend string, limit service.Limit) {
	n.limits.note(time.Now(), backend, limit)
}

// note takes what an answer said.
func (l *limits) note(now time.Time, backend string, limit service.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, limited := l.named[backend]
	switch {
	case limit.Named:
		l.named[backend] = namedLimit{limit.PerSecond, now}
	case limited:
		delete(l.named, backend)
	}
	switch {
	case limit.Named && (!limited || before.perSecond != limit.PerSecond):
		limitsNamed.Inc()
		l.node.config.Logger.Info("backend server limits requests", zap.String("backend", backend), zap.Float64("per_second", limit.PerSecond))
	case !limit.Named && limited:
		limitsLifted.Inc()
		l.node.config.Logger.Info("backend server lifts its limit", zap.String("backend", backend))
	}
}
