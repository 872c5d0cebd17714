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
	// planEvery is how often the planner looks without news, planGap the least time
	// between two looks: requests that arrive together are planned for together.
	planInterval = 250 * time.Millisecond
	minPlanGap   = 20 * time.Millisecond
	// planRest times what a look took is the pause after it: planning for a hundred
	// engines must leave a small VM's processor to the requests.
	planPauseFactor = 9
	// aheadEvery is how often loads ahead of demand are looked for.
	preloadInterval = 250 * time.Millisecond
	// swapTimeout bounds asking a keeper to begin a swap.
	swapTimeout = 400 * time.Millisecond
	// swapLinger is how long a swap that its keeper has begun counts as under way
	// without the keeper's news of it.
	pendingSwapTTL = 600 * time.Millisecond
	// unloadAllowance is what a swap takes beside its load, busyLeast what one that
	// takes longer than expected may still take, and busyUnknown what one does that
	// this VM did not plan.
	unloadAllowance      = 400 * time.Millisecond
	minRemainingSwapTime = 200 * time.Millisecond
	unplannedSwapTime    = time.Second
	// refusedPause is how long an engine gets no further swap after its keeper
	// refused one.
	refusedSwapBackoff = 300 * time.Millisecond
	// silentPause is the same after the engine or its keeper did not answer; it
	// doubles with each time in a row up to silentMost. Failure: eight empty engines
	// that had gone dark were the cheapest places for every model, and tries on them
	// took up all loads from the store for half a minute.
	minSilentBackoff = 2 * time.Second
	maxSilentBackoff = 8 * time.Second
	// planAfter is how long a VM waits after its start before it plans: until then
	// it has not heard what others run.
	planStartDelay = 1200 * time.Millisecond
	// storeRateShare of the weight store's rate is what one planner uses, so that two
	// that both plan for a moment keep to the rate together.
	storeRateShare = 0.5
	// residencyEvery is the time between two log lines on what is resident.
	residencyLogInterval = 2 * time.Second
	// shortagesTold is how many models with waiting requests are told of at a time.
	maxLoggedShortages = 5
	// storeBurst is how many loads from the store may begin at once.
	maxStoreBurst = 4
)

// planner is the duty of the VM that decides for all which engines hold what. Its
// decisions are in package residency; this gathers what they need and hands the
// swaps to the engines' keepers.
type planner struct {
	node *Node
	wake chan struct{}

	mu sync.Mutex
	// store is what is known of how many loads the weight store serves at full speed.
	store *residency.StoreLimit
	// pending are the swaps that keepers have begun, by engine.
	pending map[string]pendingSwap
	// rests are the engines whose keepers began no swap the last time.
	backoffs map[string]swapBackoff
	planning bool
	// coming is what was expected at foreseenAt.
	readyEstimates []entryvm.Arrival
	estimatedAt    time.Time
	// tokens is what may still be loaded from the store now, filledAt when that was
	// worked out.
	storeTokens float64
	refilledAt  time.Time
	// aheadAt is when loads ahead of demand were last looked for.
	preloadCheckedAt time.Time
	// toldAt is when the residency was last logged, toldVersion the configuration whose
	// pools were, toldEngines the engines that were.
	residencyLoggedAt time.Time
	loggedVersion     uint64
	loggedEngines     map[string]bool
}

// rest is how long an engine gets no swap.
type swapBackoff struct {
	until time.Time
	// silent is how long the last pause was for an engine that did not answer, 0 if it
	// did.
	silentDelay time.Duration
}

// pendingSwap is a swap under way; until then it counts as such without news.
type pendingSwap struct {
	residency.Swap
	startedAt, expiresAt time.Time
}

func newPlanner(n *Node) *planner {
	return &planner{node: n, wake: make(chan struct{}, 1), store: residency.NewStoreLimit(),
		pending: make(map[string]pendingSwap), backoffs: make(map[string]swapBackoff), loggedEngines: make(map[string]bool)}
}

func (p *planner) wakeUp() { wake(p.wake) }

// run is the duty.
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

// leadsFleet tells whether this VM has the duties that one does for all.
func (n *Node) isFleetPlanner(now time.Time) bool {
	return !n.stopping.Load() && n.config.Boot()-n.started > planStartDelay && n.members.plans(now)
}

// plan makes one round, if this VM is the one that plans.
func (p *planner) plan(ctx context.Context) {
	n := p.node
	now := time.Now()
	current := n.inForce.Load()
	isPlanner := current != nil && n.isFleetPlanner(now)
	if isPlanner != p.planning {
		p.setPlanning(isPlanner)
		n.config.Logger.Info("planning", zap.Bool("by_this_vm", isPlanner), zap.Int("live_vms", n.members.count(now)))
		// What a former planner took from the store's rate isn't known.
		p.storeTokens, p.refilledAt = 0, now
	}
	if !isPlanner {
		return
	}
	p.logPools(current)
	var estimates []entryvm.Arrival
	for i := range current.Contract.Pools {
		estimates = append(estimates, p.planPool(ctx, now, &current.Contract.Pools[i])...)
	}
	p.setReadyEstimates(now, estimates)
}

