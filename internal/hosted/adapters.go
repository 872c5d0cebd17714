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
	// adapterTimeout bounds one call to load an adapter: it covers maxOrderAttempts attempts
	// of orderTimeout and the load itself, about 20 ms.
	adapterTimeout = 700 * time.Millisecond
	// maxAdapterAttempts is how many engines are asked one after the other.
	maxAdapterAttempts = 3
	// crowdedUtilization is the fraction of an engine's slots in use above which an adapter
	// is preferably loaded on another engine.
	crowdedUtilization = 0.75
)

// adapterLoader has adapters loaded that requests wait for. It is safe for concurrent use.
type adapterLoader struct {
	node *Node

	mu sync.Mutex
	// inFlight are the units, at a software version or at any, whose load has been requested and has
	// not ended.
	inFlight map[string]bool
}

func newAdapterLoader(n *Node) *adapterLoader {
	return &adapterLoader{node: n, inFlight: make(map[string]bool)}
}

// requestLoad begins to have the adapter loaded, unless that is in flight. It returns false
// if no engine that can take the adapter holds its model, which must be loaded first.
func (a *adapterLoader) requestLoad(wanted serving.ModelUnit) bool {
	hosts := a.findHosts(wanted)
	if len(hosts) == 0 {
		return false
	}
	unit := wanted.String()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inFlight[unit] {
		return true
	}
	a.inFlight[unit] = true
	go a.tryHosts(wanted, hosts)
	return true
}

// adapterHost is an engine that holds an adapter's model, with its keeper.
type adapterHost struct {
	engine, address string
	isLocal         bool
	weight          uint64
	isCrowded       bool
}

// findHosts returns the engines that could load the adapter, ordered by rendezvous hash, so
// that all VMs ask the same engine first and each engine gets a part of the adapters that
// fits its adapter slots. Crowded engines come last.
func (a *adapterLoader) findHosts(wanted serving.ModelUnit) []adapterHost {
	now := time.Now()
	unit := unitName(wanted.Service, wanted.Model, wanted.Adapter)
	var engines []*backend
	a.node.backends.each(wanted.Service, func(b *backend) {
		held, ok := b.loadedModels[wanted.Model]
		if !ok || (wanted.Version != "" && b.softwareVersion() != wanted.Version) || b.isLeaving() || b.isSwapping() || held.adapters[wanted.Adapter] {
			return
		}
		copied := *b
		engines = append(engines, &copied)
	})
	unavailable := a.node.unavailableBackends(now)
	active := a.node.activeShards()
	var out []adapterHost
	for _, b := range engines {
		if slices.Contains(unavailable, b.ID) {
			continue
		}
		h := adapterHost{engine: b.ID, weight: rendezvous.Weight(unit, b.ID)}
		shard := a.node.shardOf(b.ID)
		if b.Domain == a.node.config.Domain && slices.Contains(active, shard) {
			h.isLocal = true
		} else if _, address, ok := a.node.members.keeperOf(now, b.Domain, shard); ok {
			h.address = address
		} else {
			continue
		}
		h.isCrowded = float64(a.node.members.inFlight(now, b.ID)) > crowdedUtilization*float64(b.Slots)
		out = append(out, h)
	}
	slices.SortFunc(out, func(x, y adapterHost) int {
		return cmp.Or(compareBools(x.isCrowded, y.isCrowded), cmp.Compare(y.weight, x.weight))
	})
	return out
}

// compareBools orders false before true.
func compareBools(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// tryHosts asks the keepers of the engines one after the other until one has loaded the
// adapter.
func (a *adapterLoader) tryHosts(wanted serving.ModelUnit, hosts []adapterHost) {
	defer a.finishLoad(wanted.String())
	for _, h := range hosts[:min(len(hosts), maxAdapterAttempts)] {
		args := entryvm.AdapterArgs{Engine: h.engine, Model: wanted.Model, Adapter: wanted.Adapter}
		reply, err := a.loadOn(h, args)
		if err == nil && reply.Loaded {
			a.node.backends.recordAdapterLoaded(h.engine, wanted.Model, wanted.Adapter)
			return
		}
		a.node.config.Logger.Info("adapter not loaded", zap.String("engine", h.engine), zap.String("model", wanted.Model),
			zap.String("adapter", wanted.Adapter), zap.String("refused", reply.Reason), telemetry.Reason(err))
	}
}

func (a *adapterLoader) loadOn(h adapterHost, args entryvm.AdapterArgs) (entryvm.AdapterReply, error) {
	if h.isLocal {
		return a.node.Adapter(args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	return a.node.config.Peers.EntryVMs.Adapter(ctx, h.address, args)
}

func (a *adapterLoader) finishLoad(unit string) {
	a.mu.Lock()
	delete(a.inFlight, unit)
	a.mu.Unlock()
	a.node.serving.Wake()
}
