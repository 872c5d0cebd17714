package hosted

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/contract"
	"bergamotreel/entryvm"
	"bergamotreel/internal/pause"
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
