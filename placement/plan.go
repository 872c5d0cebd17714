package placement

import (
	"sort"
	"time"
)

// Planner makes plans. It is not safe for concurrent use: one goroutine owns it.
type Planner struct {
	cfg       Config
	histories map[string]*history
	loads     *loadEstimates
	// proposed remembers decisions until they show in the View.
	proposed map[proposalKey]time.Time
	// avoid says until when a unit stays off an engine where its load failed.
	avoid map[proposalKey]time.Time
}

// proposalKey names a unit on an engine.
type proposalKey struct{ engine, unit string }

// NewPlanner makes a planner with no history.
func NewPlanner(cfg Config) *Planner {
	cfg = cfg.withDefaults()
	return &Planner{
		cfg:       cfg,
		histories: make(map[string]*history),
		loads:     newLoadEstimates(cfg),
		proposed:  make(map[proposalKey]time.Time),
		avoid:     make(map[proposalKey]time.Time),
	}
}

// Used notes the arrival of a request for the unit at any router.
func (p *Planner) Used(unit string, at time.Time) {
	h := p.histories[unit]
	if h == nil {
		h = &history{}
		p.histories[unit] = h
	}
	h.arrive(at)
}

// Loaded notes how long a load from the tier took.
func (p *Planner) Loaded(unit string, tier Tier, took time.Duration) {
	p.loads.add(unit, tier, took)
}

// KeepUntil is when the unit may be unloaded if no request comes after now.
func (p *Planner) KeepUntil(unit string, now time.Time) time.Time {
	h := p.histories[unit]
	if h == nil || h.last.IsZero() {
		return now.Add(p.cfg.MinKeep)
	}
	return h.last.Add(p.keepFor(unit, h))
}

func (p *Planner) keepFor(unit string, h *history) time.Duration {
	return h.keep(p.cfg, p.loads.expect(unit, TierRemote, 0))
}

// Plan returns what to propose now, most urgent first.
func (p *Planner) Plan(v View) []Decision {
	r := newRound(p, v)
	r.drain()
	r.retryFailedLoads()
	r.serveDemand()
	r.keepMinimum()
	r.letGo()
	return r.out
}

// round is the work of one Plan.
type round struct {
	p     *Planner
	v     View
	out   []Decision
	units map[string][]Unit
	// free is the memory left on each engine, by index.
	free []int64
	// held lists the places of each unit's holdings.
	held map[string][]place
	// budget is what is left of each customer's memory after this round.
	budget map[string]int64
}

// place is one holding on one engine.
type place struct {
	engine  int
	holding *Holding
}

func newRound(p *Planner, v View) *round {
	r := &round{p: p, v: v,
		units:  make(map[string][]Unit, len(v.Units)),
		free:   make([]int64, len(v.Engines)),
		held:   make(map[string][]place),
		budget: make(map[string]int64),
	}
	for _, u := range v.Units {
		r.units[u.Name] = append(r.units[u.Name], u)
	}
	for i := range v.Engines {
		e := &v.Engines[i]
		r.free[i] = e.MemoryBytes
		for j := range e.Holdings {
			h := &e.Holdings[j]
			r.free[i] -= h.Bytes
			r.held[h.Unit] = append(r.held[h.Unit], place{i, h})
			delete(p.proposed, proposalKey{e.Name, h.Unit})
		}
	}
	for k, at := range p.proposed {
		if v.Now.Sub(at) >= p.cfg.ProposalTerm {
			delete(p.proposed, k)
		}
	}
	return r
}

// serveDemand starts loads for units that requests wait for, earliest deadline
// first, then priority.
func (r *round) serveDemand() {
	demand := append([]Demand(nil), r.v.Demand...)
	sort.SliceStable(demand, func(i, j int) bool { return moreUrgent(demand[i], demand[j]) })
	done := make(map[string]bool)
	for _, d := range demand {
		if done[d.Unit] || r.onTheWay(d.Unit) {
			continue
		}
		done[d.Unit] = true
		if u, ok := r.unitOf(d.Unit, d.Customer); ok {
			r.start(u, d)
		}
	}
}

func moreUrgent(a, b Demand) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	return a.Unit < b.Unit
}

func (r *round) unitOf(unit, customer string) (Unit, bool) {
	for _, u := range r.units[unit] {
		if u.Customer == customer {
			return u, true
		}
	}
	return Unit{}, false
}