// foresee takes what is expected of the models that requests wait for.
func (p *planner) setReadyEstimates(now time.Time, estimates []entryvm.Arrival) {
	p.mu.Lock()
	p.readyEstimates, p.estimatedAt = estimates, now
	p.mu.Unlock()
	p.node.arrivals.replace(now, estimates)
}

// lead notes whether this VM plans.
func (p *planner) setPlanning(planning bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planning = planning
	p.loggedVersion = 0
	clear(p.loggedEngines)
}

// planPool begins the swaps of a pool, and returns when the models that requests wait for
// should be there.
func (p *planner) planPool(ctx context.Context, now time.Time, pool *contract.EnginePool) []entryvm.Arrival {
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
	var estimates []entryvm.Arrival
	for _, estimate := range residency.EstimateReadyTimes(input, swaps) {
		estimates = append(estimates, entryvm.Arrival{Service: pool.Service, Model: estimate.Model, In: estimate.ReadyIn})
	}
	return estimates
}

// looksAhead tells whether loads ahead of demand are due to be looked for.
func (p *planner) shouldPreload(now time.Time) bool {
	if now.Sub(p.preloadCheckedAt) < preloadInterval {
		return false
	}
	p.preloadCheckedAt = now
	return true
}

// takeToken keeps loads from the store to a share of its rate.
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

// unloadTime is what the unloads before a swap's load should take.
func unloadTime(swap residency.Swap) time.Duration {
	return time.Duration(len(swap.Unload)) * residency.UnloadTime
}

// storeLoads is how many loads from the store should run at once.
func (p *planner) maxStoreLoads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.MaxLoads()
}

// told is what other VMs are told by the one that plans.
func (p *planner) planStatus(now time.Time) (planning bool, storeLoads int, estimates []entryvm.Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		return false, 0, nil
	}
	for _, estimate := range p.readyEstimates {
		estimate.In = max(0, estimate.In-now.Sub(p.estimatedAt))
		estimates = append(estimates, estimate)
	}
	return true, p.store.MeasuredMaxLoads(), estimates
}

// learnStoreLoads takes what the VM that plans has found out of the store, so that the
// next one that plans need not begin anew.
func (p *planner) adoptMaxStoreLoads(maxLoads int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		p.store.AdoptMaxLoads(maxLoads)
	}
}

// ended notes the end of a swap that was under way. Call with mu held.
func (p *planner) finishSwap(now time.Time, engine string, b *backend) {
	swap := p.pending[engine].Swap
	delete(p.pending, engine)
	if !swap.LoadsFromStore() {
		return
	}
	if _, loaded := b.models[swap.Load]; !loaded {
		p.store.DiscardLoad(now, engine)
		return
	}
	if p.store.FinishLoad(now, engine) {
		p.node.config.Logger.Info("loads from the store bounded", zap.Int("at_once", p.store.MaxLoads()),
			zap.String("engine", engine), zap.String("model", swap.Load), zap.Duration("expected", swap.LoadTime))
	}
}

// forget drops what is planned for a start of an engine that has ended: the next one
// holds nothing and has answered nothing yet.
func (p *planner) dropEngine(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, engine)
	delete(p.backoffs, engine)
	delete(p.loggedEngines, engine)
	p.store.DiscardLoad(time.Now(), engine)
}

// hand gives a swap to the engine's keeper.
func (p *planner) sendSwap(ctx context.Context, pool *contract.EnginePool, swap residency.Swap) {
	n := p.node
	args := entryvm.SwapArgs{
		Engine: swap.Engine, Unload: swap.Unload, Load: swap.Load, Takes: swap.LoadTime, Reason: swap.Reason,
		Copied: swap.Load != "" && !swap.LoadsFromStore(),
	}
	reply, err := p.requestSwap(ctx, args)
	// Load pattern: in a large fleet reports come seldom, and for a second or two the
	// planner took the engine for free: of 3,342 swaps that it planned there in a minute
	// 1,778 met the one under way, while the models that they were for had other places.
	if err == nil && reply.News != nil {
		n.backends.applyNews(time.Now(), reply.Keeper, *reply.News)
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
		return entryvm.SwapReply{}, errGone
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

// underWay returns the swaps of a service's engines that count as begun.
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
		case b.swapping(), now.Before(swap.expiresAt):
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

// begunByOthers are the swaps under way that this VM did not plan. Failure: the VM that
// planned stopped, or was cut off; the next one took none of its swaps for under way, so
// that models which were coming were loaded a second time, from a store that serves one.
// Call with mu held.
func (p *planner) swapsOfOtherPlanners(service string) []residency.Swap {
	var out []residency.Swap
	p.node.backends.each(service, func(b *backend) {
		if _, planned := p.pending[b.ID]; planned || !b.swapping() || b.news.Loading == "" {
			return
		}
		swap := residency.Swap{Engine: b.ID, Load: b.news.Loading, Source: residency.SourceDisk, LoadTime: b.news.LoadingFor}
		if b.news.FromStore {
			swap.Source = residency.SourceStore
		}
		out = append(out, swap)
	})
	return out
}
