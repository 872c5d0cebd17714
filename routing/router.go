package routing

import (
	"math/rand"
	"time"
)

// Config holds the policy. The zero value of a field takes its default.
type Config struct {
	// Prefixes bounds the prefixes remembered over all engines.
	Prefixes int
}

// DefaultPrefixes at some 100 bytes each stay within 7 MB.
const DefaultPrefixes = 1 << 16

// Router chooses engines for one entry VM.
type Router struct {
	cfg     Config
	rng     *rand.Rand
	engines map[string]*engineState
}

// engineState is what this entry VM has seen of one engine itself.
type engineState struct {
	inFlight int
}

// New makes a router that draws from rng.
func New(cfg Config, rng *rand.Rand) *Router {
	if cfg.Prefixes <= 0 {
		cfg.Prefixes = DefaultPrefixes
	}
	return &Router{cfg: cfg, rng: rng, engines: map[string]*engineState{}}
}

// Pick chooses an engine with a free slot; false if there is none.
func (r *Router) Pick(now time.Time, q Query, candidates []Candidate) (Choice, bool) {
	best, bestFree := -1, 0
	for i, c := range candidates {
		if !c.Ready || c.Leaving || c.Role == roleDecode || q.Exclude[c.Engine] {
			continue
		}
		free := r.Free(now, c)
		if free > bestFree || (free == bestFree && free > 0 && r.rng.Intn(2) == 0) {
			best, bestFree = i, free
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Engine: candidates[best].Engine, Reason: "least loaded"}, true
}

// Free is how many of the engine's slots this entry VM may use now.
func (r *Router) Free(now time.Time, c Candidate) int {
	own := 0
	if e := r.engines[c.Engine]; e != nil {
		own = e.inFlight
	}
	busy := own + c.PeersInFlight
	if c.LoadKnown {
		busy = max(busy, c.Running+c.Queued)
	}
	return max(0, c.Slots-busy)
}

func (r *Router) state(engine string) *engineState {
	e := r.engines[engine]
	if e == nil {
		e = &engineState{}
		r.engines[engine] = e
	}
	return e
}

// Started counts a request that was sent to an engine, and remembers that the
// engine now has its prefixes cached.
func (r *Router) Started(now time.Time, engine, pool string, prefixes []uint64) {
	r.state(engine).inFlight++
}

// Finished ends what Started began.
func (r *Router) Finished(now time.Time, engine string, result Result) {
	e := r.state(engine)
	e.inFlight = max(0, e.inFlight-1)
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

// CacheEvent takes an engine's word that it has, or no longer has, a prefix.
func (r *Router) CacheEvent(engine, unit string, prefix uint64, evicted bool) {}

// BreakerState is how an engine is trusted.
type BreakerState string

const (
	BreakerClosed   BreakerState = "closed"    // trusted
	BreakerOpen     BreakerState = "open"      // gets nothing
	BreakerHalfOpen BreakerState = "half-open" // gets single requests as probes
)

// Breaker tells how the engine is trusted now.
func (r *Router) Breaker(now time.Time, engine string) BreakerState { return BreakerClosed }

// Forget drops what is known of an engine that has left.
func (r *Router) Forget(engine string) { delete(r.engines, engine) }
