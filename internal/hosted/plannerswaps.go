package hosted

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/telemetry"
	"bergamotreel/placement/residency"
)

// pendingSwap is a swap in flight. Until expiresAt it counts as one even if no report
// confirms it.
type pendingSwap struct {
	residency.Swap
	startedAt, expiresAt time.Time
}

func (p *planner) addPendingSwap(now time.Time, swap residency.Swap) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[swap.Engine] = pendingSwap{Swap: swap, startedAt: now, expiresAt: now.Add(pendingSwapTTL)}
	if swap.LoadsFromStore() {
		p.store.BeginLoad(now, swap.Engine, swap.LoadTime+unloadTime(swap))
	}
}

// unloadTime returns how long the unloads before a swap's load should take.
func unloadTime(swap residency.Swap) time.Duration {
	return time.Duration(len(swap.Unload)) * residency.UnloadTime
}

// finishSwap records the end of a swap in flight. Call with mu held.
func (p *planner) finishSwap(now time.Time, engine string, b *backend) {
	swap := p.pending[engine].Swap
	delete(p.pending, engine)
	if !swap.LoadsFromStore() {
		return
	}
	if _, loaded := b.loadedModels[swap.Load]; !loaded {
		p.store.DiscardLoad(now, engine)
		return
	}
	if p.store.FinishLoad(now, engine) {
		p.node.config.Logger.Info("loads from the store bounded", zap.Int("at_once", p.store.MaxLoads()),
			zap.String("engine", engine), zap.String("model", swap.Load), zap.Duration("expected", swap.LoadTime))
	}
}

// dropEngine drops the state of an engine's instance that has ended: the next one holds no
// models and has answered nothing yet.
func (p *planner) dropEngine(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, engine)
	delete(p.backoffs, engine)
	delete(p.loggedEngines, engine)
	p.store.DiscardLoad(time.Now(), engine)
}

// sendSwap sends a swap to the engine's keeper and records the answer.
func (p *planner) sendSwap(ctx context.Context, pool *contract.EnginePool, swap residency.Swap) {
	n := p.node
	args := entryvm.SwapArgs{
		Engine: swap.Engine, Unload: swap.Unload, Load: swap.Load, LoadTime: swap.LoadTime, Reason: swap.Reason,
		HasLocalCopy: swap.Load != "" && !swap.LoadsFromStore(),
	}
	reply, err := p.requestSwap(ctx, args)
	// The update in the reply is applied at once because reports are rare in a large fleet: without
	// it the planner takes a swapping engine for idle and plans swaps that are refused, although
	// their models could go to other engines.
	if err == nil && reply.Update != nil {
		n.backends.applyEngineUpdate(time.Now(), reply.Keeper, *reply.Update)
	}
	n.config.Logger.Info("swap planned", zap.String("service", pool.Service), zap.String("engine", swap.Engine),
		zap.Strings("unload", swap.Unload), zap.String("load", swap.Load), zap.Stringer("source", swap.Source),
		zap.Duration("takes", swap.LoadTime), zap.String("purpose", swap.Reason), zap.Bool("begun", reply.Begun),
		zap.String("refused", reply.Reason), telemetry.Reason(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && reply.Begun {
		delete(p.backoffs, swap.Engine)
		return
	}
	delete(p.pending, swap.Engine)
	p.store.DiscardLoad(time.Now(), swap.Engine)
	backoff := swapBackoff{until: time.Now().Add(refusedSwapBackoff)}
	if err != nil || reply.Silent {
		backoff.silentDelay = min(max(minSilentBackoff, 2*p.backoffs[swap.Engine].silentDelay), maxSilentBackoff)
		backoff.until = time.Now().Add(backoff.silentDelay)
	}
	p.backoffs[swap.Engine] = backoff
}

func (p *planner) requestSwap(ctx context.Context, args entryvm.SwapArgs) (entryvm.SwapReply, error) {
	n := p.node
	b, ok := n.backends.get(args.Engine)
	if !ok {
		return entryvm.SwapReply{}, errEngineGone
	}
	if n.keeper.canSendOrdersTo(b.ID) && b.Domain == n.config.Domain {
		return n.Swap(args), nil
	}
	_, address, ok := n.members.keeperOf(time.Now(), b.Domain, n.shardOf(b.ID))
	if !ok {
		return entryvm.SwapReply{}, errNotKeeper
	}
	ctx, cancel := context.WithTimeout(ctx, swapTimeout)
	defer cancel()
	return n.config.Peers.EntryVMs.Swap(ctx, address, args)
}

// swapsInFlight returns the swaps in flight, with those of the service's engines that other
// VMs planned. It drops the state of swaps that have ended and of engines that are gone.
func (p *planner) swapsInFlight(now time.Time, service string) []residency.Swap {
	n := p.node
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []residency.Swap
	for engine, swap := range p.pending {
		b, ok := n.backends.get(engine)
		switch {
		case !ok:
			delete(p.pending, engine)
			p.store.DiscardLoad(now, engine)
		case b.isSwapping(), now.Before(swap.expiresAt):
			out = append(out, swap.Swap)
		default:
			p.finishSwap(now, engine, &b)
		}
	}
	for engine := range p.backoffs {
		if _, ok := n.backends.get(engine); !ok {
			delete(p.backoffs, engine)
		}
	}
	return append(out, p.swapsOfOtherPlanners(service)...)
}

// swapsOfOtherPlanners returns the swaps in flight that this VM did not plan. If a new
// planner ignored those of a planner that stopped or was partitioned, models that are being
// loaded would be loaded a second time, from a store that may serve one load at a time. Call
// with mu held.
func (p *planner) swapsOfOtherPlanners(service string) []residency.Swap {
	var out []residency.Swap
	p.node.backends.each(service, func(b *backend) {
		if _, planned := p.pending[b.ID]; planned || !b.isSwapping() || b.keeperUpdate.Loading == "" {
			return
		}
		swap := residency.Swap{Engine: b.ID, Load: b.keeperUpdate.Loading, Source: residency.SourceDisk, LoadTime: b.keeperUpdate.LoadTimeLeft}
		if b.keeperUpdate.FromStore {
			swap.Source = residency.SourceStore
		}
		out = append(out, swap)
	})
	return out
}
