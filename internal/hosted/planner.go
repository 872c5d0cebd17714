package hosted

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
	"bergamotreel/internal/telemetry"
	"bergamotreel/placement/residency"
)

const (
	// planInterval is the time between planning rounds that nothing wakes up, minPlanGap
	// the minimum pause between two rounds, so that requests that arrive together are
	// planned for together.
	planInterval = 250 * time.Millisecond
	minPlanGap   = 20 * time.Millisecond
	// planPauseFactor times the duration of a round is the minimum pause after it (at most
	// 10% of the time is spent planning): planning for a hundred engines must leave the CPU
	// of a small VM to the requests.
	planPauseFactor = 9
	// preloadInterval is the time between rounds that also plan loads ahead of demand.
	preloadInterval = 250 * time.Millisecond
	// swapTimeout bounds the call that asks a keeper to begin a swap.
	swapTimeout = 400 * time.Millisecond
	// pendingSwapTTL is how long a swap that its keeper has begun counts as in flight
	// without a report of it from the keeper.
	pendingSwapTTL = 600 * time.Millisecond
	// unloadAllowance is the expected time of a swap beside its load, minRemainingSwapTime
	// the remaining time assumed for a swap that takes longer than expected, and
	// unplannedSwapTime that of a swap that this VM did not plan and whose load is unknown.
	unloadAllowance      = 400 * time.Millisecond
	minRemainingSwapTime = 200 * time.Millisecond
	unplannedSwapTime    = time.Second
	// refusedSwapBackoff is how long an engine gets no further swap after its keeper
	// refused one.
	refusedSwapBackoff = 300 * time.Millisecond
	// minSilentBackoff is the same after the engine or its keeper did not answer; it
	// doubles with each consecutive failure up to maxSilentBackoff. Without the backoff,
	// eight empty engines that were unreachable were the cheapest places for every model,
	// and attempts on them used up all loads from the store for half a minute.
	minSilentBackoff = 2 * time.Second
	maxSilentBackoff = 8 * time.Second
	// planStartDelay is how long a VM waits after its start before it acts as the planner:
	// until then it has not received the requests that the other live VMs have in flight.
	planStartDelay = 1200 * time.Millisecond
	// storeRateShare is the share of the weight store's rate that one planner uses, so that
	// two VMs that both plan for a moment don't exceed the rate in total.
	storeRateShare = 0.5
	// residencyLogInterval is the time between two log lines on which models are resident.
	residencyLogInterval = 2 * time.Second
	// maxLoggedShortages is how many models with waiting requests are logged at a time.
	maxLoggedShortages = 5
	// maxStoreBurst is how many loads from the store may begin at once.
	maxStoreBurst = 4
)

// planner decides for the whole fleet which engines hold which models; one VM at a time acts
// as the planner. The decisions are in package residency; the planner collects their input
// and sends the swaps to the keepers of the engines.
type planner struct {
	node *Node
	wake chan struct{}

	mu sync.Mutex
	// store estimates how many loads the weight store serves at full speed.
	store *residency.StoreLimit
	// pending are the swaps sent to keepers that have not ended, by engine.
	pending map[string]pendingSwap
	// backoffs holds, by engine, those of engines whose last swap was not begun.
	backoffs map[string]swapBackoff
	planning bool
	// readyEstimates are when models that requests wait for should be ready, as of
	// estimatedAt.
	readyEstimates []entryvm.ReadyEstimate
	estimatedAt    time.Time
	// storeTokens is how many loads from the store may begin now, as of refilledAt.
	storeTokens float64
	refilledAt  time.Time
	// preloadCheckedAt is when loads ahead of demand were last planned.
	preloadCheckedAt time.Time
	// residencyLoggedAt is when the residency was last logged, loggedVersion the version of
	// the configuration whose pools were logged, loggedEngines the engines that were.
	residencyLoggedAt time.Time
	loggedVersion     uint64
	loggedEngines     map[string]bool
}

// swapBackoff is the time during which an engine gets no swap.
type swapBackoff struct {
	until time.Time
	// silentDelay is the length of the last backoff if the engine or its keeper did not
	// answer, else 0.
	silentDelay time.Duration
}

// pendingSwap is a swap in flight. Until expiresAt it counts as one even if no report
// confirms it.
type pendingSwap struct {
	residency.Swap
	startedAt, expiresAt time.Time
}

func newPlanner(n *Node) *planner {
	return &planner{node: n, wake: make(chan struct{}, 1), store: residency.NewStoreLimit(),
		pending: make(map[string]pendingSwap), backoffs: make(map[string]swapBackoff), loggedEngines: make(map[string]bool)}
}

func (p *planner) wakeUp() { wake(p.wake) }

// run makes planning rounds until ctx ends.
func (p *planner) run(ctx context.Context) {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		begun := time.Now()
		p.plan(ctx)
		if !pause.For(ctx, max(minPlanGap, planPauseFactor*time.Since(begun))) {
			return
		}
		timer.Reset(planInterval)
	}
}