// onTheWay tells whether a replica is ready, loading or just proposed.
func (r *round) onTheWay(unit string) bool {
	for _, at := range r.held[unit] {
		e := &r.v.Engines[at.engine]
		if at.holding.Wanted && !at.holding.Withdrawn && e.Reachable && !e.Leaving {
			return true
		}
	}
	for k := range r.p.proposed {
		if k.unit == unit {
			return true
		}
	}
	return false
}

// start brings one replica of the unit up: by a standby right, by a new grant,
// or by evicting first.
func (r *round) start(u Unit, d Demand) {
	if r.wantStandby(u, d) || !r.mayGrow(u) {
		return
	}
	if i, ok := r.chooseEngine(u, d.Domain); ok {
		r.grant(i, u, true, "requests wait")
		return
	}
	r.makeRoom(u, d)
}

func (r *round) wantStandby(u Unit, d Demand) bool {
	for _, at := range r.held[u.Name] {
		e := &r.v.Engines[at.engine]
		if at.holding.Wanted || at.holding.Withdrawn || !usable(e) {
			continue
		}
		r.propose(Decision{Kind: Want, Engine: e.Name, Unit: u.Name, Customer: at.holding.Customer,
			Right: at.holding.Right, Wanted: true, Reason: "requests wait",
			ExpectReady: r.expect(at.engine, u)})
		return true
	}
	return false
}

// mayGrow tells whether the contract allows one more replica: rights that are
// withdrawn but not gone still count.
func (r *round) mayGrow(u Unit) bool {
	count := 0
	for _, at := range r.held[u.Name] {
		if at.holding.Customer == u.Customer {
			count++
		}
	}
	return count < u.MaxReplicas && r.budgetOf(u.Customer) >= u.Bytes
}

func (r *round) budgetOf(customer string) int64 {
	left, ok := r.budget[customer]
	if !ok {
		left = int64(1) << 62
		if r.v.Budget != nil {
			left = r.v.Budget(customer)
		}
		r.budget[customer] = left
	}
	return left
}

func usable(e *Engine) bool { return e.Reachable && e.Kept && !e.Leaving && !e.Sick }

func (r *round) expect(engine int, u Unit) time.Duration {
	tier, ok := r.v.Engines[engine].Cached[u.Checkpoint]
	if !ok {
		tier = TierRemote
	}
	return r.p.loads.expect(u.Name, tier, u.Bytes)
}

// chooseEngine picks the engine with room where the unit is ready soonest; own
// failure domain first among equals, then the fullest that still has room.
func (r *round) chooseEngine(u Unit, domain string) (int, bool) {
	best, found := 0, false
	for i := range r.v.Engines {
		if !r.fits(i, u) || r.free[i] < u.Bytes {
			continue
		}
		if !found || r.better(i, best, u, domain) {
			best, found = i, true
		}
	}
	return best, found
}

// fits tells whether the engine could take the unit if it had room.
func (r *round) fits(i int, u Unit) bool {
	e := &r.v.Engines[i]
	if !usable(e) || e.MemoryBytes < u.Bytes {
		return false
	}
	if until, ok := r.p.avoid[proposalKey{e.Name, u.Name}]; ok && r.v.Now.Before(until) {
		return false
	}
	base := u.Base == ""
	for j := range e.Holdings {
		if e.Holdings[j].Unit == u.Name {
			return false
		}
		if e.Holdings[j].Unit == u.Base && e.Holdings[j].Ready && !e.Holdings[j].Withdrawn {
			base = true
		}
	}
	return base
}

func (r *round) better(a, b int, u Unit, domain string) bool {
	ta, tb := r.expect(a, u), r.expect(b, u)
	if ta != tb {
		return ta < tb
	}
	ea, eb := &r.v.Engines[a], &r.v.Engines[b]
	if (ea.Domain == domain) != (eb.Domain == domain) {
		return ea.Domain == domain
	}
	return r.free[a] < r.free[b]
}

func (r *round) grant(i int, u Unit, wanted bool, reason string) {
	r.free[i] -= u.Bytes
	r.budget[u.Customer] = r.budgetOf(u.Customer) - u.Bytes
	d := Decision{Kind: Grant, Engine: r.v.Engines[i].Name, Unit: u.Name, Customer: u.Customer, Wanted: wanted, Reason: reason}
	if wanted {
		d.ExpectReady = r.expect(i, u)
	}
	r.propose(d)
}

