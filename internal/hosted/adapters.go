package hosted

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/entryvm"
	"bergamotreel/internal/rendezvous"
	"bergamotreel/internal/serving"
	"bergamotreel/internal/telemetry"
)

const (
	// adapterTimeout bounds one ask for an adapter: a load takes some 20 ms, and an
	// order that gets no answer is sent a few times.
	adapterTimeout = 700 * time.Millisecond
	// adapterTries is how many engines are asked one after the other.
	adapterTries = 3
	// crowded is the share of an engine's slots in use from which an adapter is
	// rather loaded on another one.
	crowded = 0.75
)

// adapterAsks has adapters loaded where requests wait for them. It is safe for
// concurrent use.
type adapterAsks struct {
	node *Node

	mu sync.Mutex
	// asking are the units that are being asked for.
	asking map[string]bool
}

func newAdapterAsks(n *Node) *adapterAsks {
	return &adapterAsks{node: n, asking: make(map[string]bool)}
}

// ask begins to have the adapter loaded, unless that is under way. False means that
// no engine holds its model: that has to come first.
func (a *adapterAsks) ask(wanted serving.ModelUnit) bool {
	hosts := a.hosts(wanted)
	if len(hosts) == 0 {
		return false
	}
	unit := wanted.String()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asking[unit] {
		return true
	}
	a.asking[unit] = true
	go a.run(wanted, hosts)
	return true
}

// host is an engine that holds an adapter's model, with its keeper.
type host struct {
	engine, address string
	own             bool
	weight          uint64
	crowded         bool
}

// hosts are the engines that could load the adapter: the one that the hash names
// first, so that all VMs ask the same one and each engine gets a part of the
// adapters that its places suffice for; crowded ones last.
func (a *adapterAsks) hosts(wanted serving.ModelUnit) []host {
	now := time.Now()
	unit := wanted.String()
	var engines []*backend
	a.node.backends.each(wanted.Service, func(b *backend) {
		held, ok := b.loadedModels[wanted.Model]
		if !ok || b.isLeaving() || b.isSwapping() || held.adapters[wanted.Adapter] {
			return
		}
		copied := *b
		engines = append(engines, &copied)
	})
	failing := a.node.unavailableBackends(now)
	active := a.node.activeShards()
	var out []host
	for _, b := range engines {
		if slices.Contains(failing, b.ID) {
			continue
		}
		h := host{engine: b.ID, weight: rendezvous.Weight(unit, b.ID)}
		shard := a.node.shardOf(b.ID)
		if b.Domain == a.node.config.Domain && slices.Contains(active, shard) {
			h.own = true
		} else if _, address, ok := a.node.members.keeperOf(now, b.Domain, shard); ok {
			h.address = address
		} else {
			continue
		}
		h.crowded = float64(a.node.members.inFlight(now, b.ID)) > crowded*float64(b.Slots)
		out = append(out, h)
	}
	slices.SortFunc(out, func(x, y host) int {
		return cmp.Or(boolCompare(x.crowded, y.crowded), cmp.Compare(y.weight, x.weight))
	})
	return out
}

// boolCompare puts false first.
func boolCompare(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// run asks one engine's keeper after the other.
func (a *adapterAsks) run(wanted serving.ModelUnit, hosts []host) {
	defer a.ended(wanted.String())
	for _, h := range hosts[:min(len(hosts), adapterTries)] {
		args := entryvm.AdapterArgs{Engine: h.engine, Model: wanted.Model, Adapter: wanted.Adapter}
		reply, err := a.askOne(h, args)
		if err == nil && reply.Loaded {
			a.node.backends.recordAdapterLoaded(h.engine, wanted.Model, wanted.Adapter)
			return
		}
		a.node.config.Logger.Info("adapter not loaded", zap.String("engine", h.engine), zap.String("model", wanted.Model),
			zap.String("adapter", wanted.Adapter), zap.String("refused", reply.Reason), telemetry.Reason(err))
	}
}

func (a *adapterAsks) askOne(h host, args entryvm.AdapterArgs) (entryvm.AdapterReply, error) {
	if h.own {
		return a.node.Adapter(args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	return a.node.config.Peers.EntryVMs.Adapter(ctx, h.address, args)
}

func (a *adapterAsks) ended(unit string) {
	a.mu.Lock()
	delete(a.asking, unit)
	a.mu.Unlock()
	a.node.serving.Wake()
}
