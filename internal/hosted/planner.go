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
	planEvery = 250 * time.Millisecond
	planGap   = 20 * time.Millisecond
	// planRest times what a look took is the pause after it: planning for a hundred
	// engines must leave a small VM's processor to the requests.
	planRest = 9
	// aheadEvery is how often loads ahead of demand are looked for.
	aheadEvery = 250 * time.Millisecond
	// swapTimeout bounds asking a keeper to begin a swap.
	swapTimeout = 400 * time.Millisecond
	// swapLinger is how long a swap that its keeper has begun counts as under way
	// without the keeper's news of it.
	swapLinger = 600 * time.Millisecond
	// unloadAllowance is what a swap takes beside its load, busyLeast what one that
	// takes longer than expected may still take, and busyUnknown what one does that
	// this VM did not plan.
	unloadAllowance = 400 * time.Millisecond
	busyLeast       = 200 * time.Millisecond
	busyUnknown     = time.Second
	// refusedPause is how long an engine gets no further swap after its keeper
	// refused one.
	refusedPause = 300 * time.Millisecond
	// silentPause is the same after the engine or its keeper did not answer; it
	// doubles with each time in a row up to silentMost. Failure: eight empty engines
	// that had gone dark were the cheapest places for every model, and tries on them
	// took up all loads from the store for half a minute.
	silentPause = 2 * time.Second
	silentMost  = 8 * time.Second
	// planAfter is how long a VM waits after its start before it plans: until then
	// it has not heard what others run.
	planAfter = 1200 * time.Millisecond
	// storeRateShare of the weight store's rate is what one planner uses, so that two
	// that both plan for a moment keep to the rate together.
	storeRateShare = 0.5
	// residencyEvery is the time between two log lines on what is resident.
	residencyEvery = 2 * time.Second
	// shortagesTold is how many models with waiting requests are told of at a time.
	shortagesTold = 5
	// storeBurst is how many loads from the store may begin at once.
	storeBurst = 4
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
	rests    map[string]rest
	planning bool
	// coming is what was expected at foreseenAt.
	coming     []entryvm.Arrival
	foreseenAt time.Time
	// tokens is what may still be loaded from the store now, filledAt when that was
	// worked out.
	tokens   float64
	filledAt time.Time
	// aheadAt is when loads ahead of demand were last looked for.
	aheadAt time.Time
	// toldAt is when the residency was last logged, toldVersion the configuration whose
	// pools were, toldEngines the engines that were.
	toldAt      time.Time
	toldVersion uint64
	toldEngines map[string]bool
}

// rest is how long an engine gets no swap.
type rest struct {
	until time.Time
	// silent is how long the last pause was for an engine that did not answer, 0 if it
	// did.
	silent time.Duration
}

// pendingSwap is a swap under way; until then it counts as such without news.
type pendingSwap struct {
	residency.Swap
	begun, until time.Time
}

func newPlanner(n *Node) *planner {
	return &planner{node: n, wake: make(chan struct{}, 1), store: residency.NewStoreLimit(),
		pending: make(map[string]pendingSwap), rests: make(map[string]rest), toldEngines: make(map[string]bool)}
}

func (p *planner) wakeUp() { wake(p.wake) }

// run is the duty.
func (p *planner) run(ctx context.Context) {
	timer := time.NewTimer(planEvery)
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
		if !pause.For(ctx, max(planGap, planRest*time.Since(begun))) {
			return
		}
		timer.Reset(planEvery)
	}
}

// leadsFleet tells whether this VM has the duties that one does for all.
func (n *Node) leadsFleet(now time.Time) bool {
	return !n.stopping.Load() && n.config.BootClock()-n.startedAt > planAfter && n.members.isPlanner(now)
}

