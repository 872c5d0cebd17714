package routing

import (
	"math/rand"
	"time"
)

// Config configures a Router. A field with the zero value takes its default.
type Config struct {
	// MaxPrefixes bounds the number of prompt prefixes remembered for all engines
	// together.
	MaxPrefixes int
}

const (
	// DefaultMaxPrefixes keeps the prefix index below 10 MB, at about 150 bytes
	// per prefix.
	DefaultMaxPrefixes = 1 << 16
	// busyBackoff is how long an engine that refused a request gets no new ones,
	// unless it sends a load report in the meantime. Without it, the queue would
	// retry in a tight loop on a full engine whose last report still shows free
	// slots.
	busyBackoff = 200 * time.Millisecond
)

// Router chooses engines for one entry VM. It is not safe for concurrent use.
type Router struct {
	cfg Config
	rng *rand.Rand
	// shareDraw decides whether this VM's share of overloaded engines is rounded up, shareDrawnAt
	// is when it was drawn.
	shareDraw    float64
	shareDrawnAt time.Time
	engines      map[string]*engineState
	latency      map[string]*poolLatency // by pool
	prefixes     *prefixIndex
	// meanServiceTime is the moving average of the service time of requests, by pool.
	meanServiceTime map[string]time.Duration
	lastID          engineID
	// reportsFirstTokens is whether the caller calls RecordFirstToken. If it does
	// not, a silent engine can't be distinguished from one with long answers.
	reportsFirstTokens bool

	// eligible and holders are reused between picks to avoid allocations.
	eligible []eligibleEngine
	holders  []prefixHolder
}

// engineState holds what this entry VM has observed of one engine.
type engineState struct {
	id              engineID
	inFlight        int
	inFlightHistory inFlightHistory
	breaker         breaker
	// failureRate also reflects failures that do not open the breaker.
	failureRate failureRate
	pool        string // of the newest request
	// refusedAt is when the engine last refused a request.
	refusedAt time.Time
	// awaitingFirstToken counts the requests in flight without a first token.
	// silentSince is when the newest first token arrived or the newest request
	// ended without one, or when the first request after an idle period started.
	awaitingFirstToken int
	silentSince        time.Time
	cooldown           cooldown
}

// New returns a Router that takes its randomness from rng.
func New(cfg Config, rng *rand.Rand) *Router {
	if cfg.MaxPrefixes <= 0 {
		cfg.MaxPrefixes = DefaultMaxPrefixes
	}
	return &Router{
		cfg: cfg, rng: rng, engines: map[string]*engineState{},
		latency: map[string]*poolLatency{}, meanServiceTime: map[string]time.Duration{}, prefixes: newPrefixIndex(cfg.MaxPrefixes),
	}
}

func (r *Router) getOrCreateEngine(engine string) *engineState {
	e := r.engines[engine]
	if e == nil {
		r.lastID++
		e = &engineState{id: r.lastID}
		r.engines[engine] = e
	}
	return e
}

func (r *Router) getOrCreatePool(name string) *poolLatency {
	p := r.latency[name]
	if p == nil {
		p = &poolLatency{engines: map[string]*engineLatency{}}
		r.latency[name] = p
	}
	return p
}

// RecordStart counts a request that was sent to an engine and records that the
// engine now has the request's prefixes cached.
func (r *Router) RecordStart(now time.Time, engine, pool string, prefixes []uint64) {
	e := r.getOrCreateEngine(engine)
	e.pool = pool
	e.inFlight++
	e.inFlightHistory.record(now, e.inFlight)
	e.breaker.recordStart(now)
	e.cooldown.recordStart(now)
	if e.awaitingFirstToken == 0 {
		e.silentSince = now
	}
	e.awaitingFirstToken++
	for _, hash := range prefixes {
		r.prefixes.recordUse(hash, e.id)
	}
}

// RecordFirstToken records that the first token of a started request arrived. It
// shows that the engine works long before RecordFinish is called for a long
// answer. The caller must call it either for all requests or for none.
func (r *Router) RecordFirstToken(now time.Time, engine, pool string, latency time.Duration) {
	e := r.engines[engine]
	if e == nil {
		return
	}
	r.reportsFirstTokens = true
	e.endFirstTokenWait(now)
	e.cooldown.endRecovery()
	r.observeFirstToken(now, e, engine, pool, latency)
}

// endFirstTokenWait ends the wait of one request for its first token.
func (e *engineState) endFirstTokenWait(now time.Time) {
	e.awaitingFirstToken = max(0, e.awaitingFirstToken-1)
	e.silentSince = now
}

