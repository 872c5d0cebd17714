package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

const (
	// retryGrowth is the part of an outage that the pause grows by.
	retryGrowth = 4
	// retryRead is the pause after a read that failed; it grows by itself up to
	// retryMost, as each try of an outage is a call that is paid for.
	retryRead = 150 * time.Millisecond
	retryMost = 500 * time.Millisecond
	// outageAfter is how long the registry must not answer for entries to have
	// lapsed meanwhile, and for other VMs to be asked instead.
	outageAfter = 700 * time.Millisecond
	// learnEvery is how often a VM that misses something asks another one.
	learnEvery = 200 * time.Millisecond
	// sweepEvery is how often what has run out is looked for.
	sweepEvery = 200 * time.Millisecond
)

var untranslatedTotal = metrics.NewCounter(`bergamotreel_configurations_untranslated_total`)

// reachability follows whether an outside system answers, with a log line for
// each change.
type reachability struct {
	name   string
	logger *zap.Logger

	mu sync.Mutex
	// failingSince is zero while it answers, answered whether it ever did.
	failingSince time.Time
	answered     bool
}

// ok notes an answer; it tells how long none had come before.
func (r *reachability) ok(now time.Time) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failingSince.IsZero() {
		outage = now.Sub(r.failingSince)
		r.logger.Info("dependency regained", zap.String("dependency", r.name), zap.Duration("after", outage))
	}
	r.failingSince = time.Time{}
	r.answered = true
	return outage
}

// failed notes a call without an answer.
func (r *reachability) failed(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failingSince.IsZero() {
		return
	}
	r.failingSince = now
	r.logger.Warn("dependency lost", zap.String("dependency", r.name), telemetry.Reason(err))
}

// failingFor is how long it has not answered, 0 while it does.
func (r *reachability) failingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return now.Sub(r.failingSince)
}

// share is a part of a duration.
func share(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

func (n *Node) backendsChanged() {
	n.forgetEnded()
	n.serving.Wake()
	n.planner.wakeUp()
}

// forgetEnded drops what is known of starts of backend servers that have ended: the
// requests that ran there, the prefixes, the breaker, and for an engine its orders.
func (n *Node) forgetEnded() {
	for _, id := range n.backends.takeEnded() {
		n.serving.Forget(id)
		n.planner.dropEngine(id)
		n.keeper.startedAgain(id)
		n.limits.forget(id)
	}
}

// answered notes that the registry answers.
func (n *Node) answered() {
	now := time.Now()
	if outage := n.registry.ok(now); outage >= outageAfter {
		n.backends.returned(now)
	}
}

// lost notes that it doesn't, and waits before the next try.
func (n *Node) lost(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	n.registry.failed(now, err)
	pause.For(ctx, min(retryRead+n.registry.failingFor(now)/retryGrowth, retryMost))
}

// sweep is the duty that drops what has run out.
func (n *Node) sweep(ctx context.Context) {
	pause.Every(ctx, sweepEvery, func(context.Context) {
		now := time.Now()
		n.backends.sweep(now)
		n.forgetEnded()
		n.keeper.sweep()
	})
}

// learnFromPeers is the duty that asks other entry VMs while the registry does not
// answer: for what a VM needs that started during an outage, and for a newer
// configuration that another one read.
func (n *Node) learnFromPeers(ctx context.Context) {
	pause.Every(ctx, learnEvery, func(ctx context.Context) {
		if n.registry.failingFor(time.Now()) < outageAfter {
			return
		}
		for _, address := range n.members.withNewerConfig(n.version(), n.Ready() != nil) {
			if n.learn(ctx, address) {
				return
			}
		}
	})
}

// version is that of the configuration in force, 0 before the first.
func (n *Node) version() uint64 {
	if current := n.inForce.Load(); current != nil {
		return current.Version
	}
	return 0
}

func (n *Node) learn(ctx context.Context, address string) bool {
	reply, err := n.config.Peers.EntryVMs.Knowledge(ctx, address)
	if err != nil {
		return false
	}
	if !n.backends.known() && len(reply.Backends) > 0 {
		var list []registry.Backend
		if err := gob.NewDecoder(bytes.NewReader(reply.Backends)).Decode(&list); err != nil {
			n.config.Logger.Error("list of backend servers from a peer can't be read", zap.String("peer", address), telemetry.Reason(err))
			return false
		}
		n.backends.replace(time.Now(), list)
		n.backendsChanged()
	}
	if len(reply.Configuration) == 0 {
		return false
	}
	configuration, err := n.config.Peers.Registry.Parse(reply.Configuration)
	if err != nil {
		n.config.Logger.Error("configuration from a peer can't be used", zap.String("peer", address), telemetry.Reason(err))
		return false
	}
	n.apply(configuration, "peer "+address)
	return true
}