// plan makes one round, if this VM is the one that plans.
func (p *planner) plan(ctx context.Context) {
	n := p.node
	now := time.Now()
	current := n.active.Load()
	leads := current != nil && n.leadsFleet(now)
	if leads != p.planning {
		p.lead(leads)
		n.config.Logger.Info("planning", zap.Bool("by_this_vm", leads), zap.Int("live_vms", n.members.liveCount(now)))
		// What a former planner took from the store's rate isn't known.
		p.tokens, p.filledAt = 0, now
	}
	if !leads {
		return
	}
	p.tellPools(current)
	var coming []entryvm.Arrival
	for i := range current.Contract.Pools {
		coming = append(coming, p.planPool(ctx, now, &current.Contract.Pools[i])...)
	}
	p.foresee(now, coming)
}

// foresee takes what is expected of the models that requests wait for.
func (p *planner) foresee(now time.Time, coming []entryvm.Arrival) {
	p.mu.Lock()
	p.coming, p.foreseenAt = coming, now
	p.mu.Unlock()
	p.node.readyEstimates.replace(now, coming)
}

// lead notes whether this VM plans.
func (p *planner) lead(leads bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.planning = leads
	p.toldVersion = 0
	clear(p.toldEngines)
}

// planPool begins the swaps of a pool, and returns when the models that requests wait for
// should be there.
func (p *planner) planPool(ctx context.Context, now time.Time, pool *contract.EnginePool) []entryvm.Arrival {
	engines := p.engines(now, pool)
	models := p.models(now, pool, engines)
	p.tellEngines(pool, engines)
	p.tellResidency(now, pool, engines, models)
	situation := residency.PlanInput{
		Now: now, Engines: engines, Models: models, InFlight: p.underWay(now, pool.Service), MaxStoreLoads: p.storeLoads(), Preload: p.looksAhead(now),
	}
	swaps := residency.Plan(situation)
	for _, swap := range swaps {
		if swap.LoadsFromStore() && !p.takeToken(now, pool) {
			continue
		}
		p.begin(now, swap)
		go p.hand(ctx, pool, swap)
	}
	var coming []entryvm.Arrival
	for _, arrival := range residency.EstimateReadyTimes(situation, swaps) {
		coming = append(coming, entryvm.Arrival{Service: pool.Service, Model: arrival.Model, In: arrival.ReadyIn})
	}
	return coming
}

// looksAhead tells whether loads ahead of demand are due to be looked for.
func (p *planner) looksAhead(now time.Time) bool {
	if now.Sub(p.aheadAt) < aheadEvery {
		return false
	}
	p.aheadAt = now
	return true
}

// takeToken keeps loads from the store to a share of its rate.
func (p *planner) takeToken(now time.Time, pool *contract.EnginePool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(storeBurst, p.tokens+now.Sub(p.filledAt).Seconds()*pool.LoadsPerSecond*storeRateShare)
	p.filledAt = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

func (p *planner) begin(now time.Time, swap residency.Swap) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending[swap.Engine] = pendingSwap{Swap: swap, begun: now, until: now.Add(swapLinger)}
	if swap.LoadsFromStore() {
		p.store.BeginLoad(now, swap.Engine, swap.LoadTime+unloadTime(swap))
	}
}

// unloadTime is what the unloads before a swap's load should take.
func unloadTime(swap residency.Swap) time.Duration {
	return time.Duration(len(swap.Unload)) * residency.UnloadTime
}

// storeLoads is how many loads from the store should run at once.
func (p *planner) storeLoads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.store.MaxLoads()
}

// told is what other VMs are told by the one that plans.
func (p *planner) told(now time.Time) (planning bool, storeLoads int, coming []entryvm.Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		return false, 0, nil
	}
	for _, c := range p.coming {
		c.In = max(0, c.In-now.Sub(p.foreseenAt))
		coming = append(coming, c)
	}
	return true, p.store.MeasuredMaxLoads(), coming
}

// learnStoreLoads takes what the VM that plans has found out of the store, so that the
// next one that plans need not begin anew.
func (p *planner) learnStoreLoads(atOnce int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.planning {
		p.store.AdoptMaxLoads(atOnce)
	}
}

