package routing

import "time"

const (
	// reserveFew slots of a pool are kept from customers above their fair share.
	// Others then need not wait for a request of a burst to end. It is the slots
	// that others may want before the next one comes free, so it hardly grows
	// with the pool: in the model of admission's fairness test 5 of 32, 64 and
	// 128 slots sufficed and 4 did not.
	reserveFew = 6
	// reserveShare is kept of large pools, where routers with late reports pass
	// the bound together.
	reserveShare = 1.0 / 16
	// reserveMost is the most that is kept of small pools: more would cost the
	// customer with the burst too much. There the others pay a part of the wait.
	reserveMost = 1.0 / 4

	// otherDomainCost is how much busier, as a part of its slots, an engine in
	// the own failure domain may be than one outside it. The hop is half a
	// millisecond; it is the domain's cut that makes the own one better.
	otherDomainCost = 0.4
	// prefixWorth is how much busier an engine may be that has the whole prompt
	// cached. A full hit saves the prefill, about what half a batch adds.
	prefixWorth = 0.5
	// failureCost is how much busier, as a part of its slots, an engine may be than one
	// that fails all its requests: one that fails a third of them gets some only when
	// the others are nearly full.
	failureCost = 3
	// choices is how many engines are drawn at random in each of both groups.
	// Two: the better of two keeps the fullest engine near the mean, while with
	// all compared, every router would take the same one by its late report.
	choices = 2
)

// view is a candidate that can take the request, with what the choice needs.
type view struct {
	candidate *Candidate
	state     *engineState // nil: never met
	free      int
	own       bool
	blocks    int
	weight    float64 // of a draw
}

