package routing

import "time"

const (
	// minReserveSlots is the number of slots of a pool that are reserved for
	// customers within their fair share, so that they need not wait for a request
	// of another customer's burst to end. It covers the requests that may arrive
	// before the next slot becomes free, so it hardly grows with the pool: in the
	// model of admission's fairness test, 5 slots suffice and 4 do not in pools
	// of 32, 64 and 128 slots.
	minReserveSlots = 6
	// reserveShare is the reserved share of a large pool, where many routers with
	// late reports exceed the bound together.
	reserveShare = 1.0 / 16
	// maxReserveShare bounds the reserve of a small pool. A larger one would cost
	// the customer with the burst too much; with this bound, the others bear a part
	// of the wait.
	maxReserveShare = 1.0 / 4

	// otherDomainCost is the cost of an engine outside the VM's own failure domain:
	// an engine in the own domain is preferred unless it is busier by more than this
	// share of its slots. The extra network hop takes only half a millisecond; the
	// reason for the cost is that the other domain may be partitioned.
	otherDomainCost = 0.4
	// indirectCost is the cost of an engine that is reached through another entry VM, which
	// has to forward each byte beside its own load.
	indirectCost = 0.4
	// prefixBonus is by how large a share of its slots an engine with the whole
	// prompt cached may be busier than others. A full hit saves the prefill, about
	// the delay that half a batch adds.
	prefixBonus = 0.5
	// failureCost is the cost, as a share of its slots, of an engine that fails all its
	// requests. An engine that fails a third of them gets requests only when the others
	// are nearly full.
	failureCost = 3
	// choicesPerGroup is how many engines are drawn at random from the VM's own
	// failure domain, and how many from the others. Comparing two (power of two
	// choices) keeps the load of the fullest engine near the mean. If routers compared
	// all engines, they would all choose the same one by its late report.
	choicesPerGroup = 2
)

// eligibleEngine is a candidate that can take the request, with the inputs of the
// choice.
type eligibleEngine struct {
	candidate    *Candidate
	engine       *engineState // nil if the router has no state of the engine
	freeSlots    int
	sameDomain   bool
	cachedBlocks int
	drawWeight   float64 // see Router.drawWeight
}

