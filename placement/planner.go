package placement

import "time"

// Planner makes plans. It is not safe for concurrent use: one goroutine owns it.
type Planner struct {
	cfg       Config
	histories map[string]*history
	// all is the habits of all units, the prior of a unit's own.
	all   gapCounts
	loads *loadEstimates
	// units are those planned for lately, by name.
	units map[string]Unit
	// pending are decisions that do not show in the View yet.
	pending map[placeKey]pending
	// loading is when each wanted replica was first seen not ready.
	loading map[placeKey]time.Time
	// avoid says until when a unit stays off an engine where its load failed.
	avoid map[placeKey]time.Time
	// room is the engine on which room is being made for a unit.
	room map[string]reservation
	// quiet is since when fewer replicas of a unit would have been enough.
	quiet map[string]time.Time
	// moved is when an adapter was last moved to a less busy base.
	moved map[string]time.Time
	// staged is when a unit's checkpoint was last loaded only to be cached.
	staged map[string]time.Time
	// upkeepAt is when a plan last looked at more than demand.
	upkeepAt time.Time
	// starts limits starts of loads from the weight store.
	starts startLimit
}

// placeKey names a unit on an engine.
type placeKey struct{ engine, unit string }

// pending is a decision under way.
type pending struct {
	kind  DecisionKind
	at    time.Time
	bytes int64
	base  string
	// customer is whose replica a grant is; wanted whether it loads now, remote
	// whether from the weight store.
	customer       string
	wanted, remote bool
}

// reservation is room that is being made on an engine for a unit.
type reservation struct {
	engine string
	bytes  int64
	until  time.Time
}

// roomTerm is how long freed room is kept for the unit it was made for: an
// unload, its streams' end and its proof, with some to spare.
const roomTerm = 10 * time.Second

// NewPlanner makes a planner with no history.
func NewPlanner(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	return &Planner{
		cfg:       cfg,
		histories: make(map[string]*history),
		loads:     newLoadEstimates(cfg),
		units:     make(map[string]Unit),
		pending:   make(map[placeKey]pending),
		loading:   make(map[placeKey]time.Time),
		avoid:     make(map[placeKey]time.Time),
		room:      make(map[string]reservation),
		quiet:     make(map[string]time.Time),
		moved:     make(map[string]time.Time),
		staged:    make(map[string]time.Time),
	}
}

// RecordRequest notes the arrival of a request for the unit at any router.
func (p *Planner) RecordRequest(unit string, at time.Time) {
	h := p.histories[unit]
	if h == nil {
		h = &history{}
		p.histories[unit] = h
	}
	if gap := h.arrive(at); gap > 0 {
		p.all.add(gap)
		h.keepAt = time.Time{}
	}
}

// RecordRejection notes that a decision came to nothing: what the plan rested on had
// changed where it landed. The next plan may decide anew at once, and not only
// after the ProposalTimeout.
func (p *Planner) RecordRejection(d Decision) { delete(p.pending, placeKey{d.Engine, d.Unit}) }

// RecordLoad notes how long a load from the tier took.
func (p *Planner) RecordLoad(unit string, tier Tier, took time.Duration) {
	u, ok := p.units[unit]
	if !ok {
		u.Name = unit
	}
	p.loads.add(u, tier, took)
}

// KeepUntil is when the unit may be unloaded if no request comes after now,
// by its history alone.
func (p *Planner) KeepUntil(unit string, now time.Time) time.Time {
	h := p.histories[unit]
	if h == nil {
		return now.Add(p.cfg.MinKeepAlive)
	}
	last := h.last
	if last.IsZero() {
		last = now
	}
	return last.Add(max(h.keep, p.cfg.MinKeepAlive))
}

// keepRefresh bounds how long a worked-out keep time stands while the prices
// (load times, share of an engine) move.
const keepRefresh = 5 * time.Minute

// keepTime is how long to keep the unit after its last use.
func (p *Planner) keepTime(u Unit, engineBytes int64, tier Tier, now time.Time) time.Duration {
	h := p.histories[u.Name]
	if h == nil {
		return p.cfg.MinKeepAlive
	}
	if !h.keepAt.IsZero() && now.Sub(h.keepAt) < keepRefresh {
		return h.keep
	}
	cold := p.cfg.coldCost(p.loads.expect(u, tier))
	idle := p.cfg.idleCost(float64(u.Bytes) / float64(max(engineBytes, 1)))
	keep := h.gaps.bestKeep(cold, idle, &p.all)
	h.keep = min(max(keep, p.cfg.MinKeepAlive), p.cfg.MaxKeepAlive)
	h.keepAt = now
	return h.keep
}

// Plan returns what to propose now, most urgent first. Demand is served on every
// call; the rest, which looks at each replica of the planner's units, at most
// every UpkeepInterval: a model may have a replica on thousands of engines.
func (p *Planner) Plan(v View) []Decision {
	r := newRound(p, v)
	r.settlePending()
	due := v.Now.Sub(p.upkeepAt) >= p.cfg.UpkeepInterval
	if !due {
		r.serveDemand()
		return r.out
	}
	p.upkeepAt = v.Now
	r.findPlaced()
	r.watchLoads()
	r.drain()
	r.serveDemand()
	r.scaleUp()
	r.holdContract()
	r.renew()
	r.preload()
	r.stage()
	r.scaleDown()
	r.letGo()
	return r.out
}