// canActAsPlanner reports whether this VM is the planner, has run for planStartDelay and
// isn't stopping.
func (n *Node) canActAsPlanner(now time.Time) bool {
	return !n.stopping.Load() && n.config.BootClock()-n.startedAt > planStartDelay && n.members.isPlanner(now)
}

// plan makes one planning round if this VM is the planner.
func (p *planner) plan(ctx context.Context) {
	n := p.node
	now := time.Now()
	current := n.active.Load()
	isPlanner := current != nil && n.canActAsPlanner(now)
	if isPlanner != p.planning {
		p.setPlanning(isPlanner)
		n.config.Logger.Info("planning", zap.Bool("by_this_vm", isPlanner), zap.Int("live_vms", n.members.liveCount(now)))
		// How much of the store's rate the previous planner used is unknown.
		p.storeTokens, p.refilledAt = 0, now
	}
	if !isPlanner {
		return
	}
	p.logPools(current)
	var estimates []entryvm.ReadyEstimate
	for i := range current.Contract.Pools {
		estimates = append(estimates, p.planPool(ctx, now, &current.Contract.Pools[i])...)
	}
	p.setReadyEstimates(now, estimates)
}

// setReadyEstimates stores when the models that requests wait for should be ready.
func (p *planner) setReadyEstimates(now time.Time, estimates []entryvm.ReadyEstimate) {
	p.mu.Lock()
	p.readyEstimates, p.estimatedAt = estimates, now
	p.mu.Unlock()
	p.node.readyEstimates.replace(now, estimates)
}

// setPlanning records whether this VM is the planner, and has pools and engines logged anew.
func (p *planner) setPlanning(planning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planning = planning
	p.loggedVersion = 0
	clear(p.loggedEngines)
}

// planPool begins the swaps of a pool, and returns when the models that requests wait for
// should be ready.
func (p *planner) planPool(ctx context.Context, now time.Time, pool *contract.EnginePool) []entryvm.ReadyEstimate {
	engines := p.buildEngines(now, pool)
	models := p.buildModels(now, pool, engines)
	p.logEngines(pool, engines)
	p.logResidency(now, pool, engines, models)
	input := residency.PlanInput{
		Now: now, Engines: engines, Models: models, InFlight: p.swapsInFlight(now, pool.Service), MaxStoreLoads: p.maxStoreLoads(), Preload: p.shouldPreload(now),
	}
	swaps := residency.Plan(input)
	for _, swap := range swaps {
		if swap.LoadsFromStore() && !p.takeStoreToken(now, pool) {
			continue
		}
		p.addPendingSwap(now, swap)
		go p.sendSwap(ctx, pool, swap)
	}
	var estimates []entryvm.ReadyEstimate
	for _, estimate := range residency.EstimateReadyTimes(input, swaps) {
		estimates = append(estimates, entryvm.ReadyEstimate{Service: pool.Service, Model: estimate.Model, ReadyIn: estimate.ReadyIn})
	}
	return estimates
}

// shouldPreload reports whether this round also plans loads ahead of demand, which it does
// once in preloadInterval.
func (p *planner) shouldPreload(now time.Time) bool {
	if now.Sub(p.preloadCheckedAt) < preloadInterval {
		return false
	}
	p.preloadCheckedAt = now
	return true
}

// takeStoreToken takes a token for a load from the store, and reports whether there was
// one. Tokens limit the loads to a share of the store's rate.
func (p *planner) takeStoreToken(now time.Time, pool *contract.EnginePool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeTokens = min(maxStoreBurst, p.storeTokens+now.Sub(p.refilledAt).Seconds()*pool.LoadsPerSecond*storeRateShare)
	p.refilledAt = now
	if p.storeTokens < 1 {
		return false
	}
	p.storeTokens--
	return true
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

// maxStoreLoads returns how many loads from the store should run at once.
func (p *planner) maxStoreLoads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.MaxLoads()
}

// planStatus returns what the planner reports to the other VMs: that it plans, how many
// loads the store serves at full speed, and when models should be ready.
func (p *planner) planStatus(now time.Time) (planning bool, storeLoads int, estimates []entryvm.ReadyEstimate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		return false, 0, nil
	}
	for _, estimate := range p.readyEstimates {
		estimate.ReadyIn = max(0, estimate.ReadyIn-now.Sub(p.estimatedAt))
		estimates = append(estimates, estimate)
	}
	return true, p.store.MeasuredMaxLoads(), estimates
}

// adoptMaxStoreLoads adopts what the planner has measured of the store, so that the next
// planner need not measure it again.
func (p *planner) adoptMaxStoreLoads(maxLoads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		p.store.AdoptMaxLoads(maxLoads)
	}
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
	// The update in the reply is applied at once because reports are rare in a large fleet:
	// without it the planner treated a swapping engine as idle for 1-2 s; in one minute
	// 1,778 of 3,342 planned swaps were refused for that reason, although their models could
	// have gone to other engines.
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
