package hosted

import (
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/placement/residency"
)

// buildEngines returns the pool's engines as package residency needs them.
func (p *planner) buildEngines(now time.Time, pool *contract.EnginePool) []residency.Engine {
	n := p.node
	running := p.countRunning(now)
	unavailable := p.enginesToAvoid(now)
	active := n.activeShards()
	isPartitioned := n.newPartitionCheck()
	var all []backend
	n.backends.each(pool.Service, func(b *backend) { all = append(all, *b) })
	capacity := modelCapacityBytes(pool)
	out := make([]residency.Engine, 0, len(all))
	for i := range all {
		b := &all[i]
		e := residency.Engine{
			ID: b.ID, Domain: b.Domain, Version: b.softwareVersion(), CapacityBytes: capacity - b.reservedBytes(), Slots: b.Slots, Serving: !b.isLeaving() && !unavailable[b.ID] && !isPartitioned(b.Domain),
			InMemory: toSet(b.InMemory), OnDisk: toSet(b.OnDisk),
		}
		for name, model := range b.loadedModels {
			count := running[runKey{b.ID, name}]
			e.Models = append(e.Models, residency.Replica{Name: name, Ready: true, Running: count, FirstSeen: model.firstSeen})
			e.Running += count
		}
		e.AcceptsSwaps = e.Serving && p.hasKeeper(now, b, active)
		e.BusyFor = max(p.remainingSwapTime(now, b), p.remainingBackoff(now, b.ID))
		out = append(out, e)
	}
	return out
}

// remainingSwapTime returns how long the swap in flight on an engine should still take: at
// least minRemainingSwapTime if its load is known, 0 if there is none.
func (p *planner) remainingSwapTime(now time.Time, b *backend) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	swap, pending := p.pending[b.ID]
	switch {
	case pending && (b.isSwapping() || now.Before(swap.expiresAt)):
		return max(swap.startedAt.Add(p.expectedLoadTime(swap)+unloadAllowance).Sub(now), minRemainingSwapTime)
	case b.isSwapping() && b.keeperUpdate.Loading != "":
		return max(b.loadReadyAt.Sub(now), minRemainingSwapTime) // planned by another VM
	case b.isSwapping():
		return unplannedSwapTime
	default:
		return 0
	}
}

// expectedLoadTime returns how long a swap's load should take. It is longer if more engines
// load from the store than it serves at full speed. Call with mu held.
func (p *planner) expectedLoadTime(swap pendingSwap) time.Duration {
	if !swap.LoadsFromStore() {
		return swap.LoadTime
	}
	slowdown := max(1, float64(p.store.LoadsInFlight())/float64(p.store.MaxLoads()))
	return time.Duration(slowdown * float64(swap.LoadTime))
}

// remainingBackoff returns how long an engine still gets no swap after its last one was not
// begun.
func (p *planner) remainingBackoff(now time.Time, engine string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.backoffs[engine].until.Sub(now))
}

// hasKeeper reports whether a live VM may send orders to the engine.
func (p *planner) hasKeeper(now time.Time, b *backend, active []int) bool {
	shard := p.node.shardOf(b.ID)
	if b.Domain == p.node.config.Domain && slices.Contains(active, shard) {
		return true
	}
	_, _, ok := p.node.members.keeperOf(now, b.Domain, shard)
	return ok
}

// enginesToAvoid returns the engines that should get no model: those that this VM finds
// unavailable, those that a VM of their own failure domain does, and those reported by at
// least half of the VMs. A report from another domain alone isn't enough: the VMs of a
// partitioned domain find the engines of all others unreachable, and when the partition
// ends, their reports would make the planner stop using all these engines.
func (p *planner) enginesToAvoid(now time.Time) map[string]bool {
	out := toSet(p.node.unavailableBackends(now))
	reports := make(map[string]int)
	liveVMs := 1
	var reportedByOwnDomain []string
	p.node.members.eachLoad(now, func(domain string, l *entryvm.Load) {
		liveVMs += l.VMs
		for _, failing := range l.Failing {
			reports[failing.Backend] += failing.VMs
			if b, ok := p.node.backends.get(failing.Backend); ok && b.Domain == domain {
				reportedByOwnDomain = append(reportedByOwnDomain, failing.Backend)
			}
		}
	})
	for _, id := range reportedByOwnDomain {
		out[id] = true
	}
	for id, count := range reports {
		if 2*count >= liveVMs {
			out[id] = true
		}
	}
	return out
}

