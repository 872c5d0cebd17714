package hosted

import (
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/serving"
	"bergamotreel/placement/residency"
)

// engines gathers what the policy needs of the pool's engines.
func (p *planner) engines(now time.Time, pool *contract.EnginePool) []residency.Engine {
	n := p.node
	running := p.running(now)
	failing := p.failing(now)
	active := n.activeShards()
	cut := n.newCutOffCheck()
	var all []backend
	n.backends.each(pool.Service, func(b *backend) { all = append(all, *b) })
	room := modelCapacityBytes(pool)
	out := make([]residency.Engine, 0, len(all))
	for i := range all {
		b := &all[i]
		e := residency.Engine{
			ID: b.ID, Domain: b.Domain, CapacityBytes: room - b.reservedBytes(), Slots: b.Slots, Serving: !b.isLeaving() && !failing[b.ID] && !cut(b.Domain),
			InMemory: set(b.InMemory), OnDisk: set(b.OnDisk),
		}
		for name, held := range b.loadedModels {
			count := running[runKey{b.ID, name}]
			e.Models = append(e.Models, residency.Replica{Name: name, Ready: true, Running: count, FirstSeen: held.firstSeen})
			e.Running += count
		}
		e.AcceptsSwaps = e.Serving && p.kept(now, b, active)
		e.BusyFor = max(p.busyFor(now, b), p.restFor(now, b.ID))
		out = append(out, e)
	}
	return out
}

// busyFor is how long the swap under way on an engine should still take, at least a
// moment while there is one.
func (p *planner) busyFor(now time.Time, b *backend) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	swap, pending := p.pending[b.ID]
	switch {
	case pending && (b.isSwapping() || now.Before(swap.until)):
		return max(swap.begun.Add(p.lengthOf(swap)+unloadAllowance).Sub(now), busyLeast)
	case b.isSwapping() && b.keeperStatus.Loading != "":
		return max(b.loadReadyAt.Sub(now), busyLeast) // another planner's
	case b.isSwapping():
		return busyUnknown
	default:
		return 0
	}
}

// lengthOf is how long a swap's load takes: longer from a store that more engines load
// from than it serves at full speed. Call with mu held.
func (p *planner) lengthOf(swap pendingSwap) time.Duration {
	if !swap.LoadsFromStore() {
		return swap.LoadTime
	}
	shared := max(1, float64(p.store.LoadsInFlight())/float64(p.store.MaxLoads()))
	return time.Duration(shared * float64(swap.LoadTime))
}

// restFor is how long an engine still gets no swap after its keeper refused one.
func (p *planner) restFor(now time.Time, engine string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.rests[engine].until.Sub(now))
}

// kept tells whether a VM that answers may give the engine orders.
func (p *planner) kept(now time.Time, b *backend, active []int) bool {
	shard := p.node.shardOf(b.ID)
	if b.Domain == p.node.config.Domain && slices.Contains(active, shard) {
		return true
	}
	_, _, ok := p.node.members.keeperOf(now, b.Domain, shard)
	return ok
}

// failing are the engines that should get no model: those that this VM finds failing,
// those that a VM of their own failure domain does, and those that half of the VMs do.
// Failure: a domain was cut off, and its VMs find the engines of all others dead. When
// it is back their reports would have the planner give all these engines up.
func (p *planner) failing(now time.Time) map[string]bool {
	out := set(p.node.unavailableBackends(now))
	reports := make(map[string]int)
	live := 1
	var near []string
	p.node.members.eachLoad(now, func(domain string, l *entryvm.Load) {
		live += l.VMs
		for _, failing := range l.Failing {
			reports[failing.Backend] += failing.VMs
			if b, ok := p.node.backends.get(failing.Backend); ok && b.Domain == domain {
				near = append(near, failing.Backend)
			}
		}
	})
	for _, id := range near {
		out[id] = true
	}
	for id, count := range reports {
		if 2*count >= live {
			out[id] = true
		}
	}
	return out
}

// running counts what runs through any VM, by engine and model.
func (p *planner) running(now time.Time) map[runKey]int {
	out := make(map[runKey]int)
	add := func(backend, unit string, count int) {
		if u, ok := serving.ParseModelUnit(unit); ok {
			out[runKey{backend, u.Model}] += count
		}
	}
	for key, count := range p.node.members.unitsInFlight(now) {
		add(key.backend, key.unit, count)
	}
	for _, run := range p.node.serving.Runs() {
		add(run.Backend, run.Unit, run.Count)
	}
	return out
}

// models gathers the demand for the pool's models over all VMs.
func (p *planner) models(now time.Time, pool *contract.EnginePool, engines []residency.Engine) []residency.Model {
	out := make([]residency.Model, len(pool.Models))
	at := make(map[string]*residency.Model, len(pool.Models))
	for i := range pool.Models {
		m := &pool.Models[i]
		out[i] = residency.Model{
			Name: m.Name, Bytes: m.MemoryBytes, RequestWeight: 1,
			MemoryLoadTime: m.FromMemory, DiskLoadTime: m.FromDisk, StoreLoadTime: m.FromStore,
		}
		at[m.Name] = &out[i]
	}
	p.addWaiting(now, pool.Service, at)
	rates := p.node.demand.modelRates(now)
	p.node.members.eachLoad(now, func(_ string, l *entryvm.Load) { rates = append(rates, l.Rates...) })
	for _, rate := range rates {
		if m := at[rate.Model]; m != nil && rate.Service == pool.Service {
			m.Rate += float64(rate.Rate)
		}
	}
	for i := range engines {
		for _, held := range engines[i].Models {
			if m := at[held.Name]; m != nil {
				m.Running += held.Running
			}
		}
	}
	return out
}

func (p *planner) addWaiting(now time.Time, service string, at map[string]*residency.Model) {
	add := func(unit string, count int, oldest time.Duration) {
		u, ok := serving.ParseModelUnit(unit)
		if !ok || u.Service != service || at[u.Model] == nil {
			return
		}
		m := at[u.Model]
		m.Waiting += count
		m.OldestWait = max(m.OldestWait, oldest)
	}
	for _, wait := range p.node.serving.Waits(now) {
		add(wait.Unit, wait.Count, wait.Oldest)
	}
	p.node.members.eachLoad(now, func(_ string, l *entryvm.Load) {
		for _, wait := range l.Waiting {
			add(wait.Unit, wait.Count, wait.Oldest)
		}
	})
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}
