package placement

import "time"

// Planner decides placements from successive Views. It is not safe for concurrent
// use: one goroutine owns it.
type Planner struct {
	cfg       Config
	histories map[string]*history
	// allGaps counts the gaps between arrivals of all units. It is the prior for
	// each unit's own gaps.
	allGaps gapCounts
	loads   *loadEstimates
	// units are the units that were planned for, by name.
	units map[string]Unit
	// pending are the decisions whose effect the View does not show yet.
	pending map[replicaKey]pendingDecision
	// loadingSince is when each wanted replica was first seen not ready.
	loadingSince map[replicaKey]time.Time
	// avoidUntil is until when a unit is kept off an engine where its load failed
	// or stalled.
	avoidUntil map[replicaKey]time.Time
	// reservations are, by unit, the memory that is being freed for it.
	reservations map[string]reservation
	// overprovisionedSince is since when one replica fewer of a unit would have
	// been enough.
	overprovisionedSince map[string]time.Time
	// adapterMovedAt is when an adapter was last moved to a less busy base.
	adapterMovedAt map[string]time.Time
	// stagedAt is when a unit was last loaded only to have its checkpoint cached.
	stagedAt map[string]time.Time
	// lastUpkeep is when a plan last looked at more than demand.
	lastUpkeep time.Time
	// loadStarts limits the rate at which loads from the weight store start.
	loadStarts startLimiter
}

// replicaKey identifies a unit on an engine.
type replicaKey struct{ engine, unit string }

// pendingDecision is a proposed decision whose effect the View does not show yet.
type pendingDecision struct {
	kind       DecisionKind
	proposedAt time.Time
	bytes      int64
	base       string
	// customer is the one whose right it is; wanted is whether the decision loads
	// the unit, remote whether it does so from the weight store.
	customer       string
	wanted, remote bool
}

// reservation is memory of an engine that is being freed for a unit.
type reservation struct {
	engine string
	bytes  int64
	until  time.Time
}

// reservationTTL is how long memory stays reserved for the unit that it is freed
// for. It covers the end of the victim's streams, its unload and the proof of it,
// with some margin.
const reservationTTL = 10 * time.Second

// NewPlanner returns a planner with no history.
func NewPlanner(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	return &Planner{
		cfg:                  cfg,
		histories:            make(map[string]*history),
		loads:                newLoadEstimates(cfg),
		units:                make(map[string]Unit),
		pending:              make(map[replicaKey]pendingDecision),
		loadingSince:         make(map[replicaKey]time.Time),
		avoidUntil:           make(map[replicaKey]time.Time),
		reservations:         make(map[string]reservation),
		overprovisionedSince: make(map[string]time.Time),
		adapterMovedAt:       make(map[string]time.Time),
		stagedAt:             make(map[string]time.Time),
	}
}

// RecordRequest records the arrival of a request for the unit at any router.
func (p *Planner) RecordRequest(unit string, at time.Time) {
	h := p.histories[unit]
	if h == nil {
		h = &history{}
		p.histories[unit] = h
	}
	if gap := h.recordArrival(at); gap > 0 {
		p.allGaps.add(gap)
		h.keepTimeAt = time.Time{}
	}
}

// RecordRejection records that a decision was rejected, as the state had
// changed since its View. The next plan may then decide again at once instead of
// after the ProposalTimeout.
func (p *Planner) RecordRejection(d Decision) { delete(p.pending, replicaKey{d.Engine, d.Unit}) }

// RecordLoad records how long a load of the unit from the tier took.
func (p *Planner) RecordLoad(unit string, tier Tier, took time.Duration) {
	u, ok := p.units[unit]
	if !ok {
		u.Name = unit
	}
	p.loads.add(u, tier, took)
}

// KeepUntil returns when the unit may be unloaded by its history alone, if no
// request arrives after now.
func (p *Planner) KeepUntil(unit string, now time.Time) time.Time {
	h := p.histories[unit]
	if h == nil {
		return now.Add(p.cfg.MinKeepAlive)
	}
	last := h.lastArrival
	if last.IsZero() {
		last = now
	}
	return last.Add(max(h.keepTime, p.cfg.MinKeepAlive))
}

// maxKeepTimeAge is how long a computed keep time is used although its inputs
// (load times, share of the engine's memory) change.
const maxKeepTimeAge = 5 * time.Minute

// keepTime returns how long to keep the unit loaded after its last use.
func (p *Planner) keepTime(u Unit, engineBytes int64, tier Tier, now time.Time) time.Duration {
	h := p.histories[u.Name]
	if h == nil {
		return p.cfg.MinKeepAlive
	}
	if !h.keepTimeAt.IsZero() && now.Sub(h.keepTimeAt) < maxKeepTimeAge {
		return h.keepTime
	}
	cold := p.cfg.coldStartCost(p.loads.expectedTime(u, tier))
	idle := p.cfg.idleCost(float64(u.Bytes) / float64(max(engineBytes, 1)))
	keep := h.gaps.bestKeepTime(cold, idle, &p.allGaps)
	h.keepTime = min(max(keep, p.cfg.MinKeepAlive), p.cfg.MaxKeepAlive)
	h.keepTimeAt = now
	return h.keepTime
}

// Plan returns the decisions to propose now, most urgent first. It serves demand
// on every call. The other steps look at each replica of the planner's units and
// run at most once per UpkeepInterval, as a model may have a replica on thousands
// of engines.
func (p *Planner) Plan(v View) []Decision {
	r := newRound(p, v)
	r.expirePending()
	due := v.Now.Sub(p.lastUpkeep) >= p.cfg.UpkeepInterval
	if !due {
		r.serveDemand()
		return r.decisions
	}
	p.lastUpkeep = v.Now
	r.findHeldUnits()
	r.withdrawFailedLoads()
	r.drainEngines()
	r.serveDemand()
	r.scaleUp()
	r.meetContracts()
	r.replaceOutdated()
	r.preload()
	r.stage()
	r.scaleDown()
	r.releaseIdle()
	return r.decisions
}