// observeFirstToken updates the breaker and the pool's latency with a first
// token.
func (r *Router) observeFirstToken(now time.Time, e *engineState, engine, pool string, latency time.Duration) {
	p := r.getOrCreatePool(pool)
	if e.breaker.open && p.isSlow(latency.Seconds()) {
		e.breaker.recordFailure(now, r.rng)
		return
	}
	wasOpen := e.breaker.open
	e.breaker.recordSuccess(now)
	l := p.getOrCreate(engine)
	if wasOpen && !e.breaker.open {
		*l = engineLatency{} // samples from before the ejection no longer apply
	}
	l.observe(now, latency)
	if p.refreshMedian(now) {
		r.ejectOutliers(now, p)
	}
}

// ejectOutliers opens the breakers of engines that are much slower than their
// pool.
func (r *Router) ejectOutliers(now time.Time, p *poolLatency) {
	for _, name := range p.outliers(now) {
		e := r.engines[name]
		if e == nil || e.breaker.open || !r.canEject(p) {
			continue
		}
		e.breaker.trip(now, r.rng)
		*p.engines[name] = engineLatency{}
	}
}

// canEject reports whether one more engine of the pool may be ejected.
func (r *Router) canEject(p *poolLatency) bool {
	open := 0
	for name := range p.engines {
		if e := r.engines[name]; e != nil && e.breaker.open {
			open++
		}
	}
	return float64(open+1) <= maxEjectedShare*float64(len(p.engines))
}

// RecordFinish records the end of a request that RecordStart counted.
func (r *Router) RecordFinish(now time.Time, engine string, result Result) {
	e := r.engines[engine]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	e.inFlightHistory.record(now, e.inFlight)
	e.cooldown.recordFinish(result.OK)
	pool := result.Pool
	if pool == "" {
		pool = e.pool
	}
	r.observeServiceTime(pool, result.ServiceTime)
	firstTokenRecorded := result.TimeToFirstToken > 0 && r.reportsFirstTokens
	if !firstTokenRecorded {
		e.endFirstTokenWait(now)
	}
	if result.Failed || result.OK {
		e.failureRate.record(now, result.Failed)
	}
	switch {
	case result.Failed:
		e.breaker.recordFailure(now, r.rng)
	case result.NotRun:
		e.refusedAt = now
	case result.TimeToFirstToken > 0 && !firstTokenRecorded:
		r.observeFirstToken(now, e, engine, pool, result.TimeToFirstToken)
	case result.OK:
		e.breaker.recordSuccess(now)
	}
}

// InFlight returns the number of this entry VM's requests in flight, by engine.
func (r *Router) InFlight() map[string]int {
	counts := map[string]int{}
	for name, e := range r.engines {
		if e.inFlight > 0 {
			counts[name] = e.inFlight
		}
	}
	return counts
}

// InFlightOn returns the number of this entry VM's requests in flight on an engine.
func (r *Router) InFlightOn(engine string) int {
	if e := r.engines[engine]; e != nil {
		return e.inFlight
	}
	return 0
}

// ApplyCacheEvent applies an engine's event that it has cached or evicted a
// prefix. The prefix hash already covers the unit.
func (r *Router) ApplyCacheEvent(engine, unit string, prefix uint64, evicted bool) {
	if evicted {
		if e := r.engines[engine]; e != nil {
			r.prefixes.remove(prefix, e.id)
		}
		return
	}
	r.prefixes.add(prefix, r.getOrCreateEngine(engine).id)
}

// Breaker returns the state of the engine's circuit breaker.
func (r *Router) Breaker(now time.Time, engine string) BreakerState {
	if e := r.engines[engine]; e != nil {
		return e.breaker.state(now)
	}
	return BreakerClosed
}

// UnavailableEngines returns the engines whose breaker is open or whose cooldown
// is active.
func (r *Router) UnavailableEngines(now time.Time) map[string]bool {
	var unavailable map[string]bool
	for name, e := range r.engines {
		if e.breaker.state(now) != BreakerOpen && !e.cooldown.isActive(now) {
			continue
		}
		if unavailable == nil {
			unavailable = make(map[string]bool)
		}
		unavailable[name] = true
	}
	return unavailable
}

// ForgiveFailures closes the breaker of an engine and drops its failures, which turned out to
// be those of the path to it.
func (r *Router) ForgiveFailures(engine string) {
	if e := r.engines[engine]; e != nil {
		e.breaker, e.failureRate = breaker{}, failureRate{}
	}
}

// DropInFlight ends the counting of the requests in flight on an engine; RecordFinish must not
// be called for them.
func (r *Router) DropInFlight(now time.Time, engine string) {
	if e := r.engines[engine]; e != nil {
		e.inFlight, e.awaitingFirstToken = 0, 0
		e.inFlightHistory.record(now, 0)
	}
}

// Forget drops all state of an engine that has left or restarted, including its
// cached prefixes and its requests in flight. The caller must call it: the router
// otherwise keeps every engine it has seen.
func (r *Router) Forget(engine string) {
	delete(r.engines, engine)
	for _, p := range r.latency {
		delete(p.engines, engine)
	}
}
