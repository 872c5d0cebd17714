// Package planner runs the placement policy for the units that this entry VM plans.
// It builds the placement.View from the control state, the fleet and the digests of
// other VMs, and turns decisions into proposals.
package planner

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/fleet"
	"bergamotreel/internal/pause"
	"bergamotreel/placement"
	"bergamotreel/state"
)

const (
	// planInterval bounds how long a change waits for the next plan when nothing
	// wakes the planner. Demand, engine updates and applied records wake it; what
	// remains depends on time alone, such as a replica that has been idle long
	// enough.
	planInterval = time.Second
	// minPlanInterval is the minimum pause between two plans, however often the
	// planner is woken.
	minPlanInterval = 20 * time.Millisecond
	// proposeTimeout bounds one proposal; a decision that is still wanted is made
	// again.
	proposeTimeout = 5 * time.Second
	// maxProposalsInFlight bounds the concurrent proposals.
	maxProposalsInFlight = 64
)

// Control is the part of the control stream that the planner uses.
type Control interface {
	View(func(*state.State))
	Propose(context.Context, state.Proposal) (state.Outcome, error)
}

// Config holds the dependencies of a Planner.
type Config struct {
	Domain  string
	Control Control
	Policy  *placement.Planner
	Logger  *zap.Logger
	// ChangedEngines returns the engines that changed since the previous call; the
	// first call returns all. LookupEngine returns an engine as last seen, and
	// false if it is gone.
	ChangedEngines func() []string
	LookupEngine   func(address string) (fleet.Engine, bool)
	// Demand returns the requests that wait at all live entry VMs, by unit.
	Demand func() []placement.Demand
	// Share returns the units that this VM plans, given the entry VMs that are live
	// now. It is called once per plan.
	Share func() Share
	// RunningRequests returns the number of running requests on each engine that
	// has any, over all entry VMs. The planner keeps the map.
	RunningRequests func() map[string]int
	// UnavailableEngines returns the engines that this VM's router avoids.
	UnavailableEngines func() map[string]bool
	// StoreStatus returns the load limits of the weight store.
	StoreStatus func() placement.StoreStatus
	// SendHistories sends unit histories to another VM without blocking.
	SendHistories func(vm string, histories []placement.History)
	// SetReadyTime is called with the time at which a unit that requests wait for
	// should be ready.
	SetReadyTime func(unit string, at time.Time)
}

// Share describes which units this VM plans.
type Share struct {
	// Version changes whenever the results of OwnsUnit may have changed.
	Version uint64
	// LiveVersion changes whenever an entry VM joins or leaves the live VMs.
	LiveVersion uint64
	// OwnsUnit reports whether this VM plans the unit. PlannerOf returns the VM
	// that plans it, and NextPlannerOf the VM that takes over when that one is
	// gone; both return "" if there is none.
	OwnsUnit                 func(unit string) bool
	PlannerOf, NextPlannerOf func(unit string) string
}

// Planner plans the placement of this VM's units and proposes its decisions. Its
// methods are safe for concurrent use.
type Planner struct {
	config Config
	wake   chan struct{}

	mu       sync.Mutex
	policy   *placement.Planner
	lastUsed map[string]time.Time
	// lastRunning is when a long request for a unit was last reported as running.
	lastRunning map[string]time.Time
	loads       loadTracker
	// rejected holds when the control state last rejected a decision for a holding.
	rejected map[holdingKey]time.Time
	// ownsUnit is Share.OwnsUnit of the plan in progress.
	ownsUnit func(unit string) bool
	// usedUnits are the units used since the cache was last updated. The value is
	// true if the next plan must include the use, and false if it can wait for the
	// next usage reading.
	usedUnits map[string]bool
	handover  handoverState
	// importedUnits are the units whose history another planner sent.
	importedUnits map[string]bool
	// phases holds the phase of each right on the cached engines.
	phases map[holdingKey]phaseEntry
	// cache belongs to the planning goroutine.
	cache *cache
}

// holdingKey identifies a unit on an engine.
type holdingKey struct{ engine, unit string }

// New returns a planner. It makes no plans until Run is called.
func New(config Config) *Planner {
	return &Planner{
		config: config, policy: config.Policy,
		wake:          make(chan struct{}, 1),
		lastUsed:      make(map[string]time.Time),
		loads:         newLoadTracker(),
		rejected:      make(map[holdingKey]time.Time),
		usedUnits:     make(map[string]bool),
		lastRunning:   make(map[string]time.Time),
		cache:         newCache(),
		importedUnits: make(map[string]bool),
		phases:        make(map[holdingKey]phaseEntry),
	}
}

// Wake triggers a plan without waiting for the next interval.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// RecordRequest records a request for a unit at any entry VM. Repeated reports of
// the same request have no effect.
func (p *Planner) RecordRequest(unit string, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !at.After(p.lastUsed[unit]) {
		return
	}
	p.usedUnits[unit] = p.usedUnits[unit] || at.Sub(p.lastUsed[unit]) >= usageInterval
	p.lastUsed[unit] = at
	p.policy.RecordRequest(unit, at)
}