// countRunning returns how many requests all VMs have in flight, by engine and model.
func (p *planner) countRunning(now time.Time) map[runKey]int {
	out := make(map[runKey]int)
	add := func(backend, unit string, count int) {
		if u, ok := serving.ParseModelUnit(unit); ok {
			out[runKey{backend, u.Model}] += count
		}
	}
	for key, count := range p.node.members.unitsInFlight(now) {
		add(key.backend, key.unit, count)
	}
	for _, run := range p.node.serving.RunningRequests() {
		add(run.Backend, run.Unit, run.Count)
	}
	return out
}

// buildModels returns the pool's models with the demand for them over all VMs.
func (p *planner) buildModels(now time.Time, pool *contract.EnginePool, engines []residency.Engine) []residency.Model {
	out := make([]residency.Model, len(pool.Models))
	byName := make(map[string]*residency.Model, len(pool.Models))
	for i := range pool.Models {
		m := &pool.Models[i]
		out[i] = residency.Model{
			Name: m.Name, Bytes: m.MemoryBytes, RequestWeight: 1,
			MemoryLoadTime: m.FromMemory, DiskLoadTime: m.FromDisk, StoreLoadTime: m.FromStore,
		}
		byName[m.Name] = &out[i]
	}
	p.addWaiting(now, pool.Service, byName, haveSeveralVersions(engines))
	rates := p.node.demand.modelRates(now)
	p.node.members.eachLoad(now, func(_ string, l *entryvm.Load) { rates = append(rates, l.Rates...) })
	for _, rate := range rates {
		if m := byName[rate.Model]; m != nil && rate.Service == pool.Service {
			m.Rate += float64(rate.Rate)
		}
	}
	for i := range engines {
		for _, replica := range engines[i].Models {
			if m := byName[replica.Name]; m != nil {
				m.Running += replica.Running
			}
		}
	}
	return out
}

// haveSeveralVersions reports whether the serving engines have several software versions.
func haveSeveralVersions(engines []residency.Engine) bool {
	version, known := "", false
	for i := range engines {
		if !engines[i].Serving {
			continue
		}
		if known && engines[i].Version != version {
			return true
		}
		version, known = engines[i].Version, true
	}
	return false
}

// addWaiting adds the waiting requests of all VMs to the models. While all engines have one software
// version, requests that need a version are like all others.
func (p *planner) addWaiting(now time.Time, service string, byName map[string]*residency.Model, severalVersions bool) {
	add := func(unit string, count int, oldest time.Duration) {
		u, ok := serving.ParseModelUnit(unit)
		if !ok || u.Service != service || byName[u.Model] == nil {
			return
		}
		m := byName[u.Model]
		if u.Version != "" && severalVersions {
			addVersionDemand(m, residency.VersionDemand{Version: u.Version, Waiting: count, OldestWait: oldest})
			return
		}
		m.Waiting += count
		m.OldestWait = max(m.OldestWait, oldest)
	}
	for _, wait := range p.node.serving.WaitingRequests(now) {
		add(wait.Unit, wait.Count, wait.OldestWait)
	}
	p.node.members.eachLoad(now, func(_ string, l *entryvm.Load) {
		for _, wait := range l.Waiting {
			add(wait.Unit, wait.Count, wait.Oldest)
		}
	})
}

func addVersionDemand(m *residency.Model, demand residency.VersionDemand) {
	for i := range m.WaitingAt {
		if known := &m.WaitingAt[i]; known.Version == demand.Version {
			known.Waiting += demand.Waiting
			known.OldestWait = max(known.OldestWait, demand.OldestWait)
			return
		}
	}
	m.WaitingAt = append(m.WaitingAt, demand)
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
