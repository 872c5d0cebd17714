package hosted

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"bergamotreel/admission"
	"bergamotreel/contract"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/serving"
	"bergamotreel/refusal"
	"bergamotreel/routing"
	"bergamotreel/service"
)

const (
	// defaultPlainSlots is the number of slots assumed for a plain service's backend server
	// that doesn't report how many requests it runs concurrently.
	defaultPlainSlots = 8
	// probeInterval is the interval between checks for backend servers that are due to be
	// probed.
	probeInterval = 100 * time.Millisecond
)

// unitName returns a unit's name in admission and routing.
func unitName(service, model, adapter string) string {
	return serving.ModelUnit{Service: service, Model: model, Adapter: adapter}.String()
}

// modelCapacityBytes returns the memory that an engine's models may occupy: its total memory
// minus what its adapters occupy when all adapter places are used.
func modelCapacityBytes(pool *contract.EnginePool) int64 {
	var largest int64
	for i := range pool.Models {
		if pool.Models[i].Adapters > 0 {
			largest = max(largest, pool.Models[i].AdapterBytes)
		}
	}
	return pool.MemoryBytes - largest*int64(pool.AdapterPlaces)
}

// newPartitionCheck returns a function that reports whether a failure domain is partitioned
// from this VM, that is, neither its entry VMs nor its backend servers are reachable. It computes
// each domain once. Without this check each engine of the domain is found unreachable only
// through failed requests, and the planner counts its models as loaded.
func (n *Node) newPartitionCheck() func(domain string) bool {
	cache := make(map[string]bool)
	return func(domain string) bool {
		partitioned, cached := cache[domain]
		if !cached {
			partitioned = n.members.isSilent(domain) && n.backends.countUnreachable(domain) >= minUnreachableForPartition
			cache[domain] = partitioned
		}
		return partitioned
	}
}

// Candidates implements serving.Directory: it returns the engines that hold the unit's
// model.
func (n *Node) Candidates(unit string) []routing.Candidate {
	wanted, ok := serving.ParseModelUnit(unit)
	if !ok {
		return nil
	}
	now := time.Now()
	var out []routing.Candidate
	n.backends.each(wanted.Service, func(b *backend) {
		loaded, ok := b.loadedModels[wanted.Model]
		if !ok || b.isUnreachable() {
			return
		}
		ready := wanted.Adapter == "" || loaded.adapters[wanted.Adapter]
		if until, missing := b.missingUnits[unit]; missing && now.Before(until) {
			ready = false
		}
		out = append(out, routing.Candidate{
			Engine: b.ID, Domain: b.Domain, Version: b.softwareVersion(), Weights: b.weights[wanted.Model], Slots: b.Slots, Ready: ready, Leaving: b.isLeaving(),
			Indirect: b.isIndirect(), Pace: n.estimatePace(now, b, wanted),
		})
	})
	return n.filterReachable(now, out)
}

// Servers implements serving.Directory.
func (n *Node) Servers(service string) []routing.Candidate {
	now := time.Now()
	var out []routing.Candidate
	n.backends.each(service, func(b *backend) {
		if b.isUnreachable() {
			return
		}
		out = append(out, routing.Candidate{Engine: b.ID, Domain: b.Domain, Version: b.softwareVersion(), Slots: b.countSlots(), Ready: true, Leaving: b.isLeaving(), Indirect: b.isIndirect()})
	})
	out = n.filterReachable(now, out)
	n.backendQueues.prepare(now, service, out)
	return out
}

// filterReachable drops the candidates in failure domains that are partitioned, and adds to the
// others the requests that other VMs have in flight on them and the permits that they
// require.
func (n *Node) filterReachable(now time.Time, candidates []routing.Candidate) []routing.Candidate {
	isPartitioned := n.newPartitionCheck()
	age := n.members.inFlightAge(now)
	vms := n.members.recentLiveCount(now)
	kept := candidates[:0]
	for _, c := range candidates {
		if isPartitioned(c.Domain) {
			continue
		}
		c.PeersInFlight, c.PeersInFlightAge = n.members.inFlight(now, c.Engine), age
		c.Sharers = vms
		kept = append(kept, c)
	}
	n.limits.addPermits(now, kept)
	n.rooms.addPermits(now, kept)
	return kept
}

// Target implements serving.ForwardDirectory.
func (n *Node) Target(backend string) (service.Target, bool) {
	b, ok := n.backends.get(backend)
	if !ok {
		return service.Target{}, false
	}
	target := b.target()
	if b.isIndirect() {
		target.Gateway = n.paths.pickGateway(time.Now(), b.ID)
	}
	return target, true
}

// RecordUnitNotHeld implements serving.ForwardDirectory.
func (n *Node) RecordUnitNotHeld(backend, unit string) {
	now := time.Now()
	n.backends.recordMissingUnit(now, backend, unit)
	n.keeper.recheckEngine(now, backend)
	n.config.Logger.Info("backend server lacks a unit", zap.String("backend", backend), zap.String("unit", unit))
}