// Pick chooses an engine with a free slot; false if there is none.
//
// It weighs two engines drawn from the own failure domain, two from the others
// those known to have the prompt's prefix and those it has a permit for, by load,
// slowness, domain and cached part.
func (r *Router) Pick(now time.Time, q Query, candidates []Candidate) (Choice, bool) {
	if !r.look(now, q, candidates) {
		return Choice{}, false
	}
	r.markHolders(q)
	if r.newsIsOld() {
		if v := r.permitted(); v != nil {
			return choice(v), true
		}
		return choice(r.spread(now, q)), true
	}
	best, bestScore := -1, 0.0
	consider := func(i int) {
		if i < 0 {
			return
		}
		score := r.score(now, q, &r.views[i])
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	own, other := r.draw()
	for i := range choices {
		consider(own[i])
		consider(other[i])
	}
	for i := range r.views {
		if r.views[i].blocks > 0 || r.views[i].candidate.PermitRequired {
			consider(i) // a permit lapses unless it is used
		}
	}
	return choice(&r.views[best]), true
}

// permitted is a view that this VM has a permit for, nil if there is none. In a large fleet
// permits are few and lapse before a draw would find them.
func (r *Router) permitted() *view {
	for i := range r.views {
		if r.views[i].candidate.PermitRequired {
			return &r.views[i]
		}
	}
	return nil
}

// Available tells whether Pick would find an engine.
func (r *Router) CanPick(now time.Time, q Query, candidates []Candidate) bool {
	return r.look(now, q, candidates)
}

// Reserve is how many of a pool's slots are kept from customers above their fair
// share.
func PoolReserve(slots int) int {
	return int(min(max(reserveFew, reserveShare*float64(slots)), reserveMost*float64(slots)))
}

// ReserveOn is an engine's part of the reserve of a pool. It is kept on each
// engine: an adapter has one or two, and finds both full where a burst's own
// adapters sit beside it, however many slots the rest of the pool has free.
func EngineReserve(engineSlots, poolSlots int) int {
	if poolSlots <= 0 {
		return 0
	}
	return (PoolReserve(poolSlots)*engineSlots + poolSlots - 1) / poolSlots
}

// look collects the candidates that can take the request; false if there are
// none, or only the reserve is left.
//
// With all ready engines ejected, the breakers are ignored: all at once is more
// likely the network's or the requests' fault, and refusing all is worse.
func (r *Router) look(now time.Time, q Query, candidates []Candidate) bool {
	trusted := r.collect(now, q, candidates, false)
	if trusted == 0 {
		r.collect(now, q, candidates, true)
	}
	if len(r.views) == 0 {
		return false
	}
	if !q.Surplus {
		return true
	}
	return r.keepReserve(q, candidates)
}

// keepReserve drops the engines on which only the reserve is left; false if no
// other is.
func (r *Router) keepReserve(q Query, candidates []Candidate) bool {
	slots := 0
	for i := range candidates {
		if usable(q, &candidates[i]) {
			slots += candidates[i].Slots
		}
	}
	kept := r.views[:0]
	for _, v := range r.views {
		if v.free > EngineReserve(v.candidate.Slots, slots) {
			kept = append(kept, v)
		}
	}
	r.views = kept
	return len(kept) > 0
}

func usable(q Query, c *Candidate) bool {
	return c.Ready && !c.Leaving && c.Role != roleDecode && !q.Exclude[c.Engine]
}

// collect fills views with usable candidates that have a free slot, and returns
// how many are trusted, with a free slot or without.
func (r *Router) collect(now time.Time, q Query, candidates []Candidate, ejected bool) int {
	r.views = r.views[:0]
	trusted := 0
	for i := range candidates {
		c := &candidates[i]
		if !usable(q, c) {
			continue
		}
		e := r.engines[c.Engine]
		if !ejected && !r.trusts(now, e) {
			continue
		}
		trusted++
		if free := r.freeSlots(now, q.Pool, e, c); free > 0 {
			r.views = append(r.views, view{candidate: c, state: e, free: free, own: c.Domain == q.Domain})
		}
	}
	return trusted
}

// trusts tells whether an engine may get a request: its breaker lets one pass,
// and it is not silent.
func (r *Router) trusts(now time.Time, e *engineState) bool {
	return e == nil || (e.breaker.admits(now) && !r.silent(now, e))
}

// silent tells whether an engine with requests in flight brings no first token.
// A hung engine fails its requests only at their longest wait; until then it
// would look fast and draw more.
func (r *Router) silent(now time.Time, e *engineState) bool {
	const fewest = 2 // a single one may just be long
	if !r.tokensTold || e.awaiting < fewest {
		return false
	}
	bound := silentLeast
	if p := r.latency[e.pool]; p != nil {
		bound = max(bound, time.Duration(silentRatio*p.median*float64(time.Second)))
	}
	return now.Sub(e.silentSince) > bound
}

// Free is how many of the engine's slots this entry VM may use now. Where the
// engine's breaker is open there are none, where it is half-open one.
func (r *Router) FreeSlots(now time.Time, c Candidate) int {
	e := r.engines[c.Engine]
	if !r.trusts(now, e) {
		return 0
	}
	free := r.freeSlots(now, "", e, &c)
	if e != nil && e.breaker.open {
		free = min(free, 1)
	}
	return free
}

// freeSlots takes the report, late as it is, and adds what this VM has started
// less what it has seen end since. It is at least what this VM and, by their
// digests, the others have in flight.
func (r *Router) freeSlots(now time.Time, pool string, e *engineState, c *Candidate) int {
	if c.PermitRequired && c.Permits <= 0 {
		return 0
	}
	own := 0
	if e != nil {
		own = e.inFlight
		if e.rest.closed(now) {
			return 0
		}
		if now.Sub(e.refusedAt) < busyPause && !c.LoadReportedAt.After(e.refusedAt) {
			return 0
		}
	}
	busy := own + c.PeersInFlight
	if c.LoadKnown {
		since := 0
		if e != nil {
			since = own - e.history.at(c.LoadReportedAt)
		}
		busy = max(busy, c.Running+c.Queued+since)
	}
	return max(0, c.Slots+r.turnover(pool, c)-busy)
}

// markHolders notes how much of the prompt each view's engine has cached.
func (r *Router) markHolders(q Query) {
	if len(q.Prefixes) == 0 {
		return
	}
	var common int
	r.found, common = r.prefixes.holders(q.Prefixes, r.found[:0])
	if len(r.found) == 0 {
		return
	}
	for i := range r.views {
		v := &r.views[i]
		if v.state != nil {
			v.blocks = max(0, blocksOf(r.found, v.state.id)-common)
		}
	}
}

// draw picks the views to weigh: choices of the own domain, choices of others.
func (r *Router) draw() (own, other [choices]int) {
	for i := range choices {
		own[i], other[i] = -1, -1
	}
	var seenOwn, seenOther int
	for i := range r.views {
		if r.views[i].own {
			r.keep(&own, i, &seenOwn)
		} else {
			r.keep(&other, i, &seenOther)
		}
	}
	return own, other
}

// keep is reservoir sampling: each of the views seen is kept with equal chance.
func (r *Router) keep(kept *[choices]int, i int, seen *int) {
	*seen++
	if *seen <= choices {
		kept[*seen-1] = i
		return
	}
	if at := r.rng.Intn(*seen); at < choices {
		kept[at] = i
	}
}

// score is what an engine costs a request, in parts of its slots; lower is
// better.
func (r *Router) score(now time.Time, q Query, v *view) float64 {
	load := 1 - float64(v.free-1)/float64(v.candidate.Slots)
	score := load * r.latency[q.Pool].slowness(now, v.candidate.Engine)
	if !v.own {
		score += otherDomainCost
	}
	if v.state != nil {
		score += failureCost * v.state.reliability.failures(now)
	}
	if v.blocks > 0 {
		score -= prefixWorth * float64(v.blocks) / float64(len(q.Prefixes))
	}
	return score
}

func choice(v *view) Choice {
	reason := "other domain"
	switch {
	case v.state != nil && v.state.breaker.open:
		reason = "probe"
	case v.blocks > 0:
		reason = "prefix"
	case v.own:
		reason = "own domain"
	}
	return Choice{Engine: v.candidate.Engine, Reason: reason}
}