// ended notes the end of a swap that was under way. Call with mu held.
func (p *planner) ended(now time.Time, engine string, b *backend) {
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

// forget drops what is planned for a start of an engine that has ended: the next one
// holds nothing and has answered nothing yet.
func (p *planner) forget(engine string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, engine)
	delete(p.rests, engine)
	delete(p.toldEngines, engine)
	p.store.DiscardLoad(time.Now(), engine)
}

// hand gives a swap to the engine's keeper.
func (p *planner) hand(ctx context.Context, pool *contract.EnginePool, swap residency.Swap) {
	n := p.node
	args := entryvm.SwapArgs{
		Engine: swap.Engine, Unload: swap.Unload, Load: swap.Load, Takes: swap.LoadTime, Reason: swap.Reason,
		Copied: swap.Load != "" && !swap.LoadsFromStore(),
	}
	reply, err := p.ask(ctx, args)
	// Load pattern: in a large fleet reports come seldom, and for a second or two the
	// planner took the engine for free: of 3,342 swaps that it planned there in a minute
	// 1,778 met the one under way, while the models that they were for had other places.
	if err == nil && reply.News != nil {
		n.backends.applyKeeperStatus(time.Now(), reply.Keeper, *reply.News)
	}
	n.config.Logger.Info("swap planned", zap.String("service", pool.Service), zap.String("engine", swap.Engine),
		zap.Strings("unload", swap.Unload), zap.String("load", swap.Load), zap.Stringer("source", swap.Source),
		zap.Duration("takes", swap.LoadTime), zap.String("purpose", swap.Reason), zap.Bool("begun", reply.Begun),
		zap.String("refused", reply.Reason), telemetry.Reason(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && reply.Begun {
		delete(p.rests, swap.Engine)
		return
	}
	delete(p.pending, swap.Engine)
	p.store.DiscardLoad(time.Now(), swap.Engine)
	next := rest{until: time.Now().Add(refusedPause)}
	if err != nil || reply.Silent {
		next.silent = min(max(silentPause, 2*p.rests[swap.Engine].silent), silentMost)
		next.until = time.Now().Add(next.silent)
	}
	p.rests[swap.Engine] = next
}

func (p *planner) ask(ctx context.Context, args entryvm.SwapArgs) (entryvm.SwapReply, error) {
	n := p.node
	b, ok := n.backends.get(args.Engine)
	if !ok {
		return entryvm.SwapReply{}, errGone
	}
	if n.keeper.keeps(b.ID) && b.Domain == n.config.Domain {
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
func (p *planner) underWay(now time.Time, service string) []residency.Swap {
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
		case b.isSwapping(), now.Before(swap.until):
			out = append(out, swap.Swap)
		default:
			p.ended(now, engine, &b)
		}
	}
	for engine := range p.rests {
		if _, ok := n.backends.get(engine); !ok {
			delete(p.rests, engine)
		}
	}
	return append(out, p.begunByOthers(service)...)
}

// begunByOthers are the swaps under way that this VM did not plan. Failure: the VM that
// planned stopped, or was cut off; the next one took none of its swaps for under way, so
// that models which were coming were loaded a second time, from a store that serves one.
// Call with mu held.
func (p *planner) begunByOthers(service string) []residency.Swap {
	var out []residency.Swap
	p.node.backends.each(service, func(b *backend) {
		if _, own := p.pending[b.ID]; own || !b.isSwapping() || b.keeperStatus.Loading == "" {
			return
		}
		swap := residency.Swap{Engine: b.ID, Load: b.keeperStatus.Loading, Source: residency.SourceDisk, LoadTime: b.keeperStatus.LoadingFor}
		if b.keeperStatus.FromStore {
			swap.Source = residency.SourceStore
		}
		out = append(out, swap)
	})
	return out
}