// Pick chooses an engine with a free slot. It returns false if there is none.
//
// It compares two engines drawn from the VM's own failure domain, two from the others,
// those known to have the prompt's prefix cached and those it has a permit for, by
// load, slowness, failure rate, domain and cached share of the prompt. If the
// counts of other VMs' requests are outdated, it takes an engine it has a permit
// for, or draws one by weight.
func (r *Router) Pick(now time.Time, q Query, candidates []Candidate) (Choice, bool) {
	if !r.findEligible(now, q, candidates) {
		return Choice{}, false
	}
	r.setCachedBlocks(q)
	if r.hasOutdatedCounts() {
		if v := r.findPermitted(); v != nil {
			return newChoice(v), true
		}
		return newChoice(r.drawWeighted(now, q)), true
	}
	best, bestCost := -1, 0.0
	consider := func(i int) {
		if i < 0 {
			return
		}
		cost := r.cost(now, q, &r.eligible[i])
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	own, other := r.drawCandidates()
	for i := range choicesPerGroup {
		consider(own[i])
		consider(other[i])
	}
	for i := range r.eligible {
		if r.eligible[i].cachedBlocks > 0 || r.eligible[i].candidate.PermitRequired {
			consider(i) // an unused permit expires
		}
	}
	return newChoice(&r.eligible[best]), true
}

// findPermitted returns an eligible engine that this VM has a permit for, or nil. In a large
// fleet, permits are few and would expire before a random draw hits them.
func (r *Router) findPermitted() *eligibleEngine {
	for i := range r.eligible {
		if r.eligible[i].candidate.PermitRequired {
			return &r.eligible[i]
		}
	}
	return nil
}

// CanPick reports whether Pick would find an engine.
func (r *Router) CanPick(now time.Time, q Query, candidates []Candidate) bool {
	return r.findEligible(now, q, candidates)
}

// PoolReserve returns how many of a pool's slots are reserved for customers within
// their fair share.
func PoolReserve(slots int) int {
	return int(min(max(minReserveSlots, reserveShare*float64(slots)), maxReserveShare*float64(slots)))
}

// EngineReserve returns an engine's part of its pool's reserve. Each engine keeps
// a part because an adapter is loaded on one or two engines only: both would be
// full if a burst used other adapters on them, however many slots are free in the
// rest of the pool.
func EngineReserve(engineSlots, poolSlots int) int {
	if poolSlots <= 0 {
		return 0
	}
	return (PoolReserve(poolSlots)*engineSlots + poolSlots - 1) / poolSlots
}

// findEligible fills r.eligible with the candidates that can take the request. It
// returns false if there are none or only the reserve is left.
//
// If all ready engines are ejected, it ignores the breakers: the cause is then
// more likely the network or the requests, and refusing all requests is worse.
func (r *Router) findEligible(now time.Time, q Query, candidates []Candidate) bool {
	trusted := r.collectEligible(now, q, candidates, false)
	if trusted == 0 {
		r.collectEligible(now, q, candidates, true)
	}
	if len(r.eligible) == 0 {
		r.collectShare(now, q, candidates)
	}
	if len(r.eligible) == 0 {
		return false
	}
	if !q.OverFairShare {
		return true
	}
	return r.withholdReserve(q, candidates)
}

// withholdReserve drops the engines on which only the reserve is free. It returns
// false if no engine is left.
func (r *Router) withholdReserve(q Query, candidates []Candidate) bool {
	slots := 0
	for i := range candidates {
		if isUsable(q, &candidates[i]) {
			slots += candidates[i].Slots
		}
	}
	kept := r.eligible[:0]
	for _, v := range r.eligible {
		if v.freeSlots > EngineReserve(v.candidate.Slots, slots) {
			kept = append(kept, v)
		}
	}
	r.eligible = kept
	return len(kept) > 0
}

func isUsable(q Query, c *Candidate) bool {
	return c.Ready && !c.Leaving && c.Role != roleDecode && !q.Exclude[c.Engine]
}

// collectEligible fills r.eligible with the usable candidates that have a free
// slot, and returns how many usable candidates are trusted, with or without a free
// slot. With includeEjected, it trusts all of them.
func (r *Router) collectEligible(now time.Time, q Query, candidates []Candidate, includeEjected bool) int {
	r.eligible = r.eligible[:0]
	trusted := 0
	for i := range candidates {
		c := &candidates[i]
		if !isUsable(q, c) {
			continue
		}
		e := r.engines[c.Engine]
		if !includeEjected && !r.isTrusted(now, e) {
			continue
		}
		trusted++
		if free := r.countFreeSlots(now, q.Pool, e, c); free > 0 {
			r.eligible = append(r.eligible, eligibleEngine{candidate: c, engine: e, freeSlots: free, sameDomain: c.Domain == q.Domain})
		}
	}
	return trusted
}

// collectShare fills r.eligible with the usable candidates on which this VM has fewer requests in
// flight than its share, if it has fewer than its share of all of them. Where requests wait on
// all VMs, a VM learns of a slot that becomes free on another one only after that one has used it
// again, and would get none for as long as the overload lasts.
func (r *Router) collectShare(now time.Time, q Query, candidates []Candidate) {
	inFlight, slots, sharers := 0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		inFlight += r.InFlightOn(c.Engine)
		if isUsable(q, c) {
			slots += c.Slots + c.QueueLength
		}
		sharers = max(sharers, c.Sharers)
	}
	if sharers == 0 || inFlight >= r.drawShare(now, slots, sharers) {
		return
	}
	for i := range candidates {
		c := &candidates[i]
		e := r.engines[c.Engine]
		if c.PermitRequired || !isUsable(q, c) || !r.isTrusted(now, e) || r.isResting(now, e, c) || r.InFlightOn(c.Engine)*sharers >= c.Slots+c.QueueLength {
			continue
		}
		if c.Queues && r.InFlightOn(c.Engine) >= c.OwnLimit {
			continue
		}
		r.eligible = append(r.eligible, eligibleEngine{candidate: c, engine: e, freeSlots: 1, sameDomain: c.Domain == q.Domain})
	}
}

// shareTurn is the time between two draws of the slots that are left over as the slots are divided.
const shareTurn = time.Second

// drawShare returns how many of the slots are this VM's share. The slots that are left over as they
// are divided go to VMs by turns: otherwise a VM that uses them once keeps them.
func (r *Router) drawShare(now time.Time, slots, sharers int) int {
	if now.Sub(r.shareDrawnAt) >= shareTurn {
		r.shareDrawnAt, r.shareDraw = now, r.rng.Float64()
	}
	return int(float64(slots)/float64(sharers) + r.shareDraw)
}