// RecordRunning records that requests for these units, which arrived some time ago,
// were still running at some entry VM at the given time.
func (p *Planner) RecordRunning(units []string, at time.Time) {
	if len(units) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, unit := range units {
		if !at.After(p.lastRunning[unit]) {
			continue
		}
		p.lastRunning[unit] = at
		if _, noted := p.usedUnits[unit]; !noted {
			p.usedUnits[unit] = false // applied with the next usage reading
		}
	}
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxProposalsInFlight)
	var group sync.WaitGroup
	defer group.Wait()
	for {
		for _, decision := range p.plan(time.Now()) {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			group.Go(func() {
				defer func() { <-slots }()
				p.propose(ctx, decision)
			})
		}
		if !pause.For(ctx, minPlanInterval) {
			return
		}
		select {
		case <-p.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// plannedDecision is a decision with the revision of the keeper it was made under.
type plannedDecision struct {
	placement.Decision
	keeper state.Revision
	// readyIn is the estimated time until the unit is ready, set if announceReady.
	readyIn       time.Duration
	announceReady bool
}

// plan makes one plan and returns its decisions with the keepers they depend on.
func (p *Planner) plan(now time.Time) []plannedDecision {
	// Everything that takes another lock is read before the control state: the
	// request queue holds its lock while it reads the control state.
	in := p.collectUpdates(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer func() { p.sendHistories(p.collectHistories(now, in.share)) }()
	p.ownsUnit = in.share.OwnsUnit
	var planned []plannedDecision
	p.config.Control.View(func(s *state.State) {
		for _, decision := range p.policy.Plan(p.buildView(s, in)) {
			if e := s.Engines[decision.Engine]; e != nil {
				planned = append(planned, p.newPlannedDecision(s, e.Keeper, decision))
			}
		}
	})
	for _, d := range planned {
		if d.announceReady {
			p.config.SetReadyTime(d.Unit, now.Add(d.readyIn))
		}
	}
	return planned
}

func (p *Planner) newPlannedDecision(s *state.State, keeper state.Revision, d placement.Decision) plannedDecision {
	out := plannedDecision{Decision: d, keeper: keeper}
	cached := p.cache.engines[d.Engine]
	unit, ok := lookupUnit(s, d.Customer, d.Unit)
	if cached == nil || !ok {
		return out
	}
	readyIn, announce := p.loads.estimate(tierOf(cached.Engine, unit.Checkpoint), unit.Bytes, d.TimeToReady)
	out.readyIn, out.announceReady = readyIn, announce && readyIn > 0
	return out
}

func (p *Planner) propose(ctx context.Context, d plannedDecision) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcome, err := p.config.Control.Propose(ctx, proposal(d))
	p.config.Logger.Info("decided", zap.String("kind", string(d.Kind)), zap.String("unit", d.Unit),
		zap.String("engine", d.Engine), zap.String("reason", d.Reason),
		zap.String("verdict", string(outcome.Verdict)), zap.String("why", outcome.Reason), zap.Error(err))
	if err == nil && outcome.Verdict != state.VerdictApplied {
		p.recordRejection(time.Now(), d.Decision)
	}
}

// rejectionRetryInterval is how long after a rejection another rejection for the
// same holding waits for the policy's proposal timeout instead of being retried
// immediately. Otherwise a plan based on a stale cache would be proposed and
// rejected many times a second, at the cost of the log's appends.
const rejectionRetryInterval = 3 * time.Second

// recordRejection makes the policy plan again immediately after a decision was
// rejected, for example when two planners chose the last free memory of the same
// engine.
func (p *Planner) recordRejection(now time.Time, d placement.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.rejected, func(_ holdingKey, at time.Time) bool { return now.Sub(at) >= rejectionRetryInterval })
	key := holdingKey{engine: d.Engine, unit: d.Unit}
	if _, recent := p.rejected[key]; recent {
		return
	}
	p.rejected[key] = now
	p.policy.RecordRejection(d)
	p.Wake()
}

func proposal(d plannedDecision) state.Proposal {
	switch d.Kind {
	case placement.Grant:
		return state.Proposal{Grant: &state.Grant{
			Engine: d.Engine, Keeper: d.keeper, Customer: d.Customer, Unit: d.Unit, Wanted: d.Wanted,
		}}
	case placement.Withdraw:
		return state.Proposal{Withdraw: &state.Withdraw{
			Engine: d.Engine, Keeper: d.keeper, Unit: d.Unit, Right: state.Revision(d.Right),
		}}
	default:
		return state.Proposal{SetWanted: &state.SetWanted{
			Engine: d.Engine, Keeper: d.keeper, Unit: d.Unit, Right: state.Revision(d.Right),
			Wanted: d.Kind == placement.Want,
		}}
	}
}
