package hosted

import (
	"context"
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
	// plainSlots stands in for a plain service's backend server that does not say
	// how much it runs at once.
	plainSlots = 8
	// probeEvery is how often backend servers that are due to be tried are looked for.
	probeEvery = 100 * time.Millisecond
)

// unitName is a unit's name in admission and routing.
func unitName(service, model, adapter string) string {
	return serving.ModelUnit{Service: service, Model: model, Adapter: adapter}.String()
}

// engineRoom is what an engine's models may take: its memory less what its adapters
// take when all their places are used.
func engineRoom(pool *contract.EnginePool) int64 {
	var largest int64
	for i := range pool.Models {
		if pool.Models[i].Adapters > 0 {
			largest = max(largest, pool.Models[i].AdapterBytes)
		}
	}
	return pool.MemoryBytes - largest*int64(pool.AdapterPlaces)
}

// cutOff returns a question: whether a failure domain is cut off from this VM, as
// neither its entry VMs nor its backend servers can be reached. Failure: without it each
// of its engines is found dead only by requests that fail there, and the planner takes
// the models that they hold for loaded.
func (n *Node) cutOff() func(domain string) bool {
	known := make(map[string]bool)
	return func(domain string) bool {
		cut, asked := known[domain]
		if !asked {
			cut = n.members.silent(domain) && n.backends.downIn(domain) >= cutOffFrom
			known[domain] = cut
		}
		return cut
	}
}

// Candidates implements serving.Directory: the engines that hold the model.
func (n *Node) Candidates(unit string) []routing.Candidate {
	wanted, ok := serving.ParseModelUnit(unit)
	if !ok {
		return nil
	}
	now := time.Now()
	var out []routing.Candidate
	n.backends.each(wanted.Service, func(b *backend) {
		held, ok := b.models[wanted.Model]
		if !ok || b.downFor > 0 {
			return
		}
		ready := wanted.Adapter == "" || held.adapters[wanted.Adapter]
		if until, lacks := b.lacking[unit]; lacks && now.Before(until) {
			ready = false
		}
		out = append(out, routing.Candidate{
			Engine: b.ID, Domain: b.Domain, Slots: b.Slots, Ready: ready, Leaving: b.leaves(),
		})
	})
	return n.reachable(now, out)
}

// Servers implements serving.Directory.
func (n *Node) Servers(service string) []routing.Candidate {
	now := time.Now()
	var out []routing.Candidate
	n.backends.each(service, func(b *backend) {
		if b.downFor > 0 {
			return
		}
		slots := b.Slots
		if slots <= 0 {
			slots = plainSlots
		}
		out = append(out, routing.Candidate{Engine: b.ID, Domain: b.Domain, Slots: slots, Ready: true, Leaving: b.leaves()})
	})
	return n.reachable(now, out)
}

// reachable drops the candidates in failure domains that are cut off, and completes the
// others by what runs on them through other VMs.
func (n *Node) reachable(now time.Time, candidates []routing.Candidate) []routing.Candidate {
	cut := n.cutOff()
	age := n.members.inFlightAge(now)
	kept := candidates[:0]
	for _, c := range candidates {
		if cut(c.Domain) {
			continue
		}
		c.PeersInFlight, c.PeersInFlightAge = n.members.inFlight(now, c.Engine), age
		kept = append(kept, c)
	}
	n.limits.complete(now, kept)
	return kept
}

// Target implements serving.ForwardDirectory.
func (n *Node) Target(backend string) (service.Target, bool) {
	b, ok := n.backends.get(backend)
	if !ok {
		return service.Target{}, false
	}
	return service.Target{ID: b.ID, Address: b.Address}, true
}

// Lacking implements serving.ForwardDirectory.
func (n *Node) Lacking(backend, unit string) {
	now := time.Now()
	n.backends.lacks(now, backend, unit)
	n.keeper.doubt(now, backend)
	n.config.Logger.Info("backend server lacks a unit", zap.String("backend", backend), zap.String("unit", unit))
}

// Unreachable implements serving.ForwardDirectory.
func (n *Node) Unreachable(backend string) {
	n.backends.unreachable(time.Now(), backend)
	n.planner.wakeUp()
}

// probe is the duty that tries backend servers again that were taken for dead.
func (n *Node) probe(ctx context.Context) {
	pause.Every(ctx, probeEvery, func(ctx context.Context) {
		for _, id := range n.backends.toProbe(time.Now()) {
			go n.probeOne(ctx, id)
		}
	})
}

func (n *Node) probeOne(ctx context.Context, id string) {
	target, ok := n.Target(id)
	if !ok {
		return
	}
	if err := n.tryConnect(ctx, target); err != nil {
		n.backends.failedAgain(time.Now(), id)
		return
	}
	n.backends.reached(id)
	n.backendsChanged()
}

// tryConnect tells whether a backend server accepts connections.
func (n *Node) tryConnect(ctx context.Context, target service.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeMost)
	defer cancel()
	return n.config.Peers.Backends.Probe(ctx, target)
}

// Reached implements serving.ForwardDirectory.
func (n *Node) Reached(backend string) { n.backends.reached(backend) }

// Hopeless implements serving.Directory: a model that the configuration does not
// name can't be loaded anywhere.
func (n *Node) Hopeless(unit string) *refusal.Refusal {
	wanted, ok := serving.ParseModelUnit(unit)
	if !ok {
		return nil
	}
	pool := n.pool(wanted.Service)
	if pool == nil {
		return nil // a plain service, or a configuration that is about to come
	}
	if _, ok := pool.Model(wanted.Model); ok {
		return nil
	}
	return refusal.New(refusal.CodeNoCapacity, 0, "no engine can hold %s", unit)
}

// Interest implements serving.Directory. Nothing is asked: keepers tell what changes.
func (n *Node) Interest(string) {}

// Missing implements serving.Directory: adapters are asked for at the keepers of the
// engines that hold their model, everything else is the planner's.
func (n *Node) Missing(waiting []admission.Demand) {
	models := false
	for _, d := range waiting {
		wanted, ok := serving.ParseModelUnit(d.Unit)
		if !ok {
			continue
		}
		if wanted.Adapter != "" && n.adapters.requestLoad(wanted) {
			continue
		}
		models = true
	}
	if !models {
		return
	}
	now := time.Now()
	if n.members.plans(now) {
		n.planner.wakeUp()
		return
	}
	n.members.notifyPlanner(now)
}

// failing are the backend servers that get nothing from this VM now: those that refused
// a connection, and those whose answers fail.
func (n *Node) failing(now time.Time) []string {
	out := n.backends.down()
	n.serving.Decide(func(_ *admission.Controller, router *routing.Router) {
		for name := range router.UnavailableEngines(now) {
			out = append(out, name)
		}
	})
	return out
}

// runningUnits counts what runs on an engine through any VM, by unit.
func (n *Node) runningUnits(now time.Time, engine string) map[string]int {
	out := make(map[string]int)
	for key, count := range n.members.units(now) {
		if key.backend == engine {
			out[key.unit] += count
		}
	}
	for _, run := range n.serving.Runs() {
		if run.Backend == engine {
			out[run.Unit] += run.Count
		}
	}
	return out
}