// isResting reports whether an engine gets no requests because it asked for a cooldown or has
// just rejected one.
func (r *Router) isResting(now time.Time, e *engineState, c *Candidate) bool {
	if e == nil {
		return false
	}
	backoff := busyBackoff
	if c.Queues {
		backoff = c.RejectionRest
	}
	return e.cooldown.isBlocked(now) || (now.Sub(e.refusedAt) < backoff && !c.LoadReportedAt.After(e.refusedAt))
}

// isTrusted reports whether an engine may get a request: its breaker admits one,
// and it is not silent.
func (r *Router) isTrusted(now time.Time, e *engineState) bool {
	return e == nil || (e.breaker.canAdmit(now) && !r.isSilent(now, e))
}

// isSilent reports whether an engine with requests in flight sends no first
// tokens. The requests on a hung engine fail only at their timeout; until then the
// engine would look fast and attract more.
func (r *Router) isSilent(now time.Time, e *engineState) bool {
	const minAwaiting = 2 // a single request may just be long
	if !r.reportsFirstTokens || e.awaitingFirstToken < minAwaiting {
		return false
	}
	timeout := minSilentTimeout
	if p := r.latency[e.pool]; p != nil {
		timeout = max(timeout, time.Duration(silentTimeoutMedians*p.median*float64(time.Second)))
	}
	return now.Sub(e.silentSince) > timeout
}

// setCachedBlocks sets how many blocks of the prompt each eligible engine has
// cached, beyond those that are common.
func (r *Router) setCachedBlocks(q Query) {
	if len(q.Prefixes) == 0 {
		return
	}
	var common int
	r.holders, common = r.prefixes.findHolders(q.Prefixes, r.holders[:0])
	if len(r.holders) == 0 {
		return
	}
	for i := range r.eligible {
		v := &r.eligible[i]
		if v.engine != nil {
			v.cachedBlocks = max(0, cachedBlocksOf(r.holders, v.engine.id)-common)
		}
	}
}

// drawCandidates draws the engines to compare at random and returns their indexes
// in r.eligible: choicesPerGroup in the VM's own failure domain and as many in
// the others. Places that stay empty are -1.
func (r *Router) drawCandidates() (own, other [choicesPerGroup]int) {
	for i := range choicesPerGroup {
		own[i], other[i] = -1, -1
	}
	var seenOwn, seenOther int
	for i := range r.eligible {
		if r.eligible[i].sameDomain {
			r.reservoirSample(&own, i, &seenOwn)
		} else {
			r.reservoirSample(&other, i, &seenOther)
		}
	}
	return own, other
}

// reservoirSample adds index i to a reservoir sample: each index seen is kept with
// equal probability.
func (r *Router) reservoirSample(kept *[choicesPerGroup]int, i int, seen *int) {
	*seen++
	if *seen <= choicesPerGroup {
		kept[*seen-1] = i
		return
	}
	if at := r.rng.Intn(*seen); at < choicesPerGroup {
		kept[at] = i
	}
}

// cost returns the cost of sending the request to an engine, as a share of the
// engine's slots. Lower is better.
func (r *Router) cost(now time.Time, q Query, v *eligibleEngine) float64 {
	load := 1 - float64(v.freeSlots-1)/float64(v.candidate.Slots)
	cost := load*r.slowness(now, q, v) + paceCost*missProbability(now, q, v)
	if !v.sameDomain {
		cost += otherDomainCost
	}
	if v.candidate.Indirect {
		cost += indirectCost
	}
	if v.engine != nil {
		cost += failureCost * v.engine.failureRate.value(now)
	}
	if v.cachedBlocks > 0 {
		cost -= prefixBonus * float64(v.cachedBlocks) / float64(len(q.Prefixes))
	}
	return cost
}

func newChoice(v *eligibleEngine) Choice {
	reason := "other domain"
	switch {
	case v.engine != nil && v.engine.breaker.open:
		reason = "probe"
	case v.cachedBlocks > 0:
		reason = "prefix"
	case v.sameDomain:
		reason = "own domain"
	}
	return Choice{Engine: v.candidate.Engine, Reason: reason}
}