// propose emits the decision unless the same place has one under way.
func (r *round) propose(d Decision) {
	k := proposalKey{d.Engine, d.Unit}
	if _, ok := r.p.proposed[k]; ok {
		return
	}
	r.p.proposed[k] = r.v.Now
	r.out = append(r.out, d)
}

// makeRoom withdraws idle holdings on the one engine where that costs least.
func (r *round) makeRoom(u Unit, d Demand) {
	best, cost, found := 0, 0.0, false
	var victims []place
	for i := range r.v.Engines {
		if !r.fits(i, u) {
			continue
		}
		list, c, ok := r.victims(i, u)
		if ok && (!found || c < cost) {
			best, cost, victims, found = i, c, list, true
		}
	}
	if !found {
		return
	}
	for _, at := range victims {
		r.withdraw(best, at.holding, "room for "+u.Name)
	}
}

// victims are the idle holdings to give up for the unit, longest idle first.
func (r *round) victims(i int, u Unit) ([]place, float64, bool) {
	e := &r.v.Engines[i]
	need := u.Bytes - r.free[i]
	var idle []place
	for j := range e.Holdings {
		h := &e.Holdings[j]
		if h.Withdrawn {
			need -= h.Bytes
			continue
		}
		if h.Streams == 0 && h.Unit != u.Base && r.v.Now.Sub(h.lastActive()) >= r.p.cfg.MinKeep {
			idle = append(idle, place{i, h})
		}
	}
	sort.Slice(idle, func(a, b int) bool { return idle[a].holding.LastUsed.Before(idle[b].holding.LastUsed) })
	var out []place
	cost := 0.0
	for _, at := range idle {
		if need <= 0 {
			break
		}
		need -= at.holding.Bytes
		cost += 1 / (1 + r.v.Now.Sub(at.holding.lastActive()).Seconds())
		out = append(out, at)
	}
	return out, cost, need <= 0
}

// lastActive is the newest of its last use and its getting ready.
func (h *Holding) lastActive() time.Time {
	if h.ReadySince.After(h.LastUsed) {
		return h.ReadySince
	}
	return h.LastUsed
}

func (r *round) withdraw(i int, h *Holding, reason string) {
	if h.Withdrawn {
		return
	}
	r.propose(Decision{Kind: Withdraw, Engine: r.v.Engines[i].Name, Unit: h.Unit, Customer: h.Customer, Right: h.Right, Reason: reason})
}

// drain moves units off leaving engines, with the replacement first where the
// contract allows one more.
func (r *round) drain() {
	for name, us := range r.units {
		for _, at := range r.held[name] {
			if e := &r.v.Engines[at.engine]; e.Leaving && e.Reachable {
				_ = us
				r.withdraw(at.engine, at.holding, "engine leaving")
			}
		}
	}
}

func (r *round) retryFailedLoads() {}

// keepMinimum holds MinReplicas up.
func (r *round) keepMinimum() {
	for _, u := range r.v.Units {
		count := 0
		for _, at := range r.held[u.Name] {
			if at.holding.Customer == u.Customer && at.holding.Wanted && !at.holding.Withdrawn {
				count++
			}
		}
		if count < u.MinReplicas {
			r.start(u, Demand{Unit: u.Name, Customer: u.Customer, Domain: r.v.Self})
		}
	}
}

// letGo withdraws replicas that history no longer expects to be used.
func (r *round) letGo() {
	for _, u := range r.v.Units {
		ready := 0
		for _, at := range r.held[u.Name] {
			if at.holding.Customer == u.Customer && at.holding.Wanted && !at.holding.Withdrawn {
				ready++
			}
		}
		for _, at := range r.held[u.Name] {
			h := at.holding
			if h.Customer != u.Customer || !h.Ready || h.Withdrawn || h.Streams > 0 || ready <= u.MinReplicas {
				continue
			}
			until := r.p.KeepUntil(u.Name, h.lastActive())
			if r.v.Now.Before(until) || r.v.Now.Sub(h.lastActive()) < r.p.cfg.MinKeep {
				continue
			}
			ready--
			r.withdraw(at.engine, h, "idle")
		}
	}
}
