package routing

import (
	"math/rand"
	"time"
)

// Config holds the policy. The zero value of a field takes its default.
type Config struct {
	// Prefixes bounds the prefixes remembered over all engines.
	MaxPrefixes int
}

const (
	// DefaultPrefixes at some 150 bytes each stay within 10 MB.
	DefaultMaxPrefixes = 1 << 16
	// busyPause is how long an engine that took nothing gets nothing, unless it
	// reports after that. Without it, the queue would spin on a full engine
	// whose report still shows room.
	busyPause = 200 * time.Millisecond
)

// Router chooses engines for one entry VM. It is not safe for concurrent use.
type Router struct {
	cfg      Config
	rng      *rand.Rand
	engines  map[string]*engineState
	latency  map[string]*poolLatency // by pool
	prefixes *prefixMemory
	// service is how long a request of a pool takes, in the mean.
	service map[string]time.Duration
	lastID  engineID
	// tokensTold is whether FirstToken is called at all; without it, an engine's
	// silence can't be told from long answers.
	tokensTold bool

	// views and found are kept between picks to save their allocation.
	views []view
	found []holder
}

// engineState is what this entry VM has seen of one engine itself.
type engineState struct {
	id       engineID
	inFlight int
	history  history
	breaker  breaker
	// reliability counts failures that open no breaker.
	reliability reliability
	pool        string // of the newest request
	// refusedAt is when the engine last took nothing.
	refusedAt time.Time
	// awaiting counts requests without a first token; silentSince is when the
	// newest of them or the first request after a pause began.
	awaiting    int
	silentSince time.Time
	rest        rest
}

// New makes a router that draws from rng.
func New(cfg Config, rng *rand.Rand) *Router {
	if cfg.MaxPrefixes <= 0 {
		cfg.MaxPrefixes = DefaultMaxPrefixes
	}
	return &Router{
		cfg: cfg, rng: rng, engines: map[string]*engineState{},
		latency: map[string]*poolLatency{}, service: map[string]time.Duration{}, prefixes: newPrefixMemory(cfg.MaxPrefixes),
	}
}

func (r *Router) state(engine string) *engineState {
	e := r.engines[engine]
	if e == nil {
		r.lastID++
		e = &engineState{id: r.lastID}
		r.engines[engine] = e
	}
	return e
}

func (r *Router) pool(name string) *poolLatency {
	p := r.latency[name]
	if p == nil {
		p = &poolLatency{engines: map[string]*latency{}}
		r.latency[name] = p
	}
	return p
}

// Started counts a request that was sent to an engine, and remembers that the
// engine now has its prefixes cached.
func (r *Router) RecordStart(now time.Time, engine, pool string, prefixes []uint64) {
	e := r.state(engine)
	e.pool = pool
	e.inFlight++
	e.history.record(now, e.inFlight)
	e.breaker.started(now)
	e.rest.started(now)
	if e.awaiting == 0 {
		e.silentSince = now
	}
	e.awaiting++
	for _, hash := range prefixes {
		r.prefixes.use(hash, e.id)
	}
}

// FirstToken tells that the first token of a started request came. It shows at
// once that the engine works, where Finished may come much later. Calling it is
// optional, but then for all requests.
func (r *Router) RecordFirstToken(now time.Time, engine, pool string, took time.Duration) {
	e := r.engines[engine]
	if e == nil {
		return
	}
	r.tokensTold = true
	e.answered(now)
	e.rest.served()
	r.observe(now, e, engine, pool, took)
}

// answered ends the wait of one request for its first token.
func (e *engineState) answered(now time.Time) {
	e.awaiting = max(0, e.awaiting-1)
	e.silentSince = now
}

// observe counts a first token for the breaker and the pool's latency.
func (r *Router) observe(now time.Time, e *engineState, engine, pool string, took time.Duration) {
	p := r.pool(pool)
	if e.breaker.open && p.slow(took.Seconds()) {
		e.breaker.fail(now, r.rng)
		return
	}
	wasOpen := e.breaker.open
	e.breaker.succeed(now)
	l := p.of(engine)
	if wasOpen && !e.breaker.open {
		*l = latency{} // what it was before counts no more
	}
	l.observe(now, took)
	if p.refresh(now) {
		r.ejectOutliers(now, p)
	}
}

// ejectOutliers opens the breakers of engines much slower than their pool.
func (r *Router) ejectOutliers(now time.Time, p *poolLatency) {
	for _, name := range p.outliers(now) {
		e := r.engines[name]
		if e == nil || e.breaker.open || !r.mayEject(p) {
			continue
		}
		e.breaker.trip(now, r.rng)
		*p.engines[name] = latency{}
	}
}

// mayEject tells whether one more engine of the pool may be ejected.
func (r *Router) mayEject(p *poolLatency) bool {
	open := 0
	for name := range p.engines {
		if e := r.engines[name]; e != nil && e.breaker.open {
			open++
		}
	}
	return float64(open+1) <= slowShare*float64(len(p.engines))
}

// Finished ends what Started began.
func (r *Router) RecordFinish(now time.Time, engine string, result Result) {
	e := r.engines[engine]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	e.history.record(now, e.inFlight)
	e.rest.finished(result.OK)
	pool := result.Pool
	if pool == "" {
		pool = e.pool
	}
	r.observeService(pool, result.Duration)
	told := result.TimeToFirstToken > 0 && r.tokensTold
	if !told {
		e.answered(now)
	}
	if result.Failed || result.OK {
		e.reliability.note(now, result.Failed)
	}
	switch {
	case result.Failed:
		e.breaker.fail(now, r.rng)
	case result.NotRun:
		e.refusedAt = now
	case result.TimeToFirstToken > 0 && !told:
		r.observe(now, e, engine, pool, result.TimeToFirstToken)
	case result.OK:
		e.breaker.succeed(now)
	}
}

// InFlight is this entry VM's requests by engine.
func (r *Router) InFlight() map[string]int {
	counts := map[string]int{}
	for name, e := range r.engines {
		if e.inFlight > 0 {
			counts[name] = e.inFlight
		}
	}
	return counts
}

// CacheEvent takes an engine's word that it has, or no longer has, a prefix. The
// unit is part of the prefix's hash already.
func (r *Router) ApplyCacheEvent(engine, unit string, prefix uint64, evicted bool) {
	if evicted {
		if e := r.engines[engine]; e != nil {
			r.prefixes.drop(prefix, e.id)
		}
		return
	}
	r.prefixes.add(prefix, r.state(engine).id)
}

// Breaker tells how the engine is trusted now.
func (r *Router) Breaker(now time.Time, engine string) BreakerState {
	if e := r.engines[engine]; e != nil {
		return e.breaker.state(now)
	}
	return BreakerClosed
}

// Sick are the engines that get nothing now.
func (r *Router) UnavailableEngines(now time.Time) map[string]bool {
	var sick map[string]bool
	for name, e := range r.engines {
		if e.breaker.state(now) != BreakerOpen && !e.rest.ongoing(now) {
			continue
		}
		if sick == nil {
			sick = make(map[string]bool)
		}
		sick[name] = true
	}
	return sick
}

// Forget drops what is known of an engine that has left or restarted; its cached
// prefixes are gone then. Requests in flight there are forgotten too. Call it,
// as the router keeps all engines it has met.
func (r *Router) Forget(engine string) {
	delete(r.engines, engine)
	for _, p := range r.latency {
		delete(p.engines, engine)
	}
}
