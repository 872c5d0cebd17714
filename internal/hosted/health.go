package hosted

import (
	"bytes"
	"context"
	"encoding/gob"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/registry"
)

const (
	// retryDelayDivisor is the divisor by which the length of an outage is converted into
	// an additional retry delay.
	retryDelayDivisor = 4
	// minRetryDelay is the delay after a failed read. It grows during an outage up to
	// maxRetryDelay, because each attempt is a billed call.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// minOutage is how long the registry must fail to answer before entries may have lapsed
	// and other VMs are queried instead.
	minOutage = 700 * time.Millisecond
	// peerFetchInterval is the interval at which a VM that lacks state fetches it from peers.
	peerFetchInterval = 200 * time.Millisecond
	// sweepInterval is the interval between sweeps for expired entries.
	sweepInterval = 200 * time.Millisecond
)

var untranslatedConfigurations = metrics.NewCounter(`bergamotreel_configurations_untranslated_total`)

// reachability tracks whether an external system answers and logs each change. It is safe
// for concurrent use.
type reachability struct {
	name   string
	logger *zap.Logger

	mu sync.Mutex
	// failingSince is zero while the system answers; everAnswered is whether it ever did.
	failingSince time.Time
	everAnswered bool
}

// recordSuccess records an answer and returns how long the outage before it lasted, 0 if
// there was none.
func (r *reachability) recordSuccess(now time.Time) (outage time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failingSince.IsZero() {
		outage = now.Sub(r.failingSince)
		r.logger.Info("dependency regained", zap.String("dependency", r.name), zap.Duration("after", outage))
	}
	r.failingSince = time.Time{}
	r.everAnswered = true
	return outage
}

// recordFailure records a call that got no answer.
func (r *reachability) recordFailure(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failingSince.IsZero() {
		return
	}
	r.failingSince = now
	r.logger.Warn("dependency lost", zap.String("dependency", r.name), telemetry.Reason(err))
}

// failingFor returns how long the system has not answered, 0 while it answers.
func (r *reachability) failingFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingSince.IsZero() {
		return 0
	}
	return now.Sub(r.failingSince)
}

// handleBackendChanges drops state of ended instances and wakes what depends on the backend
// servers.
func (n *Node) handleBackendChanges() {
	n.forgetEndedInstances()
	n.paths.handleListChange(time.Now())
	n.serving.Wake()
	n.planner.wakeUp()
}

// forgetEndedInstances drops the state of backend server instances that have ended: requests in
// flight, cached prefixes, the circuit breaker, and for an engine its orders. What it ran may be at fault.
func (n *Node) forgetEndedInstances() {
	for _, ended := range n.backends.drainEndedInstances() {
		id := ended.Target.ID
		n.crashes.HandleEnd(ended)
		n.serving.Forget(id)
		if !ended.Dropped { // one whose entry lapsed may still run
			n.serving.RecordProcessEnd(id)
		}
		n.planner.dropEngine(id)
		n.keeper.handleRestart(id)
		n.limits.forget(id)
		n.rooms.forget(id)
		n.backendQueues.forget(id)
		n.issuers.forget(id)
	}
}

// recordRegistrySuccess records that the registry answered.
func (n *Node) recordRegistrySuccess() {
	now := time.Now()
	if outage := n.registry.recordSuccess(now); outage >= minOutage {
		n.backends.recordRegistryOutageEnd(now)
	}
}

// recordRegistryFailure records that the registry didn't answer, and waits for the retry
// delay.
func (n *Node) recordRegistryFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	n.registry.recordFailure(now, err)
	pause.For(ctx, min(minRetryDelay+n.registry.failingFor(now)/retryDelayDivisor, maxRetryDelay))
}

// sweep periodically drops expired state until ctx ends.
func (n *Node) sweep(ctx context.Context) {
	pause.Every(ctx, sweepInterval, func(context.Context) {
		now := time.Now()
		n.backends.sweep(now)
		n.forgetEndedInstances()
		n.keeper.sweep()
	})
}

// fetchFromPeers queries other entry VMs while the registry doesn't answer, until ctx ends.
// A VM that started during the outage fetches the list of backend servers and the
// configuration; any VM fetches a newer configuration that another one has read.
func (n *Node) fetchFromPeers(ctx context.Context) {
	pause.Every(ctx, peerFetchInterval, func(ctx context.Context) {
		if n.registry.failingFor(time.Now()) < minOutage {
			return
		}
		for _, address := range n.members.newerConfigAddresses(n.configurationVersion(), n.Ready() != nil) {
			if n.fetchFromPeer(ctx, address) {
				return
			}
		}
	})
}

// configurationVersion returns the version of the configuration in force, 0 before the first.
func (n *Node) configurationVersion() uint64 {
	if current := n.active.Load(); current != nil {
		return current.Version
	}
	return 0
}

// fetchFromPeer fetches the list of backend servers, if this VM has none, and the
// configuration from the VM at address. It reports whether it got a usable configuration.
func (n *Node) fetchFromPeer(ctx context.Context, address string) bool {
	reply, err := n.config.Peers.EntryVMs.Knowledge(ctx, address, entryvm.KnowledgeArgs{})
	if err != nil {
		return false
	}
	if !n.backends.hasList() && len(reply.Backends) > 0 {
		var list []registry.Backend
		if err := gob.NewDecoder(bytes.NewReader(reply.Backends)).Decode(&list); err != nil {
			n.config.Logger.Error("list of backend servers from a peer can't be read", zap.String("peer", address), telemetry.Reason(err))
			return false
		}
		n.backends.replace(time.Now(), list)
		n.handleBackendChanges()
	}
	if len(reply.Configuration) == 0 {
		return false
	}
	configuration, err := n.config.Peers.Registry.Parse(reply.Configuration)
	if err != nil {
		n.config.Logger.Error("configuration from a peer can't be used", zap.String("peer", address), telemetry.Reason(err))
		return false
	}
	n.applyConfiguration(configuration, "peer "+address)
	return true
}
