// Package planner runs the placement policy for the units that this entry VM
// plans: it builds the View from the fold, the fleet and the digests, and turns
// decisions into proposals.
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
	// planEvery bounds how long a change waits for the next plan when nothing
	// wakes the planner. Demand, news of an engine and of the fold wake it; what is
	// left is time passing, as for a replica that has been idle long enough.
	planInterval = time.Second
	// planPause bounds how often the planner runs however often it is woken.
	minPlanInterval = 20 * time.Millisecond
	// proposeTimeout bounds one proposal; a decision still wanted is made again.
	proposeTimeout = 5 * time.Second
	// proposalsAtOnce bounds the proposals under way.
	maxProposalsInFlight = 64
)

// Control is what the planner uses of the control stream.
type Control interface {
	View(func(*state.State))
	Propose(context.Context, state.Proposal) (state.Outcome, error)
}

// Config is what a Planner needs.
type Config struct {
	Domain  string
	Control Control
	Policy  *placement.Planner
	Logger  *zap.Logger
	// Changes are the engines of which there is news since it was last asked, at
	// first all; Engine is one as last seen, false if it is gone.
	ChangedEngines func() []string
	LookupEngine   func(address string) (fleet.Engine, bool)
	// Demand is what waits at all live entry VMs, by unit.
	Demand func() []placement.Demand
	// Share is what this VM plans, by the entry VMs that are live now. It is asked
	// once a plan.
	Share func() Share
	// Running is how many requests run on each engine that has any, over all entry
	// VMs. The planner keeps the map.
	RunningRequests func() map[string]int
	// Sick are the engines that this VM's router keeps away from.
	UnavailableEngines func() map[string]bool
	// Store is how busy the weight store can be.
	StoreStatus func() placement.StoreStatus
	// HandOver tells another VM what was learned of units, without waiting.
	SendHistories func(vm string, histories []placement.History)
	// Expect is told when a unit that requests wait for should be ready.
	SetReadyTime func(unit string, at time.Time)
}

// Share is which units this VM plans.
type Share struct {
	// Version changes whenever the units that Mine names may have changed.
	Version uint64
	// Live changes whenever an entry VM comes or goes.
	LiveVersion uint64
	// Mine tells whether this VM plans the unit, Planner which VM does, and Next
	// which one will once that is gone; "" if there is none.
	OwnsUnit                 func(unit string) bool
	PlannerOf, NextPlannerOf func(unit string) string
}

// Planner is the duty. Its methods may be called from any goroutine.
type Planner struct {
	config Config
	wake   chan struct{}

	mu       sync.Mutex
	policy   *placement.Planner
	lastUsed map[string]time.Time
	// busy is when a long request for a unit was last heard to run.
	lastRunning map[string]time.Time
	loads       loadTracker
	// refused holds when the fold last turned down a decision for a place.
	rejected map[holdingKey]time.Time
	// mine tells whether this VM plans a unit, in the plan under way.
	ownsUnit func(unit string) bool
	// used are the units used since the cache was last told, with whether the
	// next plan must know.
	usedUnits map[string]bool
	handover  handoverState
	// taught are the units of which another planner told the history.
	importedUnits map[string]bool
	// stages are those of the rights on the engines of the cache.
	stages map[holdingKey]stageEntry
	// cache belongs to the goroutine that plans.
	cache *cache
}

type holdingKey struct{ engine, unit string }

// New makes a planner; Run must be started for it to work.
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
		stages:        make(map[holdingKey]stageEntry),
	}
}

// Wake has a plan made soon.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Used notes a request for a unit at any entry VM. Repeated news of the same
// request has no effect.
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

// Busy notes that requests for these units, which came a while ago, still ran at
// some entry VM at that time.
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
			p.usedUnits[unit] = false // looked at with the next reading of use
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

// decided is a decision with the keeper it was made under.
type plannedDecision struct {
	placement.Decision
	keeper state.Revision
	// ready is the time until the unit is ready, if tell.
	readyIn       time.Duration
	announceReady bool
}

// plan makes one plan and remembers the keepers that it rests on.
func (p *Planner) plan(now time.Time) []plannedDecision {
	// Everything that takes another lock is asked before the fold is read: the
	// queue holds its lock while it reads the fold.
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

// refusedOnce is how long after a refusal another one for the same place waits
// out the policy's term. Without it, a plan that rests on a stale cache would
// be proposed and refused many times a second, at the cost of the log's appends.
const rejectionRetryInterval = 3 * time.Second

// decideAgain has the policy plan anew at once after the fold turned a decision
// down, as when two planners chose the same engine's last room.
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