// MarkUnreachable implements serving.ForwardDirectory.
func (n *Node) MarkUnreachable(target service.Target, cause error) {
	n.paths.markUnreachable(time.Now(), target, cause)
	n.startChecks.Doubt(target)
	n.crashes.RecordRefusedConnection(target, cause)
	if target.Gateway == "" && errors.Is(cause, service.ErrConnectionRefused) {
		n.serving.RecordProcessEnd(target.ID)
	}
}

// probeUnreachable periodically probes unreachable backend servers, and has those verified that
// are all silent, until ctx ends.
func (n *Node) probeUnreachable(ctx context.Context) {
	pause.Every(ctx, probeInterval, func(ctx context.Context) {
		n.paths.suspect(time.Now(), n.serving.SilentBackends(time.Now(), maxCommonSilence))
		for _, id := range n.backends.dueProbes(time.Now()) {
			go n.probeBackend(ctx, id)
		}
	})
}

// probeBackend probes one backend server and records the result.
func (n *Node) probeBackend(ctx context.Context, id string) {
	b, ok := n.backends.get(id)
	if !ok {
		return
	}
	if err := n.tryConnect(ctx, service.Target{ID: id, Address: b.Address}); err != nil {
		n.backends.extendProbeBackoff(time.Now(), id)
		if !b.isIndirect() {
			n.paths.check(ctx, id, gatewaysPerRecheck)
		}
		return
	}
	n.paths.recordDirectAnswer(id)
	n.backends.markReachable(id)
	n.handleBackendChanges()
}

// tryConnect returns nil if a backend server accepts connections.
func (n *Node) tryConnect(ctx context.Context, target service.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return n.config.Peers.Backends.Probe(ctx, target)
}

// MarkReachable implements serving.ForwardDirectory.
func (n *Node) MarkReachable(target service.Target) {
	if target.Gateway != "" {
		return
	}
	n.paths.recordDirectAnswer(target.ID)
	n.backends.markReachable(target.ID)
}

// CountUnreachable implements serving.ForwardDirectory.
func (n *Node) CountUnreachable(unit string) int {
	if !n.backends.hasMarkedUnreachable() {
		return 0
	}
	service, model := serving.ServiceOfUnit(unit)
	count := 0
	n.backends.each(service, func(b *backend) {
		if _, holds := b.loadedModels[model]; b.isUnreachable() && (model == "" || holds) {
			count++
		}
	})
	return count
}

// UnavailableRefusal implements serving.Directory: a model that the configuration doesn't contain
// can't be loaded on any engine, and a stream can't go on if only backend servers of other software
// versions serve.
func (n *Node) UnavailableRefusal(unit string) *refusal.Refusal {
	if _, version := serving.SplitVersion(unit); version != "" {
		if service, _ := serving.ServiceOfUnit(unit); n.backends.servesOnlyOtherVersions(service, version) {
			return refusal.New(refusal.CodeNoCapacity, 0, "no backend server of version %s serves %s", version, service)
		}
	}
	wanted, ok := serving.ParseModelUnit(unit)
	if !ok {
		return nil
	}
	pool := n.findPool(wanted.Service)
	if pool == nil {
		return nil // a plain service, or the configuration has not arrived yet
	}
	if _, ok := pool.FindModel(wanted.Model); ok {
		return nil
	}
	return refusal.New(refusal.CodeNoCapacity, 0, "no engine can hold %s", unit)
}

// RequestStatus implements serving.Directory. It does nothing: keepers publish every change.
func (n *Node) RequestStatus(string) {}

// ReportMissing implements serving.Directory: it requests adapters from the keepers of the engines
// that hold their model, and leaves everything else to the planner.
func (n *Node) ReportMissing(waiting []admission.Demand) {
	needsPlanner := false
	for _, d := range waiting {
		wanted, ok := serving.ParseModelUnit(d.Unit)
		if !ok {
			continue
		}
		if wanted.Adapter != "" && n.adapterRequests.requestLoad(wanted) {
			continue
		}
		needsPlanner = true
	}
	if !needsPlanner {
		return
	}
	now := time.Now()
	if n.members.isPlanner(now) {
		n.planner.wakeUp()
		return
	}
	n.members.notifyPlanner(now)
}

// unavailableBackends returns the backend servers to which this VM currently sends no
// requests: those that are unreachable, and those whose circuit breaker is open or that
// asked for a cooldown.
func (n *Node) unavailableBackends(now time.Time) []string {
	out := n.backends.unreachableIDs()
	n.serving.WithLockedState(func(_ *admission.Controller, router *routing.Router) {
		for name := range router.UnavailableEngines(now) {
			out = append(out, name)
		}
	})
	return out
}

// countRunningUnits counts the requests that all VMs run on an engine, by unit.
func (n *Node) countRunningUnits(now time.Time, engine string) map[string]int {
	out := make(map[string]int)
	add := func(backend, unit string, count int) {
		if backend == engine {
			unit, _ = serving.SplitVersion(unit)
			out[unit] += count
		}
	}
	for key, count := range n.members.unitsInFlight(now) {
		add(key.backend, key.unit, count)
	}
	for _, run := range n.serving.RunningRequests() {
		add(run.Backend, run.Unit, run.Count)
	}
	return out
}
